package disruptor

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections to a target and injects faults into them. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	// dropFromTarget and dropToTarget drop the bytes of one direction. delay is a
	// time.Duration that applies to both directions.
	dropFromTarget, dropToTarget atomic.Bool
	delay                        atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// copyBufferSize is the maximum number of bytes that are copied at a time.
const copyBufferSize = 16 << 10

// NewProxy listens on an address and forwards connections to a target address.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops listening and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// SetDelay delays each copied block of bytes, in both directions; 0 ends that. The next
// block is read only after the delay, so it limits throughput as well.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetCut sets whether bytes towards the target and bytes from it are dropped.
func (p *Proxy) SetCut(dropToTarget, dropFromTarget bool) {
	p.dropToTarget.Store(dropToTarget)
	p.dropFromTarget.Store(dropFromTarget)
}

// Reset closes the open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(conn)
		}
	}
}

// serve dials the target and copies bytes in both directions until both have ended.
func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		// The client sees a closed connection if the target can't be reached.
		_ = client.Close()
		return
	}
	p.track(client, true)
	p.track(server, true)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.copyBytes(server, client, &p.dropToTarget)
	}()
	go func() {
		defer wg.Done()
		p.copyBytes(client, server, &p.dropFromTarget)
	}()
	wg.Wait()
	p.track(client, false)
	p.track(server, false)
	_ = client.Close()
	_ = server.Close()
}

// track adds an open connection to those that Reset closes, or removes it.
func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copyBytes copies bytes from src to dst until either of them fails or src ends. Once it
// has dropped any bytes, it drops all that follow in this direction of the connection,
// since the stream would have a gap. At the end of src it closes only dst's write side,
// so that the other direction can finish, or all of dst if bytes were dropped.
func (p *Proxy) copyBytes(dst, src net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, copyBufferSize)
	silent := false
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			silent = silent || drop.Load()
			if !silent {
				if _, err := dst.Write(buffer[:n]); err != nil {
					_ = src.Close()
					return
				}
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !silent {
				if tcp, ok := dst.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			_ = dst.Close()
			return
		}
	}
}

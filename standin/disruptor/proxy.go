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
	// dropFromTarget makes the proxy drop the bytes that the target sends, and
	// dropToTarget the bytes that clients send.
	dropFromTarget, dropToTarget atomic.Bool
	// delay is a time.Duration in nanoseconds, by which the bytes of both directions are
	// delayed.
	delay atomic.Int64

	mu sync.Mutex
	// conns has the open connections to clients and to the target.
	conns map[net.Conn]bool
}

// copyBufferSize is the maximum number of bytes that are copied in one step.
const copyBufferSize = 16 << 10

// NewProxy starts a proxy that listens on an address and forwards connections to the target
// address.
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

// SetDelay sets the time by which each block of bytes is delayed, in both directions. The
// next block is read only after the delay, so a delay also limits the throughput of a
// connection to copyBufferSize bytes per delay and direction.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetCut sets whether the proxy drops the bytes that are sent to the target, and whether it
// drops the bytes that the target sends. A connection that has dropped bytes in a direction
// drops all further bytes in this direction, also after SetCut(false, false).
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

// serve forwards a client's connection: it dials the target and copies bytes in both
// directions until both directions have ended.
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

// track adds a connection to the connections that Reset closes, or removes it if it is no
// longer open.
func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copyBytes copies bytes from src to dst until src ends or one of the connections fails.
// While drop is set, it drops the bytes instead. Once it has dropped any bytes, it drops
// all further bytes of this connection and direction, since the stream would have a gap.
// At the end of src it closes only the write side of dst, so that the other direction can
// finish. If it has dropped bytes or src has failed, it closes dst completely.
func (p *Proxy) copyBytes(dst, src net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, copyBufferSize)
	hasDropped := false
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			hasDropped = hasDropped || drop.Load()
			if !hasDropped {
				if _, err := dst.Write(buffer[:n]); err != nil {
					_ = src.Close()
					return
				}
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !hasDropped {
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

package disruptor

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes connections on to a target and disturbs them. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	// back and forth drop the bytes of a direction, delay holds them.
	back, forth atomic.Bool
	delay       atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// proxyChunk is the size of a piece that is passed on, in bytes.
const proxyChunk = 16 << 10

// NewProxy listens on an address and passes connections on to a target.
func NewProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

// SetDelay holds all bytes for a time; 0 ends that.
func (p *Proxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// SetCut drops the bytes towards the target (forth) and those from it (back).
func (p *Proxy) SetCut(forth, back bool) {
	p.forth.Store(forth)
	p.back.Store(back)
}

// Reset ends the open connections at once.
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

func (p *Proxy) serve(from net.Conn) {
	to, err := net.Dial("tcp4", p.target)
	if err != nil {
		// Whoever connects sees what the target does.
		_ = from.Close()
		return
	}
	p.track(from, true)
	p.track(to, true)
	var copying sync.WaitGroup
	copying.Add(2)
	go func() {
		defer copying.Done()
		p.pass(to, from, &p.forth)
	}()
	go func() {
		defer copying.Done()
		p.pass(from, to, &p.back)
	}()
	copying.Wait()
	p.track(from, false)
	p.track(to, false)
	_ = from.Close()
	_ = to.Close()
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// pass copies bytes until one side ends. A direction that drops bytes stays
// silent for the connection's life, since what follows would make no sense.
func (p *Proxy) pass(to, from net.Conn, drops *atomic.Bool) {
	buffer := make([]byte, proxyChunk)
	silent := false
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			silent = silent || drops.Load()
			if !silent {
				if _, err := to.Write(buffer[:n]); err != nil {
					_ = from.Close()
					return
				}
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) && !silent {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			_ = to.Close()
			return
		}
	}
}

package measurer

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy is a TCP proxy for one target address. Once it is silent, it forwards nothing
// and closes nothing, as if the machine behind it had lost power.
type proxy struct {
	target   string
	listener net.Listener
	// bytes counts the bytes that were forwarded, in both directions.
	bytes atomic.Int64

	mu     sync.Mutex
	silent bool
	// conns holds all connections on both sides, which close closes.
	conns []net.Conn
}

// newProxy starts a proxy on a free loopback port.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p := &proxy{target: target, listener: l}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// accept accepts connections and starts to forward them. A silent proxy accepts them too,
// but doesn't connect to the target.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.track(c)
		if p.isSilent() {
			continue
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.track(target)
		go p.forward(c, target)
		go p.forward(target, c)
	}
}

// forward copies the data of one direction. Once the proxy is silent, it discards the
// data instead, and doesn't close the other side at the end.
func (p *proxy) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		p.bytes.Add(int64(n))
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// track stores a connection for close.
func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
}

func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// silence makes the proxy drop all data from now on, without closing a connection.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

// close closes the listener and all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

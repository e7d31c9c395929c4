package measurer

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy is a TCP proxy for one target address. silence makes it drop all data from then on
// without closing a connection, as if the machine at the target had lost power.
type proxy struct {
	target   string
	listener net.Listener
	// bytes is the number of bytes that the proxy forwarded, in both directions.
	bytes atomic.Int64

	mu     sync.Mutex
	silent bool
	// conns holds all connections that were accepted or opened to the target. The
	// method close closes them.
	conns []net.Conn
}

// newProxy starts a proxy on a free loopback port that forwards to the address target.
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

// accept accepts connections until the listener is closed. For each, it connects to the
// target and starts forwarding in both directions. A silent proxy accepts connections too,
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

// forward copies data from one connection to the other until the first one ends, and then
// closes the other. Once the proxy is silent, it discards the data instead, and leaves the
// other connection open at the end.
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

// track adds a connection to conns, so that close closes it.
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

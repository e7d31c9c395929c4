package measurer

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// gate passes connections on to one address. Once it is silent nothing passes
// and nothing is closed, as if the machine behind it had lost power.
type gate struct {
	target string
	socket net.Listener
	bytes  atomic.Int64

	mu     sync.Mutex
	silent bool
	conns  []net.Conn
}

func newGate(target string) (*gate, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	g := &gate{target: target, socket: l}
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.socket.Addr().String() }

func (g *gate) accept() {
	for {
		c, err := g.socket.Accept()
		if err != nil {
			return
		}
		g.keep(c)
		if g.isSilent() {
			continue
		}
		target, err := net.Dial("tcp", g.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		g.keep(target)
		go g.pass(c, target)
		go g.pass(target, c)
	}
}

// pass copies one direction; it swallows everything once the gate is silent.
func (g *gate) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if g.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		g.bytes.Add(int64(n))
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (g *gate) keep(c net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, c)
}

func (g *gate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}

// silence stops everything without closing a connection.
func (g *gate) silence() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = true
}

func (g *gate) close() {
	_ = g.socket.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		_ = c.Close()
	}
}

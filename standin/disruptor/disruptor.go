// Package disruptor disturbs connections the way a network between two ends
// does: open connections go silent for good while new ones work, links are cut,
// and answers arrive twice.
//
// # Usage
//
//	l := disruptor.NewListener(listener)
//	go server.Serve(l)
//	l.SilenceOpen()
package disruptor

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
)

// ErrCut reports a dial over a link that is cut.
var ErrCut = errors.New("link is cut")

// Conn is a connection that can be disturbed. It is safe for concurrent use.
type Conn struct {
	net.Conn
	silent    atomic.Bool
	duplicate atomic.Bool
	closed    func(*Conn)
}

// Silence drops all bytes in both directions from now on. The connection stays
// open.
func (c *Conn) Silence() { c.silent.Store(true) }

// DuplicateNext sends the next written bytes twice.
func (c *Conn) DuplicateNext() { c.duplicate.Store(true) }

// Read implements net.Conn. A silent connection reads nothing until it is
// closed or its deadline passes.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection takes bytes and drops them.
func (c *Conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if err == nil && c.duplicate.CompareAndSwap(true, false) {
		_, err = c.Conn.Write(b)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed(c)
	return c.Conn.Close()
}

// group is a set of open connections.
type group struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

func (g *group) add(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, closed: g.remove}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = map[*Conn]bool{}
	}
	g.conns[c] = true
	return c
}

func (g *group) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

func (g *group) silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.Silence()
	}
	return len(g.conns)
}

// Listener accepts connections that can be disturbed.
type Listener struct {
	net.Listener
	open group
}

// NewListener wraps a listener.
func NewListener(inner net.Listener) *Listener { return &Listener{Listener: inner} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.open.add(inner), nil
}

// SilenceOpen silences the connections that are open now and returns their
// number. New connections work.
func (l *Listener) SilenceOpen() int { return l.open.silence() }

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Link dials from one place and can be cut towards some addresses.
type Link struct {
	dial Dial
	mu   sync.Mutex
	cuts map[string]bool
	open map[string]*group
}

// NewLink returns a link without cuts over a dialer.
func NewLink(dial Dial) *Link {
	return &Link{dial: dial, cuts: map[string]bool{}, open: map[string]*group{}}
}

// SetCut cuts or mends the link towards an address. A cut silences the open
// connections for good, and new ones fail until it is mended.
func (l *Link) SetCut(address string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[address] = on
	if g, ok := l.open[address]; ok && on {
		g.silence()
	}
}

// Dial opens a connection unless the link is cut.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cuts[address]
	g, ok := l.open[address]
	if !ok {
		g = &group{}
		l.open[address] = g
	}
	l.mu.Unlock()
	if cut {
		return nil, ErrCut
	}
	inner, err := l.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return g.add(inner), nil
}

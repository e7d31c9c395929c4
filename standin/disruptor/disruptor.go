// Package disruptor injects network faults into connections: open connections stop
// passing bytes for good while new ones work, links are cut, traffic is delayed or
// dropped in one direction, connections are reset, and written bytes arrive twice.
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

// ErrCut is the error of a dial over a link that is cut.
var ErrCut = errors.New("link is cut")

// Conn is a connection with faults. It is safe for concurrent use.
type Conn struct {
	net.Conn
	silent    atomic.Bool
	duplicate atomic.Bool
	onClose   func(*Conn)
}

// Silence drops all bytes in both directions from now on. The connection stays open, and
// this can't be undone.
func (c *Conn) Silence() { c.silent.Store(true) }

// DuplicateNext makes the next Write send its bytes twice.
func (c *Conn) DuplicateNext() { c.duplicate.Store(true) }

// Read implements net.Conn. On a silent connection it discards what arrives, and returns
// only when the connection is closed by either end or its deadline passes.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silent connection it discards the bytes and reports
// success.
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
	c.onClose(c)
	return c.Conn.Close()
}

// connSet is a set of open connections; each removes itself when it is closed.
type connSet struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

func (g *connSet) add(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, onClose: g.remove}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns = map[*Conn]bool{}
	}
	g.conns[c] = true
	return c
}

func (g *connSet) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

func (g *connSet) silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.Silence()
	}
	return len(g.conns)
}

// Listener accepts connections of type *Conn.
type Listener struct {
	net.Listener
	open connSet
}

// NewListener returns a Listener that accepts the connections of inner.
func NewListener(inner net.Listener) *Listener { return &Listener{Listener: inner} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.open.add(inner), nil
}

// SilenceOpen silences the open connections and returns their number. Connections
// accepted later work.
func (l *Listener) SilenceOpen() int { return l.open.silence() }

// DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Link dials connections for one client, and can be cut towards single addresses. It is
// safe for concurrent use.
type Link struct {
	dial DialFunc
	mu   sync.Mutex
	cuts map[string]bool
	open map[string]*connSet
}

// NewLink returns a link that opens connections with dial and isn't cut anywhere.
func NewLink(dial DialFunc) *Link {
	return &Link{dial: dial, cuts: map[string]bool{}, open: map[string]*connSet{}}
}

// SetCut cuts the link towards an address or restores it. A cut silences the open
// connections for good, and dialing fails with ErrCut until the link is restored.
func (l *Link) SetCut(address string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[address] = on
	if g, ok := l.open[address]; ok && on {
		g.silence()
	}
}

// Dial opens a connection to an address unless the link towards it is cut.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cuts[address]
	g, ok := l.open[address]
	if !ok {
		g = &connSet{}
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

// Package disruptor injects network faults into connections. The commands "seamctl demo" and
// "seamctl soak" and the upstream stand-in of package responder use it.
//
// It has three types, for the three places at which faults can be injected:
//   - A Listener, for a server, can silence the connections that are open: they stay open
//     but no longer pass bytes. A Conn can also send written bytes twice.
//   - A Link, for a client, can be cut towards an address.
//   - A Proxy, between a client and a server, can delay traffic, drop the traffic of one
//     or both directions, and reset the open connections.
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

// Conn is a connection into which faults can be injected. It is safe for concurrent use.
type Conn struct {
	net.Conn
	silent        atomic.Bool
	duplicateNext atomic.Bool
	onClose       func(*Conn)
}

// Silence drops all bytes in both directions from now on. The connection stays open, and
// this can't be undone.
func (c *Conn) Silence() { c.silent.Store(true) }

// DuplicateNext makes the next successful Write send its bytes twice.
func (c *Conn) DuplicateNext() { c.duplicateNext.Store(true) }

// Read implements net.Conn. On a silent connection it discards the bytes that arrive. It
// then returns only with an error, when either end closes the connection or the read
// deadline passes.
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
	if err == nil && c.duplicateNext.CompareAndSwap(true, false) {
		_, err = c.Conn.Write(b)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

// connSet is a set of open connections. A connection is removed from the set when it is
// closed.
type connSet struct {
	mu    sync.Mutex
	conns map[*Conn]bool
}

// add adds a connection to the set and returns the Conn to use in its place.
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

// silence silences every connection in the set and returns their number.
func (g *connSet) silence() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.Silence()
	}
	return len(g.conns)
}

// Listener accepts connections of type *Conn and can silence those that are open.
type Listener struct {
	net.Listener
	openConns connSet
}

// NewListener returns a Listener that accepts the connections of inner.
func NewListener(inner net.Listener) *Listener { return &Listener{Listener: inner} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.openConns.add(inner), nil
}

// SilenceOpen calls Silence on every open connection and returns their number. Connections
// that are accepted later aren't affected.
func (l *Listener) SilenceOpen() int { return l.openConns.silence() }

// DialFunc opens a connection to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Link opens the connections of one client. It can be cut towards an address while other
// addresses can be reached. It is safe for concurrent use.
type Link struct {
	dial DialFunc
	mu   sync.Mutex
	// cuts has true for each address towards which the link is cut.
	cuts map[string]bool
	// openConns has the open connections to each address.
	openConns map[string]*connSet
}

// NewLink returns a Link that opens connections with dial and isn't cut towards any
// address.
func NewLink(dial DialFunc) *Link {
	return &Link{dial: dial, cuts: map[string]bool{}, openConns: map[string]*connSet{}}
}

// SetCut cuts the link towards an address or restores it. A cut silences the connections to
// the address that are open; they stay silent after the link is restored. Until then,
// Dial returns ErrCut for the address.
func (l *Link) SetCut(address string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[address] = on
	if g, ok := l.openConns[address]; ok && on {
		g.silence()
	}
}

// Dial opens a connection to an address. If the link towards the address is cut, it returns
// ErrCut.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	cut := l.cuts[address]
	g, ok := l.openConns[address]
	if !ok {
		g = &connSet{}
		l.openConns[address] = g
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

// Package accepter accepts callers' connections and keeps their number bounded.
//
// A closing listener does not reset callers that have just connected. An open one
// goes on accepting when descriptors run short: connections that have been idle
// the longest make room for new ones.
//
// # Usage
//
//	l := accepter.New(inner, accepter.WithReport(report))
//	server := &http.Server{ConnState: l.Track, ConnContext: accepter.Context}
//	go server.Serve(l)
//	l.SetMost(3000)
//	l.CloseIdle(15 * time.Second)
//	left := accepter.CallerDisconnected(request.Context())
//	err := l.Close() // what waits is still accepted
package accepter

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// backlogGrace is how long a closing listener still accepts connections that
	// were opened before it closed.
	backlogGrace = 100 * time.Millisecond
	// shortPause is the time between two attempts to accept while no descriptor
	// is free. Callers give up within a second.
	shortPause = 5 * time.Millisecond
)

// Listener accepts what waits in the backlog before it closes, since the kernel
// resets connections that were never accepted. It is safe for concurrent use.
type Listener struct {
	inner   net.Listener
	report  func(error)
	closing atomic.Bool

	mu   sync.Mutex
	open int
	most int
	// idle holds the connections without a request, the longest idle first.
	idle *list.List
	// ahead holds the connections on which the server has read bytes behind a
	// request that is under way, and reads no more until its end.
	ahead map[*Conn]struct{}
}

var _ net.Listener = (*Listener)(nil)

// Option changes a listener at its creation.
type Option func(*Listener)

// WithReport sets what is told of each attempt to accept: nil, or why none was
// accepted though the listener is open.
func WithReport(report func(error)) Option { return func(l *Listener) { l.report = report } }

// New returns a listener around a TCP listener.
func New(inner net.Listener, opts ...Option) *Listener {
	l := &Listener{inner: inner, report: func(error) {}, idle: list.New(), ahead: map[*Conn]struct{}{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Accept implements net.Listener. Without a free descriptor it waits until there
// is one. After Close it accepts for a short while and then fails.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.inner.Accept()
		if l.closing.Load() {
			if err != nil {
				// Nothing is left to close but the socket itself.
				_ = l.inner.Close()
				return nil, err
			}
			return l.wrap(conn), nil
		}
		l.report(err)
		switch {
		case err == nil:
			l.makeRoom(l.mostOpen())
			return l.wrap(conn), nil
		case !IsDescriptorShortage(err):
			return nil, err
		}
		open, _ := l.Connections()
		l.makeRoom(open)
		time.Sleep(shortPause)
	}
}

// IsDescriptorShortage reports whether an error says that no descriptor is free.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func (l *Listener) wrap(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return newConn(l, tcp)
	}
	return conn
}

// Close implements net.Listener. The accept loop ends with a timeout.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}
	tcp, ok := l.inner.(*net.TCPListener)
	if !ok {
		return l.inner.Close()
	}
	return tcp.SetDeadline(time.Now().Add(backlogGrace))
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.inner.Addr() }

// Track follows the states of connections; it is an [http.Server]'s ConnState.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.waiting != nil {
		l.idle.Remove(c.waiting)
		c.waiting = nil
	}
	c.active = state == http.StateActive
	delete(l.ahead, c)
	switch state {
	case http.StateNew:
		c.counted = true
		l.open++
	case http.StateIdle:
		c.idleSince = time.Now()
		c.waiting = l.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		l.uncount(c)
	}
}

// uncount takes a connection out of the open ones. The caller holds the lock.
func (l *Listener) uncount(c *Conn) {
	if c.counted {
		c.counted = false
		l.open--
	}
}

// readAhead notes that bytes came behind a request that is under way.
func (l *Listener) readAhead(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.active {
		l.ahead[c] = struct{}{}
	}
}

// CancelDisconnected ends the contexts of requests whose callers have closed their connection
// behind bytes that wait until the request has ended. See [Watch].
func (l *Listener) CancelDisconnected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.ahead {
		if c.leave != nil && c.Disconnected() {
			c.leave()
			delete(l.ahead, c)
		}
	}
}

// Connections returns how many connections are open and how many of these wait
// for a request.
func (l *Listener) Connections() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.idle.Len()
}

// SetMaxOpen sets how many connections may be open before a new one makes an idle
// one close; 0 means any number.
func (l *Listener) SetMaxOpen(most int) {
	l.mu.Lock()
	l.most = most
	l.mu.Unlock()
	l.makeRoom(most)
}

func (l *Listener) mostOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.most
}

// CloseIdle closes connections that have been idle for too long, and returns
// their number.
func (l *Listener) CloseIdle(longest time.Duration) int {
	before := time.Now().Add(-longest)
	return l.closeIdle(func(c *Conn, _ int) bool { return c.idleSince.Before(before) })
}

// makeRoom closes idle connections so that one more can be opened.
func (l *Listener) makeRoom(most int) {
	if most > 0 {
		l.closeIdle(func(_ *Conn, open int) bool { return open >= most })
	}
}

// closeIdle closes idle connections, the longest idle first, as long as due says
// so, and returns their number. One that a request has reached stays open.
func (l *Listener) closeIdle(due func(c *Conn, open int) bool) int {
	l.mu.Lock()
	var closed []*Conn
	for e := l.idle.Front(); e != nil && due(e.Value.(*Conn), l.open); {
		c := e.Value.(*Conn)
		e = e.Next()
		if c.readable() {
			continue
		}
		l.idle.Remove(c.waiting)
		c.waiting = nil
		l.uncount(c)
		closed = append(closed, c)
	}
	l.mu.Unlock()
	for _, c := range closed {
		_ = c.Close()
	}
	return len(closed)
}

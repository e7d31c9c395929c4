// Package accepter provides a TCP listener for HTTP servers that limits the number of
// open connections. The fleet daemon, seamd, and the edge daemon, seamedge, use it.
//
// When too many connections are open, or no file descriptor is free, the listener
// closes the connections that have been idle the longest and goes on accepting. After
// Close it still accepts the connections in the kernel's backlog for a short time, so
// that callers that have just connected are not reset.
//
// The package also detects callers that close their connection during a request.
// net/http notices this only if the caller has sent no further bytes after the request.
//
// # Usage
//
//	l := accepter.New(inner, accepter.WithReport(report))
//	server := &http.Server{ConnState: l.Track, ConnContext: accepter.Context}
//	go server.Serve(l)
//	l.SetMaxOpen(3000)
//	l.CloseIdle(15 * time.Second)
//	disconnected := accepter.CallerDisconnected(request.Context())
//	err := l.Close() // Accept still returns the connections in the backlog
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
	// backlogGrace is how long a listener still accepts connections after Close. In
	// this time it accepts the connections that callers opened before Close.
	backlogGrace = 100 * time.Millisecond
	// acceptRetryPause is the pause between two attempts to accept a connection while
	// no file descriptor is free. It is short because callers give up within a second.
	acceptRetryPause = 5 * time.Millisecond
)

// Listener is a [net.Listener] that limits the number of open connections. After Close
// it still accepts the connections in the backlog, because closing the socket would
// reset them. It is safe for concurrent use.
type Listener struct {
	inner   net.Listener
	report  func(error)
	closing atomic.Bool

	mu      sync.Mutex
	open    int
	maxOpen int
	// idle holds the idle connections, the one that has been idle the longest first.
	idle *list.List
	// readAheadConns holds the connections on which the server has read a byte beyond
	// the request in progress. The server then reads no more from the connection until
	// the request ends, so it doesn't notice if the caller closes the connection.
	readAheadConns map[*Conn]struct{}
}

var _ net.Listener = (*Listener)(nil)

// Option configures a listener.
type Option func(*Listener)

// WithReport sets a function that is called after each attempt to accept a connection,
// with the error, or with nil if the attempt succeeded. It isn't called after Close.
func WithReport(report func(error)) Option { return func(l *Listener) { l.report = report } }

// New returns a listener that accepts its connections from inner, a TCP listener.
func New(inner net.Listener, opts ...Option) *Listener {
	l := &Listener{inner: inner, report: func(error) {}, idle: list.New(), readAheadConns: map[*Conn]struct{}{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Accept implements net.Listener. While no file descriptor is free, it closes the
// connection that has been idle the longest and retries. After Close it still returns
// connections for backlogGrace; then it closes the socket and fails.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.inner.Accept()
		if l.closing.Load() {
			if err != nil {
				// backlogGrace has passed, so the socket can be closed.
				_ = l.inner.Close()
				return nil, err
			}
			return l.wrap(conn), nil
		}
		l.report(err)
		switch {
		case err == nil:
			l.closeIdleAbove(l.openLimit())
			return l.wrap(conn), nil
		case !IsDescriptorShortage(err):
			return nil, err
		}
		open, _ := l.Connections()
		l.closeIdleAbove(open)
		time.Sleep(acceptRetryPause)
	}
}

// IsDescriptorShortage reports whether an error means that the process or the system
// has no free file descriptor.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// wrap returns a TCP connection as a *Conn, and any other connection as it is.
func (l *Listener) wrap(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return newConn(l, tcp)
	}
	return conn
}

// Close implements net.Listener. It leaves the socket open and returns at once. Accept
// still returns connections for backlogGrace; then it closes the socket and fails with
// a timeout. If the inner listener isn't a TCP listener, Close closes it at once
// instead.
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

// Track records the state of a connection. It must be set as the ConnState of the
// [http.Server] that serves this listener. Otherwise the listener neither counts
// connections nor closes idle ones.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.idleElement != nil {
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	c.requestInProgress = state == http.StateActive
	delete(l.readAheadConns, c)
	switch state {
	case http.StateNew:
		c.countedAsOpen = true
		l.open++
	case http.StateIdle:
		c.idleSince = time.Now()
		c.idleElement = l.idle.PushBack(c)
	case http.StateClosed, http.StateHijacked:
		l.uncount(c)
	}
}

// uncount removes a connection from the count of open connections, unless it has been
// removed already. The lock must be held.
func (l *Listener) uncount(c *Conn) {
	if c.countedAsOpen {
		c.countedAsOpen = false
		l.open--
	}
}

// recordReadAhead records that the server has read a byte beyond the request in progress
// on a connection. It does nothing if no request is in progress.
func (l *Listener) recordReadAhead(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.requestInProgress {
		l.readAheadConns[c] = struct{}{}
	}
}

// CancelDisconnected cancels the contexts of requests whose callers sent further bytes
// after the request and then closed the connection. It cancels only contexts that
// [WithDisconnectCancel] returned. It must be called periodically.
func (l *Listener) CancelDisconnected() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.readAheadConns {
		if c.cancelRequest != nil && c.CallerDisconnected() {
			c.cancelRequest()
			delete(l.readAheadConns, c)
		}
	}
}

// Connections returns the number of open connections, including the idle ones, and the
// number of idle connections.
func (l *Listener) Connections() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.idle.Len()
}

// SetMaxOpen sets the limit of open connections; 0 means no limit. When maxOpen or more
// connections are open, the listener closes idle ones each time it accepts a
// connection. It is a soft limit: new connections are accepted even if no other
// connection is idle.
func (l *Listener) SetMaxOpen(maxOpen int) {
	l.mu.Lock()
	l.maxOpen = maxOpen
	l.mu.Unlock()
	l.closeIdleAbove(maxOpen)
}

func (l *Listener) openLimit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxOpen
}

// CloseIdle closes the connections that have been idle for longer than maxIdle. It
// returns the number of closed connections.
func (l *Listener) CloseIdle(maxIdle time.Duration) int {
	before := time.Now().Add(-maxIdle)
	return l.closeIdle(func(c *Conn, _ int) bool { return c.idleSince.Before(before) })
}

// closeIdleAbove closes idle connections until fewer than maxOpen connections are open,
// or no more can be closed. It does nothing if maxOpen is 0.
func (l *Listener) closeIdleAbove(maxOpen int) {
	if maxOpen > 0 {
		l.closeIdle(func(_ *Conn, open int) bool { return open >= maxOpen })
	}
}

// closeIdle closes idle connections, the longest idle first, until shouldClose returns
// false for the next one. A connection with unread bytes stays open, since the bytes may
// be a request. closeIdle returns the number of closed connections.
func (l *Listener) closeIdle(shouldClose func(c *Conn, open int) bool) int {
	l.mu.Lock()
	var closed []*Conn
	for e := l.idle.Front(); e != nil && shouldClose(e.Value.(*Conn), l.open); {
		c := e.Value.(*Conn)
		e = e.Next()
		if c.readable() {
			continue
		}
		l.idle.Remove(c.idleElement)
		c.idleElement = nil
		l.uncount(c)
		closed = append(closed, c)
	}
	l.mu.Unlock()
	for _, c := range closed {
		_ = c.Close()
	}
	return len(closed)
}

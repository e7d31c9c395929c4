// Package accepter accepts callers' connections and knows which are open.
//
// A closing listener does not reset callers that have just connected.
//
// # Usage
//
//	l := accepter.New(inner, accepter.WithReport(report))
//	server := &http.Server{ConnState: l.Track, ConnContext: accepter.Context}
//	go server.Serve(l)
//	left := accepter.Left(request.Context())
//	err := l.Close() // what waits is still accepted
package accepter

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backlogGrace is how long a closing listener still accepts connections that
// were opened before it closed.
const backlogGrace = 100 * time.Millisecond

// Listener accepts what waits in the backlog before it closes, since the kernel
// resets connections that were never accepted. It is safe for concurrent use.
type Listener struct {
	inner   net.Listener
	report  func(error)
	closing atomic.Bool

	mu   sync.Mutex
	open int
	idle int
}

var _ net.Listener = (*Listener)(nil)

// Option changes a listener at its creation.
type Option func(*Listener)

// WithReport sets what is told of each attempt to accept: nil, or why none was
// accepted though the listener is open.
func WithReport(report func(error)) Option { return func(l *Listener) { l.report = report } }

// New returns a listener around a TCP listener.
func New(inner net.Listener, opts ...Option) *Listener {
	l := &Listener{inner: inner, report: func(error) {}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Accept implements net.Listener. After Close it accepts for a short while and
// then fails.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.inner.Accept()
	if l.closing.Load() {
		if err != nil {
			// Nothing is left to close but the socket itself.
			_ = l.inner.Close()
		}
		return conn, err
	}
	l.report(err)
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return newConn(tcp), nil
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
	if c.state == http.StateIdle {
		l.idle--
	}
	c.state = state
	switch state {
	case http.StateNew:
		l.open++
	case http.StateIdle:
		l.idle++
	case http.StateClosed, http.StateHijacked:
		l.open--
	}
}

// Connections returns how many connections are open and how many of these wait
// for a request.
func (l *Listener) Connections() (open, idle int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.idle
}

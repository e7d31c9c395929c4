// Package accepter provides a TCP listener for HTTP servers. The fleet daemon, seamd, and the
// edge daemon, seamedge, use it.
//
// When no file descriptor is free, the listener asks for one to be freed and goes on
// accepting. After Close it still accepts the connections in the kernel's backlog for a
// short time, so that callers that have just connected are not reset.
//
// A [Meter] can be set for each connection. It is informed of what the client does, and may
// end the connection.
//
// The package also detects callers that close their connection during a request.
// net/http notices this only if the caller has sent no further bytes after the request.
//
// # Usage
//
//	l := accepter.New(inner, accepter.WithReport(report), accepter.WithMeter(open))
//	server := &http.Server{ConnState: l.Track, ConnContext: accepter.Context}
//	go server.Serve(l)
//	disconnected := accepter.CallerDisconnected(request.Context())
//	err := l.Close() // Accept still returns the connections in the backlog
package accepter

import (
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

// Meter is informed of what the client of a connection does. Its methods may be called at the
// same time.
type Meter interface {
	// Received is called with bytes that were read. If it returns an error, the read fails
	// with io.EOF, as if the client had closed the connection.
	Received(p []byte) error
	// ReadAhead is called instead of Received with a byte that was read on its own during a request:
	// as a rule, one beyond that request.
	ReadAhead(p []byte)
	// Sending is called before a write, and Sent after it with the number of bytes written.
	Sending()
	Sent(n int)
	// SetState is called with each new state of the connection.
	SetState(state http.ConnState)
}

// Listener is a [net.Listener]. After Close it still accepts the connections in the backlog,
// because closing the socket would reset them. It is safe for concurrent use.
type Listener struct {
	inner     net.Listener
	report    func(error)
	openMeter func(*Conn) (Meter, bool)
	freeOne   func()
	closing   atomic.Bool

	mu sync.Mutex
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

// WithMeter sets a function that returns the meter of a new connection. If it returns false,
// the connection is closed at once.
func WithMeter(openMeter func(*Conn) (Meter, bool)) Option {
	return func(l *Listener) { l.openMeter = openMeter }
}

// WithFreeOne sets a function that frees a file descriptor if it can. It is called when a
// connection can't be accepted for lack of one.
func WithFreeOne(freeOne func()) Option { return func(l *Listener) { l.freeOne = freeOne } }

// New returns a listener that accepts its connections from inner, a TCP listener.
func New(inner net.Listener, opts ...Option) *Listener {
	l := &Listener{inner: inner, report: func(error) {}, freeOne: func() {}, readAheadConns: map[*Conn]struct{}{}}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Accept implements net.Listener. While no file descriptor is free, it asks for one to be
// freed and retries. After Close it still returns connections for backlogGrace; then it
// closes the socket and fails.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.inner.Accept()
		if err != nil && l.closing.Load() {
			// backlogGrace has passed, so the socket can be closed.
			_ = l.inner.Close()
			return nil, err
		}
		if !l.closing.Load() {
			l.report(err)
		}
		switch {
		case err == nil:
			if wrapped, ok := l.wrap(conn); ok {
				return wrapped, nil
			}
			_ = conn.Close()
		case !IsDescriptorShortage(err):
			return nil, err
		default:
			l.freeOne()
			time.Sleep(acceptRetryPause)
		}
	}
}

// IsDescriptorShortage reports whether an error means that the process or the system
// has no free file descriptor.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// wrap returns a TCP connection as a *Conn with a meter, and any other connection as it is. It
// returns false if the connection is to be closed.
func (l *Listener) wrap(conn net.Conn) (net.Conn, bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, true
	}
	c := newConn(l, tcp)
	if l.openMeter == nil {
		return c, true
	}
	c.meter, ok = l.openMeter(c)
	return c, ok
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
// [http.Server] that serves this listener. Otherwise meters aren't informed of states.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	l.mu.Lock()
	c.requestInProgress = state == http.StateActive
	delete(l.readAheadConns, c)
	l.mu.Unlock()
	if c.meter != nil {
		c.meter.SetState(state)
	}
}

// recordReadAhead records that the server has read a byte beyond the request in progress
// on a connection. It reports whether a request is in progress; otherwise it does nothing.
func (l *Listener) recordReadAhead(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.requestInProgress {
		l.readAheadConns[c] = struct{}{}
	}
	return c.requestInProgress
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

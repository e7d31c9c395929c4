// Package accepter closes listeners without resetting callers that have just
// connected.
//
// # Usage
//
//	l := accepter.New(inner)
//	go server.Serve(l)
//	err := l.Close() // what waits is still accepted
package accepter

import (
	"net"
	"sync/atomic"
	"time"
)

// backlogGrace is how long a closing listener still accepts connections that
// were opened before it closed.
const backlogGrace = 100 * time.Millisecond

// Listener accepts what waits in the backlog before it closes, since the kernel
// resets connections that were never accepted.
type Listener struct {
	inner   net.Listener
	closing atomic.Bool
}

var _ net.Listener = (*Listener)(nil)

// New returns a listener around a TCP listener.
func New(inner net.Listener) *Listener { return &Listener{inner: inner} }

// Accept implements net.Listener. After Close it accepts for a short while and
// then fails.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.inner.Accept()
	if err != nil && l.closing.Load() {
		// Nothing is left to close but the socket itself.
		_ = l.inner.Close()
	}
	return conn, err
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

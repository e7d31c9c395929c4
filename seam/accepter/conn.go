package accepter

import (
	"container/list"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection that a [Listener] accepted from a caller.
type Conn struct {
	*net.TCPConn
	listener *Listener
	raw      syscall.RawConn
	// The fields below are protected by the listener's lock.

	// counted means that the listener counts the connection as open.
	counted bool
	// idleElement is the connection's element in the listener's idle list, or nil if
	// it isn't idle. idleSince is when it became idle.
	idleElement *list.Element
	idleSince   time.Time
	// active means that a request is in progress. cancelRequest cancels its context.
	active        bool
	cancelRequest context.CancelFunc
}

func newConn(l *Listener, tcp *net.TCPConn) *Conn {
	raw, err := tcp.SyscallConn()
	if err != nil {
		// SyscallConn fails only on a closed connection, whose reads and writes fail too.
		raw = nil
	}
	return &Conn{TCPConn: tcp, listener: l, raw: raw}
}

// Read implements net.Conn. While a request is in progress, net/http reads a single
// byte to notice if the caller closes the connection. If it gets one, it stops reading
// until the request ends, so the listener must watch the connection from then on.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 1 && len(p) == 1 {
		c.listener.recordReadAhead(c)
	}
	return n, err
}

// CallerDisconnected reports whether the connection is closed or has failed, or the
// caller has closed at least its sending side, even if bytes from before are unread.
func (c *Conn) CallerDisconnected() bool { return c.hasEvents(unix.POLLRDHUP) }

// readable reports whether a read would not block: there are unread bytes, or the
// connection is closed or has failed.
func (c *Conn) readable() bool { return c.hasEvents(unix.POLLIN | unix.POLLRDHUP) }

// hasEvents polls the socket without blocking. It reports whether one of the events
// has occurred, or the connection is closed or has failed.
func (c *Conn) hasEvents(events int16) bool {
	if c.raw == nil {
		return true
	}
	ready := false
	err := c.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		n, err := unix.Poll(fds, 0)
		ready = err == nil && n > 0
	})
	return err != nil || ready
}

type connKey struct{}

// WithDisconnectCancel returns a copy of a request's context. The server cancels the
// original if the caller closes its connection, but only if no bytes came after the
// request. The copy is canceled in that case too, when [Listener.CancelDisconnected]
// is called. The returned function releases the copy and must be called.
func WithDisconnectCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if c, _ := ctx.Value(connKey{}).(*Conn); c != nil {
		c.listener.mu.Lock()
		c.cancelRequest = cancel
		c.listener.mu.Unlock()
	}
	return ctx, cancel
}

// Context must be set as the ConnContext of an [http.Server]. [CallerDisconnected] and
// [WithDisconnectCancel] find the request's connection through it.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(conn))
}

// unwrap removes wrappers such as TLS and returns the connection that a Listener
// accepted, or nil if there is none.
func unwrap(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// CallerDisconnected reports whether the caller of a request has closed its connection,
// or the request's context, ctx, has ended.
func CallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c != nil && c.CallerDisconnected()
}

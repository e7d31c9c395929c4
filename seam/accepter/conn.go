package accepter

import (
	"container/list"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn
	listener *Listener
	raw      syscall.RawConn
	// counted means that the listener counts it among the open ones.
	counted bool
	// waiting is the place among the idle connections, or nil, and idleSince the
	// start of that. All belong to the listener.
	waiting   *list.Element
	idleSince time.Time
	// active means that a request is under way, whose context leave ends.
	active bool
	leave  context.CancelFunc
}

func newConn(l *Listener, tcp *net.TCPConn) *Conn {
	raw, err := tcp.SyscallConn()
	if err != nil {
		// Only a closed connection has none; its use fails soon.
		raw = nil
	}
	return &Conn{TCPConn: tcp, listener: l, raw: raw}
}

// Read implements net.Conn. While a request is under way the server reads one
// byte, to notice the caller's close, and stops if there is one.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 1 && len(p) == 1 {
		c.listener.readAhead(c)
	}
	return n, err
}

// Disconnected reports whether the connection is closed on either side, also while bytes
// that were sent before are unread.
func (c *Conn) Disconnected() bool { return c.is(unix.POLLRDHUP) }

// readable reports whether bytes or the other side's close are unread.
func (c *Conn) readable() bool { return c.is(unix.POLLIN | unix.POLLRDHUP) }

// is reports whether one of the conditions holds, or the connection has failed.
func (c *Conn) is(conditions int16) bool {
	if c.raw == nil {
		return true
	}
	holds := false
	err := c.raw.Control(func(fd uintptr) {
		asked := []unix.PollFd{{Fd: int32(fd), Events: conditions}}
		n, err := unix.Poll(asked, 0)
		holds = err == nil && n > 0
	})
	return err != nil || holds
}

type connKey struct{}

// WithDisconnectCancel returns a copy of a request's context that ends also if the caller closes
// its connection behind bytes that it sent after the request, as soon as
// [Listener.EndLeft] is called. The function it returns must be called in the end.
func WithDisconnectCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if c, _ := ctx.Value(connKey{}).(*Conn); c != nil {
		c.listener.mu.Lock()
		c.leave = cancel
		c.listener.mu.Unlock()
	}
	return ctx, cancel
}

// Context is an [http.Server]'s ConnContext; [Left] needs it.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, accepted(conn))
}

// accepted returns the connection below those that are wrapped around it, or nil
// if it was not accepted here.
func accepted(conn net.Conn) *Conn {
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

// CallerDisconnected reports whether the caller of a request has closed its connection. ctx is
// the request's context.
func CallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c != nil && c.Disconnected()
}

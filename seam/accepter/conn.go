package accepter

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection that a [Listener] accepted from a caller.
type Conn struct {
	*net.TCPConn
	listener *Listener
	raw      syscall.RawConn
	// meter is informed of reads, writes and states, or nil.
	meter Meter
	// ended means that nothing more is read from the connection.
	ended atomic.Bool
	// The fields below are protected by the listener's lock.

	// requestInProgress means that the connection carries a request now. cancelRequest
	// cancels the context of the last request for which WithDisconnectCancel was
	// called, or is nil.
	requestInProgress bool
	cancelRequest     context.CancelFunc
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
// byte to notice if the caller closes the connection. If this read returns a byte,
// net/http reads no more until the request ends, so it can't notice if the caller
// closes the connection. Read reports such reads to the listener, so that
// [Listener.CancelDisconnected] checks the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if c.ended.Load() {
		return 0, io.EOF
	}
	if n == 1 && len(p) == 1 && c.listener.recordReadAhead(c) {
		if c.meter != nil {
			c.meter.ReadAhead(p[:n])
		}
		return n, err
	}
	if n > 0 && c.meter != nil && c.meter.Received(p[:n]) != nil {
		return 0, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.meter == nil {
		return c.TCPConn.Write(p)
	}
	c.meter.Sending()
	n, err := c.TCPConn.Write(p)
	c.meter.Sent(n)
	return n, err
}

// CallerDisconnected reports whether the caller has closed the connection or its sending
// side, or the connection has failed or was closed by the server. Bytes that the caller
// sent earlier and that haven't been read yet make no difference.
func (c *Conn) CallerDisconnected() bool { return c.hasEvents(unix.POLLRDHUP) }

// Readable reports whether a read would return at once, because there are unread bytes,
// or because the connection is closed or has failed.
func (c *Conn) Readable() bool { return c.hasEvents(unix.POLLIN | unix.POLLRDHUP) }

// hasEvents polls the socket without blocking. events is a mask of poll(2) events. It
// reports whether at least one of the events has occurred. It also returns true if the
// connection is closed or has failed.
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

// WithDisconnectCancel returns a child of a request's context that is canceled when the
// caller disconnects. net/http cancels the request's context when the caller closes its
// connection, but not if the caller has sent further bytes after the request. In this
// case [Listener.CancelDisconnected] cancels the child. The returned function cancels the
// child and must be called when the request ends.
func WithDisconnectCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if c, _ := ctx.Value(connKey{}).(*Conn); c != nil {
		c.listener.mu.Lock()
		c.cancelRequest = cancel
		c.listener.mu.Unlock()
	}
	return ctx, cancel
}

// Context returns a context that holds the connection, which [CallerDisconnected] and
// [WithDisconnectCancel] need. It must be set as the ConnContext of the [http.Server].
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(conn))
}

// EndReading makes reads from the connection that a request came on return io.EOF from now on, as if its
// caller had closed its sending side. The server closes the connection after the response to the request.
func EndReading(ctx context.Context) {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return
	}
	c.ended.Store(true)
	// An error means that the connection has ended already.
	_ = c.CloseRead()
}

// MeterOf returns the meter of the connection that a request came on, or nil if it has none.
func MeterOf(ctx context.Context) Meter {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		return nil
	}
	return c.meter
}

// unwrap returns the *Conn that a connection is or wraps, for instance as a TLS
// connection does. It returns nil if there is none.
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

// CallerDisconnected reports whether ctx, the context of a request, has ended, or the
// caller of the request has disconnected; see [Conn.CallerDisconnected].
func CallerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c != nil && c.CallerDisconnected()
}

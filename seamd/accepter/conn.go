package accepter

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn
	// state belongs to the listener.
	state http.ConnState
}

func newConn(tcp *net.TCPConn) *Conn {
	raw, err := tcp.SyscallConn()
	if err != nil {
		// Only a closed connection has none; its use fails soon.
		raw = nil
	}
	return &Conn{TCPConn: tcp, raw: raw}
}

// Left reports whether the other side has closed the connection, also while
// bytes that it sent before are unread.
func (c *Conn) Left() bool {
	if c.raw == nil {
		return true
	}
	left := false
	err := c.raw.Control(func(fd uintptr) {
		asked := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(asked, 0)
		left = err == nil && n > 0
	})
	return err != nil || left
}

type connKey struct{}

// Context is an [http.Server]'s ConnContext; [Left] needs it.
func Context(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Left reports whether the caller of a request has closed its connection. ctx is
// the request's context.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.Left()
}

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
	raw syscall.RawConn
	// counted means that the listener counts it among the open ones.
	counted bool
	// waiting is the place among the idle connections, or nil, and idleSince the
	// start of that. All belong to the listener.
	waiting   *list.Element
	idleSince time.Time
}

func newConn(tcp *net.TCPConn) *Conn {
	raw, err := tcp.SyscallConn()
	if err != nil {
		// Only a closed connection has none; its use fails soon.
		raw = nil
	}
	return &Conn{TCPConn: tcp, raw: raw}
}

// Left reports whether the connection is closed on either side, also while bytes
// that were sent before are unread.
func (c *Conn) Left() bool { return c.is(unix.POLLRDHUP) }

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

// Left reports whether the caller of a request has closed its connection. ctx is
// the request's context.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c != nil && c.Left()
}

// Package dialer opens TCP connections that detect an unreachable peer within seconds. The
// fleet daemon seamd and the edge daemon seamedge use it.
//
// A peer that has lost power or its network sends no TCP reset, so connections to such a
// peer hang for minutes by default. On the connections that this package opens, TCP
// keep-alive detects an unreachable peer while the connection is idle. TCP_USER_TIMEOUT
// closes a connection on which sent data stays unacknowledged for too long.
//
// # Usage
//
//	d := dialer.New(dialer.WithTimeout(time.Second), dialer.WithUserTimeout(2*time.Second))
//	conn, err := d.DialContext(ctx, "tcp", "10.0.0.1:80")
package dialer

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// defaultConnectTimeout limits how long opening a connection takes.
	defaultConnectTimeout = time.Second
	// With defaultKeepAliveIdle, defaultKeepAliveInterval and keepAliveCount, an idle
	// connection to an unreachable peer is closed within 2.5 s. It has to be closed within
	// 3 s, because a machine that was unreachable for longer must follow the current
	// configuration when it is reachable again.
	defaultKeepAliveIdle     = time.Second
	defaultKeepAliveInterval = 500 * time.Millisecond
	keepAliveCount           = 3
	// defaultUserTimeout is how long sent data may stay unacknowledged.
	defaultUserTimeout = 2 * time.Second
	// tcpUserTimeout is the number of Linux's TCP_USER_TIMEOUT socket option.
	tcpUserTimeout = 18
)

// Option configures a dialer.
type Option func(*options)

type options struct {
	connectTimeout, keepAliveIdle, keepAliveInterval, userTimeout time.Duration
	receiveBufferBytes                                            int
}

// WithTimeout limits how long opening a connection takes.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.connectTimeout = d } }

// WithKeepAlive sets how long a connection is idle before the first keep-alive probe
// (keepAliveIdle) and the time between two probes (keepAliveInterval).
func WithKeepAlive(keepAliveIdle, keepAliveInterval time.Duration) Option {
	return func(o *options) { o.keepAliveIdle, o.keepAliveInterval = keepAliveIdle, keepAliveInterval }
}

// WithUserTimeout limits how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
func WithUserTimeout(d time.Duration) Option { return func(o *options) { o.userTimeout = d } }

// WithReceiveBuffer sets the size in bytes of the kernel's receive buffer (SO_RCVBUF). Linux
// doubles it for its own bookkeeping, and lowers it to the system's maximum. Without this
// option the buffer grows with the rate at which the peer sends, up to tens of megabytes.
func WithReceiveBuffer(n int) Option { return func(o *options) { o.receiveBufferBytes = n } }

// New returns a dialer that sets TCP keep-alive and TCP_USER_TIMEOUT on its connections.
// Its errors are those of [net.Dialer].
func New(opts ...Option) *net.Dialer {
	o := options{connectTimeout: defaultConnectTimeout, keepAliveIdle: defaultKeepAliveIdle, keepAliveInterval: defaultKeepAliveInterval, userTimeout: defaultUserTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	return &net.Dialer{
		Timeout:         o.connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.keepAliveIdle, Interval: o.keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			controlErr := raw.Control(func(fd uintptr) { err = o.apply(int(fd)) })
			return errors.Join(controlErr, err)
		},
	}
}

// apply sets the socket options of a connection that isn't open yet.
func (o options) apply(fd int) error {
	// If the system doesn't support this option, keep-alive probes still detect an
	// unreachable peer on an idle connection.
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, tcpUserTimeout, int(o.userTimeout.Milliseconds()))
	if o.receiveBufferBytes == 0 {
		return nil
	}
	return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, o.receiveBufferBytes)
}

// SetResetOnClose sets whether a close of a TCP connection, or the end of the process, resets it. The
// system then discards what was written and hasn't reached the peer, which it would otherwise go on to
// deliver. SetResetOnClose does nothing if the connection has ended.
func SetResetOnClose(conn *net.TCPConn, resets bool) {
	const systemDefault = -1
	if resets {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.SetLinger(systemDefault)
}

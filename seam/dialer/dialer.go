// Package dialer opens TCP connections that detect an unreachable peer within seconds.
//
// A peer that lost power or its network sends no reset, and connections to it hang for
// minutes by default. Connections opened here use TCP keep-alive, which finds a lost peer
// while they are idle, and TCP_USER_TIMEOUT, which closes them if sent data stays
// unacknowledged for too long.
//
// # Usage
//
//	d := dialer.New(dialer.WithTimeout(time.Second), dialer.WithUserTimeout(2*time.Second))
//	conn, err := d.DialContext(ctx, "tcp", "10.0.0.1:80")
package dialer

import (
	"net"
	"syscall"
	"time"
)

const (
	// defaultConnectTimeout limits the opening of a connection.
	defaultConnectTimeout = time.Second
	// defaultKeepAliveIdle, defaultKeepAliveInterval and keepAliveCount close an idle
	// connection to a lost peer within 2.5 s. The limit is 3 s: after that time, a machine
	// that is reachable again must follow the current configuration.
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
}

// WithTimeout limits the opening of a connection.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.connectTimeout = d } }

// WithKeepAlive sets how long a connection is idle before the first keep-alive probe, and
// the time between two probes.
func WithKeepAlive(keepAliveIdle, keepAliveInterval time.Duration) Option {
	return func(o *options) { o.keepAliveIdle, o.keepAliveInterval = keepAliveIdle, keepAliveInterval }
}

// WithUserTimeout limits how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
func WithUserTimeout(d time.Duration) Option { return func(o *options) { o.userTimeout = d } }

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
			return raw.Control(func(fd uintptr) {
				// Without support for this option, keep-alive probes still find a lost
				// peer.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.userTimeout.Milliseconds()))
			})
		},
	}
}

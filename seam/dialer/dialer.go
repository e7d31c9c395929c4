// Package dialer opens TCP connections that don't stay silent unnoticed.
//
// A peer that lost power or is cut off answers nothing, and its connections hang
// for minutes by default. Each connection opened here is probed while it is
// idle, and ends when bytes stay unacknowledged for too long.
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
	// defaultTimeout bounds a new connection unless an option says otherwise.
	defaultTimeout = time.Second
	// defaultIdle, defaultInterval and probeCount find a silent connection
	// within 3 s, the time after which rules bind a machine again.
	defaultIdle     = time.Second
	defaultInterval = 500 * time.Millisecond
	probeCount      = 3
	// defaultUnacked is how long bytes may stay without an acknowledgement.
	defaultUnacked = 2 * time.Second
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT.
	tcpUserTimeout = 18
)

// Option changes a dialer at its creation.
type Option func(*options)

type options struct {
	timeout, idle, interval, unacked time.Duration
}

// WithTimeout bounds the opening of a connection.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithKeepAlive sets how long a connection is idle before it is probed, and the
// time between two probes.
func WithKeepAlive(idle, interval time.Duration) Option {
	return func(o *options) { o.idle, o.interval = idle, interval }
}

// WithUserTimeout bounds how long bytes may stay without an acknowledgement.
func WithUserTimeout(d time.Duration) Option { return func(o *options) { o.unacked = d } }

// New returns a dialer. Its errors are those of [net.Dialer].
func New(opts ...Option) *net.Dialer {
	o := options{timeout: defaultTimeout, idle: defaultIdle, interval: defaultInterval, unacked: defaultUnacked}
	for _, opt := range opts {
		opt(&o)
	}
	return &net.Dialer{
		Timeout:         o.timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.idle, Interval: o.interval, Count: probeCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Where the option is unknown, the probes still find the silence.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.unacked.Milliseconds()))
			})
		},
	}
}

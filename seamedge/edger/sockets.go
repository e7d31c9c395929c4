package edger

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"primroseseam.org/seam/accepter"
	"primroseseam.org/seamedge/limiter"
)

const (
	// reservedDescriptors is the number of file descriptors that are reserved for files,
	// listeners, and connections to the store and to other instances. The remaining
	// descriptors are called sockets here.
	reservedDescriptors = 256
	// spareFraction is the fraction of the sockets that the limits leave free. The limits
	// are computed at each tick; connections that are opened before the next tick use the
	// free sockets.
	spareFraction = 0.125
	// endpointsIdleFraction limits the idle connections to all endpoints together.
	// othersFraction limits the open connections of each server other than the callers'.
	// Both are fractions of the sockets.
	endpointsIdleFraction = 0.25
	othersFraction        = 0.0625
	// minCallers is the lower bound of the limit on callers' connections. It applies
	// however many other connections are open.
	minCallers = 64
	// A shortage of descriptors counts as over once no attempt to accept a connection
	// has failed because of it for shortageEndDelay.
	shortageEndDelay = time.Second
)

const (
	// receiveBufferBytes is the size of the kernel's receive buffer of a client's connection.
	// It bounds what clients make the kernel hold that isn't read, for instance requests that
	// are sent ahead. Linux doubles it for its own bookkeeping.
	receiveBufferBytes = 16 << 10
	// sendBufferBytes is the same for bytes of answers that clients don't take.
	sendBufferBytes = 64 << 10
)

// listenConfig opens the sockets on which the instance listens. The connections inherit the
// sizes of their buffers.
var listenConfig = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes),
		)
	})
	return errors.Join(controlErr, err)
}}

// connectionLimits holds limits on connections.
type connectionLimits struct {
	// callers limits the open connections of callers.
	callers int
	// others limits the open connections of each other server.
	others int
	// endpointsIdle limits the idle connections to all endpoints together.
	endpointsIdle int
}

// divideSockets returns the limits on connections for a number of file descriptors.
// nonCallerConns is the number of open connections that are not callers': those to
// endpoints and those of the other servers.
func divideSockets(descriptors, nonCallerConns int) connectionLimits {
	sockets := float64(descriptors - reservedDescriptors)
	return connectionLimits{
		callers:       max(int(sockets*(1-spareFraction))-nonCallerConns, minCallers),
		others:        int(sockets * othersFraction),
		endpointsIdle: int(sockets * endpointsIdleFraction),
	}
}

// limitConnections closes the connections that exceed a limit. It also cancels requests whose
// callers sent further bytes after the request and then disconnected, which net/http doesn't
// notice.
func (e *Edge) limitConnections() {
	nonCallerConns, _ := e.exchanger.Connections()
	for _, s := range e.servers {
		if s.name != socketCallers {
			nonCallerConns += s.budget.Usage().Open
		}
	}
	limits := divideSockets(e.current.Load().Descriptors, nonCallerConns)
	e.exchanger.TrimIdle(limits.endpointsIdle)
	for _, s := range e.servers {
		s.listener.CancelDisconnected()
		s.budget.SetLimits(e.clientLimits(s.name))
		s.budget.Sweep()
		if s.name == socketCallers {
			s.budget.SetMaxConnections(limits.callers)
			continue
		}
		s.budget.SetMaxConnections(limits.others)
	}
	e.checkShortageEnd(time.Now())
}

// minOtherHeaderBytes is the least limit on the size of heads at other sockets than the
// callers'. The configuration's limit, which is for callers, applies there if it is greater.
const minOtherHeaderBytes = 16 << 10

// clientLimits returns the limits on the clients of a socket. They are those of the
// configuration or, where it sets none, defaults.
func (e *Edge) clientLimits(socket string) limiter.Limits {
	e.mu.Lock()
	configured := e.model.Limits()
	e.mu.Unlock()
	limits := limiter.Limits{
		HeadBytes:   cmp.Or(configured.HeaderBytes, maxHeaderBytes),
		HeadTimeout: cmp.Or(configured.HeaderTimeout, defaultHeaderTimeout),
		Idle:        cmp.Or(configured.IdleTimeout, idleTimeout),
	}
	limits.Stall = limits.Idle
	if socket != socketCallers {
		limits.HeadBytes = max(limits.HeadBytes, minOtherHeaderBytes)
	}
	return limits
}

// handleClosing processes a connection that a socket's budget has closed, or a request that it
// has refused. Idle connections that are closed aren't logged.
func (e *Edge) handleClosing(socket string, c limiter.Closing) {
	e.metrics.closings(socket, c.Reason).Inc()
	if c.Phase == limiter.Idle && c.Reason != limiter.NoConnection || !e.logs.AllowRoutine(time.Now()) {
		return
	}
	e.log.Info("client: cut off", zap.String("socket", socket), zap.Stringer("reason", c.Reason), zap.Stringer("phase", c.Phase),
		zap.Stringer("address", c.Address), zap.Int64("held", c.Held), zap.Duration("age", c.Age))
}

// descriptorShortage records the current period in which connections can't be accepted
// because the process has no free descriptors. since is when the period began; it is zero
// if there is no shortage now.
type descriptorShortage struct {
	mu          sync.Mutex
	since       time.Time
	lastFailure time.Time
	failures    int
}

// handleAccept processes the result of accepting a connection at a socket. It counts an
// error in the metrics. If the error starts a shortage of descriptors, it logs this.
func (e *Edge) handleAccept(socket string, err error) {
	if err == nil {
		return
	}
	e.metrics.recordAcceptError(socket)
	if !accepter.IsDescriptorShortage(err) {
		return
	}
	s := &e.shortage
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastFailure = time.Now()
	s.failures++
	if s.since.IsZero() {
		s.since = s.lastFailure
		e.log.Warn("descriptors: none free for new connections", append(e.connectionFields(), zap.String("socket", socket))...)
	}
}

// checkShortageEnd ends a shortage of descriptors and logs its end, if the last failure to
// accept a connection because of the shortage was at least shortageEndDelay ago.
func (e *Edge) checkShortageEnd(now time.Time) {
	s := &e.shortage
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || now.Sub(s.lastFailure) < shortageEndDelay {
		return
	}
	e.log.Warn("descriptors: free again", append(e.connectionFields(), zap.Int("failures", s.failures),
		zap.Duration("took", s.lastFailure.Sub(s.since)))...)
	s.since = time.Time{}
	s.failures = 0
}

// connectionFields returns log fields with the numbers of open and idle connections, for
// endpoints and for each server.
func (e *Edge) connectionFields() []zap.Field {
	open, idle := e.exchanger.Connections()
	fields := []zap.Field{zap.Int("endpoints", open), zap.Int("endpointsIdle", idle)}
	for _, s := range e.servers {
		u := s.budget.Usage()
		fields = append(fields, zap.Int(s.name, u.Open), zap.Int(s.name+"Idle", u.Idle))
	}
	return fields
}

// writeConnectionMetrics writes gauges with the numbers of open and idle connections, for
// endpoints and for each server, and with the memory that the clients of each server hold.
func (e *Edge) writeConnectionMetrics(w io.Writer) {
	write := func(kind string, open, idle int) {
		metrics.WriteGaugeUint64(w, labeled("seam_edge_connections_open", "kind", kind), uint64(open))
		metrics.WriteGaugeUint64(w, labeled("seam_edge_connections_idle", "kind", kind), uint64(idle))
	}
	open, idle := e.exchanger.Connections()
	write("endpoints", open, idle)
	for _, s := range e.servers {
		u := s.budget.Usage()
		write(s.name, u.Open, u.Idle)
		metrics.WriteGaugeUint64(w, labeled("seam_edge_client_bytes", "socket", s.name), uint64(u.Held))
		metrics.WriteGaugeUint64(w, labeled("seam_edge_client_bytes_limit", "socket", s.name), uint64(u.Size))
		metrics.WriteGaugeUint64(w, labeled("seam_edge_client_addresses", "socket", s.name), uint64(u.Addresses))
	}
}

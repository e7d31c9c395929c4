package edger

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"primroseseam.org/seam/accepter"
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

// connectionLimits holds limits on connections. Connections beyond a limit are closed only
// if they are idle.
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

// limitConnections closes connections that have been idle for too long, and idle
// connections that exceed a limit. It also cancels requests whose callers sent further
// bytes after the request and then disconnected, which net/http doesn't notice.
func (e *Edge) limitConnections() {
	e.mu.Lock()
	maxIdle := e.model.Limits().IdleTimeout
	e.mu.Unlock()
	if maxIdle <= 0 {
		maxIdle = idleTimeout
	}
	nonCallerConns, _ := e.exchanger.Connections()
	for _, s := range e.servers {
		open, _ := s.listener.Connections()
		if s.name != socketCallers {
			nonCallerConns += open
		}
	}
	limits := divideSockets(e.settings.Descriptors, nonCallerConns)
	e.exchanger.TrimIdle(limits.endpointsIdle)
	for _, s := range e.servers {
		s.listener.CancelDisconnected()
		s.listener.CloseIdle(maxIdle)
		if s.name == socketCallers {
			s.listener.SetMaxOpen(limits.callers)
			continue
		}
		s.listener.SetMaxOpen(limits.others)
	}
	e.checkShortageEnd(time.Now())
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
		open, idle := s.listener.Connections()
		fields = append(fields, zap.Int(s.name, open), zap.Int(s.name+"Idle", idle))
	}
	return fields
}

// writeConnectionMetrics writes gauges with the numbers of open and idle connections, for
// endpoints and for each server.
func (e *Edge) writeConnectionMetrics(w io.Writer) {
	write := func(kind string, open, idle int) {
		metrics.WriteGaugeUint64(w, labeled("seam_edge_connections_open", "kind", kind), uint64(open))
		metrics.WriteGaugeUint64(w, labeled("seam_edge_connections_idle", "kind", kind), uint64(idle))
	}
	open, idle := e.exchanger.Connections()
	write("endpoints", open, idle)
	for _, s := range e.servers {
		open, idle := s.listener.Connections()
		write(s.name, open, idle)
	}
}

package edger

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"primroseseam.org/seam/accepter"
)

const (
	// reservedDescriptors are reserved for everything except connections of callers
	// and to endpoints: files, listeners, the store and other instances.
	reservedDescriptors = 256
	// spareFraction is the fraction of the sockets that is kept free for connections
	// opened between two ticks.
	spareFraction = 0.125
	// endpointsIdleFraction limits the idle connections to all endpoints,
	// othersFraction the connections at each socket other than the callers'. Both are
	// fractions of the sockets.
	endpointsIdleFraction = 0.25
	othersFraction        = 0.0625
	// minCallers is the least limit on callers' connections, however many others are
	// open.
	minCallers = 64
	// shortageEndDelay is the time after the last failure to accept at which a
	// shortage counts as over.
	shortageEndDelay = time.Second
)

// connectionLimits holds the number of connections of each kind above which idle ones
// are closed.
type connectionLimits struct {
	callers       int
	others        int
	endpointsIdle int
}

// divideSockets divides the descriptors among the kinds of connections. elsewhere is
// the number of open connections to endpoints and at sockets other than the callers'.
func divideSockets(descriptors, elsewhere int) connectionLimits {
	sockets := float64(descriptors - reservedDescriptors)
	return connectionLimits{
		callers:       max(int(sockets*(1-spareFraction))-elsewhere, minCallers),
		others:        int(sockets * othersFraction),
		endpointsIdle: int(sockets * endpointsIdleFraction),
	}
}

// limitConnections closes connections that have been idle for too long or that exceed
// the limit of their kind. It also cancels requests whose callers disconnected after
// sending bytes that the server hasn't read yet.
func (e *Edge) limitConnections() {
	e.mu.Lock()
	maxIdle := e.model.Limits().IdleTimeout
	e.mu.Unlock()
	if maxIdle <= 0 {
		maxIdle = idleTimeout
	}
	elsewhere, _ := e.exchanger.Connections()
	for _, s := range e.servers {
		open, _ := s.listener.Connections()
		if s.name != socketCallers {
			elsewhere += open
		}
	}
	limits := divideSockets(e.settings.Descriptors, elsewhere)
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

// descriptorShortage is a period in which connections can't be accepted because the
// process has no free descriptors. since is zero outside of one.
type descriptorShortage struct {
	mu          sync.Mutex
	since       time.Time
	lastFailure time.Time
	failures    int
}

// handleAccept records the result of accepting a connection, and logs the start of a
// shortage.
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

// checkShortageEnd logs the end of a shortage.
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

// connectionFields returns the numbers of open and idle connections by kind as log
// fields.
func (e *Edge) connectionFields() []zap.Field {
	open, idle := e.exchanger.Connections()
	fields := []zap.Field{zap.Int("endpoints", open), zap.Int("endpointsIdle", idle)}
	for _, s := range e.servers {
		open, idle := s.listener.Connections()
		fields = append(fields, zap.Int(s.name, open), zap.Int(s.name+"Idle", idle))
	}
	return fields
}

// writeConnectionMetrics writes the numbers of open and idle connections by kind.
func (e *Edge) writeConnectionMetrics(w io.Writer) {
	write := func(kind string, open, idle int) {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("seam_edge_connections_open{kind=%q}", kind), uint64(open))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("seam_edge_connections_idle{kind=%q}", kind), uint64(idle))
	}
	open, idle := e.exchanger.Connections()
	write("endpoints", open, idle)
	for _, s := range e.servers {
		open, idle := s.listener.Connections()
		write(s.name, open, idle)
	}
}

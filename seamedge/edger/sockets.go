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
	// fileDescriptors are kept for what is no connection of callers or endpoints:
	// files, listeners, the store and other instances.
	fileDescriptors = 256
	// spareSockets is the part of the sockets that stays free for what opens
	// between two ticks.
	spareSockets = 0.125
	// endpointsIdlePart bounds the idle connections to all endpoints, and
	// otherPart those at each socket that isn't the callers'; both are parts of
	// the sockets.
	endpointsIdlePart = 0.25
	otherPart         = 0.0625
	// leastCallers are left to callers whatever else is open.
	leastCallers = 64
	// shortageOver is how long after the last failure a shortage is over.
	shortageOver = time.Second
)

// socketShares say how many connections of a kind may be open before idle ones
// close.
type socketShares struct {
	callers       int
	others        int
	endpointsIdle int
}

// shareSockets divides descriptors, of which the connections to endpoints and
// at other sockets take elsewhere.
func shareSockets(descriptors, elsewhere int) socketShares {
	sockets := float64(descriptors - fileDescriptors)
	return socketShares{
		callers:       max(int(sockets*(1-spareSockets))-elsewhere, leastCallers),
		others:        int(sockets * otherPart),
		endpointsIdle: int(sockets * endpointsIdlePart),
	}
}

// boundConnections closes connections that are idle for too long, or that others
// need the room of.
func (e *Edge) boundConnections() {
	e.mu.Lock()
	longest := e.model.Limits().IdleTimeout
	e.mu.Unlock()
	if longest <= 0 {
		longest = idleTimeout
	}
	elsewhere, _ := e.exchanger.Connections()
	for _, s := range e.servers {
		open, _ := s.listener.Connections()
		if s.name != socketCallers {
			elsewhere += open
		}
	}
	shares := shareSockets(e.settings.Descriptors, elsewhere)
	e.exchanger.Trim(shares.endpointsIdle)
	for _, s := range e.servers {
		s.listener.CancelDisconnected()
		s.listener.CloseIdle(longest)
		if s.name == socketCallers {
			s.listener.SetMaxOpen(shares.callers)
			continue
		}
		s.listener.SetMaxOpen(shares.others)
	}
	e.checkShortage(time.Now())
}

// shortage is a time in which the process has no descriptors left for new
// connections.
type shortage struct {
	mu       sync.Mutex
	since    time.Time
	last     time.Time
	failures int
}

// accepted takes how an attempt to accept a connection ended.
func (e *Edge) accepted(socket string, err error) {
	if err == nil {
		return
	}
	e.metrics.acceptFailed(socket)
	if !accepter.IsDescriptorShortage(err) {
		return
	}
	s := &e.short
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = time.Now()
	s.failures++
	if s.since.IsZero() {
		s.since = s.last
		e.log.Warn("descriptors: none left", append(e.openSockets(), zap.String("socket", socket))...)
	}
}

// checkShortage notes the end of a shortage.
func (e *Edge) checkShortage(now time.Time) {
	s := &e.short
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || now.Sub(s.last) < shortageOver {
		return
	}
	e.log.Warn("descriptors: some again", append(e.openSockets(), zap.Int("failures", s.failures),
		zap.Duration("took", s.last.Sub(s.since)))...)
	s.since = time.Time{}
	s.failures = 0
}

// openSockets returns the open connections by kind, for the log.
func (e *Edge) openSockets() []zap.Field {
	open, idle := e.exchanger.Connections()
	fields := []zap.Field{zap.Int("endpoints", open), zap.Int("endpointsIdle", idle)}
	for _, s := range e.servers {
		open, idle := s.listener.Connections()
		fields = append(fields, zap.Int(s.name, open), zap.Int(s.name+"Idle", idle))
	}
	return fields
}

// writeSockets writes the open connections by kind.
func (e *Edge) writeSockets(w io.Writer) {
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

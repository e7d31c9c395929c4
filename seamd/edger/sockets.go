package edger

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// shortage tells once when the process has no descriptors left for new
// connections, and once when it has some again.
type shortage struct {
	mu       sync.Mutex
	since    time.Time
	failures int
}

// accepted takes how an attempt to accept a connection ended.
func (e *Edge) accepted(socket string, err error) {
	short := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
	if err != nil {
		e.metrics.acceptFailed(socket)
	}
	s := &e.short
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case short && s.since.IsZero():
		s.since = time.Now()
		s.failures = 1
		e.log.Warn("descriptors: none left", append(e.openSockets(), zap.String("socket", socket))...)
	case short:
		s.failures++
	case err == nil && !s.since.IsZero():
		e.log.Warn("descriptors: some again", append(e.openSockets(), zap.Int("failures", s.failures),
			zap.Duration("took", time.Since(s.since)))...)
		s.since = time.Time{}
	}
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

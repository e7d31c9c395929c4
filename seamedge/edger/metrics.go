package edger

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primroseseam.org/seam/conductor"
)

// edgeMetrics holds the instance's counters; docs/LOGS-AND-METRICS.md lists
// them.
type edgeMetrics struct {
	set         *metrics.Set
	storeErrors *metrics.Counter
	beatErrors  *metrics.Counter
	retries     *metrics.Counter
	connections *metrics.Counter
	// wait is how long requests are expected to wait at their endpoint.
	wait *metrics.Histogram
	// late is how late ticks are, closeAfter how long after its caller left the
	// connection of an attempt is closed, both in seconds.
	late       *metrics.Histogram
	closeAfter *metrics.Histogram
	// farBytes counts bodies that go to and come from other regions, beatBytes
	// heartbeats by audience, copies those taken from near and far instances.
	farBytes  *metrics.Counter
	beatBytes [2]*metrics.Counter
	copies    [2]*metrics.Counter
}

func newMetrics() *edgeMetrics {
	set := metrics.NewSet()
	return &edgeMetrics{
		set:         set,
		storeErrors: set.NewCounter("seam_edge_store_errors_total"),
		beatErrors:  set.NewCounter("seam_edge_heartbeat_errors_total"),
		retries:     set.NewCounter("seam_edge_retries_total"),
		connections: set.NewCounter("seam_edge_endpoint_connections_total"),
		wait:        set.NewHistogram("seam_edge_expected_wait_seconds"),
		late:        set.NewHistogram("seam_edge_tick_late_seconds"),
		closeAfter:  set.NewHistogram("seam_edge_left_close_seconds"),
		farBytes:    set.NewCounter("seam_edge_far_body_bytes_total"),
		beatBytes: [2]*metrics.Counter{
			conductor.SameRegion:   set.NewCounter(`seam_edge_heartbeat_bytes_total{to="near"}`),
			conductor.OtherRegions: set.NewCounter(`seam_edge_heartbeat_bytes_total{to="far"}`),
		},
		copies: [2]*metrics.Counter{
			conductor.SameRegion:   set.NewCounter(`seam_edge_copies_total{from="near"}`),
			conductor.OtherRegions: set.NewCounter(`seam_edge_copies_total{from="far"}`),
		},
	}
}

// answered counts an answer to a caller and how long it took, in seconds.
func (m *edgeMetrics) answered(code string, status int, team string, seconds float64) {
	m.set.GetOrCreateCounter(`seam_edge_requests_total{code="` + code + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	if team != "" {
		m.set.GetOrCreateCounter(`seam_edge_team_requests_total{team="` + team + `"}`).Inc()
	}
	m.set.GetOrCreateHistogram(`seam_edge_answer_seconds{code="` + code + `"}`).Update(seconds)
}

// exchanged counts an attempt at an endpoint and how long it took, in seconds.
func (m *edgeMetrics) exchanged(ok bool, seconds float64) {
	m.set.GetOrCreateHistogram(`seam_edge_attempt_seconds{answered="` + strconv.FormatBool(ok) + `"}`).Update(seconds)
}

// Moments at which a caller can have left.
const (
	leftBeforeSend   = "send"
	leftBeforeAnswer = "answer"
)

// left counts a caller that had left at a moment.
func (m *edgeMetrics) left(before string) {
	m.set.GetOrCreateCounter(`seam_edge_callers_left_total{before="` + before + `"}`).Inc()
}

// acceptFailed counts a connection that could not be accepted at a socket.
func (m *edgeMetrics) acceptFailed(socket string) {
	m.set.GetOrCreateCounter(`seam_edge_accept_errors_total{socket="` + socket + `"}`).Inc()
}

// serveMetrics answers with all metrics as text.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.metrics.set.WritePrometheus(w)
	e.writeBeliefs(w, time.Now())
	e.writeSockets(w)
	metrics.WriteProcessMetrics(w)
}

// writeBeliefs writes what the instance believes at a time, and how old that is.
func (e *Edge) writeBeliefs(w io.Writer, now time.Time) {
	e.mu.Lock()
	b := e.model.Stats(now)
	e.mu.Unlock()
	metrics.WriteCounterUint64(w, "seam_edge_log_lines_left_out_total", e.logs.LeftOut())
	metrics.WriteGaugeUint64(w, "seam_edge_config_version", b.Version)
	metrics.WriteGaugeUint64(w, "seam_edge_instances_heard", uint64(b.Live))
	metrics.WriteGaugeUint64(w, "seam_edge_instances_known", uint64(b.Known))
	metrics.WriteGaugeUint64(w, "seam_edge_requests_open", uint64(b.Requests))
	metrics.WriteGaugeUint64(w, "seam_edge_endpoints_known", uint64(b.Endpoints))
	for team, left := range b.TeamTokens {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("seam_edge_team_left{team=%q}", team), left)
	}
	for service, left := range b.RetryTokens {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("seam_edge_retry_budget_left{service=%q}", service), left)
	}
	for kind, f := range e.followers {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("seam_edge_store_age_seconds{kind=%q}", kind), f.State(now).Age.Seconds())
	}
}

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

// edgeMetrics holds the metrics of an instance; docs/LOGS-AND-METRICS.md lists them.
type edgeMetrics struct {
	set                 *metrics.Set
	storeErrors         *metrics.Counter
	heartbeatErrors     *metrics.Counter
	retries             *metrics.Counter
	endpointConnections *metrics.Counter
	// expectedWait is the predicted queueing time of requests at their endpoint, in
	// seconds.
	expectedWait *metrics.Histogram
	// tickLateness is how late ticks are, closeAfter how long after a caller
	// disconnected the connection of its attempt is closed. Both are in seconds.
	tickLateness *metrics.Histogram
	closeAfter   *metrics.Histogram
	// otherRegionBodyBytes counts the buffered bytes of bodies sent to and received from
	// other regions, heartbeatBytes the bytes of heartbeats by audience, and copies
	// the changes fetched from instances of this region and of others.
	otherRegionBodyBytes *metrics.Counter
	heartbeatBytes       [2]*metrics.Counter
	copies               [2]*metrics.Counter
}

func newMetrics() *edgeMetrics {
	set := metrics.NewSet()
	return &edgeMetrics{
		set:                  set,
		storeErrors:          set.NewCounter("seam_edge_store_errors_total"),
		heartbeatErrors:      set.NewCounter("seam_edge_heartbeat_errors_total"),
		retries:              set.NewCounter("seam_edge_retries_total"),
		endpointConnections:  set.NewCounter("seam_edge_endpoint_connections_total"),
		expectedWait:         set.NewHistogram("seam_edge_expected_wait_seconds"),
		tickLateness:         set.NewHistogram("seam_edge_tick_late_seconds"),
		closeAfter:           set.NewHistogram("seam_edge_left_close_seconds"),
		otherRegionBodyBytes: set.NewCounter("seam_edge_far_body_bytes_total"),
		heartbeatBytes: [2]*metrics.Counter{
			conductor.SameRegion:   set.NewCounter(`seam_edge_heartbeat_bytes_total{to="near"}`),
			conductor.OtherRegions: set.NewCounter(`seam_edge_heartbeat_bytes_total{to="far"}`),
		},
		copies: [2]*metrics.Counter{
			conductor.SameRegion:   set.NewCounter(`seam_edge_copies_total{from="near"}`),
			conductor.OtherRegions: set.NewCounter(`seam_edge_copies_total{from="far"}`),
		},
	}
}

// recordAnswer counts an answer to a caller and records its duration in seconds.
func (m *edgeMetrics) recordAnswer(code string, status int, team string, seconds float64) {
	m.set.GetOrCreateCounter(`seam_edge_requests_total{code="` + code + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	if team != "" {
		m.set.GetOrCreateCounter(`seam_edge_team_requests_total{team="` + team + `"}`).Inc()
	}
	m.set.GetOrCreateHistogram(`seam_edge_answer_seconds{code="` + code + `"}`).Update(seconds)
}

// recordAttempt records an attempt at an endpoint with its duration in seconds.
func (m *edgeMetrics) recordAttempt(answered bool, seconds float64) {
	m.set.GetOrCreateHistogram(`seam_edge_attempt_seconds{answered="` + strconv.FormatBool(answered) + `"}`).Update(seconds)
}

// Stages of a request before which its caller can have disconnected.
const (
	disconnectedBeforeSend   = "send"
	disconnectedBeforeAnswer = "answer"
)

// recordDisconnect counts a caller that disconnected before a stage.
func (m *edgeMetrics) recordDisconnect(before string) {
	m.set.GetOrCreateCounter(`seam_edge_callers_left_total{before="` + before + `"}`).Inc()
}

// recordAcceptError counts a connection that a socket failed to accept.
func (m *edgeMetrics) recordAcceptError(socket string) {
	m.set.GetOrCreateCounter(`seam_edge_accept_errors_total{socket="` + socket + `"}`).Inc()
}

// serveMetrics serves all metrics in the Prometheus text format.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.metrics.set.WritePrometheus(w)
	e.writeModelMetrics(w, time.Now())
	e.writeConnectionMetrics(w)
	metrics.WriteProcessMetrics(w)
}

// writeModelMetrics writes the model's view of the fleet and the age of the store
// copies.
func (e *Edge) writeModelMetrics(w io.Writer, now time.Time) {
	e.mu.Lock()
	stats := e.model.Stats(now)
	e.mu.Unlock()
	metrics.WriteCounterUint64(w, "seam_edge_log_lines_left_out_total", e.logs.OmittedLines())
	metrics.WriteGaugeUint64(w, "seam_edge_config_version", stats.ConfigVersion)
	metrics.WriteGaugeUint64(w, "seam_edge_instances_heard", uint64(stats.LiveInstances))
	metrics.WriteGaugeUint64(w, "seam_edge_instances_known", uint64(stats.KnownInstances))
	metrics.WriteGaugeUint64(w, "seam_edge_requests_open", uint64(stats.RequestsInFlight))
	metrics.WriteGaugeUint64(w, "seam_edge_endpoints_known", uint64(stats.KnownEndpoints))
	for team, tokens := range stats.TeamTokens {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("seam_edge_team_left{team=%q}", team), tokens)
	}
	for service, tokens := range stats.RetryTokens {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("seam_edge_retry_budget_left{service=%q}", service), tokens)
	}
	for kind, f := range e.followers {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("seam_edge_store_age_seconds{kind=%q}", kind), f.State(now).Age.Seconds())
	}
}

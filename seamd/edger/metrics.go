package edger

import (
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// edgeMetrics holds the instance's counters; docs/LOGS-AND-METRICS.md lists
// them.
type edgeMetrics struct {
	set         *metrics.Set
	storeErrors *metrics.Counter
	beatErrors  *metrics.Counter
	retries     *metrics.Counter
	connections *metrics.Counter
}

func newMetrics() *edgeMetrics {
	set := metrics.NewSet()
	return &edgeMetrics{
		set:         set,
		storeErrors: set.NewCounter("seam_edge_store_errors_total"),
		beatErrors:  set.NewCounter("seam_edge_heartbeat_errors_total"),
		retries:     set.NewCounter("seam_edge_retries_total"),
		connections: set.NewCounter("seam_edge_endpoint_connections_total"),
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

// serveMetrics answers with all metrics as text.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.metrics.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

package edger

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/labeler"
	"primroseseam.org/seam/router"
	"primroseseam.org/seamedge/exchanger"
	"primroseseam.org/seamedge/limiter"
)

// metricTeamRequests is the name of the counters of answers to each team.
const metricTeamRequests = "seam_edge_team_requests_total"

// edgeMetrics holds the metrics of an instance; docs/LOGS-AND-METRICS.md lists them.
type edgeMetrics struct {
	set                 *metrics.Set
	storeErrors         *metrics.Counter
	heartbeatErrors     *metrics.Counter
	heartbeatParts      *metrics.Counter
	retries             *metrics.Counter
	endpointConnections *metrics.Counter
	// limitedAttempts counts attempts at endpoints that named a rate limit.
	limitedAttempts *metrics.Counter
	// movedRequests counts requests that were sent to another region than that of their best
	// endpoint, so that not too many requests change their region at once.
	movedRequests *metrics.Counter
	// endpointChecks counts the connections that were opened, or not, to find out whether an
	// endpoint has ended.
	endpointChecks *metrics.Counter
	// probes counts the probes that keep connections open, and probesFailed those without a
	// response.
	probes       *metrics.Counter
	probesFailed *metrics.Counter
	// skippedResponses counts responses of endpoints that couldn't be attributed to the
	// request at hand and were skipped.
	skippedResponses *metrics.Counter
	// invalidResponses counts, for each fault, bytes of endpoints that are no valid response.
	invalidResponses map[exchanger.ResponseFault]*metrics.Counter
	// invalidLoads counts responses that state a load in a form that can't be read.
	invalidLoads *metrics.Counter
	// invalidEntries counts entries of endpoints that can't be used, and refusedConfigs
	// configurations.
	invalidEntries *metrics.Counter
	refusedConfigs *metrics.Counter
	// expectedWait is the time, in seconds, for which the model expects an attempt to
	// wait in the queue of its endpoint.
	expectedWait *metrics.Histogram
	// tickLateness is the delay of ticks. closeAfter is the time from when the instance
	// notices that a caller has disconnected until it closes the connection to the
	// endpoint that runs the caller's request. Both are in seconds.
	tickLateness *metrics.Histogram
	closeAfter   *metrics.Histogram
	// otherRegionBodyBytes counts the bytes of request and response bodies in attempts at
	// endpoints in other regions, without the streamed parts. heartbeatBytes counts the
	// bytes of heartbeats sent to each audience. copies counts the deltas that were
	// fetched from the instances of each audience and changed a copy, and patches the objects
	// of which only the changed parts were fetched.
	otherRegionBodyBytes *metrics.Counter
	heartbeatBytes       [2]*metrics.Counter
	copies               [2]*metrics.Counter
	patches              *metrics.Counter
	// earlyAnswers counts the answers of endpoints that hadn't read the whole body of the request.
	earlyAnswers *metrics.Counter
	// panics counts the panics of handlers of callers' requests.
	panics *metrics.Counter
	// teamRequests holds the counter of each team in the configuration.
	mu           sync.RWMutex
	teamRequests map[string]*metrics.Counter
}

func newMetrics() *edgeMetrics {
	set := metrics.NewSet()
	invalidResponses := map[exchanger.ResponseFault]*metrics.Counter{}
	for _, fault := range exchanger.ResponseFaults() {
		invalidResponses[fault] = set.NewCounter(labeled("seam_edge_invalid_responses_total", "fault", fault.String()))
	}
	return &edgeMetrics{
		invalidResponses:     invalidResponses,
		set:                  set,
		storeErrors:          set.NewCounter("seam_edge_store_errors_total"),
		heartbeatErrors:      set.NewCounter("seam_edge_heartbeat_errors_total"),
		heartbeatParts:       set.NewCounter("seam_edge_heartbeat_parts_total"),
		retries:              set.NewCounter("seam_edge_retries_total"),
		endpointConnections:  set.NewCounter("seam_edge_endpoint_connections_total"),
		endpointChecks:       set.NewCounter("seam_edge_endpoint_checks_total"),
		probes:               set.NewCounter("seam_edge_probes_total"),
		probesFailed:         set.NewCounter("seam_edge_probes_failed_total"),
		limitedAttempts:      set.NewCounter("seam_edge_limited_attempts_total"),
		movedRequests:        set.NewCounter("seam_edge_moved_requests_total"),
		skippedResponses:     set.NewCounter("seam_edge_skipped_responses_total"),
		invalidLoads:         set.NewCounter("seam_edge_invalid_loads_total"),
		invalidEntries:       set.NewCounter("seam_edge_invalid_entries_total"),
		refusedConfigs:       set.NewCounter("seam_edge_configs_refused_total"),
		expectedWait:         set.NewHistogram("seam_edge_expected_wait_seconds"),
		tickLateness:         set.NewHistogram("seam_edge_tick_late_seconds"),
		closeAfter:           set.NewHistogram("seam_edge_left_close_seconds"),
		otherRegionBodyBytes: set.NewCounter("seam_edge_far_body_bytes_total"),
		heartbeatBytes: [2]*metrics.Counter{
			conductor.SameRegion:   set.NewCounter(labeled("seam_edge_heartbeat_bytes_total", "to", "near")),
			conductor.OtherRegions: set.NewCounter(labeled("seam_edge_heartbeat_bytes_total", "to", "far")),
		},
		copies: [2]*metrics.Counter{
			conductor.SameRegion:   set.NewCounter(labeled("seam_edge_copies_total", "from", "near")),
			conductor.OtherRegions: set.NewCounter(labeled("seam_edge_copies_total", "from", "far")),
		},
		patches:      set.NewCounter("seam_edge_copy_patches_total"),
		earlyAnswers: set.NewCounter("seam_edge_early_answers_total"),
		panics:       set.NewCounter("seam_edge_panics_total"),
		teamRequests: map[string]*metrics.Counter{},
	}
}

// labeled returns the name of a metric with one label.
func labeled(metric, label, value string) string {
	return labeler.Name(metric, labeler.Label{Name: label, Value: value})
}

// setTeams creates the counters of a configuration's teams and deletes those of all others.
func (m *edgeMetrics) setTeams(teams map[string]*router.Team) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for team := range m.teamRequests {
		if _, ok := teams[team]; !ok {
			m.set.UnregisterMetric(labeled(metricTeamRequests, "team", team))
			delete(m.teamRequests, team)
		}
	}
	for team := range teams {
		if _, ok := m.teamRequests[team]; !ok {
			m.teamRequests[team] = m.set.GetOrCreateCounter(labeled(metricTeamRequests, "team", team))
		}
	}
}

// recordAnswer counts an answer to a caller. It also records seconds, the time from the
// arrival of the request to the answer. A team that is no longer in the configuration isn't
// counted by name.
func (m *edgeMetrics) recordAnswer(code string, status int, team string, seconds float64) {
	m.set.GetOrCreateCounter(labeler.Name("seam_edge_requests_total",
		labeler.Label{Name: "code", Value: code}, labeler.Label{Name: "status", Value: strconv.Itoa(status)})).Inc()
	m.mu.RLock()
	requests, ok := m.teamRequests[team]
	m.mu.RUnlock()
	if ok {
		requests.Inc()
	}
	m.set.GetOrCreateHistogram(labeled("seam_edge_answer_seconds", "code", code)).Update(seconds)
}

// recordAttempt records an attempt at an endpoint: its duration in seconds and whether the
// endpoint sent a valid answer.
func (m *edgeMetrics) recordAttempt(answered bool, seconds float64) {
	m.set.GetOrCreateHistogram(labeled("seam_edge_attempt_seconds", "answered", strconv.FormatBool(answered))).Update(seconds)
}

// Stages of a request, for recordDisconnect. disconnectedBeforeSend means that the caller
// disconnected before the request was sent to an endpoint. disconnectedBeforeAnswer means
// that the caller disconnected later, but before it was answered.
const (
	disconnectedBeforeSend   = "send"
	disconnectedBeforeAnswer = "answer"
)

// recordDisconnect counts a caller that disconnected. before is disconnectedBeforeSend or
// disconnectedBeforeAnswer.
func (m *edgeMetrics) recordDisconnect(before string) {
	m.set.GetOrCreateCounter(labeled("seam_edge_callers_left_total", "before", before)).Inc()
}

// recordAcceptError counts a failed attempt to accept a connection at a socket.
func (m *edgeMetrics) recordAcceptError(socket string) {
	m.set.GetOrCreateCounter(labeled("seam_edge_accept_errors_total", "socket", socket)).Inc()
}

// lookups returns the counter of look-ups with an answer: lookupAnswered or lookupRefused.
func (m *edgeMetrics) lookups(answer string) *metrics.Counter {
	return m.set.GetOrCreateCounter(labeled("seam_edge_lookups_total", "answer", answer))
}

// closings returns the counter of connections that the limits on a socket's clients closed, and
// of requests that they refused, for a reason.
func (m *edgeMetrics) closings(socket string, reason limiter.Reason) *metrics.Counter {
	return m.set.GetOrCreateCounter(labeler.Name("seam_edge_clients_cut_off_total",
		labeler.Label{Name: "socket", Value: socket}, labeler.Label{Name: "reason", Value: reason.String()}))
}

// serveMetrics serves all metrics in the Prometheus text format.
func (e *Edge) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	e.metrics.set.WritePrometheus(w)
	e.writeModelMetrics(w, time.Now())
	e.writeConnectionMetrics(w)
	metrics.WriteProcessMetrics(w)
}

// writeModelMetrics writes the statistics of the model, the number of omitted log lines,
// and, for each kind of object, the time since the last known poll of the store.
func (e *Edge) writeModelMetrics(w io.Writer, now time.Time) {
	e.mu.Lock()
	stats := e.model.Stats(now)
	e.mu.Unlock()
	metrics.WriteCounterUint64(w, "seam_edge_log_lines_left_out_total", e.logs.OmittedLines())
	metrics.WriteGaugeUint64(w, "seam_edge_config_version", stats.ConfigVersion)
	metrics.WriteGaugeUint64(w, "seam_edge_instances_heard", uint64(stats.LiveInstances))
	metrics.WriteGaugeUint64(w, "seam_edge_instances_known", uint64(stats.KnownInstances))
	metrics.WriteGaugeUint64(w, "seam_edge_instances_missing", uint64(len(stats.MissingInstances)))
	metrics.WriteGaugeUint64(w, "seam_edge_instances_absent", uint64(len(stats.AbsentInstances)))
	metrics.WriteGaugeFloat64(w, "seam_edge_rate_part", stats.RatePart)
	metrics.WriteGaugeFloat64(w, "seam_edge_store_age_seconds", stats.StoreAge.Seconds())
	metrics.WriteGaugeUint64(w, "seam_edge_requests_open", uint64(stats.RequestsInFlight))
	metrics.WriteGaugeUint64(w, "seam_edge_endpoints_known", uint64(stats.KnownEndpoints))
	metrics.WriteGaugeUint64(w, "seam_edge_endpoints_limited", uint64(stats.LimitedEndpoints))
	metrics.WriteGaugeUint64(w, "seam_edge_requests_quarantined", uint64(stats.QuarantinedRequests))
	for team, tokens := range stats.TeamTokens {
		metrics.WriteGaugeFloat64(w, labeled("seam_edge_team_left", "team", team), tokens)
	}
	for service, tokens := range stats.RetryTokens {
		metrics.WriteGaugeFloat64(w, labeled("seam_edge_retry_budget_left", "service", service), tokens)
	}
	for region, part := range stats.RegionParts {
		metrics.WriteGaugeFloat64(w, labeled("seam_edge_region_part", "region", region), part)
	}
	for kind, f := range e.followers {
		metrics.WriteGaugeFloat64(w, labeled("seam_edge_store_age_seconds", "kind", kind), f.State(e.clock.Now()).Age.Seconds())
	}
}

package daemon

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/labeler"
	"primroseseam.org/seamd/forwarder"
)

// Names of the metrics. docs/LOGS-AND-METRICS.md describes them.
const (
	metricForwards        = "seam_forwards_total"
	metricRetries         = "seam_retries_total"
	metricRefusals        = "seam_refusals_total"
	metricQueueSeconds    = "seam_queue_seconds"
	metricRequestSeconds  = "seam_request_seconds"
	metricAttempts        = "seam_attempts_total"
	metricOpenRequests    = "seam_open_requests"
	metricOpenConnections = "seam_open_connections"
	metricConfigVersion   = "seam_config_version"
	metricKeys            = "seam_keys"
	metricKeyEvidenceAge  = "seam_key_evidence_age_seconds"
	metricStoreReachable  = "seam_store_reachable"
	metricStoreCalls      = "seam_store_calls_total"
	metricStoreSeconds    = "seam_store_call_seconds"
	metricLeaving         = "seam_leaving"
)

// meters holds the daemon's metrics. It is safe for concurrent use.
type meters struct {
	set         *metrics.Set
	forwards    *metrics.Counter
	retries     *metrics.Counter
	queueTimes  *metrics.Histogram
	connections atomic.Int64
	requests    atomic.Int64
	// refusals, attempts and latencies hold one metric for each value of a label: the
	// refusal's code, the attempt's result, and the team.
	refusals  metricVec[*metrics.Counter]
	attempts  metricVec[*metrics.Counter]
	latencies metricVec[*metrics.Histogram]
}

func newMeters(set *metrics.Set) *meters {
	m := &meters{
		set:        set,
		forwards:   set.NewCounter(metricForwards),
		retries:    set.NewCounter(metricRetries),
		queueTimes: set.NewHistogram(metricQueueSeconds),
		refusals:   metricVec[*metrics.Counter]{name: metricRefusals, label: "code", make: set.GetOrCreateCounter},
		attempts:   metricVec[*metrics.Counter]{name: metricAttempts, label: "result", make: set.GetOrCreateCounter},
		latencies:  metricVec[*metrics.Histogram]{name: metricRequestSeconds, label: "team", make: set.GetOrCreateHistogram},
	}
	set.NewGauge(metricOpenConnections, func() float64 { return float64(m.connections.Load()) })
	set.NewGauge(metricOpenRequests, func() float64 { return float64(m.requests.Load()) })
	return m
}

// addStateGauges adds the gauges of the daemon's state.
func (m *meters) addStateGauges(d *Daemon) {
	m.set.NewGauge(metricConfigVersion, func() float64 {
		if c := d.appliedState.Load().config; c != nil {
			return float64(c.Version())
		}
		return 0
	})
	m.set.NewGauge(metricKeys, func() float64 { return float64(d.appliedState.Load().keyCount) })
	m.set.NewGauge(metricKeyEvidenceAge, func() float64 { return d.replication.state().evidenceAge.Seconds() })
	m.set.NewGauge(metricStoreReachable, func() float64 { return boolToFloat(d.replication.state().storeReachable) })
	m.set.NewGauge(metricLeaving, func() float64 { return boolToFloat(d.leaving.Load()) })
}

func boolToFloat(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

// countForward counts an attempt at an endpoint that the loop has decided on. For the
// first attempt of a request, it also records the request's time in the queue. It counts
// each further attempt as a retry.
func (m *meters) countForward(c decider.Forward) {
	m.forwards.Inc()
	if c.Attempt > 1 {
		m.retries.Inc()
		return
	}
	m.queueTimes.Update(c.Decision.Waited.Seconds())
}

// countRefusal counts a refused request under the name of its code.
func (m *meters) countRefusal(code coder.Code) { m.refusals.with(code.String()).Inc() }

// countAttempt counts a finished attempt at an endpoint under the name of its result
// code.
func (m *meters) countAttempt(r forwarder.Result) { m.attempts.with(r.Code.String()).Inc() }

// observeLatency records the latency of a team's request: the time from when the request
// was sent to the loop until the end of its answer. It doesn't include the time in which
// the request's body arrived.
func (m *meters) observeLatency(team string, took time.Duration) {
	m.latencies.with(team).Update(took.Seconds())
}

// connState updates the number of callers' open connections.
func (m *meters) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		m.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		m.connections.Add(-1)
	}
}

// metricVec holds the metrics of one name that differ in the value of one label. make
// creates a metric from its name and label.
type metricVec[M any] struct {
	name    string
	label   string
	make    func(name string) M
	byValue sync.Map
}

// with returns the metric for a value of the label and creates it if needed.
func (l *metricVec[M]) with(value string) M {
	if m, ok := l.byValue.Load(value); ok {
		return m.(M)
	}
	m := l.make(labeler.Name(l.name, labeler.Label{Name: l.label, Value: value}))
	l.byValue.Store(value, m)
	return m
}

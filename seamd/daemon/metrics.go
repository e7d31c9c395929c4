package daemon

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/forwarder"
)

// Names of the metrics; docs/LOGS-AND-METRICS.md lists what each is for.
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

// meters counts what the daemon does. It is safe for concurrent use, but for
// the parts that the loop owns.
type meters struct {
	set         *metrics.Set
	forwards    *metrics.Counter
	retries     *metrics.Counter
	queued      *metrics.Histogram
	connections atomic.Int64
	requests    atomic.Int64
	// refusals, attempts and latencies hold metrics by their label's value.
	refusals  labelled[*metrics.Counter]
	attempts  labelled[*metrics.Counter]
	latencies labelled[*metrics.Histogram]
}

func newMeters(set *metrics.Set) *meters {
	m := &meters{
		set:       set,
		forwards:  set.NewCounter(metricForwards),
		retries:   set.NewCounter(metricRetries),
		queued:    set.NewHistogram(metricQueueSeconds),
		refusals:  labelled[*metrics.Counter]{name: metricRefusals, label: "code", make: set.GetOrCreateCounter},
		attempts:  labelled[*metrics.Counter]{name: metricAttempts, label: "result", make: set.GetOrCreateCounter},
		latencies: labelled[*metrics.Histogram]{name: metricRequestSeconds, label: "team", make: set.GetOrCreateHistogram},
	}
	set.NewGauge(metricOpenConnections, func() float64 { return float64(m.connections.Load()) })
	set.NewGauge(metricOpenRequests, func() float64 { return float64(m.requests.Load()) })
	return m
}

// addState adds the gauges of what is in force at the daemon.
func (m *meters) addState(d *Daemon) {
	m.set.NewGauge(metricConfigVersion, func() float64 {
		if c := d.inForce.Load().config; c != nil {
			return float64(c.Version())
		}
		return 0
	})
	m.set.NewGauge(metricKeys, func() float64 { return float64(d.inForce.Load().keyring) })
	m.set.NewGauge(metricKeyEvidenceAge, func() float64 { return d.spread.state().evidenceAge.Seconds() })
	m.set.NewGauge(metricStoreReachable, func() float64 { return oneIf(d.spread.state().storeReachable) })
	m.set.NewGauge(metricLeaving, func() float64 { return oneIf(d.leaving.Load()) })
}

func oneIf(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

func (m *meters) forwarded(c decider.Forward) {
	m.forwards.Inc()
	if c.Attempt > 1 {
		m.retries.Inc()
		return
	}
	m.queued.Update(c.Decision.Waited.Seconds())
}

func (m *meters) refused(code coder.Code) { m.refusals.of(code.String()).Inc() }

func (m *meters) attempted(r forwarder.Result) { m.attempts.of(r.Code.String()).Inc() }

// answered takes the time from a request's arrival to the end of its answer.
func (m *meters) answered(team string, took time.Duration) {
	m.latencies.of(team).Update(took.Seconds())
}

// connState counts open connections of callers.
func (m *meters) connState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		m.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		m.connections.Add(-1)
	}
}

// labelled holds metrics that differ in the value of one label.
type labelled[M any] struct {
	name  string
	label string
	make  func(name string) M
	known sync.Map
}

func (l *labelled[M]) of(value string) M {
	if m, ok := l.known.Load(value); ok {
		return m.(M)
	}
	m := l.make(fmt.Sprintf("%s{%s=%s}", l.name, l.label, strconv.Quote(value)))
	l.known.Store(value, m)
	return m
}

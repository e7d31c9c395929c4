package tracer

import (
	"primroseseam.org/seam/configurer"
)

// Measure names the quantity that an outcome bounds.
type Measure string

// The quantities that an outcome can bound.
const (
	// MeasureViolations counts violations of Promise; Max bounds it.
	MeasureViolations Measure = "violations"
	// MeasureLatency is a quantile of the latency of answered requests in
	// milliseconds, optionally of one team or service; Max bounds it.
	MeasureLatency Measure = "latencyMs"
	// MeasureWorstTeam is the latency quantile of the slowest team in
	// milliseconds; Max bounds it.
	MeasureWorstTeam Measure = "worstTeamLatencyMs"
	// MeasureRefused is the fraction, 0 to 1, of the requests within their
	// team's rate that were refused; Max bounds it.
	MeasureRefused Measure = "refusedWithinRate"
	// MeasureHeadroom is the smallest fraction, 0 to 1, of any region's slots
	// that was free on average over a second; Min bounds it.
	MeasureHeadroom Measure = "headroom"
	// MeasureDrain is the longest time in milliseconds from the start of a
	// drain to the last new request that the endpoint received; Max bounds it.
	MeasureDrain Measure = "drainMs"
	// MeasureLinkBytes compares the bytes on a link with its token bucket: the
	// largest excess over the rate in any window, as a fraction of the burst; Max
	// bounds it.
	MeasureLinkBytes Measure = "linkBytes"
)

// Promise names a guarantee of the system whose violations are counted.
type Promise string

// The guarantees that a replay checks.
const (
	// PromiseRate: no team gets more requests through than its rate and burst.
	PromiseRate Promise = "rate"
	// PromiseLinkCap: no link between regions carries more than its byte cap.
	PromiseLinkCap Promise = "linkCap"
	// PromiseTeam: a request runs for the team that sent it.
	PromiseTeam Promise = "runsForItsTeam"
	// PromiseAtMostOnce: a request that isn't idempotent runs at most once.
	PromiseAtMostOnce Promise = "atMostOnce"
	// PromiseNotRun: a request that was reported as not run has not run.
	PromiseNotRun Promise = "notRunIsTrue"
	// PromiseKey: a withdrawn key soon stops working.
	PromiseKey Promise = "withdrawnKey"
	// PromiseDrain: a draining endpoint soon gets no new requests.
	PromiseDrain Promise = "leavingUpstream"
	// PromiseNothingCut: a graceful shutdown of an instance interrupts no request.
	PromiseNothingCut Promise = "plannedStopCutsNothing"
	// PromiseConfig: an instance never goes back to an older configuration.
	PromiseConfig Promise = "configNeverReverts"
	// PromiseOverload: no region has more requests running than slots.
	PromiseOverload Promise = "regionNotOverloaded"
)

// Promises returns all guarantees in the order in which reports list them.
func Promises() []Promise {
	return []Promise{
		PromiseRate, PromiseLinkCap, PromiseOverload, PromiseTeam, PromiseAtMostOnce,
		PromiseNotRun, PromiseKey, PromiseDrain, PromiseNothingCut, PromiseConfig,
	}
}

// Outcome is a bound that a replay must meet. Team and Service select requests for
// latencies, From and To select a link. After leaves out the start of the trace for
// MeasureRefused and MeasureHeadroom. An unset Max or Min is no bound.
type Outcome struct {
	Measure  Measure             `json:"measure"`
	Promise  Promise             `json:"promise,omitempty"`
	Quantile float64             `json:"quantile,omitempty"`
	Team     string              `json:"team,omitempty"`
	Service  string              `json:"service,omitempty"`
	From     string              `json:"from,omitempty"`
	To       string              `json:"to,omitempty"`
	After    configurer.Duration `json:"after,omitempty"`
	Max      *float64            `json:"max,omitempty"`
	Min      *float64            `json:"min,omitempty"`
}

// Holds reports whether a measured value is within the bounds.
func (o Outcome) Holds(value float64) bool {
	if o.Max != nil && value > *o.Max {
		return false
	}
	return o.Min == nil || value >= *o.Min
}

// problem returns what is wrong with the outcome, or "" if nothing is.
func (o Outcome) problem() string {
	switch {
	case o.Max == nil && o.Min == nil:
		return "max or min is required"
	case o.needsQuantile() && (o.Quantile <= 0 || o.Quantile > 1):
		return "quantile must be above 0 and at most 1"
	case o.Measure == MeasureViolations && !knownPromise(o.Promise):
		return "unknown promise"
	case !knownMeasure(o.Measure):
		return "unknown measure"
	}
	return ""
}

func (o Outcome) needsQuantile() bool {
	return o.Measure == MeasureLatency || o.Measure == MeasureWorstTeam
}

func knownPromise(p Promise) bool {
	for _, known := range Promises() {
		if p == known {
			return true
		}
	}
	return false
}

func knownMeasure(m Measure) bool {
	switch m {
	case MeasureViolations, MeasureLatency, MeasureWorstTeam, MeasureRefused,
		MeasureHeadroom, MeasureDrain, MeasureLinkBytes:
		return true
	}
	return false
}

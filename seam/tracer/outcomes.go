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
	// MeasureWorstTeam is a quantile of the latency of the slowest team in
	// milliseconds, optionally at one service; Max bounds it.
	MeasureWorstTeam Measure = "worstTeamLatencyMs"
	// MeasureRefused is the fraction, 0 to 1, of the requests within their
	// team's rate that were refused; Max bounds it.
	MeasureRefused Measure = "refusedWithinRate"
	// MeasureHeadroom is the smallest fraction, 0 to 1, of free endpoint slots in any
	// region, as a mean over a second; Min bounds it.
	MeasureHeadroom Measure = "headroom"
	// MeasureDrain is the longest time in milliseconds from the start of a
	// drain to the last new request that the endpoint received; Max bounds it.
	MeasureDrain Measure = "drainMs"
	// MeasureLinkBytes compares the bytes on a link with the link's rate and burst. It
	// is the largest excess over the rate in any window of time, as a fraction of the
	// burst; Max bounds it.
	MeasureLinkBytes Measure = "linkBytes"
)

// Promise names a guarantee of the system. A replay counts its violations.
type Promise string

// The guarantees that a replay checks.
const (
	// PromiseRate: endpoints get no more requests of a team than its rate and burst
	// allow.
	PromiseRate Promise = "rate"
	// PromiseLinkCap: no link between regions carries more bytes than its rate and
	// burst allow.
	PromiseLinkCap Promise = "linkCap"
	// PromiseTeam: a request runs for the team that sent it.
	PromiseTeam Promise = "runsForItsTeam"
	// PromiseAtMostOnce: a request that isn't idempotent runs at most once.
	PromiseAtMostOnce Promise = "atMostOnce"
	// PromiseNotRun: a request that was reported as not run has not run.
	PromiseNotRun Promise = "notRunIsTrue"
	// PromiseKey: a withdrawn key stops working within seconds.
	PromiseKey Promise = "withdrawnKey"
	// PromiseDrain: a draining endpoint gets no new requests after a few seconds.
	PromiseDrain Promise = "leavingUpstream"
	// PromiseNothingCut: a graceful shutdown of an instance interrupts no request.
	PromiseNothingCut Promise = "plannedStopCutsNothing"
	// PromiseConfig: an instance never goes back to an older configuration.
	PromiseConfig Promise = "configNeverReverts"
	// PromiseOverload: the endpoints of a region never run more requests than they have
	// slots in total.
	PromiseOverload Promise = "regionNotOverloaded"
)

// Promises returns all guarantees in the order in which reports list them.
func Promises() []Promise {
	return []Promise{
		PromiseRate, PromiseLinkCap, PromiseOverload, PromiseTeam, PromiseAtMostOnce,
		PromiseNotRun, PromiseKey, PromiseDrain, PromiseNothingCut, PromiseConfig,
	}
}

// Outcome is a bound on a measurement of a replay. Team and Service select the requests
// of a latency measure; an empty field selects all. From and To are the regions of a
// link. After is a time since the start of the trace: MeasureRefused and MeasureHeadroom
// ignore the trace before it. A Max or Min of nil is no bound.
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

// Holds reports whether a measured value is within the bounds of the outcome.
func (o Outcome) Holds(value float64) bool {
	if o.Max != nil && value > *o.Max {
		return false
	}
	return o.Min == nil || value >= *o.Min
}

// problem returns the reason why the outcome is invalid, or "" if it is valid.
func (o Outcome) problem() string {
	switch {
	case o.Max == nil && o.Min == nil:
		return "max or min is required"
	case o.needsQuantile() && (o.Quantile <= 0 || o.Quantile > 1):
		return "quantile must be above 0 and at most 1"
	case o.Measure == MeasureViolations && !isPromise(o.Promise):
		return "unknown promise"
	case !isMeasure(o.Measure):
		return "unknown measure"
	}
	return ""
}

func (o Outcome) needsQuantile() bool {
	return o.Measure == MeasureLatency || o.Measure == MeasureWorstTeam
}

func isPromise(p Promise) bool {
	for _, known := range Promises() {
		if p == known {
			return true
		}
	}
	return false
}

func isMeasure(m Measure) bool {
	switch m {
	case MeasureViolations, MeasureLatency, MeasureWorstTeam, MeasureRefused,
		MeasureHeadroom, MeasureDrain, MeasureLinkBytes:
		return true
	}
	return false
}

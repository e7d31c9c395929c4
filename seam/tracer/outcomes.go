package tracer

import (
	"primroseseam.org/seam/configurer"
)

// Measure names what an outcome bounds.
type Measure string

// The measures that an outcome may bound.
const (
	// MeasureViolations counts violations of Promise; Max bounds it.
	MeasureViolations Measure = "violations"
	// MeasureLatency is a quantile of answered requests' latency in
	// milliseconds, optionally of one team or service; Max bounds it.
	MeasureLatency Measure = "latencyMs"
	// MeasureWorstTeam is the greatest of the teams' latency quantiles in
	// milliseconds; Max bounds it.
	MeasureWorstTeam Measure = "worstTeamLatencyMs"
	// MeasureRefused is the part of requests within their team's rate that
	// were refused, 0 to 1; Max bounds it.
	MeasureRefused Measure = "refusedWithinRate"
	// MeasureHeadroom is the least part of a region's slots that was free over
	// a second, 0 to 1; Min bounds it.
	MeasureHeadroom Measure = "headroom"
	// MeasureDrain is the longest time in milliseconds from the start of a
	// drain until the endpoint got its last new request; Max bounds it.
	MeasureDrain Measure = "drainMs"
	// MeasureLinkBytes is the greatest part of a link's cap, burst included,
	// that was used over any window; Max bounds it.
	MeasureLinkBytes Measure = "linkBytes"
)

// Promise names a promise whose violations are counted.
type Promise string

// The promises that a replay checks.
const (
	PromiseRate       Promise = "rate"
	PromiseLinkCap    Promise = "linkCap"
	PromiseTeam       Promise = "runsForItsTeam"
	PromiseAtMostOnce Promise = "atMostOnce"
	PromiseNotRun     Promise = "notRunIsTrue"
	PromiseKey        Promise = "withdrawnKey"
	PromiseDrain      Promise = "leavingUpstream"
	PromiseNothingCut Promise = "plannedStopCutsNothing"
	PromiseConfig     Promise = "configNeverReverts"
	PromiseOverload   Promise = "regionNotOverloaded"
)

// Promises lists all promises in the order of reports.
func Promises() []Promise {
	return []Promise{
		PromiseRate, PromiseLinkCap, PromiseOverload, PromiseTeam, PromiseAtMostOnce,
		PromiseNotRun, PromiseKey, PromiseDrain, PromiseNothingCut, PromiseConfig,
	}
}

// Outcome is a bound on a measure that a replay must keep.
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

// Holds reports whether a figure is within the bound.
func (o Outcome) Holds(figure float64) bool {
	if o.Max != nil && figure > *o.Max {
		return false
	}
	return o.Min == nil || figure >= *o.Min
}

// fault returns what is wrong with the outcome, or "".
func (o Outcome) fault() string {
	switch {
	case o.Max == nil && o.Min == nil:
		return "an outcome needs max or min"
	case o.needsQuantile() && (o.Quantile <= 0 || o.Quantile > 1):
		return "quantile must be above 0 and at most 1"
	case o.Measure == MeasureViolations && !knownPromise(o.Promise):
		return "no such promise"
	case !knownMeasure(o.Measure):
		return "no such measure"
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

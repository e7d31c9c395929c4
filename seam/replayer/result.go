package replayer

import (
	"time"

	"primroseseam.org/seam/tracer"
)

// Result holds the measurements of a replay. Two replays of a trace give the same JSON.
type Result struct {
	Trace      string             `json:"trace"`
	Deployment string             `json:"deployment"`
	Seed       uint64             `json:"seed"`
	Requests   Requests           `json:"requests"`
	Promises   []PromiseResult    `json:"promises"`
	Outcomes   []OutcomeResult    `json:"outcomes"`
	Measures   map[string]float64 `json:"measures"`
	samples    []Sample
	marks      []Mark
}

// Requests counts the requests of a replay: all that callers sent, and how they ended.
// Failed requests got neither an answer nor a refusal.
type Requests struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
}

// PromiseResult counts the checks of one promise and the checks that found a violation.
type PromiseResult struct {
	Promise    tracer.Promise `json:"promise"`
	Checked    int            `json:"checked"`
	Violations int            `json:"violations"`
}

// OutcomeResult is an outcome that the trace states, with the measured value. Holds
// means that the value is within the bounds of the outcome.
type OutcomeResult struct {
	Outcome tracer.Outcome `json:"outcome"`
	Figure  float64        `json:"figure"`
	Holds   bool           `json:"holds"`
}

// Holds reports whether every outcome of the trace holds.
func (r Result) Holds() bool {
	for _, o := range r.Outcomes {
		if !o.Holds {
			return false
		}
	}
	return true
}

// Samples returns one sample for each second of the trace, in order of time.
func (r Result) Samples() []Sample { return r.samples }

// Marks returns the events of the trace that a report shows, in order of time.
func (r Result) Marks() []Mark { return r.marks }

func (rec *recorder) result() Result {
	h := rec.trace.Header()
	result := Result{
		Trace: h.Name, Deployment: h.Deployment, Seed: h.Seed, Requests: rec.requests,
		Measures: rec.measures(), samples: rec.series.samples, marks: rec.marks,
	}
	for _, p := range tracer.Promises() {
		n := rec.counts[p]
		result.Promises = append(result.Promises, PromiseResult{Promise: p, Checked: n.checked, Violations: n.violations})
	}
	for _, o := range h.Outcomes {
		figure := rec.figure(o)
		result.Outcomes = append(result.Outcomes, OutcomeResult{Outcome: o, Figure: figure, Holds: o.Holds(figure)})
	}
	return result
}

// figure returns the measured value that an outcome limits, in the unit of the outcome's
// measure.
func (rec *recorder) figure(o tracer.Outcome) float64 {
	switch o.Measure {
	case tracer.MeasureViolations:
		return float64(rec.counts[o.Promise].violations)
	case tracer.MeasureLatency:
		return rec.latencyQuantile(latencyKey{o.Team, o.Service}, o.Quantile)
	case tracer.MeasureWorstTeam:
		return rec.worstTeamLatency(o.Service, o.Quantile)
	case tracer.MeasureRefused:
		return rec.refusedFraction(time.Duration(o.After))
	case tracer.MeasureHeadroom:
		return rec.series.minHeadroom(time.Duration(o.After))
	case tracer.MeasureDrain:
		return float64(rec.longestDrain) / float64(time.Millisecond)
	case tracer.MeasureLinkBytes:
		return rec.links.peakUsage(regionPair{o.From, o.To})
	}
	return 0
}

// latencyQuantile returns a quantile of the latencies of the selected requests in
// milliseconds, where quantile is from 0 to 1. It returns 0 if none of these requests
// was answered.
func (rec *recorder) latencyQuantile(key latencyKey, quantile float64) float64 {
	if h, ok := rec.latency[key]; ok {
		return quantileMilliseconds(h, quantile)
	}
	return 0
}

// worstTeamLatency returns the latency quantile of the slowest team at a service in
// milliseconds. An empty service selects all services.
func (rec *recorder) worstTeamLatency(service string, quantile float64) float64 {
	worst := 0.0
	for _, t := range rec.trace.Config().Teams() {
		worst = max(worst, rec.latencyQuantile(latencyKey{t.Name, service}, quantile))
	}
	return worst
}

// refusedFraction returns the fraction, 0 to 1, of the requests within their team's rate
// that were refused. It ignores the seconds of the trace that start before after, which
// is the time since the start of the trace.
func (rec *recorder) refusedFraction(after time.Duration) float64 {
	sentWithinRate, refused := 0, 0
	for second, n := range rec.sentWithinRate {
		if time.Duration(second)*time.Second < after {
			continue
		}
		sentWithinRate += n
		refused += rec.refusedWithinRate[second]
	}
	if sentWithinRate == 0 {
		return 0
	}
	return float64(refused) / float64(sentWithinRate)
}

// measures returns the measurements that every result has, whatever the outcomes of its
// trace are. Their units are those of the tracer.Measure constants.
func (rec *recorder) measures() map[string]float64 {
	return map[string]float64{
		"latencyP50Ms":          rec.latencyQuantile(latencyKey{}, 0.50),
		"latencyP99Ms":          rec.latencyQuantile(latencyKey{}, 0.99),
		"worstTeamLatencyP99Ms": rec.worstTeamLatency("", 0.99),
		"refusedWithinRate":     rec.refusedFraction(0),
		"headroom":              rec.series.minHeadroom(0),
		"drainMs":               float64(rec.longestDrain) / float64(time.Millisecond),
	}
}

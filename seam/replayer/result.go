package replayer

import (
	"time"

	"primroseseam.org/seam/tracer"
)

// Result holds the measurements of a replay. The same trace always gives the same
// JSON.
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

// Requests counts requests by how they ended.
type Requests struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
}

// PromiseResult counts the checks of one promise and the violations that they found.
type PromiseResult struct {
	Promise    tracer.Promise `json:"promise"`
	Checked    int            `json:"checked"`
	Violations int            `json:"violations"`
}

// OutcomeResult is a stated outcome with the measured value, and whether the value
// is within the outcome's limits.
type OutcomeResult struct {
	Outcome tracer.Outcome `json:"outcome"`
	Figure  float64        `json:"figure"`
	Holds   bool           `json:"holds"`
}

// Holds reports whether every stated outcome holds.
func (r Result) Holds() bool {
	for _, o := range r.Outcomes {
		if !o.Holds {
			return false
		}
	}
	return true
}

// Samples returns one sample for each second of the trace.
func (r Result) Samples() []Sample { return r.samples }

// Marks returns the events that a report shows.
func (r Result) Marks() []Mark { return r.marks }

func (c *recorder) result() Result {
	h := c.trace.Header()
	result := Result{
		Trace: h.Name, Deployment: h.Deployment, Seed: h.Seed, Requests: c.requests,
		Measures: c.measures(), samples: c.series.samples, marks: c.marks,
	}
	for _, p := range tracer.Promises() {
		n := c.counts[p]
		result.Promises = append(result.Promises, PromiseResult{Promise: p, Checked: n.checked, Violations: n.violations})
	}
	for _, o := range h.Outcomes {
		figure := c.figure(o)
		result.Outcomes = append(result.Outcomes, OutcomeResult{Outcome: o, Figure: figure, Holds: o.Holds(figure)})
	}
	return result
}

// figure returns the measured value that an outcome limits.
func (c *recorder) figure(o tracer.Outcome) float64 {
	switch o.Measure {
	case tracer.MeasureViolations:
		return float64(c.counts[o.Promise].violations)
	case tracer.MeasureLatency:
		return c.latencyQuantile(latencyKey{o.Team, o.Service}, o.Quantile)
	case tracer.MeasureWorstTeam:
		return c.worstTeamLatency(o.Service, o.Quantile)
	case tracer.MeasureRefused:
		return c.refusedFraction(time.Duration(o.After))
	case tracer.MeasureHeadroom:
		return c.series.minHeadroom(time.Duration(o.After))
	case tracer.MeasureDrain:
		return float64(c.longestDrain) / float64(time.Millisecond)
	case tracer.MeasureLinkBytes:
		return c.links.peakUsage(regionPair{o.From, o.To})
	}
	return 0
}

// latencyQuantile returns a latency quantile, 0 to 1, in milliseconds. It is 0 if no
// selected request was answered.
func (c *recorder) latencyQuantile(key latencyKey, quantile float64) float64 {
	if h, ok := c.latency[key]; ok {
		return quantileMilliseconds(h, quantile)
	}
	return 0
}

// worstTeamLatency returns the highest latency quantile of any team in milliseconds.
func (c *recorder) worstTeamLatency(service string, quantile float64) float64 {
	worst := 0.0
	for _, t := range c.trace.Config().Teams() {
		worst = max(worst, c.latencyQuantile(latencyKey{t.Name, service}, quantile))
	}
	return worst
}

// refusedFraction returns the fraction of requests that were refused, of those that
// were within their team's rate. Requests from before a time since the start are left
// out.
func (c *recorder) refusedFraction(after time.Duration) float64 {
	sentWithinRate, refused := 0, 0
	for second, n := range c.sentWithinRate {
		if time.Duration(second)*time.Second < after {
			continue
		}
		sentWithinRate += n
		refused += c.refusedWithinRate[second]
	}
	if sentWithinRate == 0 {
		return 0
	}
	return float64(refused) / float64(sentWithinRate)
}

// measures returns the measurements that every result has.
func (c *recorder) measures() map[string]float64 {
	return map[string]float64{
		"latencyP50Ms":          c.latencyQuantile(latencyKey{}, 0.50),
		"latencyP99Ms":          c.latencyQuantile(latencyKey{}, 0.99),
		"worstTeamLatencyP99Ms": c.worstTeamLatency("", 0.99),
		"refusedWithinRate":     c.refusedFraction(0),
		"headroom":              c.series.minHeadroom(0),
		"drainMs":               float64(c.longestDrain) / float64(time.Millisecond),
	}
}

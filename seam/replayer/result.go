package replayer

import (
	"time"

	"primroseseam.org/seam/tracer"
)

// Result is what a replay measured. It has the same JSON for the same trace.
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

// PromiseResult counts the checks of one promise.
type PromiseResult struct {
	Promise    tracer.Promise `json:"promise"`
	Checked    int            `json:"checked"`
	Violations int            `json:"violations"`
}

// OutcomeResult is a stated outcome beside its figure.
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

// Samples returns one sample for each second.
func (r Result) Samples() []Sample { return r.samples }

// Marks returns the events that a report points out.
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

// figure returns what an outcome bounds.
func (c *recorder) figure(o tracer.Outcome) float64 {
	switch o.Measure {
	case tracer.MeasureViolations:
		return float64(c.counts[o.Promise].violations)
	case tracer.MeasureLatency:
		return c.latencyOf(latencyKey{o.Team, o.Service}, o.Quantile)
	case tracer.MeasureWorstTeam:
		return c.worstTeam(o.Service, o.Quantile)
	case tracer.MeasureRefused:
		return c.refusedPart(time.Duration(o.After))
	case tracer.MeasureHeadroom:
		return c.series.leastHeadroom(time.Duration(o.After))
	case tracer.MeasureDrain:
		return float64(c.drainMax) / float64(time.Millisecond)
	case tracer.MeasureLinkBytes:
		return c.links.greatestPart(regionPair{o.From, o.To})
	}
	return 0
}

func (c *recorder) latencyOf(key latencyKey, quantile float64) float64 {
	if h, ok := c.latency[key]; ok {
		return milliseconds(h, quantile)
	}
	return 0
}

// worstTeam returns the greatest latency quantile of any team.
func (c *recorder) worstTeam(service string, quantile float64) float64 {
	worst := 0.0
	for _, t := range c.trace.Config().Teams() {
		worst = max(worst, c.latencyOf(latencyKey{t.Name, service}, quantile))
	}
	return worst
}

// refusedPart returns the part of requests within rate that were refused, of
// those sent later than a time since the start.
func (c *recorder) refusedPart(after time.Duration) float64 {
	within, refused := 0, 0
	for second, n := range c.within {
		if time.Duration(second)*time.Second < after {
			continue
		}
		within += n
		refused += c.refusedWithin[second]
	}
	if within == 0 {
		return 0
	}
	return float64(refused) / float64(within)
}

func (c *recorder) measures() map[string]float64 {
	return map[string]float64{
		"latencyP50Ms":          c.latencyOf(latencyKey{}, 0.50),
		"latencyP99Ms":          c.latencyOf(latencyKey{}, 0.99),
		"worstTeamLatencyP99Ms": c.worstTeam("", 0.99),
		"refusedWithinRate":     c.refusedPart(0),
		"headroom":              c.series.leastHeadroom(0),
		"drainMs":               float64(c.drainMax) / float64(time.Millisecond),
	}
}

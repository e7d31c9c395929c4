package demonstrator

import (
	"cmp"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
)

// Measures holds what a run measures beside the promises.
type Measures struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// RefusedWithinRate counts refusals of requests within their team's rate
	// and burst.
	RefusedWithinRate int `json:"refusedWithinRate"`
	WithinRate        int `json:"withinRate"`

	// Refusals counts the refusals by code.
	Refusals []RefusalCount `json:"refusals"`

	Teams           []TeamMeasure `json:"teams"`
	WorstServedTeam string        `json:"worstServedTeam"`

	// HeadroomMean and HeadroomLeast are parts, 0 to 1, of a region's slots
	// that were free.
	HeadroomMean  float64 `json:"headroomMean"`
	HeadroomLeast float64 `json:"headroomLeast"`

	// UpstreamDrainMS is the time until a leaving endpoint was idle.
	UpstreamDrainMS float64 `json:"upstreamDrainMs"`
	// InstanceStopMS is the time that the planned stop took.
	InstanceStopMS float64 `json:"instanceStopMs"`
	// KeyWithdrawalMS is the age of the withdrawal at the key's last use.
	KeyWithdrawalMS float64 `json:"keyWithdrawalMs"`
	// ConfigInForceMS is the longest time until a change was in force at an
	// instance.
	ConfigInForceMS float64 `json:"configInForceMs"`

	CrossRegion       int `json:"crossRegion"`
	ShedByUpstreams   int `json:"shedByUpstreams"`
	CancelledUpstream int `json:"cancelledUpstream"`
	WithDeadline      int `json:"withDeadline"`
}

// TeamMeasure is how one team fared.
type TeamMeasure struct {
	Team  string  `json:"team"`
	P50MS float64 `json:"p50Ms"`
	P99MS float64 `json:"p99Ms"`
	// AnsweredWithinRate is the part, 0 to 1, of its requests within rate that
	// were answered.
	AnsweredWithinRate float64 `json:"answeredWithinRate"`
}

// RefusalCount is the number of refusals with one code.
type RefusalCount struct {
	Code  coder.Code `json:"code"`
	Name  string     `json:"name"`
	Count int        `json:"count"`
}

// refusals counts the callers' refusals by code, in the order of codes.
func (c *checker) refusals() []RefusalCount {
	counts := map[coder.Code]int{}
	for _, o := range c.outcomes {
		if o.kind == refused && !o.direct {
			counts[o.code]++
		}
	}
	var list []RefusalCount
	for code, n := range counts {
		list = append(list, RefusalCount{Code: code, Name: code.String(), Count: n})
	}
	slices.SortFunc(list, func(a, b RefusalCount) int { return cmp.Compare(a.Code, b.Code) })
	return list
}

func (c *checker) measures(shape Shape) Measures {
	m := Measures{
		ShedByUpstreams: c.shed, CancelledUpstream: c.cancelled, WithDeadline: c.withDeadline,
		InstanceStopMS: milliseconds(c.stop.took), Refusals: c.refusals(),
	}
	for _, team := range shape.teams() {
		if team.Name != probeTeam {
			m.addTeam(team.Name, c.ofTeam(team.Name), team.RatePerSecond, team.Burst)
		}
	}
	m.WorstServedTeam = worstServed(m.Teams)
	for _, a := range c.arrivals {
		if a.crossed {
			m.CrossRegion++
		}
	}
	m.HeadroomMean, m.HeadroomLeast = meanAndLeast(c.headroom)
	for _, d := range c.drains {
		m.UpstreamDrainMS = max(m.UpstreamDrainMS, milliseconds(d.lastEnd.Sub(d.at)))
	}
	if !c.key.lastGood.IsZero() {
		m.KeyWithdrawalMS = milliseconds(c.key.lastGood.Sub(c.key.at))
	}
	for _, a := range c.configs {
		for _, at := range a.inForce {
			m.ConfigInForceMS = max(m.ConfigInForceMS, milliseconds(at.Sub(a.at)))
		}
	}
	return m
}

// ofTeam returns the final attempts of a team's callers in the order sent.
func (c *checker) ofTeam(team string) []outcome {
	var list []outcome
	for _, o := range c.outcomes {
		if o.team == team && o.final && !o.direct {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
	return list
}

func (m *Measures) addTeam(name string, list []outcome, rate, burst float64) {
	var latencies []time.Duration
	within, served := 0, 0
	tokens := burst
	for i, o := range list {
		if i > 0 {
			tokens = min(burst, tokens+rate*o.sentAt.Sub(list[i-1].sentAt).Seconds())
		}
		conforms := tokens >= 1
		if conforms {
			tokens--
			within++
		}
		m.Requests++
		switch o.kind {
		case answered:
			m.Answered++
			latencies = append(latencies, o.latency)
			if conforms {
				served++
			}
		case refused:
			m.Refused++
			if conforms && isLimit(o.code) {
				m.RefusedWithinRate++
			}
		case failed:
			m.Failed++
		}
	}
	m.WithinRate += within
	slices.Sort(latencies)
	t := TeamMeasure{Team: name, P50MS: quantileMS(latencies, 0.50), P99MS: quantileMS(latencies, 0.99)}
	if within > 0 {
		t.AnsweredWithinRate = float64(served) / float64(within)
	}
	m.Teams = append(m.Teams, t)
}

// isLimit reports whether a code refuses for want of capacity.
func isLimit(code coder.Code) bool {
	return code >= coder.TeamOverRate && code <= coder.LinkCapReached
}

// worstServed returns the team with the least part answered, then the greatest
// 99th percentile.
func worstServed(teams []TeamMeasure) string {
	if len(teams) == 0 {
		return ""
	}
	worst := slices.MinFunc(teams, func(a, b TeamMeasure) int {
		return cmp.Or(cmp.Compare(a.AnsweredWithinRate, b.AnsweredWithinRate), cmp.Compare(b.P99MS, a.P99MS))
	})
	return worst.Team
}

func meanAndLeast(samples []float64) (mean, least float64) {
	if len(samples) == 0 {
		return 0, 0
	}
	for _, s := range samples {
		mean += s / float64(len(samples))
	}
	return mean, slices.Min(samples)
}

func quantileMS(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return milliseconds(sorted[int(q*float64(len(sorted)-1))])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

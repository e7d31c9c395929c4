package demonstrator

import (
	"cmp"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
)

// Measures holds the measurements of a run, which are reported beside the promises.
type Measures struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// RefusedWithinRate counts the requests that were within their team's rate and
	// burst and were still refused with a code for which isCapacityRefusal is true.
	RefusedWithinRate int `json:"refusedWithinRate"`
	// WithinRate counts the requests that were within their team's rate and burst.
	WithinRate int `json:"withinRate"`

	// Refusals counts the refused attempts by code.
	Refusals []RefusalCount `json:"refusals"`

	Teams           []TeamMeasure `json:"teams"`
	WorstServedTeam string        `json:"worstServedTeam"`

	// HeadroomMean and HeadroomLeast are the mean and the minimum of the fraction,
	// 0 to 1, of a region's slots that were free.
	HeadroomMean  float64 `json:"headroomMean"`
	HeadroomLeast float64 `json:"headroomLeast"`

	// UpstreamDrainMS is the longest time from the start of an endpoint's drain
	// until its last request ended.
	UpstreamDrainMS float64 `json:"upstreamDrainMs"`
	// InstanceStopMS is the time that the graceful stop of an instance took.
	InstanceStopMS float64 `json:"instanceStopMs"`
	// KeyWithdrawalMS is the time from the key's withdrawal until the sending of the
	// request that was answered with it last.
	KeyWithdrawalMS float64 `json:"keyWithdrawalMs"`
	// ConfigInForceMS is the longest time from the acceptance of a configuration
	// change until a probe found it in force at an instance.
	ConfigInForceMS float64 `json:"configInForceMs"`

	// The following count requests at the upstreams: those from instances of other
	// regions, those rejected for want of a free slot or because of a drain, those
	// cancelled before the response, and those with a deadline.
	CrossRegion       int `json:"crossRegion"`
	ShedByUpstreams   int `json:"shedByUpstreams"`
	CancelledUpstream int `json:"cancelledUpstream"`
	WithDeadline      int `json:"withDeadline"`
}

// TeamMeasure holds the latencies and the success rate of one team's requests.
type TeamMeasure struct {
	Team  string  `json:"team"`
	P50MS float64 `json:"p50Ms"`
	P99MS float64 `json:"p99Ms"`
	// AnsweredWithinRate is the fraction, 0 to 1, of the team's requests within its
	// rate and burst that were answered.
	AnsweredWithinRate float64 `json:"answeredWithinRate"`
}

// RefusalCount is the number of refused attempts with one code.
type RefusalCount struct {
	Code  coder.Code `json:"code"`
	Name  string     `json:"name"`
	Count int        `json:"count"`
}

// refusals counts the callers' refused attempts by code, sorted by code. The
// prober's attempts are left out.
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

// measures computes the measurements. The caller must hold c.mu.
func (c *checker) measures(shape Shape) Measures {
	m := Measures{
		ShedByUpstreams: c.shed, CancelledUpstream: c.cancelled, WithDeadline: c.withDeadline,
		InstanceStopMS: milliseconds(c.stop.took), Refusals: c.refusals(),
	}
	for _, team := range shape.teams() {
		if team.Name != probeTeam {
			m.addTeam(team.Name, c.finalOutcomes(team.Name), team.RatePerSecond, team.Burst)
		}
	}
	m.WorstServedTeam = worstServedTeam(m.Teams)
	for _, a := range c.arrivals {
		if a.crossRegion {
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

// finalOutcomes returns the last attempt of each request of a team's callers, in the
// order in which they were sent.
func (c *checker) finalOutcomes(team string) []outcome {
	var list []outcome
	for _, o := range c.outcomes {
		if o.team == team && o.final && !o.direct {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
	return list
}

// addTeam adds the outcomes of a team's requests, sorted by sending time. A token
// bucket with the team's rate and burst determines which requests are within them.
func (m *Measures) addTeam(name string, outcomes []outcome, rate, burst float64) {
	var latencies []time.Duration
	withinRate, answeredWithinRate := 0, 0
	tokens := burst
	for i, o := range outcomes {
		if i > 0 {
			tokens = min(burst, tokens+rate*o.sentAt.Sub(outcomes[i-1].sentAt).Seconds())
		}
		conforms := tokens >= 1
		if conforms {
			tokens--
			withinRate++
		}
		m.Requests++
		switch o.kind {
		case answered:
			m.Answered++
			latencies = append(latencies, o.latency)
			if conforms {
				answeredWithinRate++
			}
		case refused:
			m.Refused++
			if conforms && isCapacityRefusal(o.code) {
				m.RefusedWithinRate++
			}
		case failed:
			m.Failed++
		}
	}
	m.WithinRate += withinRate
	slices.Sort(latencies)
	t := TeamMeasure{Team: name, P50MS: quantileMS(latencies, 0.50), P99MS: quantileMS(latencies, 0.99)}
	if withinRate > 0 {
		t.AnsweredWithinRate = float64(answeredWithinRate) / float64(withinRate)
	}
	m.Teams = append(m.Teams, t)
}

// isCapacityRefusal reports whether the code is one of those from TeamOverRate to
// LinkCapReached: a rate or bandwidth limit, an unreachable deadline, a full queue, no
// available endpoint, or a stopping instance.
func isCapacityRefusal(code coder.Code) bool {
	return code >= coder.TeamOverRate && code <= coder.LinkCapReached
}

// worstServedTeam returns the name of the team with the smallest answered fraction,
// or of several such teams that with the highest 99th percentile latency.
func worstServedTeam(teams []TeamMeasure) string {
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

// quantileMS returns a quantile, 0 to 1, of sorted latencies in milliseconds.
func quantileMS(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return milliseconds(sorted[int(q*float64(len(sorted)-1))])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

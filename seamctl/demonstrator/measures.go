package demonstrator

import (
	"cmp"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
)

// Measures holds the measurements of a run. Unlike promises, they don't decide whether the
// run passes.
type Measures struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// RefusedWithinRate counts the requests that were refused with a code for which
	// isCapacityRefusal is true, although they were within their team's rate and
	// burst.
	RefusedWithinRate int `json:"refusedWithinRate"`
	// WithinRate counts the requests that were within their team's rate and burst.
	WithinRate int `json:"withinRate"`

	// Refusals holds the number of refused attempts for each code.
	Refusals []RefusalCount `json:"refusals"`

	Teams           []TeamMeasure `json:"teams"`
	WorstServedTeam string        `json:"worstServedTeam"`

	// Headroom is the fraction, 0 to 1, of a region's slots that are free. It is
	// sampled in every region throughout the run. HeadroomMean is the mean and
	// HeadroomLeast the minimum of all samples of all regions.
	HeadroomMean  float64 `json:"headroomMean"`
	HeadroomLeast float64 `json:"headroomLeast"`

	// UpstreamDrainMS is the time from the start of an endpoint's drain until the
	// endpoint's last request ended. If several endpoints were drained, it is the
	// longest of these times.
	UpstreamDrainMS float64 `json:"upstreamDrainMs"`
	// InstanceStopMS is the time that the graceful stop of an instance took.
	InstanceStopMS float64 `json:"instanceStopMs"`
	// KeyWithdrawalMS is the time from the withdrawal of a key until the last answered
	// request with that key was sent. It is 0 if no such request was sent after the
	// withdrawal.
	KeyWithdrawalMS float64 `json:"keyWithdrawalMs"`
	// ConfigInForceMS is the time from the acceptance of a configuration change by the
	// store until the first probe that found the change in force at an instance was
	// sent. It is the longest of these times over all changes and instances.
	ConfigInForceMS float64 `json:"configInForceMs"`

	// The following fields count requests that upstreams received.

	// CrossRegion counts the requests that an instance of another region than the
	// endpoint's sent.
	CrossRegion int `json:"crossRegion"`
	// ShedByUpstreams counts the requests that the upstream rejected without running
	// them, because it had no free slot or was draining.
	ShedByUpstreams int `json:"shedByUpstreams"`
	// CancelledUpstream counts the requests that were cancelled before the response.
	CancelledUpstream int `json:"cancelledUpstream"`
	// WithDeadline counts the requests that carry a deadline.
	WithDeadline int `json:"withDeadline"`
}

// TeamMeasure holds the median and 99th percentile latency of one team's answered
// requests, in milliseconds, and the fraction of its requests within the rate that were
// answered.
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

// refusals returns the number of refused attempts of the callers for each code, sorted by
// code. The prober's attempts are left out.
func (c *checker) refusals() []RefusalCount {
	counts := map[coder.Code]int{}
	for _, o := range c.outcomes {
		if o.kind == attemptRefused && !o.withoutLookup {
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
		ShedByUpstreams: c.rejectedRequests, CancelledUpstream: c.cancelledRequests, WithDeadline: c.requestsWithDeadline,
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
		m.UpstreamDrainMS = max(m.UpstreamDrainMS, milliseconds(d.lastEndAt.Sub(d.at)))
	}
	if !c.withdrawnKey.lastAnsweredSentAt.IsZero() {
		m.KeyWithdrawalMS = milliseconds(c.withdrawnKey.lastAnsweredSentAt.Sub(c.withdrawnKey.at))
	}
	for _, a := range c.configs {
		for _, at := range a.inForce {
			m.ConfigInForceMS = max(m.ConfigInForceMS, milliseconds(at.Sub(a.at)))
		}
	}
	return m
}

// finalOutcomes returns the outcome of the last attempt of each request of a team's
// callers, sorted by the sending time of that attempt.
func (c *checker) finalOutcomes(team string) []outcome {
	var list []outcome
	for _, o := range c.outcomes {
		if o.team == team && o.lastAttempt && !o.withoutLookup {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
	return list
}

// addTeam adds the results of a team's requests to the measures. outcomes holds the last
// outcome of each request, sorted by sending time. A request is within the team's rate and
// burst if a token bucket with this rate and burst has a token left for it.
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
		case attemptAnswered:
			m.Answered++
			latencies = append(latencies, o.latency)
			if conforms {
				answeredWithinRate++
			}
		case attemptRefused:
			m.Refused++
			if conforms && isCapacityRefusal(o.code) {
				m.RefusedWithinRate++
			}
		case attemptFailed:
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

// isCapacityRefusal reports whether the code is in the range from TeamOverRate to
// LinkCapReached. These codes stand for a rate or bandwidth limit, an unreachable deadline,
// a full queue, no available endpoint, or a stopping instance.
func isCapacityRefusal(code coder.Code) bool {
	return code >= coder.TeamOverRate && code <= coder.LinkCapReached
}

// worstServedTeam returns the name of the team with the smallest AnsweredWithinRate. Among
// teams with the same fraction, it selects the one with the highest 99th percentile
// latency. It returns "" if there are no teams.
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

// quantileMS returns the quantile q, from 0 to 1, of sorted latencies. The result is in
// milliseconds; it is 0 if there are no latencies.
func quantileMS(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return milliseconds(sorted[int(q*float64(len(sorted)-1))])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

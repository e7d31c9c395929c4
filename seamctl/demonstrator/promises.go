package demonstrator

import (
	"slices"
	"time"
)

const (
	// withdrawalLimit is the time after a key's withdrawal from which all instances
	// must refuse it.
	withdrawalLimit = 3 * time.Second
	// drainLimit is the time after the start of an endpoint's drain from which the
	// endpoint must not receive new requests.
	drainLimit = 3 * time.Second
	// configLimit is the time after the acceptance of a configuration change from
	// which the change must be in force at all instances.
	configLimit = 5 * time.Second
)

// keyPrefix is the prefix of every API key.
const keyPrefix = "seam_"

// promises evaluates the records of the callers and the upstreams, and counts the
// checks and violations of each promise. The caller must hold c.mu.
func (c *checker) promises(shape Shape, faults []Fault) []Promise {
	requests := len(c.arrivals)
	list := []Promise{
		{Name: "shiftUnderCap", Checked: requests, Violations: c.countOverCap(shape), required: true},
		{Name: "noRegionOverloaded", Checked: requests, Violations: c.overloads, required: true},
		{Name: "runsForItsTeam", Checked: requests, Violations: c.wrongTeamRequests, required: true},
		{Name: "noKeyUpstream", Checked: requests, Violations: c.requestsWithKey, required: true},
		{
			Name: "withdrawnKeyDies", Checked: c.key.checked, Violations: c.key.late,
			required: slices.Contains(faults, FaultKeyWithdrawal),
		},
		c.rateAndBurst(shape),
		c.wholeAnswers(),
		c.notRunIsTrue(slices.Contains(faults, FaultSurge)),
		c.atMostOnce(),
		c.leavingUpstreamIdle(slices.Contains(faults, FaultUpstreamDrain)),
		c.plannedStopCutsNothing(slices.Contains(faults, FaultGracefulStop)),
		c.configInForce(),
	}
	return list
}

// rateAndBurst checks that the upstreams receive no more of a team's requests in any
// time window than the team's rate times the window plus its burst. A token bucket with
// that rate and burst is empty at a request exactly if some window exceeds the bound.
func (c *checker) rateAndBurst(shape Shape) Promise {
	p := Promise{Name: "rateAndBurst", required: true}
	byTeam := map[string][]time.Time{}
	for _, a := range c.arrivals {
		byTeam[a.team] = append(byTeam[a.team], a.at)
	}
	for _, team := range shape.teams() {
		times := byTeam[team.Name]
		slices.SortFunc(times, time.Time.Compare)
		p.Checked += len(times)
		p.Violations += countOverRate(times, team.RatePerSecond, team.Burst)
	}
	return p
}

// countOverRate counts the times that exceed a token bucket with the rate and burst. The
// times must be sorted.
func countOverRate(times []time.Time, rate, burst float64) int {
	over := 0
	tokens := burst
	for i, at := range times {
		if i > 0 {
			tokens = min(burst, tokens+rate*at.Sub(times[i-1]).Seconds())
		}
		if tokens < 1 {
			over++
			continue
		}
		tokens--
	}
	return over
}

// countOverCap counts the requests between regions that exceed the bandwidth limit of
// their link. The bytes of a request count when it ends, on the link from the instance's
// region to the endpoint's. Unlike in countOverRate, requests over the limit use tokens
// too, so the balance may become negative.
func (c *checker) countOverCap(shape Shape) int {
	type link struct{ from, to string }
	type state struct {
		tokens float64
		at     time.Time
	}
	over := 0
	links := map[link]*state{}
	for _, a := range c.transfers {
		s, ok := links[link{a.from, a.to}]
		if !ok {
			s = &state{tokens: shape.linkBurst(), at: a.at}
			links[link{a.from, a.to}] = s
		}
		s.tokens = min(shape.linkBurst(), s.tokens+float64(shape.LinkBytesPerSecond)*a.at.Sub(s.at).Seconds())
		s.at = a.at
		s.tokens -= float64(a.bytes)
		if s.tokens < 0 {
			over++
		}
	}
	return over
}

// wholeAnswers checks that each answered request got its own response, complete and
// unchanged. Error responses of upstreams are left out, since they repeat nothing of the
// request.
func (c *checker) wholeAnswers() Promise {
	p := Promise{Name: "wholeAnswers", required: true}
	for _, o := range c.outcomes {
		if o.kind != answered || o.upstreamError {
			continue
		}
		p.Checked++
		if !o.correct {
			p.Violations++
		}
	}
	return p
}

// attemptSummary summarizes the attempts of one request.
type attemptSummary struct {
	attempts int
	// notRun counts the attempts that certainly did not run, as far as the caller
	// knows.
	notRun     int
	idempotent bool
}

// attemptsByPath groups the attempts by path, which is unique to each request.
func (c *checker) attemptsByPath() map[string]attemptSummary {
	byPath := map[string]attemptSummary{}
	for _, o := range c.outcomes {
		t := byPath[o.path]
		t.attempts++
		t.idempotent = o.idempotent
		if o.dialFailed || (o.kind == refused && o.notRun) {
			t.notRun++
		}
		byPath[o.path] = t
	}
	return byPath
}

// notRunIsTrue checks that no upstream ran a request if the caller learned of each of
// its attempts that it did not run.
func (c *checker) notRunIsTrue(required bool) Promise {
	p := Promise{Name: "notRunIsTrue", required: required}
	for path, t := range c.attemptsByPath() {
		if t.notRun < t.attempts {
			continue
		}
		p.Checked++
		if c.runs[path] > 0 {
			p.Violations++
		}
	}
	return p
}

// atMostOnce checks that upstreams ran each non-idempotent request at most once. The
// path identifies the request, since it is unique and the same in all attempts.
func (c *checker) atMostOnce() Promise {
	p := Promise{Name: "atMostOnce", required: true}
	for path, t := range c.attemptsByPath() {
		if t.idempotent {
			continue
		}
		p.Checked++
		if c.runs[path] > 1 {
			p.Violations++
		}
	}
	return p
}

// leavingUpstreamIdle checks that draining endpoints receive no new requests later than
// drainLimit after the start of their drain.
func (c *checker) leavingUpstreamIdle(required bool) Promise {
	p := Promise{Name: "leavingUpstreamIdle", required: required}
	for _, d := range c.drains {
		p.Checked += d.checked
		p.Violations += d.late
	}
	return p
}

// plannedStopCutsNothing checks that no attempt fails that was in progress at the
// gracefully stopping instance when the stop began, or was sent to it later. The
// prober's attempts are left out, since they don't follow lookups.
func (c *checker) plannedStopCutsNothing(required bool) Promise {
	p := Promise{Name: "plannedStopCutsNothing", required: required}
	for _, o := range c.outcomes {
		if o.direct || o.instance != c.stop.address || o.sentAt.Add(o.latency).Before(c.stop.at) {
			continue
		}
		p.Checked++
		if o.kind == failed {
			p.Violations++
		}
	}
	return p
}

// configInForce checks that configuration changes were in force at every instance after
// configLimit and were never reverted.
func (c *checker) configInForce() Promise {
	p := Promise{Name: "configInForce", required: true}
	for _, a := range c.configs {
		p.Checked += a.checked
		p.Violations += a.late + a.reverts
	}
	return p
}

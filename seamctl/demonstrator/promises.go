package demonstrator

import (
	"slices"
	"time"
)

const (
	// withdrawalLimit is the longest time for which instances may still accept a key
	// after its withdrawal.
	withdrawalLimit = 3 * time.Second
	// drainLimit is the longest time for which an endpoint may still receive new
	// requests after the start of its drain.
	drainLimit = 3 * time.Second
	// configLimit is the longest time from the acceptance of a configuration change by
	// the store until the change is in force at all instances.
	configLimit = 5 * time.Second
)

// keyPrefix is the prefix of every API key.
const keyPrefix = "seam_"

// promises returns, for each promise, how often the recorded data checked it and how often
// it was violated. The caller must hold c.mu.
func (c *checker) promises(shape Shape, faults []Fault) []Promise {
	requests := len(c.arrivals)
	list := []Promise{
		{Name: "shiftUnderCap", Checked: c.requestsOfKnownOrigin, Violations: c.countOverCap(shape), required: true},
		{Name: "noRegionOverloaded", Checked: c.requestsOfKnownOrigin, Violations: c.regionOverloads, required: true},
		{Name: "runsForItsTeam", Checked: requests, Violations: c.wrongTeamRequests, required: true},
		{Name: "noKeyUpstream", Checked: requests, Violations: c.requestsWithKey, required: true},
		{
			Name: "withdrawnKeyDies", Checked: c.withdrawnKey.checked, Violations: c.withdrawnKey.late,
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

// rateAndBurst checks that in any time window, the upstreams receive at most this many
// requests of a team: the team's rate times the length of the window, plus the team's
// burst. A request exceeds this bound if a token bucket with the same rate and burst has
// no token left for it.
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

// countOverRate returns the number of requests for which a token bucket with the rate and
// burst has no token left. times holds the sorted arrival times of the requests. Requests
// over the rate take no token.
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

// countOverCap returns the number of requests between regions that exceed the bandwidth
// limit of their link. The link is the one from the sending instance's region to the
// endpoint's region. Each link has a token bucket with one token for each byte. When a
// request ends, it takes a token for each byte of both bodies; it exceeds the limit if the
// balance is negative then. Unlike in countOverRate, requests over the limit take tokens
// too.
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

// wholeAnswers checks that the response to each answered request is complete and repeats
// the path and body of that request. Error responses of upstreams are left out, since they
// repeat neither.
func (c *checker) wholeAnswers() Promise {
	p := Promise{Name: "wholeAnswers", required: true}
	for _, o := range c.outcomes {
		if o.kind != attemptAnswered || o.upstreamError {
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
	// notRun counts the attempts that did not run according to what the caller
	// observed: either no connection could be opened, or the refusal states that the
	// request did not run.
	notRun     int
	idempotent bool
}

// attemptsByPath returns a summary of the attempts of each request, by the request's path.
// The path identifies the request, since it is unique and the same in all attempts.
func (c *checker) attemptsByPath() map[string]attemptSummary {
	byPath := map[string]attemptSummary{}
	for _, o := range c.outcomes {
		t := byPath[o.path]
		t.attempts++
		t.idempotent = o.idempotent
		if o.dialFailed || (o.kind == attemptRefused && o.notRun) {
			t.notRun++
		}
		byPath[o.path] = t
	}
	return byPath
}

// notRunIsTrue checks that an upstream never ran a request of which every attempt appeared
// to the caller as not run; see attemptSummary.notRun.
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

// atMostOnce checks that the upstreams together ran each non-idempotent request at most
// once, counted over all attempts of the request.
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

// leavingUpstreamIdle checks that a draining endpoint receives no new request later than
// drainLimit after the start of its drain.
func (c *checker) leavingUpstreamIdle(required bool) Promise {
	p := Promise{Name: "leavingUpstreamIdle", required: required}
	for _, d := range c.drains {
		p.Checked += d.checked
		p.Violations += d.late
	}
	return p
}

// plannedStopCutsNothing checks the attempts at the instance that stops gracefully, if they
// were in progress when the stop began or were sent later. None of them may fail. The
// prober's attempts are left out: the prober selects instances itself, while callers stop
// using the instance once lookups no longer return it.
func (c *checker) plannedStopCutsNothing(required bool) Promise {
	p := Promise{Name: "plannedStopCutsNothing", required: required}
	for _, o := range c.outcomes {
		if o.withoutLookup || o.instance != c.stop.address || o.sentAt.Add(o.latency).Before(c.stop.at) {
			continue
		}
		p.Checked++
		if o.kind == attemptFailed {
			p.Violations++
		}
	}
	return p
}

// configInForce checks that each configuration change was in force at every probed instance
// after configLimit, and that no instance went back to a configuration without the change.
func (c *checker) configInForce() Promise {
	p := Promise{Name: "configInForce", required: true}
	for _, a := range c.configs {
		p.Checked += a.checked
		p.Violations += a.late + a.reverts
	}
	return p
}

package demonstrator

import (
	"slices"
	"time"
)

// Limits of the promises that are kept "within seconds".
const (
	withdrawalLimit = 3 * time.Second
	drainLimit      = 3 * time.Second
	configLimit     = 5 * time.Second
)

// keyPrefix is how every key begins.
const keyPrefix = "seam_"

// promises compares both ends and counts checks and violations.
func (c *checker) promises(shape Shape, faults []Fault) []Promise {
	seen := len(c.arrivals)
	list := []Promise{
		{Name: "shiftUnderCap", Checked: seen, Violations: c.overCap(shape), required: true},
		{Name: "noRegionOverloaded", Checked: seen, Violations: c.overloads, required: true},
		{Name: "runsForItsTeam", Checked: seen, Violations: c.wrongTeam, required: true},
		{Name: "noKeyUpstream", Checked: seen, Violations: c.keysSeen, required: true},
		{
			Name: "withdrawnKeyDies", Checked: c.key.checked, Violations: c.key.late,
			required: slices.Contains(faults, FaultKeyWithdrawal),
		},
		c.ratePromise(shape),
		c.wholeAnswers(),
		c.notRunIsTrue(slices.Contains(faults, FaultSurge)),
		c.atMostOnce(),
		c.leavingUpstream(slices.Contains(faults, FaultUpstreamDrain)),
		c.plannedStop(slices.Contains(faults, FaultGracefulStop)),
		c.configInForce(),
	}
	return list
}

// ratePromise checks every window at the upstreams: a token bucket with the
// team's rate and burst runs dry exactly if some window holds more than the
// rate times the window plus the burst.
func (c *checker) ratePromise(shape Shape) Promise {
	p := Promise{Name: "rateAndBurst", required: true}
	byTeam := map[string][]time.Time{}
	for _, a := range c.arrivals {
		byTeam[a.team] = append(byTeam[a.team], a.at)
	}
	for _, team := range shape.teams() {
		times := byTeam[team.Name]
		slices.SortFunc(times, time.Time.Compare)
		p.Checked += len(times)
		p.Violations += overRate(times, team.RatePerSecond, team.Burst)
	}
	return p
}

// overRate counts the times that come too early for the rate and burst.
func overRate(times []time.Time, rate, burst float64) int {
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

// overCap counts the requests between regions that exceed a link's cap.
func (c *checker) overCap(shape Shape) int {
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
		s.tokens = min(shape.linkBurst(), s.tokens+float64(shape.LinkBytes)*a.at.Sub(s.at).Seconds())
		s.at = a.at
		s.tokens -= float64(a.bytes)
		if s.tokens < 0 {
			over++
		}
	}
	return over
}

func (c *checker) wholeAnswers() Promise {
	p := Promise{Name: "wholeAnswers", required: true}
	for _, o := range c.outcomes {
		if o.kind != answered || o.upstreamError {
			continue
		}
		p.Checked++
		if !o.right {
			p.Violations++
		}
	}
	return p
}

// tries sums up the attempts of one request.
type tries struct {
	attempts   int
	notRun     int
	idempotent bool
}

func (c *checker) triesByPath() map[string]tries {
	byPath := map[string]tries{}
	for _, o := range c.outcomes {
		t := byPath[o.path]
		t.attempts++
		t.idempotent = o.idempotent
		if o.notSent || (o.kind == refused && o.notRun) {
			t.notRun++
		}
		byPath[o.path] = t
	}
	return byPath
}

// notRunIsTrue checks requests whose every attempt was said not to have run.
func (c *checker) notRunIsTrue(required bool) Promise {
	p := Promise{Name: "notRunIsTrue", required: required}
	for path, t := range c.triesByPath() {
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

// atMostOnce counts runs by name: every non-idempotent request has its own
// path, which is its name at the upstreams.
func (c *checker) atMostOnce() Promise {
	p := Promise{Name: "atMostOnce", required: true}
	for path, t := range c.triesByPath() {
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

func (c *checker) leavingUpstream(required bool) Promise {
	p := Promise{Name: "leavingUpstreamIdle", required: required}
	for _, d := range c.drains {
		p.Checked += d.checked
		p.Violations += d.late
	}
	return p
}

// plannedStop checks every request that was open at the stopping instance or
// sent to it later, by callers that follow their look-ups.
func (c *checker) plannedStop(required bool) Promise {
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

func (c *checker) configInForce() Promise {
	p := Promise{Name: "configInForce", required: true}
	for _, a := range c.configs {
		p.Checked += a.checked
		p.Violations += a.late + a.reverts
	}
	return p
}

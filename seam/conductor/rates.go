package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

const (
	// startPart is the part of a burst that an instance takes to be left when it
	// starts: others, or it itself before, may have used the rest.
	startPart = 0.25
	// leftAim is the part of a burst that is aimed to be left while a team asks
	// for more than its rate, leftGain the part of the difference that is given
	// out until news reaches all; a whole one would be given out twice.
	leftAim  = 0.3
	leftGain = 0.5
	// surgeCount is the number of requests within a meter's memory from which on
	// they tell of the demand at other instances too.
	surgeCount = 5
	// shareLearn weighs a new measurement of the share, five times a second.
	shareLearn = 0.02
	// partBurst is the part of its share of a burst that an instance may use
	// before others hear of it.
	partBurst = 0.4
	// debtTime is the time of a team's rate that is made up for at most.
	debtTime = 6 * time.Second
)

// teamState is what an instance knows of a team.
//
// What the fleet used is counted from heartbeats, in a bucket that may go into
// debt. Each request is let through by chance, so that all that arrive until
// news reaches everybody take what the rate gives in that time and a part of what
// is left. Nothing is let through while there is a debt, so that what went faster
// than the news is made up for. Chance needs no shares, which would be less than
// a request where instances are many.
type teamState struct {
	hash   uint32
	demand rationer.Meter
	// others is the demand at the other instances, share the usual part of all
	// demand that comes here.
	others float64
	share  float64
	// used is the number of requests let through here, in this lifetime.
	used uint64
	// told is what others were told of it.
	told [audiences]toldDemand
	// fleet is what the fleet as a whole has left, as far as is known here, and
	// part what this instance may use if it is cut off.
	fleet rationer.Bucket
	part  rationer.Bucket
	// whole means that more than half of the fleet is heard, news how long it
	// takes until all have heard of something.
	whole bool
	news  time.Duration
}

// retryState is an instance's part of a service's retry budget.
type retryState struct {
	bucket rationer.Bucket
}

// refreshRates renews this instance's parts of the teams' rates and of the
// retry budgets.
func (m *Model) refreshRates(now time.Time) {
	if m.config == nil {
		return
	}
	fleet := m.fleet()
	for name, t := range m.teams {
		team, ok := m.config.Teams()[name]
		if !ok || team.Rate <= 0 {
			continue
		}
		others := 0.0
		for _, p := range m.peers {
			if !p.silent {
				others += p.demand[t.hash]
			}
		}
		t.setRate(now, team, fleet, others)
	}
}

// setRate takes a team's rate and burst, and the demand at other instances.
func (t *teamState) setRate(now time.Time, team *router.Team, fleet rationer.Fleet, others float64) {
	own := t.demand.Rate(now)
	part := rationer.Part(fleet, own, others)
	t.whole = fleet.Whole()
	t.news = newsTime(fleet.Heard)
	t.others = others
	if t.share == 0 {
		t.share = 1 / float64(fleet.Known)
	}
	if own+others > 0 {
		t.share += shareLearn * (own/(own+others) - t.share)
	}
	t.fleet.SetDebt(debtTime.Seconds() * team.Rate)
	t.fleet.SetRate(now, team.Rate, max(team.Burst, 1))
	t.part.SetRate(now, team.Rate*part, max(partBurst*team.Burst*part, 1))
}

// take lets a request through or refuses it. Chance is a random number from 0 to
// 1.
func (t *teamState) take(now time.Time, team *router.Team, chance float64) bool {
	own := t.part.Take(now)
	if !t.whole && !own || t.whole && chance >= t.chanceLeft(now, team) {
		return false
	}
	t.fleet.Spend(now, 1)
	t.used++
	return true
}

// chanceLeft returns the part of the requests that may be let through.
func (t *teamState) chanceLeft(now time.Time, team *router.Team) float64 {
	left := t.fleet.Tokens(now)
	if left < 0 {
		return 0
	}
	news := t.news.Seconds()
	give := team.Rate*news + leftGain*(left-leftAim*team.Burst)
	return give / max(t.expected(now)*news, 1)
}

// expected returns the demand over the fleet. A surge shows here before the
// others' heartbeats tell of it.
func (t *teamState) expected(now time.Time) float64 {
	own := t.demand.Rate(now)
	all := own + t.others
	if t.demand.Count(now) >= surgeCount {
		all = max(all, own/max(t.share, 1e-3))
	}
	return all
}

// giveBack returns the token of a request that did not run.
func (t *teamState) giveBack() {
	t.part.Put(1)
	t.fleet.Put(1)
	t.used--
}

// teamOf returns the state of a team.
func (m *Model) teamOf(now time.Time, name string) *teamState {
	t, ok := m.teams[name]
	if !ok {
		t = &teamState{hash: placer.Hash32(name)}
		m.teams[name] = t
		m.byHash[t.hash] = t
		team := m.config.Teams()[name]
		fleet := m.fleet()
		left := startPart * team.Burst
		t.fleet = rationer.NewBucket(now, team.Rate, team.Burst, left)
		t.part = rationer.NewBucket(now, team.Rate, team.Burst, left*rationer.Part(fleet, 0, 0))
		t.setRate(now, team, fleet, 0)
	}
	return t
}

// retryOf returns this instance's part of a service's retry budget. It earns a
// part of each request and keeps an even part of the extra.
func (m *Model) retryOf(now time.Time, service string) *retryState {
	r, ok := m.retries[service]
	if !ok {
		r = &retryState{}
		extra := m.bounds.RetryExtra / float64(max(m.fleet().Known, minFleet))
		burst := max(extra*extraUsed, 1)
		r.bucket = rationer.NewBucket(now, 0, burst, burst)
		m.retries[service] = r
	}
	return r
}

const (
	// minFleet is the number of instances that a retry budget is divided by at
	// least; some may be added.
	minFleet = 12
	// extraUsed is the part of the retry budget's extra that is used; the rest
	// covers instances that start anew within a window.
	extraUsed = 0.5
	// ratioUsed is the part of the retry budget's ratio that is used.
	ratioUsed = 0.85
)

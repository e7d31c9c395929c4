package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

const (
	// initialTokensRatio is the fraction of a burst that an instance assumes to be
	// left when it starts: other instances, or this one before its restart, may have
	// used the rest.
	initialTokensRatio = 0.25
	// targetTokensRatio is the fraction of a burst that should stay in the bucket
	// while a team's demand exceeds its rate. surplusGain is the fraction of the
	// difference from it that is handed out per propagation time; handing out all of
	// it would hand it out twice, since heartbeats take that long to report it.
	targetTokensRatio = 0.3
	surplusGain       = 0.5
	// surgeCount is the number of requests in a meter's window from which the local
	// demand is used to estimate that of the other instances.
	surgeCount = 5
	// demandShareWeight is the weight of a new measurement of demandShare; there are
	// about five measurements a second.
	demandShareWeight = 0.02
	// localBurstRatio is the fraction of its share of a burst that an instance may
	// use before the others are informed of it.
	localBurstRatio = 0.4
	// maxDebtTime bounds the debt of a team's bucket, in seconds of its rate.
	maxDebtTime = 6 * time.Second
)

// teamState is this instance's view of a team's fleet-wide rate limit.
//
// The admissions of all instances, as reported by heartbeats, are counted in a
// token bucket that may become negative. Requests are admitted at random, with a
// probability at which the whole fleet admits, until heartbeats have reached all
// instances, what the rate provides in that time plus a fraction of the surplus
// tokens. Nothing is admitted while the bucket is negative, which compensates for
// admissions that the heartbeats reported too late. Fixed quotas per instance would
// not work: with many instances they are less than one request.
type teamState struct {
	hash   uint32
	demand rationer.Meter
	// othersDemand is the demand at the other instances, demandShare a moving average
	// of the fraction of the team's demand that arrives here.
	othersDemand float64
	demandShare  float64
	// admitted is the number of requests admitted here since the start.
	admitted uint64
	// lastReported is what was last reported to each audience.
	lastReported [audienceCount]reportedDemand
	// fleetBucket holds the tokens left for the whole fleet by this instance's count,
	// and localBucket those that this instance may use while it is partitioned.
	fleetBucket rationer.Bucket
	localBucket rationer.Bucket
	// hasMajority means that more than half of the known instances are live from this
	// instance's view; propagation is the propagationTime of the fleet.
	hasMajority bool
	propagation time.Duration
}

// retryBudget is this instance's part of a service's retry budget.
type retryBudget struct {
	bucket rationer.Bucket
}

// refreshRates recomputes this instance's shares of the teams' rates.
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
		othersDemand := 0.0
		for _, p := range m.peers {
			if !p.silent {
				othersDemand += p.demand[t.hash]
			}
		}
		t.setRate(now, team, fleet, othersDemand)
	}
}

// setRate applies a team's rate and burst and the demand at the other instances.
func (t *teamState) setRate(now time.Time, team *router.Team, fleet rationer.Fleet, othersDemand float64) {
	own := t.demand.Rate(now)
	localShare := rationer.Share(fleet, own, othersDemand)
	t.hasMajority = fleet.HasMajority()
	t.propagation = propagationTime(fleet.LiveInstances)
	t.othersDemand = othersDemand
	if t.demandShare == 0 {
		t.demandShare = 1 / float64(fleet.KnownInstances)
	}
	if own+othersDemand > 0 {
		t.demandShare += demandShareWeight * (own/(own+othersDemand) - t.demandShare)
	}
	t.fleetBucket.SetMaxDebt(maxDebtTime.Seconds() * team.Rate)
	t.fleetBucket.SetRate(now, team.Rate, max(team.Burst, 1))
	t.localBucket.SetRate(now, team.Rate*localShare, max(localBurstRatio*team.Burst*localShare, 1))
}

// admit decides whether a request is admitted, and takes its token if so. random
// is uniform in [0, 1).
func (t *teamState) admit(now time.Time, team *router.Team, random float64) bool {
	hasLocalToken := t.localBucket.Take(now)
	if !t.hasMajority && !hasLocalToken || t.hasMajority && random >= t.admitProbability(now, team) {
		return false
	}
	t.fleetBucket.Spend(now, 1)
	t.admitted++
	return true
}

// admitProbability returns the probability with which a request is admitted.
func (t *teamState) admitProbability(now time.Time, team *router.Team) float64 {
	tokens := t.fleetBucket.Tokens(now)
	if tokens < 0 {
		return 0
	}
	propagation := t.propagation.Seconds()
	budget := team.Rate*propagation + surplusGain*(tokens-targetTokensRatio*team.Burst)
	return budget / max(t.fleetDemand(now)*propagation, 1)
}

// fleetDemand estimates the demand over the fleet. A surge shows in the local
// demand before heartbeats report it from the other instances.
func (t *teamState) fleetDemand(now time.Time) float64 {
	own := t.demand.Rate(now)
	total := own + t.othersDemand
	if t.demand.Count(now) >= surgeCount {
		total = max(total, own/max(t.demandShare, 1e-3))
	}
	return total
}

// refundToken returns the token of a request that did not run.
func (t *teamState) refundToken() {
	t.localBucket.Put(1)
	t.fleetBucket.Put(1)
	t.admitted--
}

// teamStateOf returns the state of a team, creating it if there is none.
func (m *Model) teamStateOf(now time.Time, name string) *teamState {
	t, ok := m.teams[name]
	if !ok {
		t = &teamState{hash: placer.Hash32(name)}
		m.teams[name] = t
		m.teamsByHash[t.hash] = t
		team := m.config.Teams()[name]
		fleet := m.fleet()
		tokens := initialTokensRatio * team.Burst
		t.fleetBucket = rationer.NewBucket(now, team.Rate, team.Burst, tokens)
		t.localBucket = rationer.NewBucket(now, team.Rate, team.Burst, tokens*rationer.Share(fleet, 0, 0))
		t.setRate(now, team, fleet, 0)
	}
	return t
}

// retryBudgetOf returns this instance's part of a service's retry budget. It earns
// a fraction of a token with each request and starts with an equal share of
// RetryExtra.
func (m *Model) retryBudgetOf(now time.Time, service string) *retryBudget {
	r, ok := m.retryBudgets[service]
	if !ok {
		r = &retryBudget{}
		extra := m.bounds.RetryExtra / float64(max(m.fleet().KnownInstances, minRetryFleetSize))
		burst := max(extra*usedRetryExtra, 1)
		r.bucket = rationer.NewBucket(now, 0, burst, burst)
		m.retryBudgets[service] = r
	}
	return r
}

const (
	// minRetryFleetSize is the least number of instances that RetryExtra is divided
	// by; it leaves room for instances that are added later.
	minRetryFleetSize = 12
	// usedRetryExtra is the fraction of RetryExtra that is used; the rest covers
	// instances that restart, with a full budget, within the period that the limit
	// applies to.
	usedRetryExtra = 0.5
	// usedRetryRatio is the fraction of RetryRatio that is used.
	usedRetryRatio = 0.85
)

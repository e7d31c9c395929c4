package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

const (
	// initialTokensRatio is the fraction of a team's burst that an instance takes to be
	// unused when it starts. Other instances, or this one before its restart, may have
	// used the rest.
	initialTokensRatio = 0.25
	// targetTokensRatio is the fraction of a burst that should stay in the bucket while a
	// team's demand exceeds its rate. surplusGain is the fraction of the tokens above
	// that level that the fleet may use per propagation time. It is below 1 because
	// instances learn of each other's admissions only after that time and could use the
	// same tokens twice. Below the level, admissions are reduced by the same fraction of
	// the missing tokens.
	targetTokensRatio = 0.3
	surplusGain       = 0.5
	// surgeCount is a threshold: if a team sent at least this many requests here within
	// the meter's window, the local demand is also used to estimate the demand of the
	// whole fleet.
	surgeCount = 5
	// demandShareWeight is the weight of a new measurement in the moving average
	// demandShare. There are about five measurements a second.
	demandShareWeight = 0.02
	// localBurstRatio times an instance's share of a team's burst is the burst of
	// localBucket. It limits what the instance may admit before the other instances are
	// informed.
	localBurstRatio = 0.4
	// maxDebtTime bounds the debt of a team's bucket: the debt is at most the tokens that
	// the team's rate gives in this time.
	maxDebtTime = 6 * time.Second
)

// teamState is this instance's state of a team's fleet-wide rate limit.
//
// A token bucket counts the admissions of all instances, as reported by heartbeats.
// Its tokens may become negative. Requests are admitted at random. The probability is
// set so that, in the time that heartbeats need to reach all instances, the whole
// fleet admits as many requests as the rate allows in that time, plus a fraction of
// the surplus tokens. Nothing is admitted while the tokens are negative, which
// compensates for admissions that the heartbeats reported too late. Fixed quotas per
// instance would not work: with many instances, a quota is less than one request.
//
// An instance whose basis isn't shared (see [rationer.Basis]) admits by a token bucket of
// its own share instead.
type teamState struct {
	hash   uint32
	demand rationer.Meter
	// othersDemand is the demand at the other instances, in requests per second.
	// demandShare is a moving average of the fraction of the team's demand that arrives
	// here.
	othersDemand float64
	demandShare  float64
	// admittedCount is the number of the team's requests admitted here since the start of
	// this instance.
	admittedCount uint64
	// lastReported holds what was last reported of the team to each audience.
	lastReported [audienceCount]reportedDemand
	// fleetBucket holds the tokens left for the whole fleet, as far as this instance
	// knows. localBucket holds the tokens that this instance may use while it is
	// partitioned.
	fleetBucket rationer.Bucket
	localBucket rationer.Bucket
	// basis is the basis of this instance's part of the rate. groupRate and groupBurst are what the
	// live instances use together on it. propagation is the propagationTime of the fleet.
	basis                 rationer.Basis
	groupRate, groupBurst float64
	propagation           time.Duration
}

// retryBudget is this instance's part of a service's retry budget. Each token allows
// one retry.
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
		t.setRate(now, team, fleet, m.demand.perSecond(t.hash))
	}
}

// setRate applies the settings of a team, the size of the fleet, and the demand at
// the other instances.
func (t *teamState) setRate(now time.Time, team *router.Team, fleet rationer.Fleet, othersDemand float64) {
	ownDemand := t.demand.Rate(now)
	localShare := rationer.Share(fleet, ownDemand, othersDemand)
	t.basis = fleet.Basis()
	t.groupRate, t.groupBurst = t.basis.Together(team.Rate, team.Burst)
	t.propagation = propagationTime(fleet.LiveInstances)
	t.othersDemand = othersDemand
	if t.demandShare == 0 {
		t.demandShare = 1 / float64(fleet.KnownInstances)
	}
	if ownDemand+othersDemand > 0 {
		t.demandShare += demandShareWeight * (ownDemand/(ownDemand+othersDemand) - t.demandShare)
	}
	t.fleetBucket.SetMaxDebt(maxDebtTime.Seconds() * t.groupRate)
	t.fleetBucket.SetRate(now, t.groupRate, max(t.groupBurst, 1))
	t.localBucket.SetRate(now, team.Rate*localShare, max(localBurstRatio*team.Burst*localShare, 1))
}

// admit reports whether a request is admitted, and counts the admitted requests.
// random is uniform in [0, 1). While the live instances use a part of the rate together, the
// request is admitted with admitProbability. Otherwise it is admitted if localBucket
// has a token. In both cases a token is taken from localBucket if there is one, even
// if the request is then refused.
func (t *teamState) admit(now time.Time, random float64) bool {
	hasLocalToken := t.localBucket.Take(now)
	shared := t.basis.IsShared()
	if !shared && !hasLocalToken || shared && random >= t.admitProbability(now) {
		return false
	}
	t.fleetBucket.Spend(now, 1)
	t.admittedCount++
	return true
}

// admitProbability returns the probability with which a request is admitted while the live
// instances use a part of the rate together. It may exceed 1.
func (t *teamState) admitProbability(now time.Time) float64 {
	tokens := t.fleetBucket.Tokens(now)
	if tokens < 0 {
		return 0
	}
	propagation := t.propagation.Seconds()
	budget := t.groupRate*propagation + surplusGain*(tokens-targetTokensRatio*t.groupBurst)
	return budget / max(t.fleetDemand(now)*propagation, 1)
}

// fleetDemand returns the estimated demand of the team over the whole fleet, in
// requests per second. A surge shows in the local demand before heartbeats report it
// from the other instances.
func (t *teamState) fleetDemand(now time.Time) float64 {
	ownDemand := t.demand.Rate(now)
	total := ownDemand + t.othersDemand
	if t.demand.Count(now) >= surgeCount {
		total = max(total, ownDemand/max(t.demandShare, 1e-3))
	}
	return total
}

// refundToken takes back the admission of a request that did not run.
func (t *teamState) refundToken() {
	t.localBucket.Put(1)
	t.fleetBucket.Put(1)
	t.admittedCount--
}

// teamStateOf returns the state of a team and creates it if there is none.
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

// retryBudgetOf returns this instance's part of a service's retry budget and creates
// it if there is none. A new budget holds an equal share of usedRetryExtra times
// RetryExtra, and at least one token. The caller adds a fraction of a token for each
// request to the service.
func (m *Model) retryBudgetOf(now time.Time, service string) *retryBudget {
	r, ok := m.retryBudgets[service]
	if !ok {
		r = &retryBudget{}
		burst := m.retryBurst()
		r.bucket = rationer.NewBucket(now, 0, burst, burst)
		m.retryBudgets[service] = r
	}
	return r
}

// retryBurst returns the most tokens that this instance's part of a retry budget holds.
func (m *Model) retryBurst() float64 {
	extra := m.bounds.RetryExtra / float64(max(m.fleet().KnownInstances, minRetryFleetSize))
	return max(extra*usedRetryExtra, 1)
}

// refreshRetryBudgets adapts this instance's parts of the retry budgets to the number of known
// instances.
func (m *Model) refreshRetryBudgets(now time.Time) {
	burst := m.retryBurst()
	for _, r := range m.retryBudgets {
		r.bucket.SetRate(now, 0, burst)
	}
}

const (
	// RetryExtra is divided by the number of known instances, but at least by
	// minRetryFleetSize. That leaves room for instances that are added later.
	minRetryFleetSize = 12
	// usedRetryExtra is the fraction of RetryExtra that the instances share. An instance
	// that restarts begins with a full share again. The rest of RetryExtra allows for
	// such restarts.
	usedRetryExtra = 0.5
	// usedRetryRatio times RetryRatio is the number of tokens that each request adds to
	// the retry budget.
	usedRetryRatio = 0.85
)

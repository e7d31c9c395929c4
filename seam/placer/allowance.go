package placer

import (
	"math"
	"time"
)

const (
	// A cold endpoint can handle a limited rate of requests. coldRateFraction is the
	// fraction of this rate that its owner uses. coldBurst is the number of requests
	// that the owner may send to it at once. While instances disagree about the owner,
	// two of them may act as the owner: together they stay below 1.5 times the rate and
	// a burst of 5.
	coldRateFraction = 0.7
	coldBurst        = 2
	// minColdRate is the lowest rate that a cold endpoint is assumed to handle, in
	// requests per second. It applies if the configured rate is lower or missing.
	minColdRate = 2.0
	// limitFraction is the fraction of a named rate limit that the senders use together. It
	// is disputedLimitFraction if other instances may have other senders in view.
	limitFraction         = 1.0
	disputedLimitFraction = 0.7
	// An endpoint with a rate limit has minSenders senders, and one more for each
	// requestsPerSender requests per second of the limit. Together they may send minBurst
	// requests at once, and burstPerLimit more for each request per second of the limit: at
	// least one each. Two groups of senders that dispute each other so send at most
	// 6 x limit + 4 requests in 4 seconds, which is 1.5 times the limit and 4 requests.
	minSenders        = 2
	requestsPerSender = 5.0
	minBurst          = 2.0
	burstPerLimit     = 0.2
	// minLimitRate is the lowest rate, in requests per second, at which the senders use an
	// endpoint that names a limit, even of 0. Only an answer shows that the limit has ended.
	minLimitRate = 0.1
	// If no answer has stated a limit for limitStale and the time in which each sender can
	// send a request, and no attempts are in flight, the instances that come after the senders
	// in the endpoint's order may make one attempt at a time: the first one then, each further
	// one takeoverStep later.
	limitStale   = 4 * time.Second
	takeoverStep = 500 * time.Millisecond
)

// Standing is the place of an instance in an endpoint's order of instances. The first ones
// in the order are the endpoint's senders, and the very first one is its owner.
type Standing struct {
	// Rank is 0 for the first instance of the order, and NoRank if this instance has no
	// place in it. Candidates is the number of instances in the order.
	Rank       int
	Candidates int
	// Disputed means that other instances may assume another order.
	Disputed bool
}

// NoRank is the rank of an instance that isn't in the order.
const NoRank = math.MaxInt

// allowance is what all instances together may send to an endpoint: perSecond requests per
// second, burst of them at once, in equal parts by the first senders of its order.
type allowance struct {
	perSecond float64
	senders   int
	burst     float64
}

// allowanceOf returns the allowance of an endpoint, or false if any instance may send any
// number of requests. coldRate is the number of requests per second that a cold endpoint of
// the service can handle.
func (e *endpoint) allowanceOf(now time.Time, coldRate float64, disputed bool) (allowance, bool) {
	cold := allowance{perSecond: max(coldRate, minColdRate) * coldRateFraction, senders: 1, burst: coldBurst}
	if !e.limit.named {
		return cold, e.isCold(now)
	}
	fraction := limitFraction
	if disputed {
		fraction = disputedLimitFraction
	}
	limited := allowance{
		perSecond: max(e.limit.perSecond*fraction, minLimitRate),
		senders:   minSenders + int(e.limit.perSecond/requestsPerSender),
		burst:     minBurst + burstPerLimit*e.limit.perSecond,
	}
	if e.isCold(now) {
		limited = allowance{min(limited.perSecond, cold.perSecond), cold.senders, min(limited.burst, cold.burst)}
	}
	return limited, true
}

// maySend reports whether this instance may send to the endpoint now. coldRate is as for
// allowanceOf.
//
// An endpoint that is cold or names a rate limit gets requests from its senders only, each
// at its part of the allowance. There are exceptions, in which another instance may make
// one attempt at a time. First, the endpoint is unreachable from this instance, and no
// other instance currently reports it as unreachable. Second, it has been unreachable from
// this instance for longer than ownerTimeout. Third, no answer states its limit (see
// limitStale). While an endpoint is ejected and unreachable from this instance, this
// instance sends nothing to it.
func (e *endpoint) maySend(now time.Time, s Standing, coldRate float64) bool {
	a, bounded := e.allowanceOf(now, coldRate, s.Disputed)
	if !bounded {
		return true
	}
	if e.isUnreachable() && e.isEjected(now) {
		return false
	}
	senders := min(a.senders, max(s.Candidates, 1))
	if s.Rank < senders {
		e.sendBudget.SetRate(now, a.perSecond/float64(senders), a.burst/float64(senders))
		return e.sendBudget.Ready(now)
	}
	if e.isCold(now) {
		onlyHere := e.isUnreachable() && !now.Before(e.peerUnreachableUntil)
		ownerTimedOut := e.isUnreachable() && now.Sub(e.unreachableSince) > ownerTimeout
		return (onlyHere || ownerTimedOut) && e.ownInFlight == 0
	}
	stale := limitStale + time.Duration(float64(senders)/a.perSecond*float64(time.Second))
	return s.Rank != NoRank && e.attemptsInFlight() == 0 && now.Sub(e.limit.statedAt) > stale+time.Duration(s.Rank-senders)*takeoverStep
}

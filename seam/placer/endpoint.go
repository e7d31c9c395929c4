package placer

import (
	"hash/fnv"
	"math"
	"time"

	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

const (
	// warmTTL is how long an object counts as warm after an endpoint last handled
	// it. It is an approximation: endpoints limit the number of objects that they
	// keep, not the time.
	warmTTL = 25 * time.Second
	// fastWeight and slowWeight are weights of a new measurement in an
	// exponentially weighted mean.
	fastWeight = 0.2
	slowWeight = 0.08
	// failuresToEject is how many attempts must fail, with no answer in between, to
	// eject an endpoint.
	failuresToEject = 3
	// dialFailuresToUnreachable is how many connections must fail to open in time,
	// with no answer in between, before an endpoint counts as unreachable; a single
	// one may be due to a lost packet.
	dialFailuresToUnreachable = 2
	// minEjection is the duration of the first ejection; each further one takes
	// twice as long, up to maxEjection.
	minEjection = 1500 * time.Millisecond
	maxEjection = 6 * time.Second
	// ownerTimeout is how long an endpoint must have been unreachable before an
	// instance that isn't its owner tries it too.
	ownerTimeout = 8 * time.Second
	// coldRateFraction is the fraction of a cold endpoint's rate that its owner
	// uses, and coldBurst the number of requests it may send at once. While
	// instances disagree about the owner there may be two: together they stay below
	// 1.5 times the rate and a burst of 5.
	coldRateFraction = 0.7
	coldBurst        = 2
	// minColdRate is the lowest rate assumed for a cold endpoint, in requests per
	// second. It applies if the configuration sets none, or a lower one.
	minColdRate = 2.0
	// minWarmup is the least time for which an endpoint counts as cold after it
	// could not be reached. It applies if the configuration sets none, or a shorter
	// one.
	minWarmup = time.Second
	// maxSlowdown bounds an endpoint's slowdown.
	maxSlowdown = 20
	// evidenceDecay is the time in which an endpoint's excess slowdown and its
	// failure rate fall to a third if no new results come.
	evidenceDecay = 4 * time.Second
	// underusedFactor is how many times an endpoint's load must fit into its slots
	// for the endpoint to count as underused.
	underusedFactor = 3
	// coldSlowdown is the least slowdown that is assumed of a cold endpoint.
	coldSlowdown = 2.0
)

// Hash32 returns the hash by which messages between instances identify endpoints,
// objects, services and teams.
func Hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// mix combines two hashes into one with evenly distributed bits.
func mix(a, b uint32) uint32 {
	x := uint64(a)<<32 | uint64(b)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return uint32(x)
}

// endpoint is this instance's state of one incarnation of an endpoint, from its start
// to its end.
type endpoint struct {
	spec   router.Endpoint
	region string
	hash   uint32
	// ownInFlight is the number of this instance's attempts in flight, and sentTimes
	// holds when they were sent. peerInFlight is the number of the other instances'
	// attempts, by their last reports.
	ownInFlight  int
	peerInFlight int
	sentTimes    []time.Time
	// warm holds when each object was handled, by the object's hash.
	warm map[uint32]useTimes
	// slowdown is the endpoint's run time relative to the mean of its service, as of
	// slowdownAt, or 0 before the first measurement.
	slowdown   float64
	slowdownAt time.Time
	// failureRate is the fraction of recent attempts that failed, as of
	// failureRateAt.
	failureRate         float64
	failureRateAt       time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	ejections           int
	// dialFailures counts the connections that could not be opened since the last
	// answer.
	dialFailures int
	// unreachableSince is since when the endpoint has been unreachable, or zero if it
	// isn't.
	unreachableSince time.Time
	// answeredAt is when the endpoint last answered this instance.
	answeredAt time.Time
	// peerUnreachableUntil is until when the endpoint counts as unreachable because
	// another instance reported it.
	peerUnreachableUntil time.Time
	// coldUntil is when the endpoint's warm-up ends, and announceColdUntil until when
	// this instance reports to the others that the endpoint has come back cold.
	coldUntil         time.Time
	announceColdUntil time.Time
	// untried means that the endpoint is new and, as far as is known, no instance
	// has sent it a request yet.
	untried bool
	// coldBudget limits what this instance sends while the endpoint is cold.
	coldBudget rationer.Bucket
}

// useTimes is when an endpoint first and last handled an object.
type useTimes struct{ first, last time.Time }

// markWarm records that the endpoint handles an object.
func (e *endpoint) markWarm(now time.Time, object uint32) {
	h, ok := e.warm[object]
	if !ok || now.Sub(h.last) >= warmTTL {
		h.first = now
	}
	h.last = now
	e.warm[object] = h
}

// attemptsInFlight returns the number of attempts in flight from all instances.
func (e *endpoint) attemptsInFlight() int { return e.ownInFlight + e.peerInFlight }

// underused reports whether the endpoint has so many free slots that warming one more
// object there is better than letting requests queue elsewhere.
func (e *endpoint) underused() bool { return underusedFactor*e.attemptsInFlight() < e.spec.Slots }

// currentSlowdown returns the endpoint's run time relative to the mean of its service.
// It approaches 1 while no answers come.
func (e *endpoint) currentSlowdown(now time.Time) float64 {
	if e.slowdown == 0 {
		return 1
	}
	fade := now.Sub(e.slowdownAt).Seconds() / evidenceDecay.Seconds()
	return 1 + (e.slowdown-1)/(1+fade+fade*fade)
}

// currentFailureRate returns the fraction of attempts that fail. It approaches 0 while
// no results come.
func (e *endpoint) currentFailureRate(now time.Time) float64 {
	fade := now.Sub(e.failureRateAt).Seconds() / evidenceDecay.Seconds()
	return e.failureRate / (1 + fade + fade*fade)
}

// cold reports whether the endpoint is cold. An unreachable one counts as cold,
// because it may have restarted by the time it can be reached again.
func (e *endpoint) cold(now time.Time) bool {
	return now.Before(e.coldUntil) || e.unreachable() || now.Before(e.peerUnreachableUntil)
}

func (e *endpoint) unreachable() bool { return !e.unreachableSince.IsZero() }

// maySend reports whether this instance may send to the endpoint now. To a cold
// endpoint only its owner may, at a limited rate. Another instance may make one
// attempt at a time if it can't reach the endpoint while no other instance reports
// the same, or if the endpoint has been unreachable for longer than ownerTimeout.
func (e *endpoint) maySend(now time.Time, owner bool, rate float64) bool {
	if !e.cold(now) {
		return true
	}
	if e.unreachable() && e.ejected(now) {
		return false
	}
	if owner {
		e.coldBudget.SetRate(now, max(rate, minColdRate)*coldRateFraction, coldBurst)
		return e.coldBudget.Ready(now)
	}
	onlyHere := e.unreachable() && !now.Before(e.peerUnreachableUntil)
	ownerTimedOut := e.unreachable() && now.Sub(e.unreachableSince) > ownerTimeout
	return (onlyHere || ownerTimedOut) && e.ownInFlight == 0
}

func (e *endpoint) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// isWarm reports whether the endpoint handled the object recently and probably still
// keeps it. If it handled more objects than its capacity, a hash decides which of them
// count as warm: the same ones at all instances, so that the rest moves to other
// endpoints. A capacity of 0 means no limit.
func (e *endpoint) isWarm(now time.Time, object uint32, warmCapacity float64) bool {
	h, ok := e.warm[object]
	if !ok || now.Sub(h.last) >= warmTTL {
		return false
	}
	if n := float64(len(e.warm)); warmCapacity > 0 && n > warmCapacity {
		return float64(mix(object, e.hash)) < warmCapacity/n*math.MaxUint32
	}
	return true
}

// oldestAge returns how long this instance's oldest attempt has been in flight, or 0
// if there is none.
func (e *endpoint) oldestAge(now time.Time) time.Duration {
	if len(e.sentTimes) == 0 {
		return 0
	}
	return now.Sub(e.sentTimes[0])
}

// recordAttempt records an attempt.
func (e *endpoint) recordAttempt(now time.Time) {
	e.ownInFlight++
	e.untried = false
	e.sentTimes = append(e.sentTimes, now)
}

// removeAttempt removes the attempt that was sent at the given time.
func (e *endpoint) removeAttempt(sentAt time.Time) {
	e.ownInFlight = max(e.ownInFlight-1, 0)
	for i, at := range e.sentTimes {
		if at.Equal(sentAt) {
			e.sentTimes = append(e.sentTimes[:i], e.sentTimes[i+1:]...)
			return
		}
	}
}

// recordSlowdown updates the endpoint's slowdown from an answer; ratio is the measured
// slowdown.
func (e *endpoint) recordSlowdown(now time.Time, ratio float64) {
	old := e.currentSlowdown(now)
	weight := fastWeight
	e.slowdown = min(max(old+weight*(ratio-old), 0.5), maxSlowdown)
	e.slowdownAt = now
}

// recordAnswer records an attempt that got an answer. An endpoint that answers
// after it could not be reached may have restarted, so it counts as cold.
func (e *endpoint) recordAnswer(now time.Time, warmup time.Duration) {
	if e.unreachable() || now.Before(e.peerUnreachableUntil) {
		e.markRecovered(now, max(warmup, minWarmup))
		e.announceColdUntil = e.coldUntil
	}
	e.answeredAt = now
	e.failureRate = e.currentFailureRate(now) * (1 - fastWeight/2)
	e.failureRateAt = now
	e.consecutiveFailures = 0
	e.ejections = 0
	e.dialFailures = 0
}

// markRecovered records that the endpoint can be reached again and counts as cold for the
// given time.
func (e *endpoint) markRecovered(now time.Time, cold time.Duration) {
	e.coldUntil = later(e.coldUntil, now.Add(cold))
	e.unreachableSince = time.Time{}
	e.peerUnreachableUntil = time.Time{}
	e.ejectedUntil = time.Time{}
	e.ejections = 0
}

// recordFailure records an attempt that got no complete answer.
func (e *endpoint) recordFailure(now time.Time) {
	old := e.currentFailureRate(now)
	e.failureRate = old + fastWeight*(1-old)
	e.failureRateAt = now
	e.consecutiveFailures++
	if e.consecutiveFailures >= failuresToEject {
		e.eject(now)
	}
}

// recordDialFailure records a connection that was refused or did not open in time. A refused
// one makes the endpoint unreachable at once.
func (e *endpoint) recordDialFailure(now time.Time, refused bool) {
	e.dialFailures++
	if !refused && e.dialFailures < dialFailuresToUnreachable {
		return
	}
	if !e.unreachable() {
		e.unreachableSince = now
	}
	e.eject(now)
}

// eject ranks the endpoint behind all others for a while; an unreachable one gets no
// requests in that time. Its objects no longer count as warm.
func (e *endpoint) eject(now time.Time) {
	duration := min(minEjection<<min(e.ejections, 4), maxEjection)
	e.ejectedUntil = now.Add(duration)
	e.ejections++
	e.warm = map[uint32]useTimes{}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package placer

import (
	"hash/fnv"
	"math"
	"time"

	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

const (
	// warmTTL is how long an object counts as warm after an endpoint last handled it.
	// This is an approximation: endpoints limit the number of objects that they keep, not
	// the time.
	warmTTL = 25 * time.Second
	// fastWeight and slowWeight are the weights of a new measurement in the moving
	// averages of this package. slowWeight is for averages that should change slowly.
	fastWeight = 0.2
	slowWeight = 0.08
	// failuresToEject is how many attempts must fail after connecting, with no complete
	// answer in between, to eject an endpoint. An answer that reports the request as
	// not run neither increases nor resets this count.
	failuresToEject = 3
	// dialFailuresToUnreachable is how many connections must fail to open in time, with
	// no answer in between, before an endpoint counts as unreachable. A single failure
	// may be due to a lost packet.
	dialFailuresToUnreachable = 2
	// minEjection is the duration of an endpoint's first ejection. Each further ejection
	// without an answer in between takes twice as long, up to maxEjection.
	minEjection = 1500 * time.Millisecond
	maxEjection = 6 * time.Second
	// ownerTimeout is how long an endpoint must have been unreachable before instances
	// that don't own it send it requests too.
	ownerTimeout = 8 * time.Second
	// minWarmup is the shortest time for which an endpoint counts as cold after it can
	// be reached again. It applies if the configured warm-up is shorter or missing.
	minWarmup = time.Second
	// maxSlowdown is the highest slowdown that is recorded for an endpoint.
	maxSlowdown = 20
	// evidenceDecay is the time without new results after which an endpoint's failure
	// rate has fallen to a third. The amount by which its slowdown exceeds 1 falls in
	// the same way.
	evidenceDecay = 4 * time.Second
	// An endpoint counts as underused if underusedFactor times its attempts in flight are
	// fewer than its slots.
	underusedFactor = 3
	// coldSlowdown is the lowest slowdown that is assumed for a cold endpoint.
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

// endpoint is what this instance has recorded about an endpoint. It is discarded when
// the endpoint restarts.
type endpoint struct {
	spec   router.Endpoint
	region string
	hash   uint32
	// ownInFlight is the number of this instance's attempts in flight at the endpoint,
	// and sentTimes holds when each was sent. peerInFlight is the number of the other
	// instances' attempts there, by their last reports.
	ownInFlight  int
	peerInFlight int
	sentTimes    []time.Time
	// recentObjects holds, by object hash, when the endpoint handled each object. Objects
	// that are no longer warm stay in it until they are pruned.
	recentObjects map[uint32]useTimes
	// slowdown is the endpoint's run time divided by the mean run time of its service,
	// last updated at slowdownAt. It is 0 before the first measurement.
	slowdown   float64
	slowdownAt time.Time
	// failureRate is a moving average of the fraction of attempts that failed, last
	// updated at failureRateAt. An attempt without a complete answer has twice the
	// weight of an answer.
	failureRate         float64
	failureRateAt       time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	ejections           int
	// dialFailures counts the connections that could not be opened since the endpoint
	// last answered.
	dialFailures int
	// unreachableSince is when the endpoint became unreachable from this instance, or
	// zero if it is reachable.
	unreachableSince time.Time
	// answeredAt is when this instance last got a complete answer from the endpoint,
	// other than one that reports the request as not run.
	answeredAt time.Time
	// Until peerUnreachableUntil, the endpoint counts as unreachable because another
	// instance reported that.
	peerUnreachableUntil time.Time
	// coldUntil is when the endpoint's warm-up ends. Until announceColdUntil, this
	// instance reports to the others that the endpoint can be reached again and is cold.
	coldUntil         time.Time
	announceColdUntil time.Time
	// withdrawal is what the endpoint asked for in its answers. announceLeaving means that
	// it announced its end to this instance, which reports that to the others.
	withdrawal      withdrawal
	announceLeaving bool
	limit           rateLimit
	// report is what the endpoint last stated of its load.
	report report
	// untried means that the endpoint is new, this instance has sent it no request, and
	// no other instance has reported a warm object there.
	untried bool
	// sendBudget limits the requests that this instance sends to the endpoint while all
	// instances together may send it a limited rate.
	sendBudget rationer.Bucket
}

// useTimes holds when an endpoint last handled an object, and when it first did so
// since the object became warm there.
type useTimes struct{ first, last time.Time }

// markWarm records that the endpoint handles an object now.
func (e *endpoint) markWarm(now time.Time, object uint32) {
	times, ok := e.recentObjects[object]
	if !ok || now.Sub(times.last) >= warmTTL {
		times.first = now
	}
	times.last = now
	e.recentObjects[object] = times
}

// attemptsInFlight returns the number of attempts in flight from all instances.
func (e *endpoint) attemptsInFlight() int { return e.ownInFlight + e.peerInFlight }

// isUnderused reports whether the endpoint has many free slots. Making one more object
// warm there is then better than letting requests queue at other endpoints.
func (e *endpoint) isUnderused() bool { return underusedFactor*e.attemptsInFlight() < e.spec.Slots }

// currentSlowdown returns the endpoint's run time divided by the mean run time of its
// service. Without new answers the result approaches 1 over time.
func (e *endpoint) currentSlowdown(now time.Time) float64 {
	if e.slowdown == 0 {
		return 1
	}
	fade := now.Sub(e.slowdownAt).Seconds() / evidenceDecay.Seconds()
	return 1 + (e.slowdown-1)/(1+fade+fade*fade)
}

// currentFailureRate returns the estimated fraction of attempts that fail. Without
// new results it approaches 0 over time.
func (e *endpoint) currentFailureRate(now time.Time) float64 {
	if e.failureRate == 0 {
		return 0
	}
	fade := now.Sub(e.failureRateAt).Seconds() / evidenceDecay.Seconds()
	return e.failureRate / (1 + fade + fade*fade)
}

// isCold reports whether the endpoint counts as cold. An unreachable endpoint counts as
// cold, because it may have restarted by the time it can be reached again.
func (e *endpoint) isCold(now time.Time) bool {
	return now.Before(e.coldUntil) || e.isUnreachable() || now.Before(e.peerUnreachableUntil)
}

func (e *endpoint) isUnreachable() bool { return !e.unreachableSince.IsZero() }

func (e *endpoint) isEjected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// isWarm reports whether the endpoint handled the object recently and probably still
// keeps it. If the endpoint handled more objects than its capacity, a hash decides
// which of them count as warm. The hash is the same at all instances, so all of them
// send requests for the remaining objects to other endpoints. A capacity of 0 means
// no limit.
func (e *endpoint) isWarm(now time.Time, object uint32, warmCapacity float64) bool {
	times, ok := e.recentObjects[object]
	if !ok || now.Sub(times.last) >= warmTTL {
		return false
	}
	if n := float64(len(e.recentObjects)); warmCapacity > 0 && n > warmCapacity {
		return float64(mix(object, e.hash)) < warmCapacity/n*math.MaxUint32
	}
	return true
}

// oldestAge returns how long this instance's oldest attempt at the endpoint has been
// in flight, or 0 if there is none.
func (e *endpoint) oldestAge(now time.Time) time.Duration {
	if len(e.sentTimes) == 0 {
		return 0
	}
	return now.Sub(e.sentTimes[0])
}

// recordAttempt records that this instance sends an attempt to the endpoint.
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

// recordSlowdown updates the endpoint's slowdown from ratio, the slowdown that was
// measured for one answer.
func (e *endpoint) recordSlowdown(now time.Time, ratio float64) {
	old := e.currentSlowdown(now)
	weight := fastWeight
	e.slowdown = min(max(old+weight*(ratio-old), 0.5), maxSlowdown)
	e.slowdownAt = now
}

// recordAnswer records that an attempt got a complete answer. An endpoint that
// answers after it could not be reached may have restarted, so it counts as cold from
// now on for its service's warm-up period, warmup.
func (e *endpoint) recordAnswer(now time.Time, warmup time.Duration) {
	if e.isUnreachable() || now.Before(e.peerUnreachableUntil) {
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

// markRecovered records that the endpoint can be reached again, and that it counts as
// cold for the given time.
func (e *endpoint) markRecovered(now time.Time, cold time.Duration) {
	e.coldUntil = later(e.coldUntil, now.Add(cold))
	e.unreachableSince = time.Time{}
	e.peerUnreachableUntil = time.Time{}
	e.ejectedUntil = time.Time{}
	e.ejections = 0
}

// recordFailure records an attempt that got no complete answer. Connections that
// could not be opened are recorded by recordDialFailure instead.
func (e *endpoint) recordFailure(now time.Time) {
	old := e.currentFailureRate(now)
	e.failureRate = old + fastWeight*(1-old)
	e.failureRateAt = now
	e.consecutiveFailures++
	if e.consecutiveFailures >= failuresToEject {
		e.eject(now)
	}
}

// recordDialFailure records a connection that was refused or did not open in time. A
// refused connection makes the endpoint unreachable at once; otherwise it takes
// dialFailuresToUnreachable failures.
func (e *endpoint) recordDialFailure(now time.Time, refused bool) {
	e.dialFailures++
	if !refused && e.dialFailures < dialFailuresToUnreachable {
		return
	}
	if !e.isUnreachable() {
		e.unreachableSince = now
	}
	e.eject(now)
}

// eject ranks the endpoint behind all others for a while. If the endpoint is
// unreachable, this instance sends it nothing in that time. All its objects stop
// counting as warm.
func (e *endpoint) eject(now time.Time) {
	duration := min(minEjection<<min(e.ejections, 4), maxEjection)
	e.ejectedUntil = now.Add(duration)
	e.ejections++
	e.recentObjects = map[uint32]useTimes{}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

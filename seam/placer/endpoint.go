package placer

import (
	"hash/fnv"
	"math"
	"time"

	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

const (
	// keptWarm is how long an object counts as warm at an endpoint that has not
	// handled it again. Endpoints keep a number of objects, not for a time.
	keptWarm = 25 * time.Second
	// learnFast and learnSlow weigh a new measurement against the old mean.
	learnFast = 0.2
	learnSlow = 0.08
	// failuresToEject is how many attempts in a row must fail.
	failuresToEject = 3
	// slowDials is how many connections in a row must not open in time until an
	// endpoint counts as unreachable; one may be a lost packet.
	slowDials = 2
	// ejectFor is how long a failed endpoint rests; it doubles up to ejectMost.
	ejectFor  = 1500 * time.Millisecond
	ejectMost = 6 * time.Second
	// aloneAfter is how long an instance leaves it to the keeper of an
	// unreachable endpoint to try it.
	aloneAfter = 8 * time.Second
	// coldPart is the part of a cold endpoint's rate that its keeper uses, and
	// coldBurst what it may send at once: two keepers, while instances disagree,
	// stay below 1.5 times the rate and 5.
	coldPart  = 0.7
	coldBurst = 2
	// coldRateLeast is used if the configuration gives no rate, per second.
	coldRateLeast = 2.0
	// warmupLeast is how long an endpoint that could not be reached counts as
	// cold if the configuration gives no time.
	warmupLeast = time.Second
	// slowMost bounds how many times slower than its service an endpoint counts.
	slowMost = 20
	// slowForget is the time in which the belief that an endpoint is slow fades
	// to a third, if no answers renew it.
	slowForget = 4 * time.Second
	// underusedPart is how many times its load must fit into an endpoint's slots.
	underusedPart = 3
	// coldSlowdown is how many times longer a cold endpoint takes.
	coldSlowdown = 2.0
)

// Hash32 names an endpoint or an object in messages between instances.
func Hash32(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

// mix returns well spread bits of two hashes.
func mix(a, b uint32) uint32 {
	x := uint64(a)<<32 | uint64(b)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return uint32(x)
}

// endpoint is what an instance knows of one lifetime of an endpoint.
type endpoint struct {
	spec   router.Endpoint
	region string
	hash   uint32
	// own is the number of attempts of this instance under way, others that of
	// the other instances as they last said. sends holds when the own ones began.
	own    int
	others int
	sends  []time.Time
	// warm holds when each object was last handled.
	warm map[uint32]handled
	// slow is how many times longer than its service the endpoint takes.
	slow   float64
	slowAt time.Time
	// failed is the part of attempts that failed lately.
	failed      float64
	failedAt    time.Time
	failures    int
	ejectedTill time.Time
	ejections   int
	// unopened counts connections in a row that did not open in time.
	unopened int
	// unreachableSince is since when no connection could be opened, or zero.
	unreachableSince time.Time
	// answeredAt is when it last answered this instance.
	answeredAt time.Time
	// restsTill is until when other instances say that it is unreachable.
	restsTill time.Time
	// coldTill is when the endpoint is warm again, and returnedTill until when
	// the others are told that it has come back cold.
	coldTill     time.Time
	returnedTill time.Time
	// untried means that it joined and got no request yet, as far as is known.
	untried bool
	// coldBudget is what this instance may send while the endpoint is cold.
	coldBudget rationer.Bucket
}

// handled is when an endpoint first and last handled an object.
type handled struct{ first, last time.Time }

// touch notes that the endpoint handles an object.
func (e *endpoint) touch(now time.Time, object uint32) {
	h, ok := e.warm[object]
	if !ok || now.Sub(h.last) >= keptWarm {
		h.first = now
	}
	h.last = now
	e.warm[object] = h
}

func (e *endpoint) load() int { return e.own + e.others }

// underused reports whether the endpoint has so much room that keeping one more
// object warm there is better than letting requests wait elsewhere.
func (e *endpoint) underused() bool { return underusedPart*e.load() < e.spec.Slots }

// slowness returns how many times longer than its service the endpoint takes.
func (e *endpoint) slowness(now time.Time) float64 {
	if e.slow == 0 {
		return 1
	}
	fade := now.Sub(e.slowAt).Seconds() / slowForget.Seconds()
	return 1 + (e.slow-1)/(1+fade+fade*fade)
}

// failing returns the part of attempts that fail, fading while none are made.
func (e *endpoint) failing(now time.Time) float64 {
	fade := now.Sub(e.failedAt).Seconds() / slowForget.Seconds()
	return e.failed / (1 + fade + fade*fade)
}

// cold reports whether the endpoint is cold, or may be a cold one once it can be
// reached again.
func (e *endpoint) cold(now time.Time) bool {
	return now.Before(e.coldTill) || e.unreachable() || now.Before(e.restsTill)
}

func (e *endpoint) unreachable() bool { return !e.unreachableSince.IsZero() }

// mayTry reports whether this instance may send to the endpoint while it is
// cold. The keeper may, at the rate that the endpoint bears. An instance that
// alone can't reach it, or that has waited for the keeper for long, may make one
// attempt at a time.
func (e *endpoint) mayTry(now time.Time, keeper bool, rate float64) bool {
	if !e.cold(now) {
		return true
	}
	if e.unreachable() && e.ejected(now) {
		return false
	}
	if keeper {
		e.coldBudget.SetRate(now, max(rate, coldRateLeast)*coldPart, coldBurst)
		return e.coldBudget.Ready(now)
	}
	alone := e.unreachable() && !now.Before(e.restsTill)
	waited := e.unreachable() && now.Sub(e.unreachableSince) > aloneAfter
	return (alone || waited) && e.own == 0
}

func (e *endpoint) ejected(now time.Time) bool { return now.Before(e.ejectedTill) }

// isWarm reports whether the endpoint handled the object lately and still keeps
// it. Of more objects than it keeps, the same ones count as warm for all
// instances, so that the others find a place elsewhere.
func (e *endpoint) isWarm(now time.Time, object uint32, keeps float64) bool {
	h, ok := e.warm[object]
	if !ok || now.Sub(h.last) >= keptWarm {
		return false
	}
	if n := float64(len(e.warm)); keeps > 0 && n > keeps {
		return float64(mix(object, e.hash)) < keeps/n*math.MaxUint32
	}
	return true
}

// stalled returns how long the oldest attempt of this instance has been under
// way.
func (e *endpoint) stalled(now time.Time) time.Duration {
	if len(e.sends) == 0 {
		return 0
	}
	return now.Sub(e.sends[0])
}

// sent notes an attempt.
func (e *endpoint) sent(now time.Time) {
	e.own++
	e.untried = false
	e.sends = append(e.sends, now)
}

// ended forgets an attempt that was sent at a time.
func (e *endpoint) ended(sentAt time.Time) {
	e.own = max(e.own-1, 0)
	for i, at := range e.sends {
		if at.Equal(sentAt) {
			e.sends = append(e.sends[:i], e.sends[i+1:]...)
			return
		}
	}
}

// took learns from an answer how slow the endpoint is.
func (e *endpoint) took(now time.Time, ratio float64) {
	old := e.slowness(now)
	weight := learnFast
	e.slow = min(max(old+weight*(ratio-old), 0.5), slowMost)
	e.slowAt = now
}

// succeeded notes an attempt that brought an answer. An endpoint that answers
// again after it could not be reached may be a new, cold one.
func (e *endpoint) succeeded(now time.Time, warmup time.Duration) {
	if e.unreachable() || now.Before(e.restsTill) {
		e.returned(now, max(warmup, warmupLeast))
		e.returnedTill = e.coldTill
	}
	e.answeredAt = now
	e.failed = e.failing(now) * (1 - learnFast/2)
	e.failedAt = now
	e.failures = 0
	e.ejections = 0
	e.unopened = 0
}

// returned notes that the endpoint can be reached again and is cold for a time.
func (e *endpoint) returned(now time.Time, cold time.Duration) {
	e.coldTill = later(e.coldTill, now.Add(cold))
	e.unreachableSince = time.Time{}
	e.restsTill = time.Time{}
	e.ejectedTill = time.Time{}
	e.ejections = 0
}

// failedOnce notes an attempt that failed.
func (e *endpoint) failedOnce(now time.Time) {
	old := e.failing(now)
	e.failed = old + learnFast*(1-old)
	e.failedAt = now
	e.failures++
	if e.failures >= failuresToEject {
		e.eject(now)
	}
}

// unopenedOnce notes a connection that was refused, or did not open in time.
func (e *endpoint) unopenedOnce(now time.Time, refused bool) {
	e.unopened++
	if !refused && e.unopened < slowDials {
		return
	}
	if !e.unreachable() {
		e.unreachableSince = now
	}
	e.eject(now)
}

// eject lets the endpoint rest for a while.
func (e *endpoint) eject(now time.Time) {
	rest := min(ejectFor<<min(e.ejections, 4), ejectMost)
	e.ejectedTill = now.Add(rest)
	e.ejections++
	e.warm = map[uint32]handled{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

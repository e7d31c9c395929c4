// Package admitter decides at arrival whether a request is sent on or refused
// at once, and when a refused caller should come back.
//
// The load that this answers: more requests than the endpoints can do. A
// request that can't be answered within its target takes slots from others that
// can, and brings its caller little.
//
// # Usage
//
//	decision := admitter.Decide(admitter.Load{Expect: choice.Expect, Wait: choice.Wait}, request, rng.Float64())
//	if decision.Refuse { ... }
package admitter

import "time"

// Load is what the best endpoint is expected to take.
type Load struct {
	// Expect is the time until the answer, Wait the part of it in a queue.
	Expect time.Duration
	Wait   time.Duration
	// Load and Slots are the attempts at the endpoint and those that it works
	// on at the same time.
	Load  int
	Slots int
}

// Request is what matters of a request.
type Request struct {
	// TargetLeft is the time in which an answer still has its full benefit; it
	// may be negative.
	TargetLeft time.Duration
	// TimeLeft is the time after which nobody waits any more.
	TimeLeft time.Duration
	// CallerLeft is the time that the caller has, whatever the route allows.
	CallerLeft time.Duration
	// CameBack means that the caller was refused before.
	CameBack bool
}

// Decision says what becomes of a request.
type Decision struct {
	Refuse bool
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

const (
	// backWait is the part of the time left that a request of a caller that was
	// refused once may wait in a queue. Other late requests, which earn a fifth,
	// only use idle slots.
	backWait = 0.3
	// safety is the part of the time left that an answer may be expected to
	// take; expectations err.
	safety = 0.9
	// retryMost is the part of the time that a caller has left after which it
	// no longer comes back; callers honor a third.
	retryMost = 0.3
	// retryLeast keeps callers from coming back within a heartbeat.
	retryLeast = 100 * time.Millisecond
)

// Decide decides about a request. Chance is a random number from 0 to 1, which
// spreads the returns.
func Decide(l Load, r Request, chance float64) Decision {
	if l.Expect <= r.TargetLeft {
		return Decision{}
	}
	var queue time.Duration
	if r.CameBack {
		queue = time.Duration(backWait * float64(r.TimeLeft))
	}
	if l.Expect <= time.Duration(safety*float64(r.TimeLeft)) && l.Wait <= queue {
		return Decision{}
	}
	return Decision{Refuse: true, RetryAfter: RetryAfter(l.Wait, r.CallerLeft, chance)}
}

// RetryAfter returns when a refused caller should come back: when the queue has
// gone down, spread so that not all come at once.
func RetryAfter(wait, callerLeft time.Duration, chance float64) time.Duration {
	most := time.Duration(retryMost * float64(callerLeft))
	after := time.Duration(float64(max(wait, retryLeast)) * (0.5 + chance))
	return max(min(after, most), min(retryLeast, most))
}

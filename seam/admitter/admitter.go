// Package admitter decides at arrival whether a request is sent on or refused
// at once, and when a refused caller should come back.
//
// The load that this answers: more requests than the endpoints can do. A
// request that can't be answered within its target takes slots from others that
// can, and brings its caller little.
//
// # Usage
//
//	decision := admitter.Decide(admitter.Load{Expect: choice.Expect, Wait: choice.Wait}, request, credit, rng.Float64())
//	if decision.Refuse { ... }
package admitter

import "time"

// Load is what the best endpoint is expected to take.
type Load struct {
	// Expect is the time until the answer, Wait the part of it in a queue.
	Expect time.Duration
	Wait   time.Duration
	// Room is how long a request for a warm object could wait there and still
	// be in time.
	Room time.Duration
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
	// latePart is the part of the room in a queue that requests may use though
	// they will be late, backPart the same for callers who were refused once. The
	// room is what keeps the queue short enough for others to be in time; if late
	// ones could make it longer, nobody would be.
	latePart = 0.5
	backPart = 1.0
	// creditPart is that for callers who were refused once while there is credit.
	// A second refusal ends most requests, and an answer that is late is better.
	creditPart = 3.0
	// creditEach is what a request that finds a free slot adds to the credit, and
	// creditMost how much can gather.
	creditEach = 0.3
	creditMost = 5.0
	// safety is the part of the time left that an answer may be expected to
	// take; expectations err.
	safety = 0.9
	// retryMost is the part of the time that a caller has left after which it
	// comes back at the latest; callers honor a third.
	retryMost = 0.3
	// retryLeast keeps callers from coming back before anything has changed.
	retryLeast = 20 * time.Millisecond
)

// Credit is how many callers who came back may make a queue longer than others
// may. Requests that find a free slot add to it: where all wait, late ones would
// only take the places of those that could be in time.
type Credit struct{ left float64 }

func (c *Credit) earn() { c.left = min(c.left+creditEach, creditMost) }

// spend takes the credit for a request, or reports that there is none.
func (c *Credit) spend() bool {
	if c.left < 1 {
		return false
	}
	c.left--
	return true
}

// Decide decides about a request, with the credit of its service. Chance is a
// random number from 0 to 1, which spreads the returns.
func Decide(l Load, r Request, c *Credit, chance float64) Decision {
	if l.Expect <= r.TargetLeft {
		if l.Wait == 0 {
			c.earn()
		}
		return Decision{}
	}
	if l.Expect <= time.Duration(safety*float64(r.TimeLeft)) && mayWait(l, r, c) {
		return Decision{}
	}
	return Decision{Refuse: true, RetryAfter: retryAfter(l, r, chance)}
}

// mayWait reports whether a request that will be late may take its place in the
// queue.
func mayWait(l Load, r Request, c *Credit) bool {
	fits := func(part float64) bool { return float64(l.Wait) <= part*float64(l.Room) }
	switch {
	case !r.CameBack:
		return fits(latePart)
	case fits(backPart):
		return true
	}
	return fits(creditPart) && c.spend()
}

// retryAfter sends a caller back for when the queue has gone down far enough, if
// its answer can then still be in time; else spread over the time it has.
func retryAfter(l Load, r Request, chance float64) time.Duration {
	soon := time.Duration(float64(l.Expect-r.TargetLeft)*(1+chance)) + retryLeast
	if soon+l.Expect-l.Wait <= r.TargetLeft {
		return min(soon, time.Duration(retryMost*float64(r.CallerLeft)))
	}
	return RetryAfter(l.Wait, r.CallerLeft, chance)
}

// RetryAfter returns when a caller should come back who can't be served for a
// time: after it, and spread over what the caller honors.
func RetryAfter(wait, callerLeft time.Duration, chance float64) time.Duration {
	most := time.Duration(retryMost * float64(callerLeft))
	from := min(max(wait, retryLeast), most/2)
	return from + time.Duration(chance*float64(most-from))
}

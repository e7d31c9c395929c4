// Package admitter decides on arrival whether a request is sent to an endpoint or
// refused at once, and when a refused caller should retry.
//
// It is meant for overload, when more requests arrive than the endpoints can
// serve. A request that can't be answered within its latency target takes slots
// from requests that can, and is of little use to its caller.
//
// # Usage
//
//	load := admitter.Load{ExpectedLatency: choice.ExpectedLatency, QueueTime: choice.QueueTime}
//	decision := admitter.Decide(load, request, credit, rng.Float64())
//	if decision.Refuse { ... }
package admitter

import "time"

// Load holds the estimates for the best endpoint.
type Load struct {
	// ExpectedLatency is the time until the response, QueueTime the part of it spent in
	// the endpoint's queue.
	ExpectedLatency time.Duration
	QueueTime       time.Duration
	// QueueSlack is how long a request for a warm object could wait in that queue and
	// still be in time.
	QueueSlack time.Duration
}

// Request holds the time limits of a request.
type Request struct {
	// TargetLeft is the time left until the latency target, within which a response
	// has its full value; it may be negative.
	TargetLeft time.Duration
	// TimeLeft is the time left until a response is no longer of use.
	TimeLeft time.Duration
	// CallerTimeLeft is how long the caller will still wait, regardless of the
	// route's timeout.
	CallerTimeLeft time.Duration
	// CallerRetry means that the caller is retrying after a refusal.
	CallerRetry bool
}

// Decision is the result of [Decide].
type Decision struct {
	Refuse bool
	// RetryAfter is when the caller should retry if its request is refused.
	RetryAfter time.Duration
}

const (
	// lateQueueRatio limits the queueing time of requests that will be late, as a
	// fraction of QueueSlack; retryQueueRatio is the limit for those of retrying callers.
	// QueueSlack is the queueing time that still lets others be in time: if late requests
	// could make the queue longer than that, all would be late.
	lateQueueRatio  = 0.5
	retryQueueRatio = 1.0
	// creditQueueRatio is the limit for retrying callers while there is credit. A
	// second refusal is final for most requests, and a late response is better than
	// that.
	creditQueueRatio = 3.0
	// creditPerRequest is the credit earned by a request that is in time and finds a
	// free slot, maxCredit the most that accumulates.
	creditPerRequest = 0.3
	maxCredit        = 5.0
	// deadlineSafety is the fraction of the time left that a response may be expected
	// to take, since estimates can be too low.
	deadlineSafety = 0.9
	// maxRetryAfterRatio is the latest time of a retry as a fraction of the caller's
	// time left; callers honor up to a third of it.
	maxRetryAfterRatio = 0.3
	// minRetryAfter keeps callers from retrying before anything has changed.
	minRetryAfter = 20 * time.Millisecond
)

// Credit is the number of retrying callers that may wait in a longer queue than
// others may. It is earned by requests that find a free slot: when all requests
// have to queue, late ones would only displace those that can be in time.
type Credit struct{ balance float64 }

func (c *Credit) earn() { c.balance = min(c.balance+creditPerRequest, maxCredit) }

// spend takes the credit for one request; it reports false if there is none.
func (c *Credit) spend() bool {
	if c.balance < 1 {
		return false
	}
	c.balance--
	return true
}

// Decide decides whether a request is admitted, given the credit of its service.
// random is uniform in [0, 1) and spreads the retries.
func Decide(l Load, r Request, c *Credit, random float64) Decision {
	if l.ExpectedLatency <= r.TargetLeft {
		if l.QueueTime == 0 {
			c.earn()
		}
		return Decision{}
	}
	if l.ExpectedLatency <= time.Duration(deadlineSafety*float64(r.TimeLeft)) && mayQueue(l, r, c) {
		return Decision{}
	}
	return Decision{Refuse: true, RetryAfter: retryAfter(l, r, random)}
}

// mayQueue reports whether a request that will be late may join the queue.
func mayQueue(l Load, r Request, c *Credit) bool {
	queueTimeWithin := func(ratio float64) bool { return float64(l.QueueTime) <= ratio*float64(l.QueueSlack) }
	switch {
	case !r.CallerRetry:
		return queueTimeWithin(lateQueueRatio)
	case queueTimeWithin(retryQueueRatio):
		return true
	}
	return queueTimeWithin(creditQueueRatio) && c.spend()
}

// retryAfter returns when a refused caller should retry: when the queue has shrunk
// enough, if a response can then still be in time, else at a random time within
// its time left.
func retryAfter(l Load, r Request, random float64) time.Duration {
	delay := time.Duration(float64(l.ExpectedLatency-r.TargetLeft)*(1+random)) + minRetryAfter
	if delay+l.ExpectedLatency-l.QueueTime <= r.TargetLeft {
		return min(delay, time.Duration(maxRetryAfterRatio*float64(r.CallerTimeLeft)))
	}
	return RetryAfter(l.QueueTime, r.CallerTimeLeft, random)
}

// RetryAfter returns when a caller should retry that can't be served for the time
// wait: at a random time between wait and the longest delay that callers honor,
// where wait counts for at most half of that delay.
func RetryAfter(wait, callerTimeLeft time.Duration, random float64) time.Duration {
	maxDelay := time.Duration(maxRetryAfterRatio * float64(callerTimeLeft))
	minDelay := min(max(wait, minRetryAfter), maxDelay/2)
	return minDelay + time.Duration(random*float64(maxDelay-minDelay))
}

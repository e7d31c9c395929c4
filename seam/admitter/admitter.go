// Package admitter decides on arrival whether a request is sent to an endpoint or
// refused at once, and when a refused caller should retry. It is used by package
// conductor of the edge daemon, seamedge.
//
// Refusals are for overload, when more requests arrive than the endpoints can serve.
// A request that can't be answered within its target latency takes slots from
// requests that can, and is of little use to its caller.
//
// An object is warm at an endpoint that handled it recently; requests for it run
// faster there.
//
// # Usage
//
//	load := admitter.Load{ExpectedLatency: choice.ExpectedLatency, QueueTime: choice.QueueTime}
//	decision := admitter.Decide(load, request, credit, rng.Float64())
//	if decision.Refuse { ... }
package admitter

import "time"

// Load holds the estimates for the endpoint that the request would be sent to.
type Load struct {
	// ExpectedLatency is the time until the response. QueueTime is the part of it spent
	// in the endpoint's queue.
	ExpectedLatency time.Duration
	QueueTime       time.Duration
	// QueueSlack is how long a request for a warm object could wait in the endpoint's
	// queue and still be answered within the target latency.
	QueueSlack time.Duration
}

// Request holds the time limits of a request.
type Request struct {
	// TargetLeft is the time left until the target latency has passed. It may be
	// negative. A later response still counts, but for less.
	TargetLeft time.Duration
	// TimeLeft is the time left until a response is no longer of use.
	TimeLeft time.Duration
	// CallerTimeLeft is how long the caller will still wait, regardless of the
	// route's timeout.
	CallerTimeLeft time.Duration
	// CallerRetry means that the caller is taken to be retrying after a refusal.
	CallerRetry bool
}

// Decision is the result of [Decide].
type Decision struct {
	Refuse bool
	// RetryAfter is how long the caller should wait before it retries. It is set only if
	// Refuse is.
	RetryAfter time.Duration
}

const (
	// Requests that will miss their target latency may queue for at most these fractions
	// of QueueSlack: lateQueueRatio for first tries, retryQueueRatio for callers that
	// retry. A queue longer than QueueSlack would make all requests late.
	lateQueueRatio  = 0.5
	retryQueueRatio = 1.0
	// creditQueueRatio replaces retryQueueRatio while there is credit. Most callers give
	// up after a second refusal, and a late response is better for them than none.
	creditQueueRatio = 3.0
	// creditPerRequest is the credit earned by a request that is expected within its
	// target latency and finds a free slot. maxCredit is the most credit that
	// accumulates.
	creditPerRequest = 0.3
	maxCredit        = 5.0
	// A request that will miss its target latency is admitted only if its expected
	// latency is at most deadlineSafety times the time left, since estimates can be too
	// low.
	deadlineSafety = 0.9
	// maxRetryAfterRatio is the longest delay before a retry, as a fraction of the
	// caller's time left. Callers honor delays of up to a third of it.
	maxRetryAfterRatio = 0.3
	// minRetryAfter is the shortest delay before a retry. With less, callers would retry
	// before anything has changed. RetryAfter falls below it for callers with little time
	// left.
	minRetryAfter = 20 * time.Millisecond
)

// Credit allows callers that retry to wait in a longer queue than other callers may.
// Each such caller spends 1 of balance. Credit is earned by requests that are expected
// within their target latency and find a free slot. When all requests have to queue,
// none is earned, since late requests would then only displace requests that can be
// answered in time.
type Credit struct{ balance float64 }

func (c *Credit) earn() { c.balance = min(c.balance+creditPerRequest, maxCredit) }

// spend takes the credit for one request. It returns false if there is not enough.
func (c *Credit) spend() bool {
	if c.balance < 1 {
		return false
	}
	c.balance--
	return true
}

// Decide decides whether a request is admitted. c is the credit of the request's
// service, which Decide may raise or lower. random is uniform in [0, 1) and spreads
// the retries over time.
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

// mayQueue reports whether a request that will miss its target latency may be sent to
// the endpoint, where it may have to queue. It may spend credit.
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

// retryAfter returns how long a refused caller should wait before it retries. If a
// response could still meet the target latency after the queue has shrunk, that is
// the time until then. Otherwise it is a random time within the caller's time left.
func retryAfter(l Load, r Request, random float64) time.Duration {
	delay := time.Duration(float64(l.ExpectedLatency-r.TargetLeft)*(1+random)) + minRetryAfter
	if delay+l.ExpectedLatency-l.QueueTime <= r.TargetLeft {
		return min(delay, time.Duration(maxRetryAfterRatio*float64(r.CallerTimeLeft)))
	}
	return RetryAfter(l.QueueTime, r.CallerTimeLeft, random)
}

// RetryAfter returns how long a refused caller should wait before it retries. wait is
// the time until it could be served. The result is a random time from a range that
// ends at maxRetryAfterRatio of the caller's time left. The range begins at wait or
// minRetryAfter, whichever is longer, but at most at half of its end.
func RetryAfter(wait, callerTimeLeft time.Duration, random float64) time.Duration {
	maxDelay := time.Duration(maxRetryAfterRatio * float64(callerTimeLeft))
	minDelay := min(max(wait, minRetryAfter), maxDelay/2)
	return minDelay + time.Duration(random*float64(maxDelay-minDelay))
}

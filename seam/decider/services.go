package decider

import (
	"time"

	"primroseseam.org/seam/picker"
	"primroseseam.org/seam/queuer"
	"primroseseam.org/seam/retrier"
)

const (
	// latencyGain is the weight of a new sample in the moving average of the duration.
	// deviationGain is its weight in the moving average of the deviation.
	latencyGain   = 0.05
	deviationGain = 0.1
	// hedgeDeviations determines which attempts are slow enough to be hedged: those that
	// last longer than the mean duration plus hedgeDeviations times the mean deviation.
	hedgeDeviations = 4
	// minHedgeAfter is the shortest time after which a slow attempt is hedged.
	minHedgeAfter = 20 * time.Millisecond
)

// service is the state of one service: its endpoints, queued requests, retry budget
// and latency.
type service struct {
	name    string
	pool    *picker.Pool
	queue   *queuer.Queue
	budget  *retrier.Budget
	latency latency
	// hedgeCandidates lists the first attempts at requests that may be hedged, oldest
	// first.
	hedgeCandidates []startedAttempt
	// owner is the instance that forwards the requests for the service in this region.
	owner cachedOwner
}

// startedAttempt is the ID of a request and the time at which an attempt at the request
// started.
type startedAttempt struct {
	id        uint64
	startedAt time.Time
}

func newService(name string, pool *picker.Pool) *service {
	return &service{name: name, pool: pool, queue: queuer.New(), budget: retrier.NewBudget()}
}

// latency holds two moving averages, in nanoseconds: the mean duration of successful
// attempts, and the mean absolute deviation of durations from that mean.
type latency struct {
	mean      float64
	deviation float64
}

// add updates the averages with the duration of a successful attempt. After the first
// attempt, the mean is its duration, and the deviation is half of its duration.
func (l *latency) add(d time.Duration) {
	sample := float64(d)
	if l.mean == 0 {
		l.mean, l.deviation = sample, sample/2
		return
	}
	diff := sample - l.mean
	l.mean += latencyGain * diff
	l.deviation += deviationGain * (max(diff, -diff) - l.deviation)
}

// meanDuration returns the mean duration of an attempt, or 0 if none has succeeded.
func (l *latency) meanDuration() time.Duration { return time.Duration(l.mean) }

// hedgeDelay returns the duration after which an attempt is slow enough to be hedged.
func (l *latency) hedgeDelay() time.Duration {
	return max(minHedgeAfter, time.Duration(l.mean+hedgeDeviations*l.deviation))
}

// estimateWait returns the estimated time until all requests ahead of a request have been
// served. ahead is the number of these requests, and capacity is the number of slots that
// serve them. It returns 0 if capacity is 0.
func (s *service) estimateWait(ahead, capacity int) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * s.latency.mean / float64(capacity))
}

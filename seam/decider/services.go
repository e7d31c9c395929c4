package decider

import (
	"time"

	"primroseseam.org/seam/picker"
	"primroseseam.org/seam/queuer"
	"primroseseam.org/seam/retrier"
)

const (
	// latencyGain and deviationGain are the weights of a new sample in the moving
	// averages of the duration and its deviation.
	latencyGain   = 0.05
	deviationGain = 0.1
	// hedgeDeviations defines a slow attempt: one that has lasted longer than the mean
	// duration plus hedgeDeviations times the mean deviation is hedged.
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

// add updates the averages with the duration of a successful attempt. The first duration
// sets the mean, and half of the first duration sets the deviation.
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

// estimateWait returns the estimated time in which the given number of slots, capacity,
// serves the given number of requests, ahead. It returns 0 if capacity is 0.
func (s *service) estimateWait(ahead, capacity int) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * s.latency.mean / float64(capacity))
}

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
	// hedgeDeviations is how many mean deviations above the mean duration an attempt
	// is unusually slow.
	hedgeDeviations = 4
	// minHedgeAfter is the shortest time after which an attempt is hedged.
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
	// hedgeCandidates lists first attempts that may be hedged, oldest first.
	hedgeCandidates []startedAttempt
	owner           cachedOwner
}

// startedAttempt is a request and when an attempt of it started.
type startedAttempt struct {
	id        uint64
	startedAt time.Time
}

func newService(name string, pool *picker.Pool) *service {
	return &service{name: name, pool: pool, queue: queuer.New(), budget: retrier.NewBudget()}
}

// latency holds moving averages of the duration of successful attempts and of its
// absolute deviation, in nanoseconds.
type latency struct {
	mean      float64
	deviation float64
}

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

// estimateWait estimates how long ahead requests take to get through capacity slots.
// It returns 0 without capacity.
func (s *service) estimateWait(ahead, capacity int) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * s.latency.mean / float64(capacity))
}

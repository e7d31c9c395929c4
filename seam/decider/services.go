package decider

import (
	"time"

	"primroseseam.org/seam/picker"
	"primroseseam.org/seam/queuer"
	"primroseseam.org/seam/retrier"
)

const (
	// latencyGain and deviationGain weigh a new duration against the mean.
	latencyGain   = 0.05
	deviationGain = 0.1
	// hedgeDeviations above the mean an attempt is unusually slow.
	hedgeDeviations = 4
	// minHedgeAfter bounds how early an attempt is hedged.
	minHedgeAfter = 20 * time.Millisecond
)

// service is the state of one service: its endpoints and waiting requests.
type service struct {
	name    string
	pool    *picker.Pool
	queue   *queuer.Queue
	budget  *retrier.Budget
	latency latency
	// started lists first attempts that may be hedged, oldest first.
	started []startedAttempt
	keeper  cachedKeeper
}

// startedAttempt is a first attempt and when it began.
type startedAttempt struct {
	id uint64
	at time.Time
}

func newService(name string, pool *picker.Pool) *service {
	return &service{name: name, pool: pool, queue: queuer.New(), budget: retrier.NewBudget()}
}

// latency follows how long attempts take, in nanoseconds.
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
	off := sample - l.mean
	l.mean += latencyGain * off
	l.deviation += deviationGain * (max(off, -off) - l.deviation)
}

// Mean returns the usual duration of an attempt, or 0 if none has ended.
func (l *latency) Mean() time.Duration { return time.Duration(l.mean) }

// slow returns the duration after which an attempt is unusually slow.
func (l *latency) slow() time.Duration {
	return max(minHedgeAfter, time.Duration(l.mean+hedgeDeviations*l.deviation))
}

// estimate returns how long a request waits behind others for a slot.
func (s *service) estimate(ahead, capacity int) time.Duration {
	if capacity <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) * s.latency.mean / float64(capacity))
}

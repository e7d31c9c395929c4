package conductor_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// minIdealRatio is the fraction of the ideal on-time ratio that the instances must
// reach, which get each other's load only from heartbeats and can't choose where
// objects are warm.
const minIdealRatio = 0.8

// idealOnTimeRatio returns the fraction of the simulated arrivals since a time
// that an ideal balancer answers on time. It has one queue for all slots, finds
// every object warm, reaches every endpoint with the delay of the same region, and
// drops what would be late.
func (sim *simulation) idealOnTimeRatio(since time.Time) float64 {
	var arrivals []time.Time
	for _, a := range sim.answers {
		arrivals = append(arrivals, a.at)
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	var free []time.Time
	for _, e := range sim.endpoints {
		for range e.spec.Slots {
			free = append(free, time.Time{})
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	onTime, total := 0, 0
	for _, at := range arrivals {
		slot := 0
		for n := range free {
			if free[n].Before(free[slot]) {
				slot = n
			}
		}
		start := at.Add(sameRegionDelay)
		if free[slot].After(start) {
			start = free[slot]
		}
		end := start.Add(time.Duration(float64(sim.timings.coldRun) * warmRatio * (0.85 + 0.3*rng.Float64())))
		inTime := end.Add(sameRegionDelay).Sub(at) <= sim.timings.target
		if inTime {
			free[slot] = end
		}
		if !at.Before(since) {
			total++
			if inTime {
				onTime++
			}
		}
	}
	return float64(onTime) / float64(total)
}

// checkAgainstIdeal checks the on-time ratio against that of the ideal balancer
// and against minOnTime.
func (sim *simulation) checkAgainstIdeal(t *testing.T, what string, since time.Time, minOnTime float64) {
	t.Helper()
	onTime, failed := sim.outcomeRatios(since)
	ideal := sim.idealOnTimeRatio(since)
	t.Logf("%s: in time %.3f (ideal %.3f), refused or failed %.3f", what, onTime, ideal, failed)
	if onTime < max(minIdealRatio*ideal, minOnTime) {
		t.Errorf("%s: only %.3f of callers were answered in time; the ideal balancer answers %.3f", what, onTime, ideal)
	}
}

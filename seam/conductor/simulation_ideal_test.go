package conductor_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"primroseseam.org/seam/router"
)

// minIdealRatio is the fraction of the ideal on-time ratio that the instances must
// reach. Unlike the ideal balancer, they get each other's load only from heartbeats
// and can't choose where objects are warm.
const minIdealRatio = 0.8

// idealOnTimeRatio returns the fraction of the requests first sent at or after since
// that an ideal balancer would answer on time. The ideal balancer has one queue for
// the slots of all endpoints, finds every object warm, reaches every endpoint with
// the delay within a region, drops requests that would be late, and sends an endpoint
// that names a rate limit in the end just that rate.
func (sim *simulation) idealOnTimeRatio(since time.Time) float64 {
	var arrivals []time.Time
	for _, a := range sim.answers {
		arrivals = append(arrivals, a.at)
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	var slotFreeAt []time.Time
	// occupied holds, for the one slot of an endpoint with a rate limit, how long a request
	// takes of the limit. It is 0 for a slot that is occupied while the request runs.
	var occupied []time.Duration
	for _, e := range sim.endpoints {
		if e.limit.Statement == router.LimitNamed {
			slotFreeAt = append(slotFreeAt, time.Time{})
			occupied = append(occupied, time.Duration(float64(time.Second)/max(e.limit.PerSecond, 1e-3)))
			continue
		}
		for range e.spec.Slots {
			slotFreeAt = append(slotFreeAt, time.Time{})
			occupied = append(occupied, 0)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	onTime, total := 0, 0
	for _, at := range arrivals {
		slot := 0
		for n := range slotFreeAt {
			if slotFreeAt[n].Before(slotFreeAt[slot]) {
				slot = n
			}
		}
		start := at.Add(sameRegionDelay)
		if slotFreeAt[slot].After(start) {
			start = slotFreeAt[slot]
		}
		end := start.Add(time.Duration(float64(sim.timings.coldRun) * warmRatio * (0.85 + 0.3*rng.Float64())))
		inTime := end.Add(sameRegionDelay).Sub(at) <= sim.timings.target
		if inTime {
			slotFreeAt[slot] = end
			if occupied[slot] > 0 {
				slotFreeAt[slot] = start.Add(occupied[slot])
			}
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

// checkAgainstIdeal checks that the on-time ratio is at least minIdealRatio times the
// ideal balancer's, and at least minOnTime.
func (sim *simulation) checkAgainstIdeal(t *testing.T, what string, since time.Time, minOnTime float64) {
	t.Helper()
	onTime, failed := sim.outcomeRatios(since)
	ideal := sim.idealOnTimeRatio(since)
	t.Logf("%s: in time %.3f (ideal %.3f), refused or failed %.3f", what, onTime, ideal, failed)
	if onTime < max(minIdealRatio*ideal, minOnTime) {
		t.Errorf("%s: only %.3f of callers were answered in time; the ideal balancer answers %.3f", what, onTime, ideal)
	}
}

package conductor_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// idealPart is the part of what an ideal gets in time that instances must get
// which hear of each other by heartbeats and can't move objects.
const idealPart = 0.8

// idealInTime returns the part of the same arrivals from a moment on that one
// queue would answer in time which knows all slots at once, finds every object
// warm, and has no way to go but the nearest. What can't be in time it drops.
func (w *world) idealInTime(since time.Time) float64 {
	var arrivals []time.Time
	for _, a := range w.answers {
		arrivals = append(arrivals, a.at)
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	var free []time.Time
	for _, e := range w.endpoints {
		for range e.spec.Slots {
			free = append(free, time.Time{})
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	good, total := 0, 0
	for _, at := range arrivals {
		slot := 0
		for n := range free {
			if free[n].Before(free[slot]) {
				slot = n
			}
		}
		start := at.Add(nearWay)
		if free[slot].After(start) {
			start = free[slot]
		}
		end := start.Add(time.Duration(float64(w.times.work) * warmPart * (0.85 + 0.3*rng.Float64())))
		inTime := end.Add(nearWay).Sub(at) <= w.times.target
		if inTime {
			free[slot] = end
		}
		if !at.Before(since) {
			total++
			if inTime {
				good++
			}
		}
	}
	return float64(good) / float64(total)
}

// checkAgainstIdeal compares what callers got with the ideal, and with the part
// that must be in time at least.
func (w *world) checkAgainstIdeal(t *testing.T, what string, since time.Time, least float64) {
	t.Helper()
	good, bad := w.inTime(since)
	ideal := w.idealInTime(since)
	t.Logf("%s: in time %.3f (ideal %.3f), refused or failed %.3f", what, good, ideal, bad)
	if good < max(idealPart*ideal, least) {
		t.Errorf("%s: only %.3f of callers were answered in time; an ideal answers %.3f", what, good, ideal)
	}
}

package conductor_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/router"
)

// searchTimings are those of a service whose cold runs take longer than their target latency.
var searchTimings = timings{target: 1200 * time.Millisecond, timeout: 2500 * time.Millisecond, coldRun: 1760 * time.Millisecond}

// playGrowingLoad plays a deployment whose first region has a tenth of the slots and a third of
// the callers. All objects are cold at first, and the region's load more than doubles in 8 s.
func playGrowingLoad(t *testing.T, seed uint64) *simulation {
	t.Helper()
	const perRegion = 300.0
	teams := []router.Team{{Name: "a", Keys: []string{"a"}}}
	sim := newSimulationWith(t, seed, [3]int{24, 24, 25}, [3]int{20, 86, 102}, 9, 19, teams, searchTimings)
	for _, i := range sim.instances {
		sim.generateLoad(i, perRegion/24, 333, "a", "/x", 12*time.Second)
		if sim.zones[i.zone] == region(0) {
			sim.after(3*time.Second, func() { sim.generateLoad(i, 0.35*perRegion/24, 333, "a", "/x", 9*time.Second) })
			sim.after(7500*time.Millisecond, func() { sim.generateLoad(i, 0.9*perRegion/24, 333, "a", "/x", 4500*time.Millisecond) })
		}
	}
	sim.run(14 * time.Second)
	return sim
}

// Guards against SHIFT: a region with few slots, whose objects are cold at first and whose load
// grows, is preferred by nearly all of its requests and a few seconds later by few of them. At
// most 15 in 100 of a region's requests may change their region within 2 s.
func TestRequestsLeaveGrowingRegionInSmallSteps(t *testing.T) {
	for seed := range uint64(4) {
		sim := playGrowingLoad(t, seed+1)
		onTime, failed := ratiosOf(sim.answersOf("", sim.now.Add(-14*time.Second)))
		t.Logf("seed %d: in time %.3f, refused or failed %.3f", seed, onTime, failed)
		for r := range 3 {
			shift := maxRegionShift(sim.arrivals, region(r), 2*time.Second, 100)
			t.Logf("seed %d: most shift of %s %.3f", seed, region(r), shift)
			if shift > 0.15 {
				t.Errorf("seed %d: %.3f of the requests of %s changed their region within 2 s", seed, shift, region(r))
			}
		}
	}
}

package conductor_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/router"
)

// playBound plays a deployment whose first region has a tenth of the slots and a third of the
// callers. A large team's requests may be served only there: they need more slots than it has.
func playBound(t *testing.T, seed uint64) *simulation {
	t.Helper()
	const free, bound = 150.0, 60.0
	teams := []router.Team{
		{Name: "free", Keys: []string{"free"}, Rate: 4 * free, Burst: 4 * free},
		{Name: "bound", Keys: []string{"bound"}, Rate: 4 * bound, Burst: 4 * bound, HomeRegions: []string{region(0)}},
	}
	sim := newSimulationWith(t, seed, [3]int{30, 29, 29}, [3]int{8, 36, 44}, 3, 8, teams, tileTimings)
	for _, i := range sim.instances {
		sim.generateLoad(i, free/88, 52, "free", "/x", 20*time.Second)
		sim.generateLoad(i, bound/88, 52, "bound", "/x", 20*time.Second)
	}
	sim.run(22 * time.Second)
	return sim
}

// Guards against SHIFT: requests that may go anywhere filled the region in the first seconds, and
// then left it when it was full.
func TestRequestsLeaveFullRegionToBoundOnesFromTheStart(t *testing.T) {
	for seed := range uint64(4) {
		sim := playBound(t, seed+1)
		shift := maxRegionShift(sim.arrivalsOf("free"), region(0), 2*time.Second, 50)
		t.Logf("seed %d: most shift of free requests %.3f", seed, shift)
		if shift > 0.15 {
			t.Errorf("seed %d: %.3f of the free requests of %s changed their region within 2 s", seed, shift, region(0))
		}
	}
}

// The team whose requests may go anywhere must be served as if the other one weren't there. The
// region has too few slots for the other one, which must not be starved: it is served at least a
// quarter as often.
func TestBoundRequestsTakeNothingFromFreeOnes(t *testing.T) {
	for seed := range uint64(2) {
		sim := playBound(t, seed+1)
		since := sim.now.Add(-14 * time.Second)
		served := map[string]float64{}
		inTime := map[string]float64{}
		for _, team := range []string{"free", "bound"} {
			onTime, failed := ratiosOf(sim.answersOf(team, since))
			served[team], inTime[team] = 1-failed, onTime
		}
		t.Logf("seed %d: served %.3v, in time %.3v", seed, served, inTime)
		if inTime["free"] < 0.9 || served["free"] < 0.995 || served["bound"] < 0.25*served["free"] {
			t.Errorf("seed %d: served %.3v, in time %.3v", seed, served, inTime)
		}
	}
}

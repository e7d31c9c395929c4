package conductor_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/router"
)

// playBulk plays a service for quick requests and for long ones of a lower rank. From 6 s on there
// are so many long ones that together they need more slots than there are.
func playBulk(t *testing.T, seed uint64) (sim *simulation, since time.Time) {
	t.Helper()
	const quick, bulk = 90.0, 20.0
	teams := []router.Team{{Name: "quick", Keys: []string{"quick"}}, {Name: "bulk", Keys: []string{"bulk"}}}
	sim = newSimulationWith(t, seed, [3]int{6, 6, 6}, [3]int{12, 14, 10}, 3, 8, teams, tileTimings)
	for _, i := range sim.instances {
		sim.generateLoad(i, quick/18, 24, "quick", "/x", 20*time.Second)
		sim.generateLoad(i, bulk/18, 24, "bulk", bulkPath+"x", 20*time.Second)
		sim.after(6*time.Second, func() { sim.generateLoad(i, 3*bulk/18, 24, "bulk", bulkPath+"x", 14*time.Second) })
	}
	sim.run(6 * time.Second)
	since = sim.now
	sim.run(30 * time.Second)
	return sim, since
}

// Guards against priorities that decide nothing: when long requests of a low rank fill the queues,
// quick ones of a higher rank must be in time at least as often, and the long ones must not be
// starved: they are served at least a quarter as often.
func TestUrgentRequestsAreServedBesideLongOnes(t *testing.T) {
	for seed := range uint64(4) {
		sim, since := playBulk(t, seed+1)
		quickInTime, quickFailed := ratiosOf(sim.answersOf("quick", since))
		bulkInTime, bulkFailed := ratiosOf(sim.answersOf("bulk", since))
		t.Logf("seed %d: quick in time %.3f, failed %.3f; bulk in time %.3f, failed %.3f", seed, quickInTime, quickFailed, bulkInTime, bulkFailed)
		if quickInTime < bulkInTime || 1-bulkFailed < 0.25*(1-quickFailed) {
			t.Errorf("seed %d: quick in time %.3f, bulk in time %.3f and refused %.3f", seed, quickInTime, bulkInTime, bulkFailed)
		}
	}
}

package conductor_test

import (
	"fmt"
	"testing"
	"time"
)

// tileTimings are those of a route whose cold runs are always late.
var tileTimings = timings{target: 500 * time.Millisecond, timeout: 2 * time.Second, coldRun: 880 * time.Millisecond}

// Guards against hot spots: in each region one object suddenly gets a third of the requests, more
// than an endpoint can run. Within 3 s it must be served as the others are.
func TestSuddenFavouriteIsServedInTime(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulationWith(t, seed+1, [3]int{10, 10, 10}, [3]int{28, 30, 30}, 3, 8, openTeams, tileTimings)
		for _, i := range sim.instances {
			sim.generateLoad(i, 140.0/30, 52, "a", "/x", 20*time.Second)
			sim.after(6*time.Second, func() { sim.generateLoad(i, 70.0/30, 1, "a", "/x", 14*time.Second) })
		}
		sim.run(9 * time.Second)
		since := sim.now
		sim.run(14 * time.Second)
		sim.checkAgainstIdeal(t, fmt.Sprint("seed ", seed), since, 0.95)
		if _, refused := sim.outcomeRatios(since); refused > 0.005 {
			t.Errorf("seed %d: %.3f refused or failed though most slots are free", seed, refused)
		}
	}
}

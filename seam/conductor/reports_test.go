package conductor_test

import (
	"testing"
	"time"
)

// Guards against requests that wait at endpoints which are slow at the moment: 15% of the
// endpoints take 2.5 times as long, others every 0.6 s, and state that in their answers.
func TestReportsOfSlowMomentsAreUsed(t *testing.T) {
	noisy := timings{target: 600 * time.Millisecond, timeout: 4 * time.Second, coldRun: 750 * time.Millisecond}
	play := func(seed uint64, reported bool) float64 {
		sim := newSimulationWith(t, seed, [3]int{10, 11, 10}, [3]int{40, 42, 40}, 3, 13, openTeams, noisy)
		sim.slowShare, sim.slowFactor, sim.slowPeriod, sim.slownessReported = 0.15, 2.5, 600*time.Millisecond, reported
		for _, i := range sim.instances {
			sim.generateLoad(i, 516.0/31, 128, "a", "/x", 20*time.Second)
		}
		sim.run(8 * time.Second)
		since := sim.now
		sim.run(14 * time.Second)
		onTime, _ := sim.outcomeRatios(since)
		return 1 - onTime
	}
	with, without := 0.0, 0.0
	for seed := range uint64(4) {
		w, o := play(seed+1, true), play(seed+1, false)
		t.Logf("seed %d: late or refused %.3f with reports, %.3f without", seed, w, o)
		with, without = with+w, without+o
	}
	if with >= without {
		t.Errorf("late or refused %.3f with reports, %.3f without", with/4, without/4)
	}
}

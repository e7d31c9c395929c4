package conductor_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
)

// wholeEnv is the environment variable that enables the longer test cases.
const wholeEnv = "SEAM_WHOLE"

// newFleet returns a simulation of a fleet without load, in three regions of about the same
// size, that has run for long enough that all instances know each other.
func newFleet(t *testing.T, instances int) *simulation {
	sim := newSimulation(t, 5, [3]int{instances / 3, instances / 3, instances - 2*(instances/3)}, [3]int{2, 2, 2}, 3, 10, nil)
	sim.heartbeatLoss = 0.02
	sim.run(25 * time.Second)
	return sim
}

// fewestLive returns the fewest live instances that any instance counts at any time in the
// next d.
func (sim *simulation) fewestLive(d time.Duration) int {
	fewest := len(sim.instances)
	for range d / (250 * time.Millisecond) {
		sim.run(250 * time.Millisecond)
		for _, i := range sim.instances {
			if !i.partitioned {
				fewest = min(fewest, i.model.Stats(sim.now).LiveInstances)
			}
		}
	}
	return fewest
}

// named returns how many instances that aren't partitioned name the given one in look-ups
// for its region.
func (sim *simulation) naming(of *instance) int {
	naming := 0
	for _, i := range sim.instances {
		if i.partitioned {
			continue
		}
		for _, address := range i.model.LookUp(sim.now, i.id, conductor.Lookup{Host: host, Region: sim.zones[of.zone], Zone: "no zone"}).Addresses {
			if address == of.id {
				naming++
			}
		}
	}
	return naming
}

// At any size, live instances count as live and are named in look-ups for all regions, and
// a dead one is no longer named soon after, although heartbeats get lost. The number of
// heartbeats that an instance sends stays level.
func TestMembershipIsKnownAtAnySize(t *testing.T) {
	for _, size := range []int{10, 40, 120, 300, 440} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			if size > 200 && os.Getenv(wholeEnv) == "" {
				t.Skipf("set %s to run this case", wholeEnv)
			}
			sim := newFleet(t, size)
			sim.heartbeatsSent = 0
			if live := sim.fewestLive(4 * time.Second); live < size-max(size*3/100, 1) {
				t.Errorf("an instance counts %d of %d instances as live", live, size)
			}
			if perSecond := float64(sim.heartbeatsSent) / 4 / float64(size); perSecond > 200 {
				t.Errorf("%.0f heartbeats a second are sent by each instance", perSecond)
			} else {
				t.Logf("%.0f heartbeats a second are sent by each instance", perSecond)
			}
			dies := sim.instances[1]
			if n := sim.naming(dies); n < size-max(size*3/100, 1) {
				t.Errorf("%d of %d instances name a live one of the first region in look-ups", n, size)
			}
			dies.partitioned = true
			sim.run(5 * time.Second)
			if n := sim.naming(dies); n > 0 {
				t.Errorf("%d instances name a dead one 5 s later", n)
			}
		})
	}
}

// A region dies. The others must notice that soon, keep counting each other as live, and
// find the region's instances again when it is back.
func TestRegionsDeathIsNoticedByTheOthers(t *testing.T) {
	const size = 90
	sim := newFleet(t, size)
	setRegion := func(partitioned bool) {
		for _, i := range sim.instances {
			if i.zone == zone(0) {
				i.partitioned = partitioned
			}
		}
	}
	setRegion(true)
	sim.run(4 * time.Second)
	for _, i := range sim.instances {
		if live := i.model.Stats(sim.now).LiveInstances; !i.partitioned && (live > size*2/3 || live < size*2/3-3) {
			t.Fatalf("%s counts %d instances as live, want %d", i.id, live, size*2/3)
		}
	}
	setRegion(false)
	sim.run(6 * time.Second)
	if live := sim.fewestLive(2 * time.Second); live < size*97/100 {
		t.Errorf("after its return an instance counts %d of %d as live", live, size)
	}
}

// Half of a fleet with one large and two tiny regions dies. Those that are left keep counting
// each other as live, although the heartbeats in a region come no faster when it shrinks, and
// most slices have no receiver in a tiny region.
func TestUnevenFleetStaysLiveWhenHalfOfItDies(t *testing.T) {
	sim := newSimulation(t, 5, [3]int{140, 2, 2}, [3]int{2, 2, 2}, 3, 10, nil)
	sim.heartbeatLoss = 0.005
	sim.run(20 * time.Second)
	left := 0
	for n, i := range sim.instances {
		i.partitioned = n%2 == 0
		if !i.partitioned {
			left++
		}
	}
	sim.run(5 * time.Second)
	if live := sim.fewestLive(5 * time.Second); live > left || live < left*95/100 {
		t.Errorf("an instance counts %d of %d as live", live, left)
	}
}

package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"primroseseam.org/seam/router"
)

var openTeams = []router.Team{{Name: "a", Keys: []string{"a"}}}

// At 90% of the capacity that endpoints have for warm objects, most callers are
// answered in time. That load is far more than the endpoints could handle if all
// objects were cold. The regions have unequal capacity, and an endpoint keeps a
// quarter of the objects warm.
func TestHeavyLoadIsAnsweredInTime(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(t, seed, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
		const perSecond = 1100.0
		for _, i := range sim.instances {
			sim.generateLoad(i, perSecond/float64(len(sim.instances)), 143, "a", "/x", 20*time.Second)
		}
		sim.run(8 * time.Second)
		since := sim.now
		sim.run(15 * time.Second)
		sim.checkAgainstIdeal(t, fmt.Sprint("seed ", seed), since, 0.7)
	}
}

// Many instances share few endpoints. The endpoints of one region keep fewer objects
// warm and have fewer slots than the callers of that region need. All regions
// together have twice the slots that warm runs need, so at least five in six callers
// must be answered in time.
func TestManyInstancesWithFewEndpointsNearby(t *testing.T) {
	slow := timings{target: 500 * time.Millisecond, timeout: 1200 * time.Millisecond, coldRun: 640 * time.Millisecond}
	for seed := range uint64(2) {
		sim := newSimulationWith(t, seed+1, [3]int{21, 21, 21}, [3]int{11, 25, 32}, 3, 18, openTeams, slow)
		for _, i := range sim.instances {
			sim.generateLoad(i, 520.0/63, 101, "a", "/x", 20*time.Second)
		}
		sim.run(8 * time.Second)
		since := sim.now
		sim.run(14 * time.Second)
		sim.checkAgainstIdeal(t, fmt.Sprintf("seed %d, warm %.2v", seed, sim.warmRatios()), since, 5.0/6)
	}
}

// At twice the capacity of the endpoints, requests that can't be served are refused
// on arrival. If they were queued instead, all requests would be late.
func TestOverloadRefusesInsteadOfBeingLate(t *testing.T) {
	sim := newSimulation(t, 1, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
	const perSecond = 2800.0
	for _, i := range sim.instances {
		sim.generateLoad(i, perSecond/float64(len(sim.instances)), 143, "a", "/x", 20*time.Second)
	}
	sim.run(10 * time.Second)
	since := sim.now
	sim.run(13 * time.Second)
	sim.checkAgainstIdeal(t, "overload", since, 0.3)
}

// A region's endpoints crash and come back cold before the store lists them as
// cold. All instances together must send no more requests than a cold endpoint can
// handle.
func TestReturningColdEndpointsAreNotOverloaded(t *testing.T) {
	sim := newSimulation(t, 2, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
	for _, i := range sim.instances {
		sim.generateLoad(i, 80, 143, "a", "/x", 20*time.Second)
	}
	sim.run(6 * time.Second)
	for _, e := range sim.endpoints {
		if e.region == region(0) {
			e.crash()
		}
	}
	sim.run(4 * time.Second)
	for _, e := range sim.endpoints {
		if e.region == region(0) {
			e.restartCold(sim, 3*time.Second)
		}
	}
	sim.run(2 * time.Second)
	// The load is now higher than the endpoints of the other regions can handle.
	for _, i := range sim.instances {
		sim.generateLoad(i, 70, 143, "a", "/x", 10*time.Second)
	}
	sim.run(8 * time.Second)
	served := 0
	for id, e := range sim.endpoints {
		if bound := int(coldRate*1.5 + 5); e.maxColdArrivals > bound {
			t.Errorf("%s got %d requests in a second while it was cold; it can handle %d", id, e.maxColdArrivals, bound)
		}
		if e.region == region(0) && countSince(e.arrivals, sim.now.Add(-4*time.Second)) > 0 {
			served++
		}
	}
	if served < 6 {
		t.Errorf("only %d of 6 endpoints get requests again", served)
	}
}

// An endpoint that is added under load gets requests within 4 s. While it is cold, it
// gets no more requests than a cold endpoint can handle.
func TestNewEndpointsAreUsedSoonWithinColdRate(t *testing.T) {
	sim := newSimulation(t, 3, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
	for _, i := range sim.instances {
		sim.generateLoad(i, 80, 143, "a", "/x", 20*time.Second)
	}
	sim.run(5 * time.Second)
	added := &fakeEndpoint{
		spec:   router.Endpoint{ID: "e-new", Address: "e-new", Service: service, Zone: zone(2), Slots: 9},
		region: region(2), warmCapacity: 112, coldUntil: sim.now.Add(3 * time.Second),
	}
	sim.endpoints["e-new"] = added
	for _, i := range sim.instances {
		sim.updateEndpoints(i)
	}
	sim.run(4 * time.Second)
	if len(added.arrivals) == 0 {
		t.Error("the new endpoint got no requests within 4 s")
	}
	sim.run(4 * time.Second)
	if bound := int(coldRate*1.5 + 5); added.maxColdArrivals > bound {
		t.Errorf("the new endpoint got %d requests in a second while it was cold; it can handle %d", added.maxColdArrivals, bound)
	}
}

// maxAdmitted returns how many requests of a team may reach endpoints in 5 s. The
// users require this limit.
func maxAdmitted(team router.Team) int {
	return int((team.Rate*5+team.Burst)*1.1 + 20)
}

// A team suddenly sends many times its rate, and later all instances restart. In any
// 5 s, all instances together must admit at most maxAdmitted of its requests. In the
// 5 s with the most admissions, they must admit at least 80% of its rate.
func TestHotTeamKeepsToItsRateOverTheFleet(t *testing.T) {
	for _, size := range []int{3, 21} {
		team := router.Team{Name: "hot", Keys: []string{"hot"}, Rate: 230, Burst: 230}
		sim := newSimulation(t, 4, [3]int{size, size, size}, [3]int{40, 40, 40}, 9, 400, []router.Team{team})
		n := float64(len(sim.instances))
		for _, i := range sim.instances {
			sim.generateLoad(i, 140/n, 100, "hot", "/x", 30*time.Second)
		}
		sim.run(5 * time.Second)
		for _, i := range sim.instances {
			sim.generateLoad(i, 900/n, 100, "hot", "/x", 8*time.Second)
		}
		sim.run(9 * time.Second)
		// All instances restart and lose their state.
		for _, i := range sim.instances {
			sim.restart(i)
			sim.generateLoad(i, 900/n, 100, "hot", "/x", 6*time.Second)
		}
		sim.run(8 * time.Second)
		most := maxInWindow(sim.admitted["hot"], 5*time.Second)
		t.Logf("%d instances: %d in 5 s, %d allowed", len(sim.instances), most, maxAdmitted(team))
		if most > maxAdmitted(team) {
			t.Errorf("%d instances admitted %d in 5 s; %d are allowed", len(sim.instances), most, maxAdmitted(team))
		}
		if most < int(team.Rate*5*0.8) {
			t.Errorf("%d instances admitted only %d in 5 s", len(sim.instances), most)
		}
	}
}

// A team that sends less than its rate is not refused, even if each instance gets far
// less than one of its requests per second.
func TestTeamBelowItsRateIsNotRefused(t *testing.T) {
	for _, size := range []int{3, 21} {
		team := router.Team{Name: "small", Keys: []string{"small"}, Rate: 10, Burst: 10}
		sim := newSimulation(t, 5, [3]int{size, size, size}, [3]int{4, 4, 4}, 9, 400, []router.Team{team})
		for _, i := range sim.instances {
			sim.generateLoad(i, 6.5/float64(len(sim.instances)), 20, "small", "/x", 40*time.Second)
		}
		sim.run(42 * time.Second)
		_, failed := sim.outcomeRatios(sim.now.Add(-41 * time.Second))
		t.Logf("%d instances: refused for good: %.3f", len(sim.instances), failed)
		if failed > 0.02 {
			t.Errorf("%d instances: %.3f of the requests of a team at 65%% of its rate were refused", len(sim.instances), failed)
		}
	}
}

// A team that sends more than its rate still gets nearly all of its rate.
func TestTeamAboveItsRateGetsItsRate(t *testing.T) {
	for _, size := range []int{3, 21} {
		team := router.Team{Name: "small", Keys: []string{"small"}, Rate: 10, Burst: 10}
		sim := newSimulation(t, 5, [3]int{size, size, size}, [3]int{4, 4, 4}, 9, 400, []router.Team{team})
		for _, i := range sim.instances {
			sim.generateLoad(i, 25/float64(len(sim.instances)), 20, "small", "/x", 40*time.Second)
		}
		sim.run(40 * time.Second)
		rate := float64(len(sim.admitted["small"])) / 40
		t.Logf("%d instances: %.1f of 10 a second", len(sim.instances), rate)
		if rate < 9 || rate > 10.5 {
			t.Errorf("%d instances admitted %.1f a second at a rate of 10", len(sim.instances), rate)
		}
	}
}

// Half of the instances are cut off from all others for 8 s, each on its own. A
// cut-off instance may use only its static share of the rate, so the team stays
// within its rate.
func TestPartitionedInstancesKeepTeamWithinRate(t *testing.T) {
	team := router.Team{Name: "hot", Keys: []string{"hot"}, Rate: 100, Burst: 100}
	sim := newSimulation(t, 6, [3]int{4, 4, 4}, [3]int{40, 40, 40}, 9, 400, []router.Team{team})
	for _, i := range sim.instances {
		sim.generateLoad(i, 40, 100, "hot", "/x", 20*time.Second)
	}
	sim.run(4 * time.Second)
	for n, i := range sim.instances {
		i.partitioned = n%2 == 0
	}
	sim.run(8 * time.Second)
	for _, i := range sim.instances {
		i.partitioned = false
	}
	sim.run(9 * time.Second)
	most := maxInWindow(sim.admitted["hot"], 5*time.Second)
	if most > maxAdmitted(team) || most < int(team.Rate*5*0.8) {
		t.Errorf("%d were admitted in 5 s; %d are allowed", most, maxAdmitted(team))
	}
}

// Guards against QUOTA: two regions lose each other while both still receive the third's
// heartbeats. The two must not both use the whole rate.
func TestRegionsApartKeepTeamWithinRate(t *testing.T) {
	team := router.Team{Name: "hot", Keys: []string{"hot"}, Rate: 100, Burst: 100}
	for _, instances := range [][3]int{{1, 1, 1}, {4, 4, 3}, {4, 4, 4}} {
		t.Run(fmt.Sprintf("%d-%d-%d", instances[0], instances[1], instances[2]), func(t *testing.T) {
			sim := newSimulation(t, 6, instances, [3]int{40, 40, 40}, 9, 400, []router.Team{team})
			for _, i := range sim.instances {
				sim.generateLoad(i, 400/float64(len(sim.instances)), 100, "hot", "/x", 20*time.Second)
			}
			sim.run(4 * time.Second)
			sim.apart = func(from, to string) bool { return from != region(2) && to != region(2) && from != to }
			sim.run(8 * time.Second)
			sim.apart = nil
			sim.run(9 * time.Second)
			most := maxInWindow(sim.admitted["hot"], 5*time.Second)
			if most > maxAdmitted(team) || most < int(team.Rate*5*0.8) {
				t.Errorf("%d were admitted in 5 s; %d are allowed", most, maxAdmitted(team))
			}
		})
	}
}

// When the load of a region grows far beyond the capacity of its endpoints, its
// requests move to other regions gradually. Between two consecutive windows of 2 s, at
// most 15% of them move.
func TestRequestsChangeRegionsInSmallSteps(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(t, seed, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
		for n, i := range sim.instances {
			sim.generateLoad(i, 50, 143, "a", "/x", 30*time.Second)
			if n >= 8 {
				sim.after(12*time.Second, func() { sim.generateLoad(i, 120, 143, "a", "/x", 10*time.Second) })
			}
		}
		sim.run(32 * time.Second)
		for r := range 3 {
			shift := maxRegionShift(sim.arrivals, region(r), 2*time.Second, 100)
			t.Logf("seed %d: most shift of %s %.3f", seed, region(r), shift)
			if shift > 0.15 {
				t.Errorf("seed %d: %.3f of the requests of %s moved to other regions within 2 s", seed, shift, region(r))
			}
		}
	}
}

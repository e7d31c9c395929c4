package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"primroseseam.org/seam/router"
)

var openTeams = []router.Team{{Name: "a", Keys: []string{"a"}}}

// At 90% of what warm endpoints can do and far more than cold ones can, most
// callers get their answer in time. The regions are unequal, and an endpoint
// keeps a quarter of the objects.
func TestHeavyLoadStaysWarm(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(t, seed, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
		const perSecond = 1100.0
		for _, i := range w.instances {
			w.load(i, perSecond/float64(len(w.instances)), 143, "a", "/x", 20*time.Second)
		}
		w.run(8 * time.Second)
		since := w.now
		w.run(15 * time.Second)
		w.checkAgainstIdeal(t, fmt.Sprint("seed ", seed), since, 0.7)
	}
}

// Many instances share few endpoints, which in one region keep fewer objects and
// have fewer slots than its callers ask for. All regions together have twice the
// slots that warm runs need, so most callers must be in time: five in six.
func TestManyInstancesWithFewEndpointsNearby(t *testing.T) {
	slow := times{target: 500 * time.Millisecond, timeout: 1200 * time.Millisecond, work: 640 * time.Millisecond}
	for seed := range uint64(2) {
		w := newWorldOf(t, seed+1, [3]int{21, 21, 21}, [3]int{11, 25, 32}, 3, 18, openTeams, slow)
		for _, i := range w.instances {
			w.load(i, 520.0/63, 101, "a", "/x", 20*time.Second)
		}
		w.run(8 * time.Second)
		since := w.now
		w.run(14 * time.Second)
		w.checkAgainstIdeal(t, fmt.Sprintf("seed %d, warm %.2v", seed, w.warmth()), since, 5.0/6)
	}
}

// At twice what endpoints can do, the slots still bring answers in time: what
// can't be served is refused at once instead of making all late.
func TestOverloadRefusesInsteadOfBeingLate(t *testing.T) {
	w := newWorld(t, 1, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
	const perSecond = 2800.0
	for _, i := range w.instances {
		w.load(i, perSecond/float64(len(w.instances)), 143, "a", "/x", 20*time.Second)
	}
	w.run(10 * time.Second)
	since := w.now
	w.run(13 * time.Second)
	w.checkAgainstIdeal(t, "overload", since, 0.3)
}

// A region's endpoints are lost and come back cold before any entry says so.
// All instances together send no more than a cold endpoint bears.
func TestReturningEndpointsAreNotMetByAll(t *testing.T) {
	w := newWorld(t, 2, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
	for _, i := range w.instances {
		w.load(i, 80, 143, "a", "/x", 20*time.Second)
	}
	w.run(6 * time.Second)
	for _, e := range w.endpoints {
		if e.region == region(0) {
			e.crash()
		}
	}
	w.run(4 * time.Second)
	for _, e := range w.endpoints {
		if e.region == region(0) {
			e.comeBack(w, 3*time.Second)
		}
	}
	w.run(2 * time.Second)
	// More than the others can do.
	for _, i := range w.instances {
		w.load(i, 70, 143, "a", "/x", 10*time.Second)
	}
	w.run(8 * time.Second)
	served := 0
	for id, e := range w.endpoints {
		if bound := int(coldRate*1.5 + 5); e.coldMost > bound {
			t.Errorf("%s got %d requests in a second while it was cold; it bears %d", id, e.coldMost, bound)
		}
		if e.region == region(0) && within(e.arrivals, w.now.Add(-4*time.Second)) > 0 {
			served++
		}
	}
	if served < 6 {
		t.Errorf("only %d of 6 endpoints are used again", served)
	}
}

// Endpoints that join while callers ask get work within 4 s, and no more than
// they bear while they are cold.
func TestNewEndpointsAreUsedSoonAndGently(t *testing.T) {
	w := newWorld(t, 3, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
	for _, i := range w.instances {
		w.load(i, 80, 143, "a", "/x", 20*time.Second)
	}
	w.run(5 * time.Second)
	added := &fakeEndpoint{
		spec:   router.Endpoint{ID: "e-new", Address: "e-new", Service: service, Zone: zone(2), Slots: 9},
		region: region(2), keeps: 112, coldTill: w.now.Add(3 * time.Second),
	}
	w.endpoints["e-new"] = added
	for _, i := range w.instances {
		w.tellEndpoints(i)
	}
	w.run(4 * time.Second)
	if len(added.arrivals) == 0 {
		t.Error("it got nothing within 4 s")
	}
	w.run(4 * time.Second)
	if bound := int(coldRate*1.5 + 5); added.coldMost > bound {
		t.Errorf("it got %d requests in a second while it was cold; it bears %d", added.coldMost, bound)
	}
}

// quotaBound is what the users' rule allows a team in 5 s.
func quotaBound(team router.Team) int {
	return int((team.Rate*5+team.Burst)*1.1 + 20)
}

// A team that suddenly sends many times its rate gets its rate and burst over
// the whole fleet, and nearly all of it.
func TestHotTeamKeepsToItsRateOverTheFleet(t *testing.T) {
	for _, size := range []int{3, 21} {
		team := router.Team{Name: "hot", Keys: []string{"hot"}, Rate: 230, Burst: 230}
		w := newWorld(t, 4, [3]int{size, size, size}, [3]int{40, 40, 40}, 9, 400, []router.Team{team})
		n := float64(len(w.instances))
		for _, i := range w.instances {
			w.load(i, 140/n, 100, "hot", "/x", 30*time.Second)
		}
		w.run(5 * time.Second)
		for _, i := range w.instances {
			w.load(i, 900/n, 100, "hot", "/x", 8*time.Second)
		}
		w.run(9 * time.Second)
		// All instances lose what they knew.
		for _, i := range w.instances {
			w.restart(i)
			w.load(i, 900/n, 100, "hot", "/x", 6*time.Second)
		}
		w.run(8 * time.Second)
		most := mostWithin(w.admitted["hot"], 5*time.Second)
		t.Logf("%d instances: %d in 5 s, %d allowed", len(w.instances), most, quotaBound(team))
		if most > quotaBound(team) {
			t.Errorf("%d instances let %d through in 5 s; %d are allowed", len(w.instances), most, quotaBound(team))
		}
		if most < int(team.Rate*5*0.8) {
			t.Errorf("%d instances let only %d through in 5 s", len(w.instances), most)
		}
	}
}

// A team below its rate is not refused, also if its requests at an instance are
// far fewer than one in a second.
func TestTeamBelowItsRateIsNotRefused(t *testing.T) {
	for _, size := range []int{3, 21} {
		team := router.Team{Name: "small", Keys: []string{"small"}, Rate: 10, Burst: 10}
		w := newWorld(t, 5, [3]int{size, size, size}, [3]int{4, 4, 4}, 9, 400, []router.Team{team})
		for _, i := range w.instances {
			w.load(i, 6.5/float64(len(w.instances)), 20, "small", "/x", 40*time.Second)
		}
		w.run(42 * time.Second)
		_, bad := w.inTime(w.now.Add(-41 * time.Second))
		t.Logf("%d instances: refused for good: %.3f", len(w.instances), bad)
		if bad > 0.02 {
			t.Errorf("%d instances: %.3f of the requests of a team at 65%% of its rate were refused", len(w.instances), bad)
		}
	}
}

// A team that asks for more than its rate gets nearly all of its rate.
func TestTeamAboveItsRateGetsItsRate(t *testing.T) {
	for _, size := range []int{3, 21} {
		team := router.Team{Name: "small", Keys: []string{"small"}, Rate: 10, Burst: 10}
		w := newWorld(t, 5, [3]int{size, size, size}, [3]int{4, 4, 4}, 9, 400, []router.Team{team})
		for _, i := range w.instances {
			w.load(i, 25/float64(len(w.instances)), 20, "small", "/x", 40*time.Second)
		}
		w.run(40 * time.Second)
		rate := float64(len(w.admitted["small"])) / 40
		t.Logf("%d instances: %.1f of 10 a second", len(w.instances), rate)
		if rate < 9 || rate > 10.5 {
			t.Errorf("%d instances let %.1f a second through of 10", len(w.instances), rate)
		}
	}
}

// An instance that is cut off from the others keeps to its static part.
func TestCutOffInstancesKeepToTheirParts(t *testing.T) {
	team := router.Team{Name: "hot", Keys: []string{"hot"}, Rate: 100, Burst: 100}
	w := newWorld(t, 6, [3]int{4, 4, 4}, [3]int{40, 40, 40}, 9, 400, []router.Team{team})
	for _, i := range w.instances {
		w.load(i, 40, 100, "hot", "/x", 20*time.Second)
	}
	w.run(4 * time.Second)
	for n, i := range w.instances {
		i.cut = n%2 == 0
	}
	w.run(8 * time.Second)
	for _, i := range w.instances {
		i.cut = false
	}
	w.run(9 * time.Second)
	most := mostWithin(w.admitted["hot"], 5*time.Second)
	if most > quotaBound(team) || most < int(team.Rate*5*0.8) {
		t.Errorf("%d were let through in 5 s; %d are allowed", most, quotaBound(team))
	}
}

// When callers of a region become many more than its endpoints can serve, their
// requests move to other regions in steps below the cap.
func TestRequestsChangeRegionsInSmallSteps(t *testing.T) {
	for seed := range uint64(3) {
		w := newWorld(t, seed, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
		for n, i := range w.instances {
			w.load(i, 50, 143, "a", "/x", 30*time.Second)
			if n >= 8 {
				w.after(12*time.Second, func() { w.load(i, 120, 143, "a", "/x", 10*time.Second) })
			}
		}
		w.run(32 * time.Second)
		for r := range 3 {
			shift := mostShift(w.runs, region(r), 2*time.Second, 100)
			t.Logf("seed %d: most shift of %s %.3f", seed, region(r), shift)
			if shift > 0.15 {
				t.Errorf("seed %d: %.3f of the requests of %s changed their region within 2 s", seed, shift, region(r))
			}
		}
	}
}

package conductor_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/router"
)

// teamsToldOf returns how many teams the next heartbeat tells of.
func teamsToldOf(m *conductor.Model, now time.Time, to conductor.Audience) int {
	return len(m.Heartbeat(now, to).Demand)
}

// A heartbeat tells of the teams of which there is something new, to each
// audience on its own, and now and then of all.
func TestHeartbeatsTellOfTeamsWithNews(t *testing.T) {
	teams := []router.Team{{Name: "t", Keys: []string{"k"}, Rate: 100, Burst: 100}}
	routes := oneRoute(true)
	routes[0].Open = false
	m := newModel(routes, teams)
	m.Update(start, conductor.InstancesSeen{IDs: []string{"edge-1"}})
	m.Update(start, conductor.Ticked{})
	m.Update(start, conductor.RequestArrived{ID: 1, Host: "h", Path: "/x", Key: "k", CallerTimeLeft: 4 * time.Second, Read: start})
	for _, to := range []conductor.Audience{conductor.SameRegion, conductor.OtherRegions} {
		for range 3 {
			if n := teamsToldOf(m, start, to); n != 1 {
				t.Errorf("a first heartbeat tells of %d teams", n)
			}
		}
		if n := teamsToldOf(m, start, to); n != 0 {
			t.Errorf("a heartbeat without news tells of %d teams", n)
		}
	}
	m.Update(start, conductor.RequestArrived{ID: 2, Host: "h", Path: "/x", Key: "k", CallerTimeLeft: 4 * time.Second, Read: start})
	if n := teamsToldOf(m, start, conductor.SameRegion); n != 1 {
		t.Errorf("the next heartbeat tells of %d teams", n)
	}
	whole := 0
	for range 8 {
		whole += teamsToldOf(m, start, conductor.SameRegion)
	}
	if whole != 1 {
		t.Errorf("%d of eight heartbeats repeat what is known", whole)
	}
	if n := teamsToldOf(m, start.Add(time.Minute), conductor.SameRegion); n != 1 {
		t.Errorf("that a team asks nothing any more is told in %d heartbeats", n)
	}
}

// Many of the heartbeats of a large fleet get lost, and a team still keeps to
// its rate.
func TestHotTeamKeepsToItsRateWhileHeartbeatsGetLost(t *testing.T) {
	team := router.Team{Name: "hot", Keys: []string{"hot"}, Rate: 230, Burst: 230}
	w := newWorld(t, 9, [3]int{21, 21, 21}, [3]int{40, 40, 40}, 9, 400, []router.Team{team})
	w.lost = 0.2
	for _, i := range w.instances {
		w.load(i, 140.0/63, 100, "hot", "/x", 15*time.Second)
	}
	w.run(5 * time.Second)
	for _, i := range w.instances {
		w.load(i, 900.0/63, 100, "hot", "/x", 10*time.Second)
	}
	w.run(10 * time.Second)
	most := mostWithin(w.admitted["hot"], 5*time.Second)
	if most > quotaBound(team) || most < int(team.Rate*5*0.8) {
		t.Errorf("%d were let through in 5 s; %d are allowed", most, quotaBound(team))
	}
}

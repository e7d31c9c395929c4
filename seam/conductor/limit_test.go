package conductor_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"primroseseam.org/seam/router"
)

const (
	// Within contactTime all instances know a limit. From then on an endpoint may get, in each
	// limitWindow, limitTolerance times what its limit allows, and limitSlack requests.
	contactTime    = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// nameLimits makes a share of the endpoints name a limit: a fraction of the requests per
// second that they got in the last few seconds.
func (sim *simulation) nameLimits(share, fraction float64) []*fakeEndpoint {
	const measured = 3 * time.Second
	var ids []string
	for id := range sim.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var limited []*fakeEndpoint
	for _, n := range sim.rng.Perm(len(ids))[:int(share*float64(len(ids)))] {
		e := sim.endpoints[ids[n]]
		perSecond := float64(countSince(e.arrivals, sim.now.Add(-measured))) / measured.Seconds()
		e.limit = router.RateLimit{Statement: router.LimitNamed, PerSecond: fraction * perSecond}
		limited = append(limited, e)
	}
	return limited
}

// checkLimits checks the arrivals at endpoints that have named their limits since the given
// time.
func (sim *simulation) checkLimits(t *testing.T, limited []*fakeEndpoint, since time.Time) {
	t.Helper()
	for _, e := range limited {
		from, _ := slices.BinarySearchFunc(e.arrivals, since.Add(contactTime), time.Time.Compare)
		allowed := limitTolerance*e.limit.PerSecond*limitWindow.Seconds() + limitSlack
		if got := maxInWindow(e.arrivals[from:], limitWindow); float64(got) > allowed {
			t.Errorf("%s with a limit of %.1f a second got %d requests in %v, allowed %.1f", e.spec.ID, e.limit.PerSecond, got, limitWindow, allowed)
		}
	}
}

// playLimits plays fleets in which 70% of the endpoints name half of what they got, an
// instance starts anew and another loses the others. It calls check with the end of each.
func playLimits(t *testing.T, check func(t *testing.T, sim *simulation, limited []*fakeEndpoint, since time.Time)) {
	t.Helper()
	fleets := map[string]struct {
		instances, endpoints [3]int
		perSecond            float64
	}{
		"few":  {[3]int{4, 4, 3}, [3]int{6, 8, 2}, 600},
		"many": {[3]int{21, 21, 21}, [3]int{20, 30, 18}, 500},
	}
	for name, f := range fleets {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, "-", seed), func(t *testing.T) {
				sim := newSimulation(t, seed, f.instances, f.endpoints, 9, 112, openTeams)
				for _, i := range sim.instances {
					sim.generateLoad(i, f.perSecond/float64(len(sim.instances)), 143, "a", "/x", 25*time.Second)
				}
				sim.run(6 * time.Second)
				since := sim.now
				limited := sim.nameLimits(0.7, 0.5)
				sim.run(5 * time.Second)
				sim.restart(sim.instances[1])
				sim.instances[5].partitioned = true
				sim.run(5 * time.Second)
				sim.instances[5].partitioned = false
				sim.run(9 * time.Second)
				check(t, sim, limited, since)
			})
		}
	}
}

// An endpoint's limit holds for all instances together.
func TestEndpointsGetNoMoreThanTheyNamed(t *testing.T) {
	playLimits(t, func(t *testing.T, sim *simulation, limited []*fakeEndpoint, since time.Time) {
		sim.checkLimits(t, limited, since)
	})
}

func TestCallersAreServedWhileEndpointsNameLimits(t *testing.T) {
	playLimits(t, func(t *testing.T, sim *simulation, _ []*fakeEndpoint, since time.Time) {
		sim.checkAgainstIdeal(t, "with limits", since.Add(contactTime), 0.7)
	})
}

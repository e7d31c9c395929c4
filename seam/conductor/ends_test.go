package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"primroseseam.org/seam/placer"
)

// Digests of the requests that come again and again: one that crashes endpoints and one that
// doesn't.
const (
	deadlyDigest  = 1
	popularDigest = 2
)

// repeatRequest sends requests with the same digest to random instances at a mean rate per
// second, for the duration until.
func (sim *simulation) repeatRequest(digest uint64, perSecond float64, until time.Duration) {
	end := sim.now.Add(until)
	var next func()
	next = func() {
		if sim.now.After(end) {
			return
		}
		i := sim.instances[sim.rng.IntN(len(sim.instances))]
		sim.request(i, digest, placer.Hash32(fmt.Sprint(digest)), "a", "/x", 2*sim.timings.timeout, sim.now, 1)
		sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// checkOnlyDeadlyQuarantined checks how many requests were refused as if they were deadly.
func (sim *simulation) checkOnlyDeadlyQuarantined(t *testing.T, allowed int) {
	t.Helper()
	refused := 0
	for digest, n := range sim.quarantined {
		if digest != deadlyDigest {
			refused += n
		}
	}
	if sim.quarantined[popularDigest] > 0 || refused > allowed {
		t.Errorf("%d innocent requests were refused, of them %d of the popular one; allowed %d and 0", refused, sim.quarantined[popularDigest], allowed)
	}
}

// After the third endpoint and the time in which all instances learn of it, at most three
// more requests may reach endpoints. Those that ran beside them stay served.
func TestDeadlyRequestIsNotSentOn(t *testing.T) {
	const contact, allowedLater = 3 * time.Second, 3
	fleets := map[string]struct {
		instances, endpoints [3]int
		perSecond            float64
	}{
		"few":  {[3]int{4, 4, 3}, [3]int{6, 8, 2}, 500},
		"many": {[3]int{21, 21, 21}, [3]int{20, 30, 18}, 1200},
	}
	for name, f := range fleets {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) {
				sim := newSimulation(t, seed, f.instances, f.endpoints, 9, 112, openTeams)
				sim.deadly = deadlyDigest
				for _, i := range sim.instances {
					sim.generateLoad(i, f.perSecond/float64(len(sim.instances)), 143, "a", "/x", 28*time.Second)
				}
				sim.run(5 * time.Second)
				sim.repeatRequest(popularDigest, 20, 22*time.Second)
				sim.run(time.Second)
				sim.repeatRequest(deadlyDigest, 17, 20*time.Second)
				sim.run(5 * time.Second)
				sim.restart(sim.instances[1])
				sim.run(4 * time.Second)
				since := sim.now
				sim.run(13 * time.Second)
				later := 0
				for _, at := range sim.crashes {
					if at.After(sim.crashes[2].Add(contact)) {
						later++
					}
				}
				t.Logf("%d endpoints ended, %d of them later; refused %v", len(sim.crashes), later, sim.quarantined)
				if later > allowedLater {
					t.Errorf("%d endpoints ended later, allowed %d", later, allowedLater)
				}
				sim.checkOnlyDeadlyQuarantined(t, int(sim.requests)/1000)
				sim.checkAgainstIdeal(t, "afterwards", since, 0.7)
			})
		}
	}
}

// Without a deadly request nothing may be refused as one, whatever endpoints end of.
func TestNoRequestIsQuarantinedForOtherEnds(t *testing.T) {
	for seed := range uint64(3) {
		sim := newSimulation(t, seed, [3]int{4, 4, 3}, [3]int{6, 8, 2}, 9, 112, openTeams)
		for _, i := range sim.instances {
			sim.generateLoad(i, 50, 143, "a", "/x", 20*time.Second)
		}
		sim.repeatRequest(popularDigest, 20, 20*time.Second)
		end := func(e *fakeEndpoint) {
			e.crash()
			sim.after(crashPause, func() { e.startAnew(sim) })
		}
		sim.run(2 * time.Second)
		for _, e := range sim.endpoints {
			if e.region == region(1) {
				end(e)
			}
		}
		for n := range 40 {
			sim.run(300 * time.Millisecond)
			end(sim.endpoints[fmt.Sprint("e-0-", n%6)])
		}
		sim.run(8 * time.Second)
		sim.checkOnlyDeadlyQuarantined(t, 0)
	}
}

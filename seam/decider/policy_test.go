package decider_test

import (
	"cmp"
	"os"
	"slices"
	"testing"
	"time"

	"primroseseam.org/seam/picker"
)

// fullRuns makes long tests run all their cases instead of a short selection.
var fullRuns = os.Getenv("SEAM_WHOLE") != ""

// fault is a fault that a test simulates at the first endpoint of a fleet.
type fault struct {
	name string
	set  func(*upstream)
	// broken means that the endpoint gives no usable answer to any request.
	broken bool
}

var faults = []fault{
	{"none", func(*upstream) {}, false},
	{"reportsZero", func(u *upstream) { u.reportsZero = true }, false},
	{"failsFast", func(u *upstream) { u.failFast = true }, true},
}

// policyCase is one of the policies that a test compares, or the ideal reference.
type policyCase struct {
	name string
	opts []fleetOption
}

var policyCases = []policyCase{
	{"ideal", nil},
	{"roundRobin", []fleetOption{withPolicy(picker.RoundRobin{})}},
	{"leastReported", []fleetOption{withPolicy(picker.LeastReported{})}},
	{"leastDiscounted", []fleetOption{withPolicy(picker.LeastDiscounted{})}},
	{"singleOwner", nil},
}

// simulateIdeal returns the outcomes of the ideal reference, with which the policies are
// compared. The reference has a single queue, in order of arrival, and the state of each
// slot is known there without delay. Only requests and answers have network latency.
// broken is the number of endpoints, from the first, that are not used.
func (s topology) simulateIdeal(calls []call, broken int) []outcome {
	type slot struct {
		domain int
		free   time.Duration
	}
	var slots []slot
	for e := broken; e < s.endpoints; e++ {
		for range s.slots {
			slots = append(slots, slot{domain: e % 2})
		}
	}
	outcomes := make([]outcome, len(calls))
	for i, c := range calls {
		first := slices.MinFunc(slots, func(a, b slot) int { return cmp.Compare(a.free, b.free) })
		k := slices.Index(slots, first)
		latency := s.latencyBetween(c.instance, first.domain)
		start := max(c.at, first.free) + latency
		slots[k].free = start + c.serviceTime + latency
		outcomes[i] = outcome{wait: start - c.at, done: true}
	}
	return outcomes
}

// play runs one policy, or the ideal reference, and returns the outcomes of the calls.
func (s topology) play(t *testing.T, c policyCase, x fault, seed uint64, length time.Duration) []outcome {
	t.Helper()
	load, broken := 0.85, 0
	if x.broken {
		// The load is relative to the slots of the endpoints that aren't broken. The
		// ideal reference uses only these slots.
		broken = 1
		load *= float64(s.endpoints-1) / float64(s.endpoints)
	}
	calls := s.trace(seed, load, length)
	if c.name == "ideal" {
		return s.simulateIdeal(calls, broken)
	}
	f := newFleet(t, s, c.opts...)
	x.set(f.upstreams[0])
	return f.play(calls, length)
}

// TestDefaultPolicyWaitsLittleMoreThanTheIdeal checks that the p99 wait of the default
// policy is at most 1.5 times that of the ideal reference, and at most half of that of
// round robin.
func TestDefaultPolicyWaitsLittleMoreThanTheIdeal(t *testing.T) {
	length, tested := 5*time.Second, topologies[1:2]
	if fullRuns {
		length, tested = 60*time.Second, topologies
	}
	for _, s := range tested {
		for _, x := range faults {
			t.Run(s.name+"/"+x.name, func(t *testing.T) { comparePolicies(t, s, x, length) })
		}
	}
}

func comparePolicies(t *testing.T, s topology, x fault, length time.Duration) {
	p99 := map[string]time.Duration{}
	for _, c := range policyCases {
		outcomes := s.play(t, c, x, 1, length)
		p99[c.name] = waitQuantile(outcomes, 0.99)
		t.Logf("%-16s p50 %8v p99 %8v not answered %d", c.name, waitQuantile(outcomes, 0.5).Round(100*time.Microsecond),
			p99[c.name].Round(100*time.Microsecond), countFailed(outcomes))
	}
	if p99["singleOwner"]*2 > p99["ideal"]*3 {
		t.Errorf("p99 wait %v is more than 1.5 times the ideal's %v", p99["singleOwner"], p99["ideal"])
	}
	if p99["singleOwner"]*2 > p99["roundRobin"] {
		t.Errorf("p99 wait %v is more than half of round robin's %v", p99["singleOwner"], p99["roundRobin"])
	}
}

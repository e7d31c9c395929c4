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

// fault is a fault of the first endpoint.
type fault struct {
	name string
	set  func(*upstream)
	// broken means that the endpoint answers no request properly.
	broken bool
}

var faults = []fault{
	{"none", func(*upstream) {}, false},
	{"reportsZero", func(u *upstream) { u.reportsZero = true }, false},
	{"failsFast", func(u *upstream) { u.failFast = true }, true},
}

// policyCase is one of the policies that are compared.
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

// ideal simulates the reference that the policies are compared with: one queue in order
// of arrival that has the state of each slot without delay. Only requests and answers
// are subject to network latency. It skips the first endpoints, as many as are broken.
func (s topology) ideal(calls []call, broken int) []outcome {
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
		// The load is relative to the slots that work. The ideal reference uses
		// only those.
		broken = 1
		load *= float64(s.endpoints-1) / float64(s.endpoints)
	}
	calls := s.trace(seed, load, length)
	if c.name == "ideal" {
		return s.ideal(calls, broken)
	}
	f := newFleet(t, s, c.opts...)
	x.set(f.upstreams[0])
	return f.play(calls, length)
}

// TestDefaultPolicyWaitsLittleMoreThanTheIdeal checks the default policy against its
// targets: a p99 wait of at most 1.5 times the ideal's and half of round robin's.
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

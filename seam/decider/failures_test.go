package decider_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/coder"
)

// slotOwner returns the index of the instance that is the service's slot owner. It takes
// the first instance that has requests in flight at endpoints, or 0 if there is none.
func slotOwner(f *fleet) int {
	for i := range f.models {
		if len(f.models[i].Loads(f.world.Now())) > 0 {
			return i
		}
	}
	return 0
}

// arrivedBetween returns the outcomes of the calls that arrived at the time from or
// later, and before the time to.
func arrivedBetween(outcomes []outcome, from, to time.Duration) []outcome {
	var selected []outcome
	for _, o := range outcomes {
		if o.call.at >= from && o.call.at < to {
			selected = append(selected, o)
		}
	}
	return selected
}

func TestSlotOwnerCrashLosesOnlyItsRequests(t *testing.T) {
	s := topologies[1]
	f := newFleet(t, s)
	f.schedule(s.trace(3, 0.6, 12*time.Second))
	f.world.Run(4 * time.Second)
	owner := slotOwner(f)
	f.crash(owner)
	f.world.Run(3 * time.Second)
	f.restart(owner)
	f.world.Run(15 * time.Second)
	// The requests that were in flight or queued at the slot owner may be lost: at most
	// one request in flight for each slot, and about as many queued.
	if lost := countFailed(f.outcomes); lost > 2*s.endpoints*s.slots {
		t.Errorf("%d requests were lost", lost)
	}
	after := arrivedBetween(f.outcomes, 5*time.Second, 12*time.Second)
	if lost := countFailed(after); lost > 0 {
		t.Errorf("%d requests were lost after the crash", lost)
	}
	if p99 := waitQuantile(after, 0.99); p99 > 2*s.serviceTime {
		t.Errorf("p99 wait is %v after the crash", p99)
	}
}

func TestPausedSlotOwnerIsBypassed(t *testing.T) {
	s := topologies[0]
	f := newFleet(t, s, withIdempotent())
	f.schedule(s.trace(4, 0.5, 12*time.Second))
	f.world.Run(4 * time.Second)
	owner := slotOwner(f)
	f.world.Pause(nodeName(owner))
	f.world.Run(3 * time.Second)
	f.world.Resume(nodeName(owner))
	f.world.Run(15 * time.Second)
	during := arrivedBetween(f.outcomes, 5*time.Second, 7*time.Second)
	refused := 0
	for _, o := range during {
		if o.call.instance != owner && (!o.done || o.code != coder.OK) {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d requests at live instances were not answered during the pause", refused, len(during))
	}
	if lost := countFailed(arrivedBetween(f.outcomes, 8*time.Second, 12*time.Second)); lost > 0 {
		t.Errorf("%d requests were lost after the pause", lost)
	}
}

func TestDrainedEndpointsGetNoWorkAndReturnCold(t *testing.T) {
	tested := topologies[:1]
	if fullRuns {
		tested = topologies
	}
	for _, s := range tested {
		f := newFleet(t, s)
		f.schedule(s.trace(5, 0.4, 20*time.Second))
		f.world.Run(5 * time.Second)
		var half []int
		for i := range s.endpoints / 2 {
			half = append(half, i)
		}
		f.drainedFrom = f.world.Now().Add(2 * time.Second)
		f.reconfigure(t, half)
		f.world.Run(5 * time.Second)
		f.reconfigure(t, nil)
		f.world.Run(time.Second)
		for _, i := range half {
			if u := f.upstreams[i]; u.maxInFlight > 1+s.slots/5 {
				t.Errorf("%s: a cold endpoint had %d requests in its first second", s.name, u.maxInFlight)
			}
		}
		f.world.Run(20 * time.Second)
		if f.afterDrain > 0 {
			t.Errorf("%s: %d requests reached drained endpoints", s.name, f.afterDrain)
		}
		for i, u := range f.upstreams {
			if u.maxInFlight > s.slots {
				t.Errorf("%s: endpoint %d had %d requests for %d slots", s.name, i, u.maxInFlight, s.slots)
			}
		}
		if lost := countFailed(f.outcomes); lost > 0 {
			t.Errorf("%s: %d requests were not answered", s.name, lost)
		}
	}
}

func TestRetriesStayInBudgetWhenAllAttemptsFail(t *testing.T) {
	s := topologies[0]
	f := newFleet(t, s, withIdempotent())
	for _, u := range f.upstreams {
		u.failFast = true
	}
	calls := s.trace(6, 0.85, 10*time.Second)
	f.play(calls, 10*time.Second)
	received := 0
	for _, u := range f.upstreams {
		received += u.received
	}
	// The retry budget allows retries for a tenth of the requests, plus 10 retries for
	// each instance, which starts with 10 tokens.
	if limit := len(calls)*11/10 + 10*s.instances; received > limit {
		t.Errorf("%d attempts for %d requests, more than %d", received, len(calls), limit)
	}
	for _, o := range f.outcomes {
		if !o.done {
			t.Fatal("a request got no answer")
		}
	}
}

// TestOneTeamAtFiveTimesItsRate runs the same calls with and without an overload by team
// 0, and compares the latency of the other teams. The configured team rates are too high
// to limit anything, so the fair queue alone has to protect the other teams.
func TestOneTeamAtFiveTimesItsRate(t *testing.T) {
	length, tested := 10*time.Second, topologies[:1]
	if fullRuns {
		length, tested = time.Minute, topologies
	}
	for _, s := range tested {
		calls := s.trace(7, 0.6, length)
		extra := s.trace(8, 0.6*4/8, length)
		for i := range extra {
			extra[i].team = 0
		}
		baseline := newFleet(t, s).play(calls, length)
		overloaded := newFleet(t, s).play(append(calls, extra...), length)
		baselineP99, overloadedP99 := waitQuantile(otherTeams(baseline), 0.99), waitQuantile(otherTeams(overloaded), 0.99)
		t.Logf("%s: p99 wait of the other teams %v, with the overload %v", s.name, baselineP99, overloadedP99)
		if n := countFailed(otherTeams(overloaded)); n > 0 {
			t.Errorf("%s: %d requests of other teams were refused", s.name, n)
		}
		// The bound of 1.3 is on the latency, which is the wait plus the service time.
		baselineP99, overloadedP99 = latencyQuantile(otherTeams(baseline)), latencyQuantile(otherTeams(overloaded))
		t.Logf("%s: p99 latency of the other teams %v, with the overload %v", s.name, baselineP99, overloadedP99)
		if overloadedP99*10 > baselineP99*13 {
			t.Errorf("%s: p99 %v is more than 1.3 times %v", s.name, overloadedP99, baselineP99)
		}
	}
}

func otherTeams(outcomes []outcome) []outcome {
	var selected []outcome
	for _, o := range outcomes {
		if o.call.team != 0 {
			selected = append(selected, o)
		}
	}
	return selected
}

func latencyQuantile(outcomes []outcome) time.Duration {
	byTotal := make([]outcome, len(outcomes))
	for i, o := range outcomes {
		o.wait = o.total
		byTotal[i] = o
	}
	return waitQuantile(byTotal, 0.99)
}

func TestUnreachableDeadlineIsRefusedEarly(t *testing.T) {
	s := topologies[0]
	f := newFleet(t, s)
	calls := s.trace(9, 2, 8*time.Second)
	f.play(calls, 8*time.Second)
	late := 0
	for _, o := range f.outcomes {
		if o.code == coder.DeadlineUnreachable && o.total > time.Second {
			late++
		}
	}
	if refused := countFailed(f.outcomes); late*100 > refused || refused == 0 {
		t.Errorf("%d of %d refusals came after more than half of the timeout", late, refused)
	}
}

func TestModelRepeatsItsDecisions(t *testing.T) {
	run := func() []outcome {
		return newFleet(t, topologies[3], withIdempotent()).play(topologies[3].trace(10, 0.9, 2*time.Second), 2*time.Second)
	}
	first, second := run(), run()
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("call %d differs: %+v and %+v", i, first[i], second[i])
		}
	}
}

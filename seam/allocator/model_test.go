package allocator

import "testing"

// Terms and waits of the model, in ticks of its clock.
const (
	modelLease     = 3
	modelGuard     = 1
	modelVouchTerm = 2
)

// modelState is the state of three instances and one seat. Instance 0 holds the
// seat, instance 1 takes it over and instance 2 is a witness, which only vouches
// and acknowledges. All three are members of roster 1, and roster 2 names instance
// 1 as the holder.
type modelState struct {
	// lease is the number of ticks until the lease of instance 0 ends.
	lease int
	// unchanged is the number of ticks since the last renewal.
	unchanged int
	// vouches are the ticks until each instance's vouch for instance 0 expires.
	vouches [3]int
	// claimed means that instance 1 has claimed the seat.
	claimed bool
	// written means that roster 2 is in the store.
	written bool
	// acks are the instances that acknowledged roster 2.
	acks [3]bool
	// waited is the number of ticks since the last acknowledgement.
	waited int
	// settled means that roster 2 is settled.
	settled bool
	// newestRoster is the number of the newest roster that each instance has.
	newestRoster [3]int
	// reach are the instances that can reach the store.
	reach [3]bool
	// restarted means that the witness was restarted and lost its state.
	restarted bool
}

// modelFaults are violations of the protocol to inject.
type modelFaults struct {
	// noGuard claims the seat before the lease has ended.
	noGuard bool
	// noRoster uses the seat before a roster is settled.
	noRoster bool
	// countRestarts counts the vouch of a restarted witness.
	countRestarts bool
	// noWait settles the roster before older vouches have expired.
	noWait bool
}

// oldSpends reports whether instance 0 may spend, by its lease or by vouches.
func (s modelState) oldSpends(f modelFaults) bool {
	vouches := 1
	if s.vouches[1] > 0 {
		vouches++
	}
	if s.vouches[2] > 0 && (!s.restarted || f.countRestarts) {
		vouches++
	}
	return s.lease > 0 || (!s.reach[0] && s.newestRoster[0] == 1 && 2*vouches > len(s.vouches))
}

// newSpends reports whether instance 1 may spend.
func (s modelState) newSpends(f modelFaults) bool {
	return s.settled || (f.noRoster && s.claimed)
}

// next returns all states that are reachable in one step.
func (s modelState) next(f modelFaults) []modelState {
	states := []modelState{s.tick()}
	add := func(ok bool, change func(*modelState)) {
		if ok {
			n := s
			change(&n)
			states = append(states, n)
		}
	}
	guard := modelLease + modelGuard
	if f.noGuard {
		guard = modelLease - 1
	}
	add(s.reach[0] && !s.claimed, func(n *modelState) { n.lease, n.unchanged = modelLease, 0 })
	add(s.reach[1] && !s.claimed && s.unchanged >= guard, func(n *modelState) { n.claimed = true })
	add(s.reach[1] && s.claimed && !s.written, func(n *modelState) { n.written, n.newestRoster[1], n.acks[1] = true, 2, true })
	for i := range s.reach {
		add(true, func(n *modelState) { n.reach[i] = !n.reach[i] })
		add(s.written && s.reach[i], func(n *modelState) { n.newestRoster[i] = 2 })
		mayWitness := i != 2 || !s.restarted
		add(s.written && !s.acks[i] && mayWitness, func(n *modelState) { n.newestRoster[i], n.acks[i], n.waited = 2, true, 0 })
		add(i > 0 && !s.reach[i] && s.newestRoster[i] <= s.newestRoster[0], func(n *modelState) { n.vouches[i] = modelVouchTerm })
	}
	add(!s.restarted, func(n *modelState) { n.restarted, n.newestRoster[2] = true, 0 })
	waited := s.waited >= modelVouchTerm || f.noWait
	add(s.reach[1] && !s.settled && s.majority() && waited, func(n *modelState) { n.settled = true })
	return states
}

func (s modelState) majority() bool {
	count := 0
	for _, given := range s.acks {
		if given {
			count++
		}
	}
	return 2*count > len(s.acks)
}

func (s modelState) tick() modelState {
	s.lease = max(0, s.lease-1)
	s.unchanged = min(modelLease+modelGuard, s.unchanged+1)
	s.waited = min(modelVouchTerm, s.waited+1)
	for i := range s.vouches {
		s.vouches[i] = max(0, s.vouches[i]-1)
	}
	return s
}

// explore visits every reachable state and counts those in which both holders may
// spend.
func explore(f modelFaults) (states, bad int) {
	start := modelState{lease: modelLease, newestRoster: [3]int{1, 1, 1}, reach: [3]bool{true, true, true}}
	seen := map[modelState]bool{start: true}
	queue := []modelState{start}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		if s.oldSpends(f) && s.newSpends(f) {
			bad++
		}
		for _, n := range s.next(f) {
			if !seen[n] {
				seen[n] = true
				queue = append(queue, n)
			}
		}
	}
	return len(seen), bad
}

// TestModelOfTakeoverAndOutage verifies that no reachable state lets the old and the
// new holder spend at once, and that the model detects violations of the protocol.
func TestModelOfTakeoverAndOutage(t *testing.T) {
	states, bad := explore(modelFaults{})
	t.Logf("%d states, %d with two spenders", states, bad)
	if states < 1000 || bad > 0 {
		t.Errorf("%d states, %d with two spenders", states, bad)
	}
	for name, f := range map[string]modelFaults{
		"claim without guard": {noGuard: true, noRoster: true},
		"use before roster":   {noRoster: true},
		"restarted witness":   {countRestarts: true},
		"no wait for vouches": {noWait: true},
	} {
		if _, bad := explore(f); bad == 0 {
			t.Errorf("%s: not detected", name)
		}
	}
}

package allocator

import "testing"

// Terms and waits of the model, in ticks of its clock.
const (
	modelLease     = 3
	modelGuard     = 1
	modelVouchTerm = 2
)

// modelState is one state of a model with three instances and one seat. Instance 0
// holds the seat, instance 1 takes it over, and instance 2 is a witness, which only
// vouches for instance 0 and acknowledges roster 2. All three are members of roster 1,
// and roster 2 names instance 1 as the holder.
type modelState struct {
	// lease is the number of ticks until the lease of instance 0 ends.
	lease int
	// ticksSinceRenewal is the number of ticks since the last renewal, up to the
	// longest wait before a claim.
	ticksSinceRenewal int
	// vouches holds, for each instance, the number of ticks until its vouch for
	// instance 0 expires. The entry of instance 0 itself isn't used.
	vouches [3]int
	// seatClaimed means that instance 1 has claimed the seat.
	seatClaimed bool
	// rosterWritten means that roster 2 is in the store.
	rosterWritten bool
	// acks holds, for each instance, whether it has acknowledged roster 2.
	acks [3]bool
	// waited is the number of ticks since the last acknowledgement, up to
	// modelVouchTerm.
	waited int
	// rosterSettled means that roster 2 is settled.
	rosterSettled bool
	// newestRoster holds, for each instance, the number of the newest roster that it
	// has.
	newestRoster [3]int
	// reachesStore holds, for each instance, whether it can reach the store.
	reachesStore [3]bool
	// witnessRestarted means that the witness was restarted and lost its state.
	witnessRestarted bool
}

// modelFaults selects the violations of the protocol that are injected into the model.
type modelFaults struct {
	// noGuard lets instance 1 claim the seat before the lease of instance 0 has ended.
	noGuard bool
	// noRoster lets instance 1 spend from the seat before roster 2 is settled.
	noRoster bool
	// countRestarts counts the vouch that the witness gave before it was restarted.
	countRestarts bool
	// noWait lets roster 2 be settled before the vouches given under roster 1 have
	// expired.
	noWait bool
}

// oldSpends reports whether instance 0, the old holder, may spend by its lease or by
// vouches.
func (s modelState) oldSpends(f modelFaults) bool {
	vouches := 1
	if s.vouches[1] > 0 {
		vouches++
	}
	if s.vouches[2] > 0 && (!s.witnessRestarted || f.countRestarts) {
		vouches++
	}
	return s.lease > 0 || (!s.reachesStore[0] && s.newestRoster[0] == 1 && 2*vouches > len(s.vouches))
}

// newSpends reports whether instance 1, the new holder, may spend.
func (s modelState) newSpends(f modelFaults) bool {
	return s.rosterSettled || (f.noRoster && s.seatClaimed)
}

// next returns all states that are reachable from s in one step, with the faults f.
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
	add(s.reachesStore[0] && !s.seatClaimed, func(n *modelState) { n.lease, n.ticksSinceRenewal = modelLease, 0 })
	add(s.reachesStore[1] && !s.seatClaimed && s.ticksSinceRenewal >= guard, func(n *modelState) { n.seatClaimed = true })
	add(s.reachesStore[1] && s.seatClaimed && !s.rosterWritten, func(n *modelState) { n.rosterWritten, n.newestRoster[1], n.acks[1] = true, 2, true })
	for i := range s.reachesStore {
		add(true, func(n *modelState) { n.reachesStore[i] = !n.reachesStore[i] })
		add(s.rosterWritten && s.reachesStore[i], func(n *modelState) { n.newestRoster[i] = 2 })
		mayWitness := i != 2 || !s.witnessRestarted
		add(s.rosterWritten && !s.acks[i] && mayWitness, func(n *modelState) { n.newestRoster[i], n.acks[i], n.waited = 2, true, 0 })
		add(i > 0 && !s.reachesStore[i] && s.newestRoster[i] <= s.newestRoster[0], func(n *modelState) { n.vouches[i] = modelVouchTerm })
	}
	add(!s.witnessRestarted, func(n *modelState) { n.witnessRestarted, n.newestRoster[2] = true, 0 })
	waited := s.waited >= modelVouchTerm || f.noWait
	add(s.reachesStore[1] && !s.rosterSettled && s.majority() && waited, func(n *modelState) { n.rosterSettled = true })
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
	s.ticksSinceRenewal = min(modelLease+modelGuard, s.ticksSinceRenewal+1)
	s.waited = min(modelVouchTerm, s.waited+1)
	for i := range s.vouches {
		s.vouches[i] = max(0, s.vouches[i]-1)
	}
	return s
}

// explore visits every state that is reachable with the faults f. It returns the number
// of these states and the number of those in which both holders may spend.
func explore(f modelFaults) (states, bad int) {
	start := modelState{lease: modelLease, newestRoster: [3]int{1, 1, 1}, reachesStore: [3]bool{true, true, true}}
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

// TestModelOfTakeoverAndOutage verifies that no reachable state of the model lets the
// old and the new holder spend at once. It also verifies that each injected violation
// of the protocol leads to such a state.
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

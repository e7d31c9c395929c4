package allocator

import "testing"

// Terms of the model, in steps of its clock.
const (
	modelLease    = 3
	modelGuard    = 1
	modelEvidence = 2
)

// modelState is a state of three instances and one seat. Instance 0 holds the
// seat, 1 takes it over, 2 is a witness; all three stand in roster 1.
type modelState struct {
	lease     int
	unchanged int
	words     [3]int
	claimed   bool
	written   bool
	acks      [3]bool
	waited    int
	settled   bool
	known     [3]int
	reach     [3]bool
	restarted bool
}

// modelFaults are faults of the protocol to plant.
type modelFaults struct {
	noGuard       bool
	noRoster      bool
	countRestarts bool
	noWait        bool
}

// oldSpends reports whether instance 0 may spend.
func (s modelState) oldSpends(f modelFaults) bool {
	words := 1
	if s.words[1] > 0 {
		words++
	}
	if s.words[2] > 0 && (!s.restarted || f.countRestarts) {
		words++
	}
	return s.lease > 0 || (!s.reach[0] && s.known[0] == 1 && 2*words > len(s.words))
}

// newSpends reports whether instance 1 may spend.
func (s modelState) newSpends(f modelFaults) bool {
	return s.settled || (f.noRoster && s.claimed)
}

// next returns all states that one step can reach.
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
	add(s.reach[1] && s.claimed && !s.written, func(n *modelState) { n.written, n.known[1], n.acks[1] = true, 2, true })
	for i := range s.reach {
		add(true, func(n *modelState) { n.reach[i] = !n.reach[i] })
		add(s.written && s.reach[i], func(n *modelState) { n.known[i] = 2 })
		mayWitness := i != 2 || !s.restarted
		add(s.written && !s.acks[i] && mayWitness, func(n *modelState) { n.known[i], n.acks[i], n.waited = 2, true, 0 })
		add(i > 0 && !s.reach[i] && s.known[i] <= s.known[0], func(n *modelState) { n.words[i] = modelEvidence })
	}
	add(!s.restarted, func(n *modelState) { n.restarted, n.known[2] = true, 0 })
	waited := s.waited >= modelEvidence || f.noWait
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
	s.waited = min(modelEvidence, s.waited+1)
	for i := range s.words {
		s.words[i] = max(0, s.words[i]-1)
	}
	return s
}

// explore visits every reachable state and counts those in which both spend.
func explore(f modelFaults) (states, bad int) {
	start := modelState{lease: modelLease, known: [3]int{1, 1, 1}, reach: [3]bool{true, true, true}}
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

func TestModelOfTakeoverAndOutage(t *testing.T) {
	states, bad := explore(modelFaults{})
	t.Logf("%d states, %d bad", states, bad)
	if states < 1000 || bad > 0 {
		t.Errorf("%d states, %d bad", states, bad)
	}
	for name, f := range map[string]modelFaults{
		"claim without guard": {noGuard: true, noRoster: true},
		"use before roster":   {noRoster: true},
		"restarted witness":   {countRestarts: true},
		"no wait for words":   {noWait: true},
	} {
		if _, bad := explore(f); bad == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}

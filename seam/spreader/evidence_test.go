package spreader_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/storer"
)

// evidenceFleet runs nine instances without random faults until their key evidence
// is fresh.
func evidenceFleet(t *testing.T) *schedule {
	s := newSchedule(t, 1)
	s.faultsEnabled = false
	s.world.Run(10 * time.Second)
	for _, n := range s.nodes {
		if age := n.model.EvidenceAge(s.world.Now()); age > 6*time.Second {
			t.Fatalf("%s: key evidence is %v old without faults", n.id, age)
		}
	}
	return s
}

// cutOff disconnects a node from the store and from all other nodes.
func (s *schedule) cutOff(n *node) {
	s.network.SetCut(n.id, faker.StoreNode, true)
	for _, other := range s.nodes {
		if other != n {
			s.network.SetCut(n.id, other.id, true)
		}
	}
}

// An instance that reaches neither the store nor its peers may miss withdrawals, so
// its key evidence must become old. The evidence of all other instances must stay
// fresh.
func TestAnInstanceThatIsCutOffLosesItsEvidence(t *testing.T) {
	for _, i := range []int{0, 8} { // a watcher and a follower
		s := evidenceFleet(t)
		s.cutOff(s.nodes[i])
		s.world.Run(time.Minute)
		for j, n := range s.nodes {
			age := n.model.EvidenceAge(s.world.Now())
			if fresh := age < 8*time.Second; fresh == (i == j) {
				t.Errorf("%s: key evidence is %v old while %s is cut off", n.id, age, s.nodes[i].id)
			}
		}
	}
}

// An isolated watcher declares all other instances dead, so that no other watcher is
// left to report the store as reachable. The isolated watcher must not conclude that
// the store is unreachable from every region, and must not confirm its keys.
func TestEvidenceAgesWhenAllOthersSeemDead(t *testing.T) {
	s := evidenceFleet(t)
	isolated := s.nodes[0]
	s.cutOff(isolated)
	self := spreader.Watcher{ID: isolated.id, Region: isolated.region}
	isolated.update(spreader.WatchersChanged{Watchers: []spreader.Watcher{self}})
	s.world.Run(time.Minute)
	if age := isolated.model.EvidenceAge(s.world.Now()); age < 50*time.Second {
		t.Errorf("key evidence is %v old after a minute of isolation", age)
	}
}

// While the store is down for every region, no withdrawal can be accepted, so the
// key evidence of all instances must stay fresh.
func TestKeysStayTrustedWhileTheStoreIsDownForAll(t *testing.T) {
	s := evidenceFleet(t)
	s.store.SetDown(true)
	for range 24 {
		s.world.Run(5 * time.Second)
		for _, n := range s.nodes {
			if age := n.model.EvidenceAge(s.world.Now()); age > 12*time.Second {
				t.Fatalf("%s: key evidence is %v old", n.id, age)
			}
		}
	}
}

// Only region r0 reaches the store, and the other regions don't reach r0. The key
// evidence of the other regions must become old, because withdrawals may be accepted
// through r0 that these regions don't receive.
func TestKeysAreNotTrustedIfTheStoreMayAnswerInAnotherRegion(t *testing.T) {
	s := evidenceFleet(t)
	inRegion0 := func(n *node) bool { return n.region == "r0" }
	for _, n := range s.nodes {
		if inRegion0(n) {
			continue
		}
		s.network.SetCut(n.id, faker.StoreNode, true)
		for _, other := range s.nodes {
			if inRegion0(other) {
				s.network.SetCut(n.id, other.id, true)
			}
		}
	}
	s.world.Run(time.Minute)
	for _, n := range s.nodes {
		age := n.model.EvidenceAge(s.world.Now())
		if fresh := age < 8*time.Second; fresh != inRegion0(n) {
			t.Errorf("%s in %s: key evidence is %v old", n.id, n.region, age)
		}
	}
}

// A withdrawal may be accepted right before the store fails. If the withdrawal is
// offered to a single instance, all other instances must receive it from peers.
func TestAnOfferReachesAllWhileTheStoreIsDown(t *testing.T) {
	s := evidenceFleet(t)
	s.store.SetDown(true)
	withdrawn := storer.Object{Kind: storer.KindKey, Name: "k", Version: 99, Value: []byte("{}")}
	s.nodes[0].update(offered(withdrawn))
	s.world.Run(20 * time.Second)
	for _, n := range s.nodes {
		if n.model.Version(storer.KindKey, "k") != 99 {
			t.Errorf("%s didn't receive the withdrawal", n.id)
		}
	}
}

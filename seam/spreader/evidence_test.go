package spreader_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/spreader"
	"primroseseam.org/seam/storer"
)

// evidenceFleet runs nine instances without random faults.
func evidenceFleet(t *testing.T) *schedule {
	s := newSchedule(t, 1)
	s.faults = false
	s.world.Run(10 * time.Second)
	for _, n := range s.nodes {
		if age := n.model.EvidenceAge(s.world.Now()); age > 6*time.Second {
			t.Fatalf("%s: evidence is %v old at rest", n.id, age)
		}
	}
	return s
}

func (s *schedule) cutOff(n *node) {
	s.network.SetCut(n.id, faker.StoreNode, true)
	for _, other := range s.nodes {
		if other != n {
			s.network.SetCut(n.id, other.id, true)
		}
	}
}

func TestAnInstanceThatIsCutOffLosesItsEvidence(t *testing.T) {
	for _, i := range []int{0, 8} { // a watcher and a follower
		s := evidenceFleet(t)
		s.cutOff(s.nodes[i])
		s.world.Run(time.Minute)
		for j, n := range s.nodes {
			age := n.model.EvidenceAge(s.world.Now())
			if fresh := age < 8*time.Second; fresh == (i == j) {
				t.Errorf("%s: evidence is %v old while %s is cut off", n.id, age, s.nodes[i].id)
			}
		}
	}
}

// TestBelievingAllOthersDeadProvesNothing cuts an instance off until its
// membership gives up the others. It must not take its own word for theirs.
func TestBelievingAllOthersDeadProvesNothing(t *testing.T) {
	s := evidenceFleet(t)
	alone := s.nodes[0]
	s.cutOff(alone)
	self := spreader.Watcher{ID: alone.id, Region: alone.region}
	alone.update(spreader.WatchersChanged{Watchers: []spreader.Watcher{self}})
	s.world.Run(time.Minute)
	if age := alone.model.EvidenceAge(s.world.Now()); age < 50*time.Second {
		t.Errorf("evidence is %v old after a minute alone", age)
	}
}

func TestKeysStayTrustedWhileTheStoreIsDownForAll(t *testing.T) {
	s := evidenceFleet(t)
	s.store.SetDown(true)
	for range 24 {
		s.world.Run(5 * time.Second)
		for _, n := range s.nodes {
			if age := n.model.EvidenceAge(s.world.Now()); age > 12*time.Second {
				t.Fatalf("%s: evidence is %v old", n.id, age)
			}
		}
	}
}

func TestKeysAreNotTrustedIfTheStoreMayAnswerInAnotherRegion(t *testing.T) {
	s := evidenceFleet(t)
	inside := func(n *node) bool { return n.region == "r0" }
	for _, n := range s.nodes {
		if inside(n) {
			continue
		}
		s.network.SetCut(n.id, faker.StoreNode, true)
		for _, other := range s.nodes {
			if inside(other) {
				s.network.SetCut(n.id, other.id, true)
			}
		}
	}
	s.world.Run(time.Minute)
	for _, n := range s.nodes {
		age := n.model.EvidenceAge(s.world.Now())
		if fresh := age < 8*time.Second; fresh != inside(n) {
			t.Errorf("%s in %s: evidence is %v old", n.id, n.region, age)
		}
	}
}

func TestAnOfferReachesAllWhileTheStoreIsDown(t *testing.T) {
	s := evidenceFleet(t)
	s.store.SetDown(true)
	withdrawn := storer.Object{Kind: storer.KindKey, Name: "k", Version: 99, Value: []byte("{}")}
	s.nodes[0].update(offered(withdrawn))
	s.world.Run(20 * time.Second)
	for _, n := range s.nodes {
		if n.model.Version(storer.KindKey, "k") != 99 {
			t.Errorf("%s doesn't know of the withdrawal", n.id)
		}
	}
}

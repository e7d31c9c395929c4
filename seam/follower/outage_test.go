package follower_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/follower"
)

// recoverAfterOutage runs a follower whose store calls fail for 3 s. Then it deletes an
// object, lets the calls succeed again, and returns the view without the object. If
// storeAnswersOthers is set, then during these 3 s other instances report to the
// follower that the store has just responded to them.
func recoverAfterOutage(t *testing.T, storeAnswersOthers bool) follower.View {
	t.Helper()
	m := newMemoryStore()
	m.put("a", "1")
	m.put("b", "1")
	f := follower.New(m, "servers")
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", hasSpec(f, "b", "1"))
	m.setFaults(true, false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s := f.State(time.Now()); storeAnswersOthers {
			f.ObservePeer(follower.State{Position: s.Position, Changed: s.Changed, Age: 200 * time.Millisecond}, time.Now())
		}
	}
	m.remove("b")
	m.setFaults(false, false)
	eventually(t, 3*time.Second, "the removal", hasSpec(f, "b", ""))
	v, _ := f.View()
	return v
}

func TestNoOutageWhileTheStoreAnswersOthers(t *testing.T) {
	if v := recoverAfterOutage(t, true); !v.StoreRecoveredAt.IsZero() {
		t.Errorf("the store responded to others all the time; StoreRecoveredAt = %v, want zero", v.StoreRecoveredAt)
	}
}

func TestOutageWhenNobodyIsAnswered(t *testing.T) {
	if v := recoverAfterOutage(t, false); time.Since(v.StoreRecoveredAt) > time.Second {
		t.Errorf("the store responded to nobody for 3 s; StoreRecoveredAt = %v, want within the last second", v.StoreRecoveredAt)
	}
}

func TestOutageIsDetectedFromPeers(t *testing.T) {
	m := newMemoryStore()
	m.put("a", "1")
	m.put("b", "1")
	f := follower.New(m, "servers", follower.WithPollRank(func() int { return 1 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", hasSpec(f, "b", "1"))
	position := f.State(time.Now()).Position
	m.setFaults(true, false)
	time.Sleep(3 * time.Second)
	now := time.Now()
	f.ObservePeer(follower.State{Position: position + 1, Changed: position + 1}, now)
	f.ApplyDelta(follower.Delta{Kind: "servers", From: position, Position: position + 1, Changed: position + 1, Complete: true, Removed: []string{"b"}})
	if v, _ := f.View(); now.Sub(v.StoreRecoveredAt) > time.Second {
		t.Errorf("the store responded to another instance after 3 s; StoreRecoveredAt = %v, want within the last second", v.StoreRecoveredAt)
	}
}

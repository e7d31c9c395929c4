package follower_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/follower"
)

// outage plays three seconds in which this instance gets no answer, and then the
// removal of an object. It returns the view after that.
func outage(t *testing.T, others bool) follower.View {
	t.Helper()
	m := newMemory()
	m.put("a", "1")
	m.put("b", "1")
	f := follower.New(m, "servers")
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", holds(f, "b", "1"))
	m.set(true, false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s := f.State(time.Now()); others {
			f.ObservePeer(follower.State{Position: s.Position, Changed: s.Changed, Age: 200 * time.Millisecond}, time.Now())
		}
	}
	m.remove("b")
	m.set(false, false)
	eventually(t, 3*time.Second, "the removal", holds(f, "b", ""))
	v, _ := f.View()
	return v
}

func TestAnInstanceCutFromTheStoreTakesItForNoOutage(t *testing.T) {
	if v := outage(t, true); !v.StoreRecoveredAt.IsZero() {
		t.Errorf("others were answered all the time, and it counts as regained at %v", v.StoreRecoveredAt)
	}
}

func TestAnOutageForAllCounts(t *testing.T) {
	if v := outage(t, false); time.Since(v.StoreRecoveredAt) > time.Second {
		t.Errorf("nobody was answered for 3 s, and it counts as regained at %v", v.StoreRecoveredAt)
	}
}

func TestAnOutageIsKnownToThoseWhoDidNotAsk(t *testing.T) {
	m := newMemory()
	m.put("a", "1")
	m.put("b", "1")
	f := follower.New(m, "servers", follower.WithPollRank(func() int { return 1 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", holds(f, "b", "1"))
	position := f.State(time.Now()).Position
	m.set(true, false)
	time.Sleep(3 * time.Second)
	now := time.Now()
	f.ObservePeer(follower.State{Position: position + 1, Changed: position + 1}, now)
	f.ApplyDelta(follower.Delta{Kind: "servers", From: position, Position: position + 1, Changed: position + 1, Removed: []string{"b"}})
	if v, _ := f.View(); now.Sub(v.StoreRecoveredAt) > time.Second {
		t.Errorf("another one was answered after 3 s, and it counts as regained at %v", v.StoreRecoveredAt)
	}
}

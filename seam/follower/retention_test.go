package follower_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"primroseseam.org/seam/follower"
)

// count is the generation of the tests' objects: their content is a number.
func count(spec json.RawMessage) follower.Generation {
	var n uint64
	_ = json.Unmarshal(spec, &n)
	return follower.Generation{Count: n}
}

const (
	missingTime  = 400 * time.Millisecond
	outdatedTime = 900 * time.Millisecond
)

func startRetaining(t *testing.T, store follower.Store) *follower.Follower {
	t.Helper()
	f := follower.New(store, "kind", follower.WithRetention(follower.Retention{Generation: count, Missing: missingTime, Outdated: outdatedTime}))
	go f.Run(t.Context())
	return f
}

func lacks(f *follower.Follower, name string) func() bool {
	return func() bool {
		v, _ := f.View()
		_, ok := v.Objects[name]
		return !ok
	}
}

func hasEra(f *follower.Follower, era uint64) func() bool {
	return func() bool {
		v, _ := f.View()
		return follower.EraOf(v.Position) == era
	}
}

// The store comes back from an older copy. What was written or deleted since must stay in
// force until it is written again, although the new revisions are smaller.
func TestStoreThatGoesBackTakesNothingBack(t *testing.T) {
	m := newMemoryStore()
	m.put("rewritten", "3")
	m.put("kept", "7")
	m.put("deleted", "4")
	m.put("reborn", "4")
	m.put("lost", "1")
	f := startRetaining(t, m)
	eventually(t, 2*time.Second, "the first copy", hasSpec(f, "lost", "1"))
	m.remove("deleted")
	m.remove("reborn")
	eventually(t, 2*time.Second, "the removals", lacks(f, "reborn"))
	m.goBack(2, map[string]string{"rewritten": "2", "kept": "7", "deleted": "4", "reborn": "4"})
	eventually(t, 2*time.Second, "the new era", hasEra(f, 1))
	for name, want := range map[string]bool{
		"rewritten": hasSpec(f, "rewritten", "3")(), "kept": hasSpec(f, "kept", "7")(), "lost": hasSpec(f, "lost", "1")(),
		"deleted": lacks(f, "deleted")(), "reborn": lacks(f, "reborn")(),
	} {
		if !want {
			t.Errorf("%s went back", name)
		}
	}
	m.put("rewritten", "9")
	m.put("reborn", "5")
	eventually(t, 2*time.Second, "a new write", hasSpec(f, "rewritten", "9"))
	eventually(t, 2*time.Second, "an object that is written again", hasSpec(f, "reborn", "5"))
	if !lacks(f, "deleted")() {
		t.Error("a deleted object came back with other changes")
	}
	eventually(t, 2*time.Second, "the end of an object that nobody writes again", lacks(f, "lost"))
	eventually(t, 2*time.Second, "the store's word on an object that stays", hasSpec(f, "deleted", "4"))
}

// A deletion in the new era counts, also of an object that the store didn't have when it
// came back.
func TestDeletionInTheNewEraCounts(t *testing.T) {
	m := newMemoryStore()
	m.put("a", "1")
	f := startRetaining(t, m)
	eventually(t, 2*time.Second, "the first copy", hasSpec(f, "a", "1"))
	m.goBack(1, nil)
	eventually(t, 2*time.Second, "the new era", hasEra(f, 1))
	m.remove("a")
	eventually(t, missingTime/2, "the deletion", lacks(f, "a"))
}

// News of an era that is over must not overwrite a newer one, whatever its revision, and a
// copy of an earlier era gets everything anew.
func TestDeltasOfAnEarlierEraAreIgnored(t *testing.T) {
	m := newMemoryStore()
	m.put("a", "1")
	f := startRetaining(t, m)
	eventually(t, 2*time.Second, "the first copy", hasSpec(f, "a", "1"))
	v, _ := f.View()
	m.goBack(1, map[string]string{"a": "2"})
	eventually(t, 2*time.Second, "the new era", hasSpec(f, "a", "2"))
	old := follower.Delta{Kind: "kind", Position: 1 << 40, Changed: 1 << 40, Whole: true, Objects: []follower.Object{{Name: "a", Spec: json.RawMessage("99")}}}
	if f.ApplyDelta(old) || f.ObservePeer(follower.State{Position: 1 << 40, Changed: 1 << 40}, time.Now()) {
		t.Error("news of an earlier era was taken for newer")
	}
	d, ok := f.Delta(v.Position)
	if !ok || !d.Whole || follower.EraOf(d.Position) != 1 {
		t.Errorf("a copy of the era before gets %+v", d)
	}
	behind := follower.New(&memoryStore{down: true}, "kind")
	behind.ApplyDelta(old)
	if !behind.ObservePeer(f.State(time.Now()), time.Now()) || !behind.ApplyDelta(d) || !hasSpec(behind, "a", "2")() {
		t.Error("an instance of the earlier era didn't take over the new one")
	}
	partial := d
	partial.Whole, partial.Position = false, d.Position+1<<50
	if f.ApplyDelta(partial) {
		t.Error("a part of another era was applied")
	}
}

// A store that has lost its history at each watch must not be asked without a pause.
func TestStoreWithoutHistoryIsNotAskedWithoutAPause(t *testing.T) {
	m := newMemoryStore()
	m.put("a", "1")
	f := startRetaining(t, alwaysGone{m})
	eventually(t, 2*time.Second, "the first copy", hasSpec(f, "a", "1"))
	before := m.storeCalls()
	time.Sleep(time.Second)
	if calls := m.storeCalls() - before; calls > 20 {
		t.Errorf("%d calls in a second", calls)
	}
}

// alwaysGone is a store whose watches always lack the history.
type alwaysGone struct{ *memoryStore }

func (s alwaysGone) Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]follower.Change, uint64, error) {
	s.setFaults(false, true)
	return s.memoryStore.Watch(ctx, kind, position, wait)
}

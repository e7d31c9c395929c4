package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"primroseseam.org/seam/follower"
)

// memoryStore is an in-memory store. Tests write its objects and make its calls fail.
type memoryStore struct {
	mu          sync.Mutex
	revision    uint64
	objects     map[string]follower.Object
	events      []follower.Change
	changedAt   []uint64
	down        bool
	historyGone bool
	lists       int
	watches     int
	era         uint64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, objects: map[string]follower.Object{}}
}

func (m *memoryStore) put(name, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	o := follower.Object{Name: name, Revision: m.at(m.revision), Spec: json.RawMessage(value)}
	m.objects[name] = o
	m.events = append(m.events, follower.Change{Object: o})
	m.changedAt = append(m.changedAt, m.at(m.revision))
}

func (m *memoryStore) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.objects, name)
	m.events = append(m.events, follower.Change{Object: follower.Object{Name: name}, Deleted: true})
	m.changedAt = append(m.changedAt, m.at(m.revision))
}

// goBack replaces the objects by older ones at an older revision and begins a new era.
func (m *memoryStore) goBack(revision uint64, objects map[string]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.events, m.changedAt, m.objects = revision, nil, nil, map[string]follower.Object{}
	for name, value := range objects {
		m.objects[name] = follower.Object{Name: name, Revision: m.at(revision), Spec: json.RawMessage(value)}
	}
}

// at returns the position of a revision in the current era.
func (m *memoryStore) at(revision uint64) uint64 {
	position, _ := follower.NewPosition(m.era, revision)
	return position
}

func (m *memoryStore) setFaults(down, historyGone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.historyGone = historyGone
}

// advance raises the store's revision by n but changes no object. In a real store,
// changes to objects of other kinds have this effect.
func (m *memoryStore) advance(n uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision += n
}

func (m *memoryStore) storeCalls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists + m.watches
}

func (m *memoryStore) List(context.Context, string) ([]follower.Object, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists++
	if m.down {
		return nil, 0, errors.New("down")
	}
	var list []follower.Object
	for _, o := range m.objects {
		list = append(list, o)
	}
	m.historyGone = false
	return list, m.at(m.revision), nil
}

func (m *memoryStore) Watch(ctx context.Context, _ string, position uint64, wait time.Duration) ([]follower.Change, uint64, error) {
	end := time.Now().Add(wait)
	m.mu.Lock()
	m.watches++
	m.mu.Unlock()
	for {
		m.mu.Lock()
		down, historyGone, revision := m.down, m.historyGone || follower.EraOf(position) < m.era, m.at(m.revision)
		var changes []follower.Change
		for i, changedAt := range m.changedAt {
			if changedAt > position {
				changes = append(changes, m.events[i])
			}
		}
		m.mu.Unlock()
		switch {
		case down:
			return nil, 0, errors.New("down")
		case historyGone:
			return nil, 0, follower.ErrHistoryGone
		case len(changes) > 0 || time.Now().After(end) || ctx.Err() != nil:
			return changes, revision, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *memoryStore) Create(context.Context, string, string, json.RawMessage) error  { return nil }
func (m *memoryStore) Replace(context.Context, string, string, json.RawMessage) error { return nil }
func (m *memoryStore) Delete(context.Context, string, string) error                   { return nil }

// eventually waits until cond returns true, and fails the test if that takes too long.
func eventually(t *testing.T, within time.Duration, what string, cond func() bool) {
	t.Helper()
	end := time.Now().Add(within)
	for !cond() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// hasSpec returns a function that reports whether value is the spec of an object in the
// follower's copy. An empty value means that the copy must not have the object.
func hasSpec(f *follower.Follower, name, value string) func() bool {
	return func() bool {
		v, _ := f.View()
		return string(v.Objects[name].Spec) == value
	}
}

func TestListsAgainWhenHistoryIsGone(t *testing.T) {
	m := newMemoryStore()
	m.put("main", "1")
	f := follower.New(m, "config")
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", hasSpec(f, "main", "1"))
	m.put("main", "2")
	eventually(t, time.Second, "a change", hasSpec(f, "main", "2"))
	m.put("main", "3")
	m.setFaults(false, true)
	eventually(t, 2*time.Second, "a change that the store's history no longer has", hasSpec(f, "main", "3"))
}

// Guards against needless calls to the store. An instance of rank 1 must make none while
// it gets reports that the instance of rank 0 polls.
func TestOnlyRankZeroPollsAllTheTime(t *testing.T) {
	m := newMemoryStore()
	m.put("main", "1")
	first := follower.New(m, "config")
	second := follower.New(m, "config", follower.WithPollRank(func() int { return 1 }))
	go first.Run(t.Context())
	go second.Run(t.Context())
	eventually(t, time.Second, "both listed", func() bool { return hasSpec(first, "main", "1")() && hasSpec(second, "main", "1")() })
	reports := time.NewTicker(50 * time.Millisecond)
	defer reports.Stop()
	before := m.storeCalls()
	for range 40 {
		<-reports.C
		second.ObservePeer(first.State(time.Now()), time.Now())
	}
	if count := m.storeCalls() - before; count > 6 {
		t.Errorf("%d calls in 2 s, want at most 6; one instance makes about 4", count)
	}
}

// An instance of rank 9 that gets no reports from others must poll the store by itself
// before 2 s have passed.
func TestPollsWithoutPeerReports(t *testing.T) {
	m := newMemoryStore()
	m.put("main", "1")
	f := follower.New(m, "config", follower.WithPollRank(func() int { return 9 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", hasSpec(f, "main", "1"))
	m.put("main", "2")
	eventually(t, 1900*time.Millisecond, "a change that no other instance reported", hasSpec(f, "main", "2"))
}

func TestAppliesDeltaOfPeer(t *testing.T) {
	m := newMemoryStore()
	m.put("a", "1")
	m.put("b", "1")
	ahead := follower.New(m, "servers")
	behind := follower.New(m, "servers")
	ctx, cancel := context.WithCancel(t.Context())
	go ahead.Run(ctx)
	go behind.Run(ctx)
	eventually(t, time.Second, "both listed", func() bool { return hasSpec(ahead, "b", "1")() && hasSpec(behind, "b", "1")() })
	cancel()
	time.Sleep(10 * time.Millisecond)
	m.put("a", "2")
	m.remove("b")
	go ahead.Run(t.Context())
	eventually(t, time.Second, "the change", hasSpec(ahead, "a", "2"))
	eventually(t, time.Second, "the removal", hasSpec(ahead, "b", ""))
	now := time.Now()
	if !behind.ObservePeer(ahead.State(now), now) {
		t.Fatal("ObservePeer of a newer state = false, want true")
	}
	d, ok := ahead.Delta(behind.State(now).Position)
	if !ok || d.Whole || len(d.Objects) != 1 || len(d.Removed) != 1 {
		t.Fatalf("delta is %+v, %v; want 1 object and 1 removal", d, ok)
	}
	if !behind.ApplyDelta(d) || !hasSpec(behind, "a", "2")() || !hasSpec(behind, "b", "")() {
		t.Error("the delta was not applied")
	}
	if behind.ObservePeer(ahead.State(now), now) {
		t.Error("ObservePeer of an equal state = true, want false")
	}
	if old := (follower.Delta{Kind: "servers", Whole: true, Position: 1}); behind.ApplyDelta(old) {
		t.Error("an older delta was applied")
	}
}

func TestLoadsWholeCopyFromPeerWhileTheStoreIsDown(t *testing.T) {
	m := newMemoryStore()
	m.put("main", "1")
	ahead := follower.New(m, "config")
	go ahead.Run(t.Context())
	eventually(t, time.Second, "the first list", hasSpec(ahead, "main", "1"))
	m.setFaults(true, false)
	fresh := follower.New(m, "config")
	go fresh.Run(t.Context())
	now := time.Now()
	if !fresh.ObservePeer(ahead.State(now), now) {
		t.Fatal("ObservePeer without a copy = false, want true")
	}
	d, ok := ahead.Delta(0)
	if !ok || !d.Whole || !fresh.ApplyDelta(d) || !hasSpec(fresh, "main", "1")() {
		t.Errorf("the delta %+v was not applied", d)
	}
	eventually(t, time.Second, "the store reported as unreachable", func() bool { return !fresh.StoreReachable() })
}

// silentStore is a store whose first silentCalls watch calls get no response.
type silentStore struct {
	*memoryStore
	silentCalls atomic.Int32
}

func (s *silentStore) Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]follower.Change, uint64, error) {
	if s.silentCalls.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.memoryStore.Watch(ctx, kind, position, wait)
}

// Guards against a watch call that hangs on a silent connection. The hanging call must
// delay a change by less than a second, not counting the time until a poll is due at
// this rank. That leaves time to send the change to other instances within the limit of
// 3 s.
func TestSilentConnectionTimesOutEarly(t *testing.T) {
	s := &silentStore{memoryStore: newMemoryStore()}
	s.put("main", "1")
	s.silentCalls.Store(1)
	f := follower.New(s, "config", follower.WithPollRank(func() int { return 9 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", hasSpec(f, "main", "1"))
	s.put("main", "2")
	eventually(t, 2500*time.Millisecond, "a change behind a silent connection", hasSpec(f, "main", "2"))
}

// An instance of rank 9 polls because the last known poll is too old. It must not let
// the store wait for a change: several such instances may poll at once, and each needs
// the response now.
func TestOnlyRankZeroLongPolls(t *testing.T) {
	m := newMemoryStore()
	m.put("main", "1")
	f := follower.New(m, "config", follower.WithPollRank(func() int { return 9 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", hasSpec(f, "main", "1"))
	before := f.State(time.Now())
	eventually(t, 1800*time.Millisecond, "a poll", func() bool {
		return f.State(time.Now()).Age < before.Age+100*time.Millisecond && m.storeCalls() == 2
	})
}

// Changed must be the position of the last change itself, not the position of a later
// poll. Otherwise instances that have the change would fetch it again.
func TestChangesKeepTheirOwnPosition(t *testing.T) {
	m := newMemoryStore()
	m.put("main", "1")
	f := follower.New(m, "config")
	ctx, stop := context.WithCancel(t.Context())
	go f.Run(ctx)
	eventually(t, time.Second, "the first list", hasSpec(f, "main", "1"))
	stop()
	m.put("main", "2")
	m.advance(40)
	go f.Run(t.Context())
	eventually(t, time.Second, "the change", hasSpec(f, "main", "2"))
	if s := f.State(time.Now()); s.Changed != 3 || s.Position != 43 {
		t.Errorf("Changed = %d, Position = %d; want 3 and 43", s.Changed, s.Position)
	}
}

// slowStore is a store that delays each watch call.
type slowStore struct {
	*memoryStore
	delay time.Duration
}

func (s *slowStore) Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]follower.Change, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(s.delay):
	}
	return s.memoryStore.Watch(ctx, kind, position, wait)
}

// Guards against reporting a slow store as unreachable again and again. The first watch
// call exceeds the limit of watchGrace and fails. The limit then doesn't apply to the
// next calls, so they succeed.
func TestSlowStoreIsReportedLostOnce(t *testing.T) {
	s := &slowStore{memoryStore: newMemoryStore(), delay: 800 * time.Millisecond}
	s.put("main", "1")
	var lost atomic.Int32
	f := follower.New(s, "config", follower.WithPollRank(func() int { return 1 }), follower.WithReport(func(_ string, err error) {
		if err != nil {
			lost.Add(1)
		}
	}))
	go f.Run(t.Context())
	time.Sleep(6 * time.Second)
	if n := lost.Load(); n != 1 {
		t.Errorf("the store was reported lost %d times, want 1", n)
	}
}

// Guards against removed objects that stay in the copy of another instance. A follower
// that has just listed the objects for the first time has no record of earlier removals.
// Its delta for a follower whose copy is older must therefore be a full list.
func TestFreshCopySendsWholeDelta(t *testing.T) {
	m := newMemoryStore()
	m.put("a", "1")
	m.put("b", "1")
	behind := follower.New(m, "servers")
	ctx, cancel := context.WithCancel(t.Context())
	go behind.Run(ctx)
	eventually(t, time.Second, "the first list", hasSpec(behind, "b", "1"))
	cancel()
	time.Sleep(10 * time.Millisecond)
	m.remove("b")
	m.put("a", "2")
	fresh := follower.New(m, "servers")
	go fresh.Run(t.Context())
	eventually(t, time.Second, "a list after the removal", hasSpec(fresh, "a", "2"))
	d, ok := fresh.Delta(behind.State(time.Now()).Position)
	if !ok || !behind.ApplyDelta(d) || !hasSpec(behind, "b", "")() {
		t.Errorf("the removed object is still there after the delta %+v", d)
	}
}

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

// memory is a store that a test changes by hand.
type memory struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]follower.Object
	events   []follower.Change
	at       []uint64
	down     bool
	gone     bool
	lists    int
	watches  int
}

func newMemory() *memory { return &memory{revision: 1, objects: map[string]follower.Object{}} }

func (m *memory) put(name, value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	o := follower.Object{Name: name, Revision: m.revision, Spec: json.RawMessage(value)}
	m.objects[name] = o
	m.events = append(m.events, follower.Change{Object: o})
	m.at = append(m.at, m.revision)
}

func (m *memory) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	delete(m.objects, name)
	m.events = append(m.events, follower.Change{Object: follower.Object{Name: name}, Deleted: true})
	m.at = append(m.at, m.revision)
}

func (m *memory) set(down, gone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	m.gone = gone
}

// advance lets other kinds change.
func (m *memory) advance(n uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision += n
}

func (m *memory) calls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lists + m.watches
}

func (m *memory) List(context.Context, string) ([]follower.Object, uint64, error) {
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
	m.gone = false
	return list, m.revision, nil
}

func (m *memory) Watch(ctx context.Context, _ string, position uint64, wait time.Duration) ([]follower.Change, uint64, error) {
	end := time.Now().Add(wait)
	m.mu.Lock()
	m.watches++
	m.mu.Unlock()
	for {
		m.mu.Lock()
		down, gone, revision := m.down, m.gone, m.revision
		var changes []follower.Change
		for i, at := range m.at {
			if at > position {
				changes = append(changes, m.events[i])
			}
		}
		m.mu.Unlock()
		switch {
		case down:
			return nil, 0, errors.New("down")
		case gone:
			return nil, 0, follower.ErrHistoryGone
		case len(changes) > 0 || time.Now().After(end) || ctx.Err() != nil:
			return changes, revision, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (m *memory) Create(context.Context, string, string, json.RawMessage) error  { return nil }
func (m *memory) Replace(context.Context, string, string, json.RawMessage) error { return nil }
func (m *memory) Delete(context.Context, string, string) error                   { return nil }

// eventually fails the test unless a condition holds within a time.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	end := time.Now().Add(within)
	for !holds() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func holds(f *follower.Follower, name, value string) func() bool {
	return func() bool {
		v, _ := f.View()
		return string(v.Objects[name].Spec) == value
	}
}

func TestFollowsThroughForgottenHistory(t *testing.T) {
	m := newMemory()
	m.put("main", "1")
	f := follower.New(m, "config")
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", holds(f, "main", "1"))
	m.put("main", "2")
	eventually(t, time.Second, "a change", holds(f, "main", "2"))
	m.put("main", "3")
	m.set(false, true)
	eventually(t, 2*time.Second, "a change in a forgotten history", holds(f, "main", "3"))
}

// Nobody but the first in turn asks the store while others tell of its checks.
func TestOnlyTheFirstInTurnAsks(t *testing.T) {
	m := newMemory()
	m.put("main", "1")
	first := follower.New(m, "config")
	second := follower.New(m, "config", follower.WithPollRank(func() int { return 1 }))
	go first.Run(t.Context())
	go second.Run(t.Context())
	eventually(t, time.Second, "both listed", func() bool { return holds(first, "main", "1")() && holds(second, "main", "1")() })
	tell := time.NewTicker(50 * time.Millisecond)
	defer tell.Stop()
	before := m.calls()
	for range 40 {
		<-tell.C
		second.ObservePeer(first.State(time.Now()), time.Now())
	}
	if asked := m.calls() - before; asked > 6 {
		t.Errorf("%d calls in 2 s; one instance makes about 4", asked)
	}
}

// An instance that hears nobody asks the store itself within its turn's time.
func TestAsksItselfWhenNobodyTells(t *testing.T) {
	m := newMemory()
	m.put("main", "1")
	f := follower.New(m, "config", follower.WithPollRank(func() int { return 9 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", holds(f, "main", "1"))
	m.put("main", "2")
	eventually(t, 1900*time.Millisecond, "a change that nobody told of", holds(f, "main", "2"))
}

func TestTakesDifferencesOfOthers(t *testing.T) {
	m := newMemory()
	m.put("a", "1")
	m.put("b", "1")
	ahead := follower.New(m, "servers")
	behind := follower.New(m, "servers")
	ctx, cancel := context.WithCancel(t.Context())
	go ahead.Run(ctx)
	go behind.Run(ctx)
	eventually(t, time.Second, "both listed", func() bool { return holds(ahead, "b", "1")() && holds(behind, "b", "1")() })
	cancel()
	time.Sleep(10 * time.Millisecond)
	m.put("a", "2")
	m.remove("b")
	go ahead.Run(t.Context())
	eventually(t, time.Second, "the change", holds(ahead, "a", "2"))
	eventually(t, time.Second, "the removal", holds(ahead, "b", ""))
	now := time.Now()
	if !behind.ObservePeer(ahead.State(now), now) {
		t.Fatal("the follower behind does not know that it is")
	}
	d, ok := ahead.Delta(behind.State(now).Position)
	if !ok || d.Whole || len(d.Objects) != 1 || len(d.Removed) != 1 {
		t.Fatalf("difference is %+v, %v", d, ok)
	}
	if !behind.ApplyDelta(d) || !holds(behind, "a", "2")() || !holds(behind, "b", "")() {
		t.Error("the difference was not taken")
	}
	if behind.ObservePeer(ahead.State(now), now) {
		t.Error("it still believes to be behind")
	}
	if old := (follower.Delta{Kind: "servers", Whole: true, Position: 1}); behind.ApplyDelta(old) {
		t.Error("an older copy was taken")
	}
}

func TestANewFollowerTakesAWholeCopyWhileTheStoreIsDown(t *testing.T) {
	m := newMemory()
	m.put("main", "1")
	ahead := follower.New(m, "config")
	go ahead.Run(t.Context())
	eventually(t, time.Second, "the first list", holds(ahead, "main", "1"))
	m.set(true, false)
	fresh := follower.New(m, "config")
	go fresh.Run(t.Context())
	now := time.Now()
	if !fresh.ObservePeer(ahead.State(now), now) {
		t.Fatal("it does not know that it lacks all")
	}
	d, ok := ahead.Delta(0)
	if !ok || !d.Whole || !fresh.ApplyDelta(d) || !holds(fresh, "main", "1")() {
		t.Errorf("the copy %+v was not taken", d)
	}
	eventually(t, time.Second, "the outage to be noticed", func() bool { return !fresh.Reachable() })
}

// silent is a store whose first calls for changes get no answer.
type silent struct {
	*memory
	left atomic.Int32
}

func (s *silent) Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]follower.Change, uint64, error) {
	if s.left.Add(-1) >= 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return s.memory.Watch(ctx, kind, position, wait)
}

// A connection that went silent delays a change by less than a second beyond
// the instance's turn: by the bound of 3 s there is time to tell others.
func TestASilentConnectionIsGivenUpEarly(t *testing.T) {
	s := &silent{memory: newMemory()}
	s.put("main", "1")
	s.left.Store(1)
	f := follower.New(s, "config", follower.WithPollRank(func() int { return 9 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", holds(f, "main", "1"))
	s.put("main", "2")
	eventually(t, 2500*time.Millisecond, "a change behind a silent connection", holds(f, "main", "2"))
}

// An instance that asks because nobody told does not wait for a change: many may
// ask at once, and the answer is needed now.
func TestOnlyTheFirstInTurnWaits(t *testing.T) {
	m := newMemory()
	m.put("main", "1")
	f := follower.New(m, "config", follower.WithPollRank(func() int { return 9 }))
	go f.Run(t.Context())
	eventually(t, time.Second, "the first list", holds(f, "main", "1"))
	before := f.State(time.Now())
	eventually(t, 1800*time.Millisecond, "a check", func() bool {
		return f.State(time.Now()).Age < before.Age+100*time.Millisecond && m.calls() == 2
	})
}

// The position of a change is that of the change itself: others that have it
// must not fetch it again because the copy was checked later.
func TestChangesAreToldByTheirOwnPosition(t *testing.T) {
	m := newMemory()
	m.put("main", "1")
	f := follower.New(m, "config")
	ctx, stop := context.WithCancel(t.Context())
	go f.Run(ctx)
	eventually(t, time.Second, "the first list", holds(f, "main", "1"))
	stop()
	m.put("main", "2")
	m.advance(40)
	go f.Run(t.Context())
	eventually(t, time.Second, "the change", holds(f, "main", "2"))
	if s := f.State(time.Now()); s.Changed != 3 || s.Position != 43 {
		t.Errorf("changed at %d, complete up to %d", s.Changed, s.Position)
	}
}

// slow is a store that takes its time for each answer.
type slow struct {
	*memory
	by time.Duration
}

func (s *slow) Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]follower.Change, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(s.by):
	}
	return s.memory.Watch(ctx, kind, position, wait)
}

// A store that is slow is not taken as lost again and again.
func TestASlowStoreIsLostOnce(t *testing.T) {
	s := &slow{memory: newMemory(), by: 800 * time.Millisecond}
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
		t.Errorf("it was lost %d times", n)
	}
}

// An instance that has just listed knows no removals from before. What it gives
// to one that is behind must be whole, or a removed object would stay there.
func TestAFreshCopyHidesNoRemovals(t *testing.T) {
	m := newMemory()
	m.put("a", "1")
	m.put("b", "1")
	behind := follower.New(m, "servers")
	ctx, cancel := context.WithCancel(t.Context())
	go behind.Run(ctx)
	eventually(t, time.Second, "the first list", holds(behind, "b", "1"))
	cancel()
	time.Sleep(10 * time.Millisecond)
	m.remove("b")
	m.put("a", "2")
	fresh := follower.New(m, "servers")
	go fresh.Run(t.Context())
	eventually(t, time.Second, "a list after the removal", holds(fresh, "a", "2"))
	d, ok := fresh.Delta(behind.State(time.Now()).Position)
	if !ok || !behind.ApplyDelta(d) || !holds(behind, "b", "")() {
		t.Errorf("after %+v the removed object is still there", d)
	}
}

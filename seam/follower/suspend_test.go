package follower_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"primroseseam.org/seam/follower"
)

// suspendedClock is the steady clock and the time for which the machine was suspended.
type suspendedClock struct {
	mu        sync.Mutex
	suspended time.Duration
}

func (c *suspendedClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Round(0).Add(c.suspended)
}

func (c *suspendedClock) suspend(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended += d
}

// waitingStore returns from lists at once, and from watches when the test releases them.
type waitingStore struct {
	follower.Store
	watching chan struct{}
	answer   chan struct{}
}

func (s *waitingStore) List(context.Context, string) ([]follower.Object, uint64, error) {
	return []follower.Object{{Name: "a", Revision: 1}}, 1, nil
}

func (s *waitingStore) Watch(ctx context.Context, _ string, position uint64, _ time.Duration) ([]follower.Change, uint64, error) {
	s.watching <- struct{}{}
	select {
	case <-s.answer:
		return nil, position, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Guards against CONFIG and HOME (review/7): after a suspend, an instance reported the poll from
// before it as fresh, and others put off their own polls. A response that waited for the instance
// while it was suspended counted as fresh too.
func TestSuspendsAgeCopies(t *testing.T) {
	const suspend = 1500 * time.Millisecond
	clock := &suspendedClock{}
	store := &waitingStore{watching: make(chan struct{}), answer: make(chan struct{})}
	f := follower.New(store, "config", follower.WithClock(clock))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	<-store.watching
	if age := f.State(clock.Now()).Age; age > suspend/2 {
		t.Fatalf("age %v after a list", age)
	}
	clock.suspend(suspend)
	if age := f.State(clock.Now()).Age; age < suspend {
		t.Errorf("age %v after a suspend of %v", age, suspend)
	}
	store.answer <- struct{}{}
	<-store.watching
	if age := f.State(clock.Now()).Age; age < suspend {
		t.Errorf("age %v after a response to a call from before the suspend", age)
	}
	store.answer <- struct{}{}
	<-store.watching
	if age := f.State(clock.Now()).Age; age > suspend/2 {
		t.Errorf("age %v after the next response", age)
	}
}

// A poll must not become more recent by being passed on from one instance to the next, each of
// which was suspended.
func TestPassingOnAPollDoesNotMakeItRecent(t *testing.T) {
	const suspend = 700 * time.Millisecond
	state := follower.State{Position: 5, Changed: 5, Age: 100 * time.Millisecond}
	for n := range 3 {
		clock := &suspendedClock{}
		f := follower.New(&waitingStore{}, "config", follower.WithClock(clock))
		f.ApplyDelta(follower.Delta{Kind: "config", Position: 5, Changed: 5, Whole: true, Objects: []follower.Object{{Name: "a", Revision: 5}}})
		f.ObservePeer(state, clock.Now())
		clock.suspend(suspend)
		state = f.State(clock.Now())
		if want := 100*time.Millisecond + time.Duration(n+1)*suspend; state.Age < want {
			t.Errorf("age %v at instance %d, at least %v have passed", state.Age, n, want)
		}
	}
}

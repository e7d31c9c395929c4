// Package follower keeps a copy of the objects of one kind in the state store.
//
// A follower lists the kind once and then waits for changes from where the list
// ended. Positions only grow, so that an answer from the past is dropped. If the
// store forgot the changes in between, the follower lists again. While the store
// can't be reached, [Follower.Offer] takes a peer's newer copy.
//
// # Usage
//
//	f := follower.New(store, "config", follower.WithNotify(func(v follower.View) { ... }))
//	err := f.Run(ctx)
package follower

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// Errors of a store that a follower tells apart.
var (
	// ErrHistoryGone means that changes after a position are no longer known.
	ErrHistoryGone = errors.New("history is gone")
	// ErrConflict means that the object exists or has changed meanwhile.
	ErrConflict = errors.New("object exists or has changed")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("no such object")
)

// Object is an object in the store, with what its writer said.
type Object struct {
	Name string
	Spec json.RawMessage
}

// Change is an object that was written, or deleted.
type Change struct {
	Object  Object
	Deleted bool
}

// Store is what a follower needs of the state store.
type Store interface {
	// List returns all objects of a kind and the position of the list.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch waits for changes after a position, for at most wait. It returns
	// ErrHistoryGone if changes in between are lost.
	Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]Change, uint64, error)
	// Create writes a new object, or returns ErrConflict.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) error
	// Replace writes an object that exists, or returns ErrNotFound.
	Replace(ctx context.Context, kind, name string, spec json.RawMessage) error
	// Delete removes an object, or returns ErrNotFound.
	Delete(ctx context.Context, kind, name string) error
}

// Instance is what an instance says of itself in the store.
type Instance struct {
	ID      string
	Region  string
	Zone    string
	Callers string
	Peers   string
	// Started orders the lifetimes of an instance, in Unix milliseconds.
	Started int64
}

// View is a copy of all objects of a kind at a position.
type View struct {
	Kind     string
	Position uint64
	Objects  map[string]Object
	// Removed lists what went since the view before.
	Removed []string
	// Reachable is false while the store doesn't answer.
	Reachable bool
	// Regained is when the store answered again after it had not, or zero.
	Regained time.Time
}

const (
	// watchWait is how long one call waits for a change; a call has a price.
	watchWait = 25 * time.Second
	// pauseAfterChange gathers changes that come in quick succession into one
	// call. It is small beside the 2 s in which a change must be in force.
	pauseAfterChange = 300 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 150 * time.Millisecond
	retryMax = 1200 * time.Millisecond
)

// Follower keeps a copy of one kind. It is safe for concurrent use.
type Follower struct {
	store  Store
	kind   string
	notify func(View)
	report func(kind string, err error)
	pause  time.Duration

	mu   sync.Mutex
	view View
	have bool
}

// Option changes a follower at its creation.
type Option func(*Follower)

// WithNotify sets what is called with each newer view, in order.
func WithNotify(f func(View)) Option { return func(w *Follower) { w.notify = f } }

// WithReport sets what is called when a call fails (err is set) and when the
// store answers again (err is nil).
func WithReport(f func(kind string, err error)) Option { return func(w *Follower) { w.report = f } }

// WithPause sets how long changes are gathered between two calls.
func WithPause(d time.Duration) Option { return func(w *Follower) { w.pause = d } }

// New returns a follower that has no copy yet.
func New(store Store, kind string, opts ...Option) *Follower {
	f := &Follower{
		store: store, kind: kind, pause: pauseAfterChange,
		notify: func(View) {}, report: func(string, error) {},
		view: View{Kind: kind, Objects: map[string]Object{}, Reachable: true},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the kind until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	failures := 0
	for ctx.Err() == nil {
		err := f.step(ctx, listed)
		switch {
		case err == nil:
			listed = true
			failures = 0
			sleep(ctx, f.pause)
		case errors.Is(err, ErrHistoryGone):
			listed = false
		case ctx.Err() != nil:
			return
		default:
			failures++
			f.lost(err)
			sleep(ctx, backOff(failures))
		}
	}
}

// step makes one call to the store.
func (f *Follower) step(ctx context.Context, listed bool) error {
	if !listed {
		objects, position, err := f.store.List(ctx, f.kind)
		if err != nil {
			return err
		}
		f.replace(objects, position, true)
		return nil
	}
	from := f.Position()
	changes, position, err := f.store.Watch(ctx, f.kind, from, watchWait)
	if err != nil {
		return err
	}
	f.apply(changes, position)
	return nil
}

// Position returns where the copy stands.
func (f *Follower) Position() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Position
}

// View returns the copy and whether there is one.
func (f *Follower) View() (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.have
}

// Offer takes a peer's copy if it is newer. It reports whether it was taken.
func (f *Follower) Offer(objects []Object, position uint64) bool {
	return f.replace(objects, position, false)
}

// replace takes a whole list unless it is older than the copy.
func (f *Follower) replace(objects []Object, position uint64, fromStore bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered(fromStore)
	if f.have && (position < f.view.Position || !fromStore && position == f.view.Position) {
		return false
	}
	next := make(map[string]Object, len(objects))
	for _, o := range objects {
		next[o.Name] = o
	}
	var removed []string
	for name := range f.view.Objects {
		if _, ok := next[name]; !ok {
			removed = append(removed, name)
		}
	}
	f.publish(next, removed, position)
	return true
}

// apply takes the changes of a watch.
func (f *Follower) apply(changes []Change, position uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered(true)
	if position < f.view.Position || len(changes) == 0 {
		f.view.Position = max(f.view.Position, position)
		return
	}
	next := maps.Clone(f.view.Objects)
	var removed []string
	for _, c := range changes {
		if c.Deleted {
			delete(next, c.Object.Name)
			removed = append(removed, c.Object.Name)
			continue
		}
		next[c.Object.Name] = c.Object
	}
	f.publish(next, removed, position)
}

// publish makes a newer view the current one.
func (f *Follower) publish(objects map[string]Object, removed []string, position uint64) {
	f.have = true
	f.view.Objects = objects
	f.view.Removed = removed
	f.view.Position = position
	f.notify(f.view)
}

// answered notes that the store answered, if the news came from it.
func (f *Follower) answered(fromStore bool) {
	if !fromStore || f.view.Reachable {
		return
	}
	f.view.Reachable = true
	f.view.Regained = time.Now()
	f.report(f.kind, nil)
}

// lost notes that the store didn't answer.
func (f *Follower) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Reachable = false
	f.report(f.kind, err)
}

// backOff returns the pause after a number of failures in a row, with jitter.
func backOff(failures int) time.Duration {
	d := retryMin << min(failures-1, 3)
	d = min(d, retryMax)
	return d/2 + rand.N(d/2)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

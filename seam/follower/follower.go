// Package follower keeps a copy of the objects of one kind in the state store.
//
// A follower lists the kind once and then asks for changes from where the list
// ended. Positions only grow, so that an answer from the past is dropped. If the
// store forgot the changes in between, the follower lists again.
//
// Calls to the store have a price, and a call that waits for changes may go
// silent. So the followers of a fleet share the work without a leader: each
// tells the others how far it has come and when it last checked
// ([Follower.State]), takes what others say ([Follower.Hear]), and asks the store
// itself only when nobody has checked for longer than its turn allows. What it
// lacks it gets from another's [Follower.Delta] through [Follower.Offer]. An
// instance that hears nobody asks the store itself.
//
// # Usage
//
//	f := follower.New(store, "config", follower.WithNotify(func(v follower.View) { ... }))
//	go f.Run(ctx)
//	f.Hear(state, time.Now()) // from a heartbeat
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
	Name     string
	Revision uint64
	Spec     json.RawMessage
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
	// StoreRecoveredAt is when the store answered again after it had answered no instance
	// for a time, or zero.
	StoreRecoveredAt time.Time
	// FromPeer means that another instance gave this view, not the store.
	FromPeer bool
}

const (
	// checkWait is how long one call waits for a change.
	checkWait = 600 * time.Millisecond
	// checkAfter is how long after the last check, by whichever instance, the
	// second in turn asks the store itself; it is longer than a check and the
	// heartbeat that tells of it. turnStep is added for each further place, so
	// that not all ask at once, up to turnMost places. Together they stay below
	// the 2 s in which a change must be in force.
	checkAfter = 1150 * time.Millisecond
	turnStep   = 120 * time.Millisecond
	turnMost   = 4
	// pauseAfterChange gathers changes that come in quick succession into one
	// call.
	pauseAfterChange = 250 * time.Millisecond
	// firstPatience is how much longer than its wait a call may take, so that a
	// connection that went silent is replaced early. After a failure the store's
	// own bound holds for patientCalls, since the store may be slow.
	firstPatience = 600 * time.Millisecond
	patientCalls  = 20
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 150 * time.Millisecond
	retryMax = 1200 * time.Millisecond
	// outageLeast is how long the store must have answered nobody for an outage.
	// It is longer than the time between two checks by the whole fleet.
	outageLeast = 2 * time.Second
	// removedKept is the number of removed names that are remembered.
	removedKept = 4096
)

// removal is an object that was removed before a position.
type removal struct {
	name     string
	position uint64
}

// Follower keeps a copy of one kind. It is safe for concurrent use.
type Follower struct {
	store  Store
	kind   string
	notify func(View)
	report func(kind string, err error)
	turn   func() int
	wake   chan struct{}

	mu        sync.Mutex
	view      View
	have      bool
	changed   uint64
	checked   time.Time
	reachable bool
	// answeredAt is when the store last answered any instance, as far as is
	// known.
	answeredAt time.Time
	removed    []removal
	// forgotten is the position up to which removals are no longer known.
	forgotten uint64
}

// Option changes a follower at its creation.
type Option func(*Follower)

// WithNotify sets what is called with each newer view, in order.
func WithNotify(f func(View)) Option { return func(w *Follower) { w.notify = f } }

// WithReport sets what is called when a call fails (err is set) and when the
// store answers again (err is nil).
func WithReport(f func(kind string, err error)) Option { return func(w *Follower) { w.report = f } }

// WithPollRank sets what tells the place of this instance among those that can ask
// the store; the instance at place 0 asks all the time.
func WithPollRank(f func() int) Option { return func(w *Follower) { w.turn = f } }

// New returns a follower that has no copy yet.
func New(store Store, kind string, opts ...Option) *Follower {
	f := &Follower{
		store: store, kind: kind, wake: make(chan struct{}, 1), reachable: true,
		notify: func(View) {}, report: func(string, error) {}, turn: func() int { return 0 },
		view: View{Kind: kind, Objects: map[string]Object{}},
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
	patient := 0
	for ctx.Err() == nil {
		if wait := f.due(time.Now()); wait > 0 {
			f.sleep(ctx, wait)
			continue
		}
		changed, err := f.step(ctx, listed, patient > 0)
		switch {
		case err == nil:
			listed = true
			failures = 0
			patient = max(patient-1, 0)
			if changed {
				f.sleep(ctx, pauseAfterChange)
			}
		case errors.Is(err, ErrHistoryGone):
			listed = false
		case ctx.Err() != nil:
			return
		default:
			failures++
			patient = patientCalls
			f.lost(err)
			f.sleep(ctx, backOff(failures))
		}
	}
}

// due returns how long it takes until this instance should ask the store.
func (f *Follower) due(now time.Time) time.Duration {
	turn := f.turn()
	f.mu.Lock()
	defer f.mu.Unlock()
	if turn == 0 || !f.have {
		return 0
	}
	return f.checked.Add(checkAfter + turnStep*time.Duration(min(turn, turnMost))).Sub(now)
}

// step makes one call to the store and reports whether it brought a change. Only
// the first in turn waits for one: another asks because nobody told for long.
func (f *Follower) step(ctx context.Context, listed, patient bool) (bool, error) {
	from := f.State(time.Now()).Position
	if !listed && from == 0 {
		return f.list(ctx)
	}
	wait := checkWait
	if f.turn() > 0 {
		wait = 0
	}
	if !patient {
		bounded, cancel := context.WithTimeout(ctx, wait+firstPatience)
		defer cancel()
		ctx = bounded
	}
	changes, position, err := f.store.Watch(ctx, f.kind, from, wait)
	if errors.Is(err, ErrHistoryGone) {
		return f.list(ctx)
	}
	if err != nil {
		return false, err
	}
	return f.apply(changes, position), nil
}

func (f *Follower) list(ctx context.Context) (bool, error) {
	objects, position, err := f.store.List(ctx, f.kind)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered()
	if f.have && position < f.view.Position {
		return false, nil
	}
	f.view.FromPeer = false
	return f.replace(objects, position, position), nil
}

// View returns the copy and whether there is one.
func (f *Follower) View() (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.have
}

// Reachable reports whether the store answered the last call.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// replace takes a whole list. It reports whether the copy changed.
func (f *Follower) replace(objects []Object, position, changed uint64) bool {
	next := make(map[string]Object, len(objects))
	same := f.have && len(objects) == len(f.view.Objects)
	for _, o := range objects {
		next[o.Name] = o
		same = same && f.view.Objects[o.Name].Revision == o.Revision
	}
	if same {
		f.view.Position = position
		return false
	}
	var removed []string
	for name := range f.view.Objects {
		if _, ok := next[name]; !ok {
			removed = append(removed, name)
		}
	}
	f.publish(next, removed, position, changed)
	return true
}

// apply takes the changes of a watch.
func (f *Follower) apply(changes []Change, position uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered()
	if position < f.view.Position {
		return false
	}
	if len(changes) == 0 {
		f.view.Position = position
		return false
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
	f.view.FromPeer = false
	f.publish(next, removed, position, lastChange(changes, position))
	return true
}

// lastChange returns the position of the last of some changes. That of a removal
// is not told; it is at most where the changes end.
func lastChange(changes []Change, end uint64) uint64 {
	var last uint64
	for _, c := range changes {
		if c.Deleted {
			return end
		}
		last = max(last, c.Object.Revision)
	}
	return min(last, end)
}

// publish makes a newer view the current one.
func (f *Follower) publish(objects map[string]Object, removed []string, position, changed uint64) {
	if !f.have {
		// What was removed before the first copy is not known.
		f.forgotten = position
	}
	f.have = true
	f.changed = max(f.changed, changed)
	f.view.Objects = objects
	f.view.Removed = removed
	f.view.Position = position
	for _, name := range removed {
		f.removed = append(f.removed, removal{name: name, position: position})
	}
	if excess := len(f.removed) - removedKept; excess > 0 {
		f.forgotten = f.removed[excess-1].position
		f.removed = f.removed[excess:]
	}
	f.notify(f.view)
}

// answered notes that the store answered.
func (f *Follower) answered() {
	f.checked = time.Now()
	f.storeAnswered(f.checked)
	if f.reachable {
		return
	}
	f.reachable = true
	f.report(f.kind, nil)
}

// storeAnswered notes that the store answered some instance at a time.
func (f *Follower) storeAnswered(at time.Time) {
	if !at.After(f.answeredAt) {
		return
	}
	if !f.answeredAt.IsZero() && at.Sub(f.answeredAt) > outageLeast {
		f.view.StoreRecoveredAt = at
	}
	f.answeredAt = at
}

// lost notes that the store didn't answer.
func (f *Follower) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachable = false
	f.report(f.kind, err)
}

// backOff returns the pause after a number of failures in a row, with jitter.
func backOff(failures int) time.Duration {
	d := retryMin << min(failures-1, 3)
	d = min(d, retryMax)
	return d/2 + rand.N(d/2)
}

// sleep waits for d, until ctx ends or until the follower is asked to look.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// Package follower keeps a local copy of all objects of one kind in the state
// store.
//
// A follower lists the kind once and then watches for changes after the position
// (store revision) of that list. Positions only grow, so a response with an older
// position is dropped. If the store no longer has the changes in between, the
// follower lists again.
//
// Calls to the store are expensive, and the connection of a watch can go silent.
// The instances therefore share the polling without electing a leader: each reports
// the position of its copy and the age of the last poll to the others
// ([Follower.State]), applies their reports ([Follower.ObservePeer]), and polls the
// store itself only if no instance has polled it for a time that grows with its poll
// rank. It fetches missing changes from another instance's [Follower.Delta]
// and passes them to [Follower.ApplyDelta]. An instance that receives no states
// from others polls the store itself.
//
// # Usage
//
//	f := follower.New(store, "config", follower.WithNotify(func(v follower.View) { ... }))
//	go f.Run(ctx)
//	f.ObservePeer(state, time.Now()) // state comes from a heartbeat
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

// Errors that a [Store] returns for conditions its callers handle separately.
var (
	// ErrHistoryGone means that the store no longer has all changes after the
	// requested position.
	ErrHistoryGone = errors.New("store no longer has the changes after this position")
	// ErrConflict means that the object already exists or was changed by another
	// writer.
	ErrConflict = errors.New("object already exists or was changed by another writer")
	// ErrNotFound means that the object doesn't exist.
	ErrNotFound = errors.New("object not found")
)

// Object is an object in the store. Spec is its content, as its writer encoded it.
type Object struct {
	Name     string
	Revision uint64
	Spec     json.RawMessage
}

// Change is a write or a deletion of an object.
type Change struct {
	Object  Object
	Deleted bool
}

// Store is a client of the state store.
type Store interface {
	// List returns all objects of a kind and the position from which to watch for
	// later changes.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch waits for changes after a position, for at most wait. It returns the
	// changes and the position up to which they are complete, or ErrHistoryGone if
	// the store no longer has all of them.
	Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]Change, uint64, error)
	// Create writes a new object, or returns ErrConflict.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) error
	// Replace overwrites an existing object, or returns ErrNotFound.
	Replace(ctx context.Context, kind, name string, spec json.RawMessage) error
	// Delete deletes an object, or returns ErrNotFound.
	Delete(ctx context.Context, kind, name string) error
}

// Instance is the entry with which an instance registers itself in the store.
type Instance struct {
	ID     string
	Region string
	Zone   string
	// CallerAddress is the address for callers' requests, PeerAddress the address for
	// calls and heartbeats from other instances.
	CallerAddress string
	PeerAddress   string
	// StartedAtMs is the start time in Unix milliseconds. It orders the lifetimes of an
	// instance that restarts under the same ID.
	StartedAtMs int64
}

// View is a copy of all objects of a kind at a position.
type View struct {
	Kind     string
	Position uint64
	Objects  map[string]Object
	// Removed lists the objects that were deleted since the previous view. One
	// that was created again in the meantime is listed too.
	Removed []string
	// StoreRecoveredAt is when the last outage ended, that is, when the store
	// responded to an instance after it had responded to none for longer than
	// minOutage. It is zero if there was no outage.
	StoreRecoveredAt time.Time
	// FromPeer means that the objects came from another instance, not directly
	// from the store.
	FromPeer bool
}

const (
	// watchWait is how long one watch call waits for a change.
	watchWait = 600 * time.Millisecond
	// An instance with a poll rank above 0 polls the store itself when the last
	// check by any instance is older than pollAfter plus pollRankStep for each
	// rank. pollAfter is longer than a check and the heartbeat that reports it take
	// together. The steps keep the instances from polling all at once. They are
	// limited to maxPollRankSteps, so that the sum stays below the 2 s within which
	// a change must be in force.
	pollAfter        = 1150 * time.Millisecond
	pollRankStep     = 120 * time.Millisecond
	maxPollRankSteps = 4
	// pauseAfterChange is the pause after a call that returned changes, so that
	// the next call returns several changes in quick succession at once.
	pauseAfterChange = 250 * time.Millisecond
	// watchGrace is how much longer than its wait a call may take, so that a
	// connection that went silent is replaced early. After a failure this limit is
	// dropped for relaxedCalls successful calls and only the store client's own
	// timeout applies, since the store may just be slow.
	watchGrace   = 600 * time.Millisecond
	relaxedCalls = 20
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 150 * time.Millisecond
	retryMax = 1200 * time.Millisecond
	// minOutage is how long the store must have responded to no instance for this
	// to count as an outage. It is longer than the time between two checks by the
	// whole fleet.
	minOutage = 2 * time.Second
	// maxRemovals limits how many removals are recorded for deltas.
	maxRemovals = 4096
)

// removal is the deletion of an object at or before a position.
type removal struct {
	name     string
	position uint64
}

// Follower keeps a copy of one kind. It is safe for concurrent use.
type Follower struct {
	store    Store
	kind     string
	notify   func(View)
	report   func(kind string, err error)
	pollRank func() int
	wake     chan struct{}

	mu   sync.Mutex
	view View
	// loaded means that view holds a copy, and changed is the position of the last
	// change in it.
	loaded  bool
	changed uint64
	// lastChecked is when any instance last polled the store, as far as reported to
	// this one; zero makes the next poll due at once.
	lastChecked time.Time
	// storeReachable means that this instance's last call to the store succeeded.
	storeReachable bool
	// lastAnswerToAny is when the store last responded to any instance, as far as
	// reported to this one.
	lastAnswerToAny time.Time
	removed         []removal
	// removalsLostUpTo is the position up to which removed is incomplete.
	removalsLostUpTo uint64
}

// Option configures a follower.
type Option func(*Follower)

// WithNotify sets a function that is called with each view whose objects changed,
// in order of position. It must not call the follower, whose lock is held.
func WithNotify(f func(View)) Option { return func(w *Follower) { w.notify = f } }

// WithReport sets a function that is called with an error when a call to the store
// fails, and with nil when the store responds again. It must not call the follower,
// whose lock is held.
func WithReport(f func(kind string, err error)) Option { return func(w *Follower) { w.report = f } }

// WithPollRank sets a function that returns the rank of this instance among those
// that can reach the store. The instance of rank 0 polls all the time, the others
// only if the last poll reported to them is too old. The default rank is 0.
func WithPollRank(f func() int) Option { return func(w *Follower) { w.pollRank = f } }

// New returns a follower that has no copy yet.
func New(store Store, kind string, opts ...Option) *Follower {
	f := &Follower{
		store: store, kind: kind, wake: make(chan struct{}, 1), storeReachable: true,
		notify: func(View) {}, report: func(string, error) {}, pollRank: func() int { return 0 },
		view: View{Kind: kind, Objects: map[string]Object{}},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run keeps the copy up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	failures := 0
	relaxedCallsLeft := 0
	for ctx.Err() == nil {
		if wait := f.untilNextPoll(time.Now()); wait > 0 {
			f.sleep(ctx, wait)
			continue
		}
		changed, err := f.poll(ctx, listed, relaxedCallsLeft > 0)
		switch {
		case err == nil:
			listed = true
			failures = 0
			relaxedCallsLeft = max(relaxedCallsLeft-1, 0)
			if changed {
				f.sleep(ctx, pauseAfterChange)
			}
		case errors.Is(err, ErrHistoryGone):
			listed = false
		case ctx.Err() != nil:
			return
		default:
			failures++
			relaxedCallsLeft = relaxedCalls
			f.recordFailure(err)
			f.sleep(ctx, retryDelay(failures))
		}
	}
}

// untilNextPoll returns how long to wait before this instance polls the store, or
// 0 or less if it should poll now.
func (f *Follower) untilNextPoll(now time.Time) time.Duration {
	pollRank := f.pollRank()
	f.mu.Lock()
	defer f.mu.Unlock()
	if pollRank == 0 || !f.loaded {
		return 0
	}
	return f.lastChecked.Add(pollAfter + pollRankStep*time.Duration(min(pollRank, maxPollRankSteps))).Sub(now)
}

// poll watches the store, or lists it if there is no copy or the store no longer has
// the changes after it. It reports whether the copy changed. Only the instance of
// rank 0 waits for a change. An instance of a higher rank polls because no poll has
// been reported to it for too long, so it needs the response now.
func (f *Follower) poll(ctx context.Context, listed, relaxed bool) (bool, error) {
	from := f.State(time.Now()).Position
	if !listed && from == 0 {
		return f.listObjects(ctx)
	}
	wait := watchWait
	if f.pollRank() > 0 {
		wait = 0
	}
	if !relaxed {
		bounded, cancel := context.WithTimeout(ctx, wait+watchGrace)
		defer cancel()
		ctx = bounded
	}
	changes, position, err := f.store.Watch(ctx, f.kind, from, wait)
	if errors.Is(err, ErrHistoryGone) {
		return f.listObjects(ctx)
	}
	if err != nil {
		return false, err
	}
	return f.applyChanges(changes, position), nil
}

// listObjects replaces the copy by a full list, unless the list is older. It reports
// whether the copy changed.
func (f *Follower) listObjects(ctx context.Context) (bool, error) {
	objects, position, err := f.store.List(ctx, f.kind)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordAnswer()
	if f.loaded && position < f.view.Position {
		return false, nil
	}
	f.view.FromPeer = false
	return f.replaceObjects(objects, position, position), nil
}

// View returns the current copy, and false if there is none yet.
func (f *Follower) View() (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.loaded
}

// StoreReachable reports whether this instance's last call to the store succeeded. It
// is true before the first call.
func (f *Follower) StoreReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeReachable
}

// replaceObjects replaces the copy by a full list at a position, whose last change is
// at changed. It reports whether the copy changed. The lock must be held.
func (f *Follower) replaceObjects(objects []Object, position, changed uint64) bool {
	next := make(map[string]Object, len(objects))
	same := f.loaded && len(objects) == len(f.view.Objects)
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
	f.publishView(next, removed, position, changed)
	return true
}

// applyChanges applies the changes of a watch up to a position. It reports whether the
// copy changed.
func (f *Follower) applyChanges(changes []Change, position uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordAnswer()
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
	f.publishView(next, removed, position, lastChangePosition(changes, position))
	return true
}

// lastChangePosition returns the position of the last of some changes. A deletion
// doesn't carry its position, so end, the position up to which the changes are
// complete, is returned instead if there is one.
func lastChangePosition(changes []Change, end uint64) uint64 {
	var last uint64
	for _, c := range changes {
		if c.Deleted {
			return end
		}
		last = max(last, c.Object.Revision)
	}
	return min(last, end)
}

// publishView makes a newer view the current one, records its removals for deltas and
// calls notify. The lock must be held.
func (f *Follower) publishView(objects map[string]Object, removed []string, position, changed uint64) {
	if !f.loaded {
		// Removals before the first copy are unknown.
		f.removalsLostUpTo = position
	}
	f.loaded = true
	f.changed = max(f.changed, changed)
	f.view.Objects = objects
	f.view.Removed = removed
	f.view.Position = position
	for _, name := range removed {
		f.removed = append(f.removed, removal{name: name, position: position})
	}
	if excess := len(f.removed) - maxRemovals; excess > 0 {
		f.removalsLostUpTo = f.removed[excess-1].position
		f.removed = f.removed[excess:]
	}
	f.notify(f.view)
}

// recordAnswer records that the store responded to this instance just now. The lock
// must be held.
func (f *Follower) recordAnswer() {
	f.lastChecked = time.Now()
	f.recordAnswerToAny(f.lastChecked)
	if f.storeReachable {
		return
	}
	f.storeReachable = true
	f.report(f.kind, nil)
}

// recordAnswerToAny records that the store responded to some instance at a time, and
// the end of an outage if it responded to none for longer than minOutage before. The
// lock must be held.
func (f *Follower) recordAnswerToAny(at time.Time) {
	if !at.After(f.lastAnswerToAny) {
		return
	}
	if !f.lastAnswerToAny.IsZero() && at.Sub(f.lastAnswerToAny) > minOutage {
		f.view.StoreRecoveredAt = at
	}
	f.lastAnswerToAny = at
}

// recordFailure records and reports that a call to the store failed.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeReachable = false
	f.report(f.kind, err)
}

// retryDelay returns the pause after a number of failures in a row: exponential from
// retryMin to retryMax, with jitter that takes off up to half.
func retryDelay(failures int) time.Duration {
	d := retryMin << min(failures-1, 3)
	d = min(d, retryMax)
	return d/2 + rand.N(d/2)
}

// sleep waits for d, or until ctx ends or PollNow is called.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

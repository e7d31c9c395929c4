// Package follower keeps a local copy of all objects of one kind in the state
// store. The edge daemon, seamedge, uses it.
//
// A follower lists all objects of its kind once and then watches for changes. A
// position is an era and a revision number of the store. Each response to a list or watch
// names the position up to which the response is complete, and the next watch starts from
// there. Positions only grow, so a response with an older position than the copy's is
// dropped. If the store no longer has all changes after the copy's position, the
// follower lists the objects again.
//
// A new era begins when the store comes back from an older copy of its data. What the store
// then lacks is soon written again by those who wrote it before. Until then the follower's
// view keeps what it knew better; see [Retention].
//
// Calls to the store are expensive, and the connection of a watch can go silent.
// The instances of the load balancer therefore share the polling. To poll the store
// means to list or watch. There is no leader:
//
//   - Each instance sends the position of its copy and the time since the last poll to
//     the other instances ([Follower.State]) and applies the states that it receives
//     ([Follower.ObservePeer]).
//   - Each instance has a poll rank, from 0 up. The instance of rank 0 polls all the
//     time. Any other instance polls only if the last poll that it knows of, its own or
//     a reported one, is too old. The higher the rank, the older that poll may be. An
//     instance that receives no states therefore polls by itself.
//   - An instance whose copy is behind gets the missing changes from another instance
//     ([Follower.Delta]) and applies them ([Follower.ApplyDelta]). Of a large object it gets
//     only the parts that have changed, if both keep patches ([WithPatches]).
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
	"sync"
	"time"

	"primroseseam.org/seam/patcher"
	"primroseseam.org/seam/timekeeper"
)

// Errors of a [Store] that callers distinguish from other errors.
var (
	// ErrHistoryGone means that the store no longer has all changes after the
	// requested position.
	ErrHistoryGone = errors.New("store no longer has the changes after this position")
	// ErrConflict means that an object can't be written because it already exists or
	// another writer has changed it.
	ErrConflict = errors.New("object already exists or was changed by another writer")
	// ErrNotFound means that the object to replace or delete doesn't exist.
	ErrNotFound = errors.New("object not found")
)

// Object is an object in the store. Revision is the position of its last write. Spec is its
// content, as its writer encoded it.
type Object struct {
	Name     string
	Revision uint64
	Spec     json.RawMessage
	// document is the content in parts if the follower keeps patches and the content can be split.
	document *patcher.Document
}

// Document returns the content in parts, or nil if the follower keeps no patches ([WithPatches]) or the
// content can't be split.
func (o Object) Document() *patcher.Document { return o.document }

// Change is a write of an object or, if Deleted is set, its deletion.
type Change struct {
	Object  Object
	Deleted bool
}

// Store is a client of the state store.
type Store interface {
	// List returns all objects of a kind, and the position after which a watch must
	// start so that it misses no change.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch returns the changes after a position, and the position up to which they
	// are complete. If there is no change yet, it waits for one, for at most wait.
	// Watch returns ErrHistoryGone if the store no longer has all changes after the
	// position.
	Watch(ctx context.Context, kind string, position uint64, wait time.Duration) ([]Change, uint64, error)
	// Create writes a new object. It returns ErrConflict if the object exists.
	Create(ctx context.Context, kind, name string, spec json.RawMessage) error
	// Replace overwrites an object. It returns ErrNotFound if there is no such object.
	Replace(ctx context.Context, kind, name string, spec json.RawMessage) error
	// Delete deletes an object. It returns ErrNotFound if there is no such object.
	Delete(ctx context.Context, kind, name string) error
}

// Instance is the entry with which an instance of the load balancer registers itself in
// the store.
type Instance struct {
	ID     string
	Region string
	Zone   string
	// CallerAddress is where the instance accepts requests from callers. PeerAddress is
	// where it receives calls and heartbeats from other instances.
	CallerAddress string
	PeerAddress   string
	// StartedAtMs is the start time of the process in Unix milliseconds. If an instance
	// restarts under the same ID, the entry with the later start time is the newer one.
	StartedAtMs int64
	// Renewals counts how often the process has written the entry again. Live holds the hashes of
	// the IDs of the instances that were live then, as seen by this one.
	Renewals uint64
	Live     []uint32
}

// View is a copy of all objects of a kind at a position.
type View struct {
	Kind     string
	Position uint64
	Objects  map[string]Object
	// Removed holds the names of the objects that were deleted since the previous view.
	// It includes an object that was deleted and then created again.
	Removed []string
	// StoreRecoveredAt is when the last outage of the store ended, or zero if there was
	// none. In an outage, the store responds to no instance for longer than minOutage;
	// the next response to any instance ends it.
	StoreRecoveredAt time.Time
	// FromPeer means that the last objects or changes came from another instance, not
	// directly from the store.
	FromPeer bool
}

const (
	// watchWait is how long the store waits for a change in one watch call of the
	// instance of poll rank 0.
	watchWait = 600 * time.Millisecond
	// An instance of a poll rank above 0 polls the store when the last known poll is
	// older than pollAfter plus pollRankStep times the rank. pollAfter is longer than
	// the time in which another instance polls and a heartbeat reports that poll. The
	// steps keep the instances from polling all at once. At most maxPollRankSteps of
	// them are added, so that the sum stays below the 2 s within which a change must be
	// in force.
	pollAfter        = 1150 * time.Millisecond
	pollRankStep     = 120 * time.Millisecond
	maxPollRankSteps = 4
	// pauseAfterChange is the pause after a call that returned changes. If several
	// changes are made in quick succession, the next call then returns them together.
	pauseAfterChange = 250 * time.Millisecond
	// watchGrace is how much longer a watch call may take than the wait that it asks
	// for. A call that takes longer fails, so that a connection that has gone silent is
	// replaced early. After a failed call this limit is suspended until slowStoreCalls
	// calls have succeeded, since the store may just be slow. Meanwhile only the store
	// client's own timeout limits a call.
	watchGrace     = 600 * time.Millisecond
	slowStoreCalls = 20
	// retryMin and retryMax bound the pause after a failed call, before jitter.
	retryMin = 150 * time.Millisecond
	retryMax = 1200 * time.Millisecond
	// minOutage is how long the store must have responded to no instance before this
	// counts as an outage. It is longer than the normal time between one poll by any
	// instance and the next poll by any instance.
	minOutage = 2 * time.Second
	// maxRemovals is the number of removals that a follower records for its deltas.
	maxRemovals = 4096
)

// removal records that an object was deleted at or before a position.
type removal struct {
	object   Object
	position uint64
}

// Follower keeps a copy of all objects of one kind. It is safe for concurrent use.
type Follower struct {
	store    Store
	kind     string
	notify   func(View)
	report   func(kind string, err error)
	pollRank func() int
	wake     chan struct{}
	clock    timekeeper.Clock

	mu   sync.Mutex
	view View
	// stored holds the objects as the store has them. view.Objects differs from it only
	// by what is retained.
	stored    map[string]Object
	retention Retention
	retained  retainedObjects
	// hasCopy means that view holds a copy. lastChange is the position of the last
	// change in that copy.
	hasCopy    bool
	lastChange uint64
	// lastPoll is the time of the last known successful poll of the store, by this
	// instance or by another one that reported its poll. If lastPoll is zero, a poll is
	// due now.
	lastPoll time.Time
	// storeReachable means that this instance's last call to the store succeeded.
	storeReachable bool
	// lastResponseToAny is the time of the last known response of the store, to this
	// instance or to another one that reported the response.
	lastResponseToAny time.Time
	// removed holds the latest removals in order of position, at most maxRemovals.
	// Removals up to the position removalsLostUpTo may be missing from it; all later
	// ones are there.
	removed          []removal
	removalsLostUpTo uint64
	// histories holds the latest changes of each object, by its name. It is nil unless the follower
	// keeps patches.
	histories map[string]*patcher.History
}

// Option configures a follower.
type Option func(*Follower)

// WithNotify sets a function that is called with the new view whenever the objects have
// changed, in order of position. The follower's lock is held during the call, so the
// function must not call the follower.
func WithNotify(f func(View)) Option { return func(w *Follower) { w.notify = f } }

// WithReport sets a function that is called with the error of each failed call to the
// store, and with nil when a call succeeds after a failure. The follower's lock is held
// during the call, so the function must not call the follower.
func WithReport(f func(kind string, err error)) Option { return func(w *Follower) { w.report = f } }

// WithPollRank sets a function that returns this instance's poll rank: its place, from
// 0 up, in an order of the instances that can reach the store. The instance of rank 0
// polls all the time. An instance of a higher rank polls only if it knows of no recent
// poll; the higher the rank, the longer it waits after the last known poll. The default
// rank is 0.
func WithPollRank(f func() int) Option { return func(w *Follower) { w.pollRank = f } }

// WithClock sets the clock of all times that the follower takes and returns. It should count the
// time of suspends: a copy gets older in them. The default is the system's steady clock.
func WithClock(c timekeeper.Clock) Option { return func(w *Follower) { w.clock = c } }

// steadyClock is the system's steady clock.
type steadyClock struct{}

// Now implements timekeeper.Clock.
func (steadyClock) Now() time.Time { return time.Now() }

// New returns a follower that has no copy yet.
func New(store Store, kind string, opts ...Option) *Follower {
	f := &Follower{
		store: store, kind: kind, wake: make(chan struct{}, 1), clock: steadyClock{}, storeReachable: true,
		notify: func(View) {}, report: func(string, error) {}, pollRank: func() int { return 0 },
		view: View{Kind: kind, Objects: map[string]Object{}}, stored: map[string]Object{}, retained: newRetainedObjects(),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// View returns the current copy and whether there is one yet.
func (f *Follower) View() (View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.hasCopy
}

// StoreReachable reports whether this instance's last call to the store succeeded. It
// is true before the first call.
func (f *Follower) StoreReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeReachable
}

// replaceObjects replaces the copy by a full list of the objects. position is the
// position of the list, lastChange the position of the last change in it. It reports
// whether the copy changed. The lock must be held.
func (f *Follower) replaceObjects(objects []Object, position, lastChange uint64) bool {
	next := make(map[string]Object, len(objects))
	same := f.hasCopy && len(objects) == len(f.stored)
	for _, o := range objects {
		next[o.Name] = o
		same = same && f.stored[o.Name].Revision == o.Revision
	}
	if same {
		// The list shows no objects that were written and removed since the last position,
		// and other copies may hold them.
		f.view.Position, f.lastChange = position, max(f.lastChange, lastChange)
		f.removalsLostUpTo = max(f.removalsLostUpTo, position)
		return false
	}
	if f.hasCopy && EraOf(position) > EraOf(f.view.Position) {
		f.enterEra(f.clock.Now(), position)
	}
	removed := missingNames(f.stored, next)
	f.removalsLostUpTo = max(f.removalsLostUpTo, position)
	f.publishView(next, removed, position, lastChange)
	return true
}

// applyChanges applies the changes that a watch, c, returned, which are complete up to
// position. It reports whether the copy changed.
func (f *Follower) applyChanges(c call, changes []Change, position uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse(c)
	if position < f.view.Position {
		return false
	}
	if len(changes) == 0 {
		f.view.Position = position
		return false
	}
	next := maps.Clone(f.stored)
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

// lastChangePosition returns the position of the last of the changes, which are complete
// up to the position end. If the changes include a deletion, it returns end, since a
// deletion doesn't carry its position.
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

// missingNames returns the names in old that next lacks.
func missingNames(old, next map[string]Object) []string {
	var names []string
	for name := range old {
		if _, ok := next[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// publishView sets the stored objects, the removals and the position, records the removals
// for deltas and calls notify. lastChange is the position of the last change. The lock must
// be held.
func (f *Follower) publishView(objects map[string]Object, removed []string, position, lastChange uint64) {
	if !f.hasCopy {
		// The removals before the first copy are unknown.
		f.removalsLostUpTo = position
	}
	f.hasCopy = true
	f.lastChange = max(f.lastChange, lastChange)
	for _, name := range removed {
		f.removed = append(f.removed, removal{object: Object{Name: name, Spec: f.stored[name].Spec}, position: position})
	}
	if excess := len(f.removed) - maxRemovals; excess > 0 {
		f.removalsLostUpTo = f.removed[excess-1].position
		f.removed = f.removed[excess:]
	}
	f.recordVersions(objects)
	f.stored = objects
	f.view.Position = position
	f.showObjects(f.clock.Now(), removed)
}

// recordResponse records that the store responded to a call of this instance. If this
// instance's previous call failed, recordResponse reports that the store is reachable
// again. The lock must be held.
func (f *Follower) recordResponse(c call) {
	if at := c.asOf(f.clock.Now()); at.After(f.lastPoll) {
		f.lastPoll = at
	}
	f.recordResponseToAny(f.lastPoll)
	if f.storeReachable {
		return
	}
	f.storeReachable = true
	f.report(f.kind, nil)
}

// recordResponseToAny records that the store responded to some instance at a given
// time. If the previous response to any instance was more than minOutage earlier, at is
// recorded as the end of an outage. The lock must be held.
func (f *Follower) recordResponseToAny(at time.Time) {
	if !at.After(f.lastResponseToAny) {
		return
	}
	if !f.lastResponseToAny.IsZero() && at.Sub(f.lastResponseToAny) > minOutage {
		f.view.StoreRecoveredAt = at
	}
	f.lastResponseToAny = at
}

// recordFailure records that a call of this instance to the store failed, and reports
// err.
func (f *Follower) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeReachable = false
	f.report(f.kind, err)
}

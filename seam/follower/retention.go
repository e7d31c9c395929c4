package follower

import (
	"encoding/json"
	"maps"
	"time"
)

// Retention defines what a follower's view keeps when the store comes back from an older
// copy of its data, until the lost writes have been made again.
//
// An object that is missing then, or that the store has in an older generation than the
// view, stays in the view as it was. An object that had been deleted and is there again
// stays out of the view. Either ends as soon as the store has a newer generation, or has
// deleted the object in the new era, and in any case after a time.
type Retention struct {
	// Generation returns the generation that the writer of an object gave to its content.
	// If it is nil, all contents of an object are of the same generation, and deleted
	// objects are not kept out.
	Generation func(spec json.RawMessage) Generation
	// Missing is how long an object that the store lacks stays in the view. Outdated is
	// how long an object of an older generation is ignored.
	Missing  time.Duration
	Outdated time.Duration
}

// Generation orders the contents that the writer of an object gave it in turn, whatever
// revisions the store gave them: by the writer's lifetime, then by a count.
type Generation struct{ Lifetime, Count uint64 }

// before reports whether a generation is older than another.
func (g Generation) before(other Generation) bool {
	return g.Lifetime < other.Lifetime || g.Lifetime == other.Lifetime && g.Count < other.Count
}

// WithRetention sets what the view keeps when the store comes back from an older copy.
// Without this option it keeps nothing.
func WithRetention(r Retention) Option { return func(f *Follower) { f.retention = r } }

// retainedObjects is what a follower keeps from the era before.
type retainedObjects struct {
	// known holds, by name, the objects that the view had. deleted holds those that had
	// been deleted.
	known   map[string]Object
	deleted map[string]Object
	// era is the position at which the current era was entered, and enteredAt when that
	// was.
	era       uint64
	enteredAt time.Time
}

func newRetainedObjects() retainedObjects {
	return retainedObjects{known: map[string]Object{}, deleted: map[string]Object{}}
}

// size returns the number of objects that are retained.
func (r retainedObjects) size() int { return len(r.known) + len(r.deleted) }

// enterEra retains the objects of the view and the recorded removals when the store has
// come back from an older copy. Deltas from earlier eras are whole from now on, since the
// objects that other instances had then are unknown here. The lock must be held.
func (f *Follower) enterEra(now time.Time, position uint64) {
	r := newRetainedObjects()
	r.era, r.enteredAt = position, now
	if f.retention.Generation != nil {
		for _, gone := range f.removed {
			r.deleted[gone.object.Name] = gone.object
		}
	}
	if f.retention.Missing > 0 || f.retention.Outdated > 0 {
		r.known = maps.Clone(f.view.Objects)
		for name := range r.known {
			delete(r.deleted, name)
		}
	}
	f.retained = r
	f.removalsLostUpTo = position
}

// releaseExpired ends what was retained for long enough and calls notify if that may change
// the view.
func (f *Follower) releaseExpired(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.retained.size()
	if before == 0 || now.Sub(f.retained.enteredAt) < min(f.retention.Missing, f.retention.Outdated) {
		return
	}
	objects := f.overlay(now)
	if f.retained.size() < before {
		f.setViewObjects(objects, missingNames(f.view.Objects, objects))
	}
}

// showObjects sets the objects of the view to the stored ones and what is retained, and
// calls notify. deleted holds the names of the objects that the store has deleted. The lock
// must be held.
func (f *Follower) showObjects(now time.Time, deleted []string) {
	if f.retained.size() == 0 {
		f.setViewObjects(f.stored, deleted)
		return
	}
	if f.view.Position > f.retained.era {
		for _, name := range deleted {
			delete(f.retained.known, name)
		}
	}
	objects := f.overlay(now)
	f.setViewObjects(objects, missingNames(f.view.Objects, objects))
}

// setViewObjects sets the objects of the view and the names of those that it lost, and
// calls notify. The lock must be held.
func (f *Follower) setViewObjects(objects map[string]Object, removed []string) {
	f.view.Objects, f.view.Removed = objects, removed
	f.notify(f.view)
}

// overlay returns the stored objects with what is still retained, and drops what is no
// longer needed. The lock must be held.
func (f *Follower) overlay(now time.Time) map[string]Object {
	age := now.Sub(f.retained.enteredAt)
	objects := maps.Clone(f.stored)
	for name, known := range f.retained.known {
		o, stored := f.stored[name]
		switch {
		case stored && (age >= f.retention.Outdated || !f.generation(o).before(f.generation(known))),
			!stored && age >= f.retention.Missing:
			delete(f.retained.known, name)
		default:
			objects[name] = known
		}
	}
	for name, gone := range f.retained.deleted {
		o, stored := f.stored[name]
		switch {
		case age >= f.retention.Outdated || stored && f.generation(gone).before(f.generation(o)):
			delete(f.retained.deleted, name)
		case stored:
			delete(objects, name)
		}
	}
	return objects
}

// generation returns the generation of an object.
func (f *Follower) generation(o Object) Generation {
	if f.retention.Generation == nil {
		return Generation{}
	}
	return f.retention.Generation(o.Spec)
}

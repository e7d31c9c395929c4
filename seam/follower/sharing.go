package follower

import (
	"maps"
	"slices"
	"time"
)

// minReportedPollGain is how much later than the last known poll a reported one must be. A report's
// Age doesn't count the shortest delay between the two instances, so that a poll that comes back
// through others looks later than it was. Without this minimum, reports of the same poll would keep it
// recent for as long as instances pass them on.
const minReportedPollGain = 200 * time.Millisecond

// State describes how recent a follower's copy is. Instances send it to each other.
type State struct {
	// Position is the position up to which the copy is complete. Changed is the
	// position of the last change in the copy.
	Position uint64
	Changed  uint64
	// Age is the time since the last successful poll of the store by any instance that
	// the sender knows of. It is very large before the first poll and after PollNow. The
	// receiver adds the time for which the state was on its way.
	Age time.Duration
}

// Delta holds the changes of a kind after the position From, up to and including
// Position. Objects are the objects that were written, and Removed are the names of
// those that were deleted. If Whole is set, Objects is instead a full list that replaces
// the receiver's copy. Patches stand for further objects, which the receiver makes of those that it
// has; see [Follower.ResolvePatches]. Changed is the position of the last change. Complete means that
// Removed holds every removal since From, also those of objects that the sender never had;
// earlier versions of the program don't set it and leave some out. The field names of Delta
// and Object are part of the wire format between instances.
type Delta struct {
	Kind     string
	From     uint64
	Position uint64
	Changed  uint64
	Whole    bool
	Complete bool
	Objects  []Object
	Patches  []ObjectPatch `json:",omitempty"`
	Removed  []string
}

// HasAllRemovals reports whether a copy that the delta is applied to keeps no object that
// the store has removed.
func (d Delta) HasAllRemovals() bool { return d.Whole || d.Complete }

// State returns the state of the copy, to be sent to other instances.
func (f *Follower) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Position: f.view.Position, Changed: f.lastChange, Age: now.Sub(f.lastPoll)}
}

// ObservePeer applies the state that another instance sent. It reports whether the
// other instance's copy has changes that this copy lacks. If both copies have the same
// changes and the other position is not older, this copy is complete up to the other
// position too. ObservePeer then records that position, and the time of the other
// instance's last known poll if it is later by at least minReportedPollGain.
func (f *Follower) ObservePeer(s State, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := now.Add(-s.Age)
	if s.Position > 0 {
		f.recordResponseToAny(at)
	}
	if s.Position < f.view.Position || s.Position == 0 {
		return false
	}
	if !f.hasCopy || s.Changed > f.view.Position {
		return true
	}
	f.view.Position = s.Position
	if at.Sub(f.lastPoll) >= minReportedPollGain {
		f.lastPoll = at
	}
	return false
}

// PollNow makes the follower poll the store now or, if a call to the store is in
// progress, after that call.
func (f *Follower) PollNow() {
	f.mu.Lock()
	f.lastPoll = time.Time{}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Delta returns the changes after the position from. The delta is a full list if from
// is 0, if some removals after from are no longer recorded, or if from is of an earlier
// era. It returns false if this
// follower has no copy or no changes after from.
func (f *Follower) Delta(from uint64) (Delta, bool) { return f.DeltaWithPatches(from, nil) }

// DeltaWithPatches is like Delta for a receiver that accepts patches. versions holds the receiver's
// [Follower.Versions].
func (f *Follower) DeltaWithPatches(from uint64, versions map[string]uint64) (Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasCopy || from >= f.lastChange && from > 0 {
		return Delta{}, false
	}
	d := Delta{
		Kind: f.kind, From: from, Position: f.view.Position, Changed: f.lastChange,
		Whole: from == 0 || from < f.removalsLostUpTo, Complete: true,
	}
	if d.Whole {
		d.Objects = slices.Collect(maps.Values(f.stored))
		f.replaceByPatches(&d, versions)
		return d, true
	}
	removed := map[string]bool{}
	for _, r := range f.removed {
		if r.position > from && !removed[r.object.Name] {
			removed[r.object.Name] = true
			d.Removed = append(d.Removed, r.object.Name)
		}
	}
	for _, o := range f.stored {
		// A removal is recorded at the end of the response that contained it. An object that
		// was written again before that end may be older than the position from.
		if o.Revision > from || removed[o.Name] {
			d.Objects = append(d.Objects, o)
		}
	}
	f.replaceByPatches(&d, versions)
	return d, true
}

// ApplyDelta applies a delta from another instance. It ignores a delta that is no newer
// than the copy. A delta that isn't whole is also ignored if there is no copy, if it is of
// another era, if it starts after the copy's position, because the changes in between
// are missing, or if it doesn't have all removals. Its patches must have been resolved. ApplyDelta
// reports whether the copy changed.
func (f *Follower) ApplyDelta(d Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Position <= f.view.Position && f.hasCopy || len(d.Patches) > 0 {
		return false
	}
	f.view.FromPeer = true
	if d.Whole {
		return f.replaceObjects(d.Objects, d.Position, d.Changed)
	}
	if !f.hasCopy || !d.HasAllRemovals() || d.From > f.view.Position || EraOf(d.Position) != EraOf(f.view.Position) {
		return false
	}
	next := maps.Clone(f.stored)
	for _, name := range d.Removed {
		delete(next, name)
	}
	for _, o := range d.Objects {
		next[o.Name] = o
	}
	// Removals of objects that this copy never had are recorded too: the copies of those who
	// ask for changes here may have them.
	f.publishView(next, d.Removed, d.Position, d.Changed)
	return true
}

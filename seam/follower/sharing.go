package follower

import (
	"maps"
	"time"
)

// State reports to other instances how recent a follower's copy is.
type State struct {
	// Position is the position up to which the copy is complete, Changed the
	// position of the last change in it.
	Position uint64
	Changed  uint64
	// Age is the time since the last known poll of the store by any instance. It
	// is very large before the first check and after PollNow.
	Age time.Duration
}

// Delta holds the changes after the position From up to Position. If Whole is set,
// Objects is a full list and replaces the receiver's copy. The names of its fields, and
// those of Object, are part of the wire format between instances.
type Delta struct {
	Kind     string
	From     uint64
	Position uint64
	Changed  uint64
	Whole    bool
	Objects  []Object
	Removed  []string
}

// State returns the state of the copy, to be sent to other instances.
func (f *Follower) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Position: f.view.Position, Changed: f.changed, Age: now.Sub(f.lastChecked)}
}

// ObservePeer applies the state of another instance's follower. It reports whether
// that one has changes that this copy lacks. If it has none and is not behind, its
// position and the time of its last poll apply to this copy too.
func (f *Follower) ObservePeer(s State, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := now.Add(-s.Age)
	if s.Position > 0 {
		f.recordAnswerToAny(at)
	}
	if s.Position < f.view.Position || s.Position == 0 {
		return false
	}
	if !f.loaded || s.Changed > f.view.Position {
		return true
	}
	f.view.Position = s.Position
	if at.After(f.lastChecked) {
		f.lastChecked = at
	}
	return false
}

// PollNow makes the follower poll the store as soon as it isn't busy with a call.
func (f *Follower) PollNow() {
	f.mu.Lock()
	f.lastChecked = time.Time{}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Delta returns the changes after a position, or a full list if from is 0 or the
// removals after it are no longer recorded. It returns false if there is nothing newer.
func (f *Follower) Delta(from uint64) (Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded || from >= f.changed && from > 0 {
		return Delta{}, false
	}
	d := Delta{
		Kind: f.kind, From: from, Position: f.view.Position, Changed: f.changed,
		Whole: from == 0 || from < f.removalsLostUpTo,
	}
	for _, o := range f.view.Objects {
		if d.Whole || o.Revision > from {
			d.Objects = append(d.Objects, o)
		}
	}
	for _, r := range f.removed {
		if !d.Whole && r.position > from {
			d.Removed = append(d.Removed, r.name)
		}
	}
	return d, true
}

// ApplyDelta applies a delta from another instance, unless it is no newer than the
// copy or starts after the copy's position. It reports whether the copy changed.
func (f *Follower) ApplyDelta(d Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Position <= f.view.Position && f.loaded {
		return false
	}
	f.view.FromPeer = true
	if d.Whole {
		return f.replaceObjects(d.Objects, d.Position, d.Changed)
	}
	if !f.loaded || d.From > f.view.Position {
		return false
	}
	next := maps.Clone(f.view.Objects)
	var removed []string
	for _, name := range d.Removed {
		if _, ok := next[name]; ok {
			delete(next, name)
			removed = append(removed, name)
		}
	}
	for _, o := range d.Objects {
		next[o.Name] = o
	}
	f.publishView(next, removed, d.Position, d.Changed)
	return true
}

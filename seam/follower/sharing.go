package follower

import (
	"maps"
	"time"
)

// State says how far a follower has come.
type State struct {
	// Position is up to where the copy is known to be complete, Changed where it
	// last changed.
	Position uint64
	Changed  uint64
	// Age is how long ago the store was asked.
	Age time.Duration
}

// Delta is what changed after a position. If Whole is set, Objects are all that
// there are.
type Delta struct {
	Kind     string
	From     uint64
	Position uint64
	Changed  uint64
	Whole    bool
	Objects  []Object
	Removed  []string
}

// State returns how far the copy has come.
func (f *Follower) State(now time.Time) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{Position: f.view.Position, Changed: f.changed, Age: now.Sub(f.checked)}
}

// ObservePeer takes how far another instance has come. It reports whether that one
// knows of changes that this copy lacks.
func (f *Follower) ObservePeer(s State, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := now.Add(-s.Age)
	if s.Position > 0 {
		f.storeAnswered(at)
	}
	if s.Position < f.view.Position || s.Position == 0 {
		return false
	}
	if !f.have || s.Changed > f.view.Position {
		return true
	}
	f.view.Position = s.Position
	if at.After(f.checked) {
		f.checked = at
	}
	return false
}

// PollNow makes the follower ask the store soon.
func (f *Follower) PollNow() {
	f.mu.Lock()
	f.checked = time.Time{}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Delta returns what changed after a position; 0 asks for all.
func (f *Follower) Delta(from uint64) (Delta, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.have || from >= f.changed && from > 0 {
		return Delta{}, false
	}
	d := Delta{
		Kind: f.kind, From: from, Position: f.view.Position, Changed: f.changed,
		Whole: from == 0 || from < f.forgotten,
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

// ApplyDelta takes what another instance knows. It reports whether the copy changed.
func (f *Follower) ApplyDelta(d Delta) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if d.Position <= f.view.Position && f.have {
		return false
	}
	f.view.FromPeer = true
	if d.Whole {
		return f.replace(d.Objects, d.Position, d.Changed)
	}
	if !f.have || d.From > f.view.Position {
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
	f.publish(next, removed, d.Position, d.Changed)
	return true
}

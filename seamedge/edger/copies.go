package edger

import (
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seamedge/heartbeater"
)

// maxReportedAge limits the time since the last poll of the store that a heartbeat
// reports. A longer time is reported as maxReportedAge.
const maxReportedAge = time.Hour

// handleCopyStates processes the positions of the sender's copies in a heartbeat that was
// received now, by e.clock. For each
// kind of object, it queues a fetch if the sender has changes that this instance lacks.
func (e *Edge) handleCopyStates(hb conductor.Heartbeat, now time.Time) {
	for _, s := range hb.CopyStates {
		f, ok := e.followers[s.Kind]
		if !ok {
			continue
		}
		state := follower.State{Position: s.Position, Changed: s.Changed, Age: time.Duration(s.AgeMs)*time.Millisecond + hb.Delay}
		if !hb.DelayKnown {
			// The heartbeat may have waited for this instance for any time.
			state.Age = maxReportedAge
		}
		if f.ObservePeer(state, now) {
			e.fetchQueue.put(pendingFetch{kind: s.Kind, peer: hb.PeerAddress, changePosition: s.Changed, sameRegion: hb.Region == e.region()})
		}
	}
}

// deltasFor returns the response to another instance's call: for each kind in r, the
// changes after the position in r, in patches where the caller accepts them.
func (e *Edge) deltasFor(r heartbeater.CopyRequest) heartbeater.CopyResponse {
	var answer heartbeater.CopyResponse
	for kind, position := range r.Positions {
		f, ok := e.followers[kind]
		if !ok {
			continue
		}
		if d, ok := f.DeltaWithPatches(position, r.Versions[kind]); ok {
			answer.Deltas = append(answer.Deltas, d)
		}
	}
	return answer
}

// copyStates returns the positions of this instance's copies of store objects, to be sent
// in a heartbeat. now is a time of e.clock.
func (e *Edge) copyStates(now time.Time) []conductor.CopyState {
	var list []conductor.CopyState
	for kind, f := range e.followers {
		s := f.State(now)
		if s.Position == 0 {
			continue
		}
		// Rounded up: a poll must not become more recent by being passed on.
		age := min(s.Age, maxReportedAge).Milliseconds() + 1
		list = append(list, conductor.CopyState{Kind: kind, Position: s.Position, Changed: s.Changed, AgeMs: uint32(age)})
	}
	return list
}

// announceView announces the positions of the copies to all regions without delay if the
// view came from the store. A view that came from another instance needs no announcement
// here: the instance that read it from the store has announced it.
func (e *Edge) announceView(v follower.View) {
	if !v.FromPeer {
		e.announce(e.announceAll)
	}
}

// announce makes runHeartbeats send the positions of the copies at once. to is the channel
// announceAll or announceSameRegion. announce doesn't block.
func (e *Edge) announce(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// sendCopyStates sends an audience a heartbeat that carries only the positions of this
// instance's copies and a part of its identity.
func (e *Edge) sendCopyStates(to conductor.Audience) {
	hb := conductor.Heartbeat{
		ID: e.settings.Instance.ID, StartedAtMs: e.startedAtMs, Region: e.region(), PeerAddress: e.settings.Listen.Peers,
		CopyStatesOnly: true, MadeAt: e.clock.Elapsed(), CopyStates: e.copyStates(e.clock.Now()),
	}
	e.sendToAudience(hb, to)
}

// storeUnreachable reports whether the last call of any follower to the store failed, or the last one
// that shows other instances that this one is running.
func (e *Edge) storeUnreachable() bool {
	if e.registrationFailed.Load() {
		return true
	}
	for _, f := range e.followers {
		if !f.StoreReachable() {
			return true
		}
	}
	return false
}

// storeAge returns the time since the store last answered this instance, or another one that has
// reported it.
func (e *Edge) storeAge() time.Duration {
	now := e.clock.Now()
	age := maxReportedAge
	for _, f := range e.followers {
		age = min(age, f.State(now).Age)
	}
	return age
}

package edger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/seamedge/heartbeater"
)

const (
	// In each region, a few instances fetch changes from other regions as soon as a
	// heartbeat reports them. The other instances of the region first wait for
	// otherRegionFetchDelay, so that they can fetch the change within the region. The
	// change then crosses between regions only once or twice. The delay covers two
	// round trips of 110 ms and a call on a slow machine.
	otherRegionFetchDelay = 350 * time.Millisecond
	// newEraSpread is the time over which the instances fetch whole copies from each other
	// after the store has come back from an older copy.
	newEraSpread = 1200 * time.Millisecond
	// sameRegionFetchTimeout and otherRegionFetchTimeout limit the duration of a call
	// that fetches changes from another instance. They are short because the store is
	// polled only after the call has failed, and an instance that has stopped must not
	// delay this poll for long.
	sameRegionFetchTimeout  = 500 * time.Millisecond
	otherRegionFetchTimeout = 800 * time.Millisecond
	// maxReportedAge limits the time since the last poll of the store that a heartbeat
	// reports. A longer time is reported as maxReportedAge.
	maxReportedAge = time.Hour
)

// pendingFetch is a fetch of changes of one kind of object from another instance, peer,
// that has changes which this instance lacks.
type pendingFetch struct {
	kind string
	peer string
	// changePosition is the position of the last change in the peer's copy.
	changePosition uint64
	// sameRegion means that the peer is in this instance's region.
	sameRegion bool
}

// audience returns the audience of heartbeats to which the peer belongs.
func (f pendingFetch) audience() conductor.Audience {
	if f.sameRegion {
		return conductor.SameRegion
	}
	return conductor.OtherRegions
}

// preferredTo reports whether the fetch is better than another one of the same kind.
func (f pendingFetch) preferredTo(other pendingFetch) bool {
	switch {
	case f.changePosition != other.changePosition:
		return f.changePosition > other.changePosition
	case f.sameRegion != other.sameRegion:
		return f.sameRegion
	}
	return rand.IntN(2) == 0
}

// fetchQueue holds at most one queued fetch for each kind, the one for the newest change
// that was reported. Each kind has its own worker and a channel that wakes this worker, so
// that a slow fetch of one kind doesn't delay other kinds. A fetchQueue is safe for
// concurrent use.
type fetchQueue struct {
	mu           sync.Mutex
	newestByKind map[string]pendingFetch
	wake         map[string]chan struct{}
}

func newFetchQueue(kinds ...string) *fetchQueue {
	q := &fetchQueue{newestByKind: map[string]pendingFetch{}, wake: map[string]chan struct{}{}}
	for _, kind := range kinds {
		q.wake[kind] = make(chan struct{}, 1)
	}
	return q
}

// put queues a fetch and wakes the kind's worker. If a fetch of the kind is already queued,
// only one of the two is kept: the one with the newer change or, if both have the same
// change, the one from this region. If that is no difference either, chance decides, so
// that not all instances fetch from the one that reported the change first.
func (q *fetchQueue) put(next pendingFetch) {
	q.mu.Lock()
	old, ok := q.newestByKind[next.kind]
	if !ok || next.preferredTo(old) {
		q.newestByKind[next.kind] = next
	}
	q.mu.Unlock()
	select {
	case q.wake[next.kind] <- struct{}{}:
	default:
	}
}

// take removes and returns the queued fetch of a kind. It returns false if there is none.
func (q *fetchQueue) take(kind string) (pendingFetch, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next, ok := q.newestByKind[kind]
	delete(q.newestByKind, kind)
	return next, ok
}

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

// runFetches is the worker of a kind: until ctx ends, it executes the queued fetches of
// the kind. If a fetch fails, the follower polls the store instead.
func (e *Edge) runFetches(ctx context.Context, kind string) {
	f := e.followers[kind]
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.fetchQueue.wake[kind]:
		}
		pending, ok := e.fetchQueue.take(kind)
		if !ok || e.upToDate(pending) {
			continue
		}
		if delay := e.fetchDelay(pending); delay > 0 {
			waiter.Pause(ctx, delay)
			if newer, ok := e.fetchQueue.take(kind); ok {
				pending = newer
			}
			if e.upToDate(pending) {
				continue
			}
		}
		if !e.fetchChanges(ctx, pending) && ctx.Err() == nil {
			f.PollNow()
		}
	}
}

// fetchDelay returns how long to wait before a fetch.
func (e *Edge) fetchDelay(pending pendingFetch) time.Duration {
	v, ok := e.followers[pending.kind].View()
	switch {
	case ok && follower.EraOf(pending.changePosition) > follower.EraOf(v.Position):
		return rand.N(newEraSpread)
	case !pending.sameRegion && !e.fetchesFromOtherRegions():
		return otherRegionFetchDelay
	}
	return 0
}

// upToDate reports whether this instance's copy already includes the change of a fetch.
func (e *Edge) upToDate(pending pendingFetch) bool {
	v, ok := e.followers[pending.kind].View()
	return ok && v.Position >= pending.changePosition
}

// fetchesFromOtherRegions reports whether this instance is one of the few in its region
// that fetch changes from other regions without a delay.
func (e *Edge) fetchesFromOtherRegions() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.FetchesFromOtherRegions()
}

// fetchChanges fetches the changes after the position of this instance's copy from another
// instance and applies them. If the response may lack removals, or has patches of other versions, it
// fetches the whole copy instead. It reports whether the calls succeeded.
func (e *Edge) fetchChanges(ctx context.Context, pending pendingFetch) bool {
	f := e.followers[pending.kind]
	v, _ := f.View()
	request := heartbeater.CopyRequest{Positions: map[string]uint64{pending.kind: v.Position}}
	if versions := f.Versions(); len(versions) > 0 {
		request.Versions = map[string]map[string]uint64{pending.kind: versions}
	}
	deltas, err := e.fetchDeltas(ctx, pending, request)
	var refused *refusedDeltaError
	if errors.As(err, &refused) {
		e.log.Warn("copy: changes refused; fetching the whole copy", zap.String("peer", pending.peer), zap.String("kind", pending.kind), zap.Error(err))
		deltas, err = e.fetchDeltas(ctx, pending, heartbeater.CopyRequest{Positions: map[string]uint64{pending.kind: 0}})
	}
	if err != nil {
		e.log.Info("copy: fetch from another instance failed", zap.String("peer", pending.peer), zap.String("kind", pending.kind), zap.Error(err))
		return false
	}
	for _, d := range deltas {
		if e.followers[d.Kind].ApplyDelta(d) {
			e.log.Info("copy: changes applied", zap.String("peer", pending.peer), zap.String("kind", d.Kind), zap.String("position", follower.FormatPosition(d.Position)),
				zap.Bool("whole", d.Whole))
			e.metrics.copies[pending.audience()].Inc()
			if !pending.sameRegion {
				e.announce(e.announceSameRegion)
			}
		}
	}
	return true
}

// refusedDeltaError means that changes from another instance can't be applied to this instance's copy.
type refusedDeltaError struct{ reason error }

// Error implements error.
func (e *refusedDeltaError) Error() string { return "delta refused: " + e.reason.Error() }

// Unwrap returns the reason.
func (e *refusedDeltaError) Unwrap() error { return e.reason }

// errRemovalsMissing means that a delta may lack removals.
var errRemovalsMissing = errors.New("removals may be missing")

// fetchDeltas fetches changes from another instance and returns them with their patches resolved. The error
// is a *refusedDeltaError if they can't be applied to this instance's copy.
func (e *Edge) fetchDeltas(ctx context.Context, pending pendingFetch, request heartbeater.CopyRequest) ([]follower.Delta, error) {
	timeout := otherRegionFetchTimeout
	if pending.sameRegion {
		timeout = sameRegionFetchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := heartbeater.FetchCopies(ctx, e.copyClient, pending.peer, request)
	if err != nil {
		return nil, err
	}
	var deltas []follower.Delta
	for _, d := range answer.Deltas {
		f, ok := e.followers[d.Kind]
		if !ok {
			continue
		}
		if !d.HasAllRemovals() {
			return nil, &refusedDeltaError{errRemovalsMissing}
		}
		resolved, err := f.ResolvePatches(d)
		if err != nil {
			return nil, &refusedDeltaError{err}
		}
		e.metrics.patches.Add(len(d.Patches))
		deltas = append(deltas, resolved)
	}
	return deltas, nil
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

// storeUnreachable reports whether the last call of any follower to the store failed.
func (e *Edge) storeUnreachable() bool {
	for _, f := range e.followers {
		if !f.StoreReachable() {
			return true
		}
	}
	return false
}

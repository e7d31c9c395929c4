package edger

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/follower"
	"primroseseam.org/seam/waiter"
	"primroseseam.org/seamedge/heartbeater"
)

const (
	// otherRegionFetchDelay is how long an instance that doesn't fetch from other regions
	// waits for one that does to get a change from there, so that the bytes cross between
	// regions only once or twice. It covers two round trips of 110 ms and a call on a
	// slow machine.
	otherRegionFetchDelay = 350 * time.Millisecond
	// sameRegionFetchTimeout and otherRegionFetchTimeout bound a call for a copy. They are
	// short because after a failure the store is polled instead, and an instance that has
	// stopped must not delay that.
	sameRegionFetchTimeout  = 500 * time.Millisecond
	otherRegionFetchTimeout = 800 * time.Millisecond
	// maxReportedAge caps the age of the last check of the store that heartbeats
	// report.
	maxReportedAge = time.Hour
)

// pendingFetch is a kind of object of which another instance has newer changes.
type pendingFetch struct {
	kind string
	peer string
	// changePosition is the position of the last change in the other instance's copy.
	changePosition uint64
	// sameRegion means that the other instance is in this region.
	sameRegion bool
}

// audience returns the audience to which the other instance belongs.
func (f pendingFetch) audience() conductor.Audience {
	if f.sameRegion {
		return conductor.SameRegion
	}
	return conductor.OtherRegions
}

// fetchQueue holds, for each kind, the fetch of the newest change that is known but
// not fetched yet. Each kind has a wake-up channel of its own, so that kinds don't
// delay each other. It is safe for concurrent use.
type fetchQueue struct {
	mu     sync.Mutex
	newest map[string]pendingFetch
	wake   map[string]chan struct{}
}

func newFetchQueue(kinds ...string) *fetchQueue {
	q := &fetchQueue{newest: map[string]pendingFetch{}, wake: map[string]chan struct{}{}}
	for _, kind := range kinds {
		q.wake[kind] = make(chan struct{}, 1)
	}
	return q
}

// put queues a fetch and wakes the kind's worker. It replaces a queued fetch of an
// older change, or of the same change from another region.
func (q *fetchQueue) put(next pendingFetch) {
	q.mu.Lock()
	old, ok := q.newest[next.kind]
	if !ok || next.changePosition > old.changePosition || next.changePosition == old.changePosition && next.sameRegion && !old.sameRegion {
		q.newest[next.kind] = next
	}
	q.mu.Unlock()
	select {
	case q.wake[next.kind] <- struct{}{}:
	default:
	}
}

// take removes and returns the queued fetch of a kind.
func (q *fetchQueue) take(kind string) (pendingFetch, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next, ok := q.newest[kind]
	delete(q.newest, kind)
	return next, ok
}

// handleCopyStates processes the positions of another instance's copies. It queues a
// fetch for each kind of which this instance lacks changes.
func (e *Edge) handleCopyStates(hb conductor.Heartbeat, now time.Time) {
	for _, s := range hb.CopyStates {
		f, ok := e.followers[s.Kind]
		if !ok {
			continue
		}
		state := follower.State{Position: s.Position, Changed: s.Changed, Age: time.Duration(s.AgeMs) * time.Millisecond}
		if f.ObservePeer(state, now) {
			e.fetchQueue.put(pendingFetch{kind: s.Kind, peer: hb.PeerAddress, changePosition: s.Changed, sameRegion: hb.Region == e.region()})
		}
	}
}

// runFetches fetches the missing changes of a kind from other instances until ctx
// ends. If a fetch fails, the follower polls the store instead.
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
		if !pending.sameRegion && !e.fetchesFromOtherRegions() {
			waiter.Pause(ctx, otherRegionFetchDelay)
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

// upToDate reports whether this instance's copy already includes the change.
func (e *Edge) upToDate(pending pendingFetch) bool {
	v, ok := e.followers[pending.kind].View()
	return ok && v.Position >= pending.changePosition
}

// fetchesFromOtherRegions reports whether this instance is one of those that fetch changes from
// other regions on behalf of its own region.
func (e *Edge) fetchesFromOtherRegions() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.FetchesFromOtherRegions()
}

// fetchChanges requests the changes after the position of this instance's copy from another
// instance. It reports whether the call succeeded.
func (e *Edge) fetchChanges(ctx context.Context, pending pendingFetch) bool {
	timeout := otherRegionFetchTimeout
	if pending.sameRegion {
		timeout = sameRegionFetchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v, _ := e.followers[pending.kind].View()
	request := heartbeater.CopyRequest{Positions: map[string]uint64{pending.kind: v.Position}}
	answer, err := heartbeater.FetchCopies(ctx, e.copyClient, pending.peer, request)
	if err != nil {
		e.log.Info("copy: fetch from another instance failed", zap.String("peer", pending.peer), zap.String("kind", pending.kind), zap.Error(err))
		return false
	}
	for _, d := range answer.Deltas {
		if f, ok := e.followers[d.Kind]; ok && f.ApplyDelta(d) {
			e.log.Info("copy: changes applied", zap.String("peer", pending.peer), zap.String("kind", d.Kind), zap.Uint64("position", d.Position),
				zap.Bool("whole", d.Whole))
			e.metrics.copies[pending.audience()].Inc()
			if !pending.sameRegion {
				e.announce(e.announceSameRegion)
			}
		}
	}
	return true
}

// deltasFor answers another instance's call with the changes after its positions.
func (e *Edge) deltasFor(r heartbeater.CopyRequest) heartbeater.CopyResponse {
	var answer heartbeater.CopyResponse
	for kind, position := range r.Positions {
		f, ok := e.followers[kind]
		if !ok {
			continue
		}
		if d, ok := f.Delta(position); ok {
			answer.Deltas = append(answer.Deltas, d)
		}
	}
	return answer
}

// copyStates returns the positions of this instance's copies, for a heartbeat.
func (e *Edge) copyStates(now time.Time) []conductor.CopyState {
	var list []conductor.CopyState
	for kind, f := range e.followers {
		s := f.State(now)
		if s.Position == 0 {
			continue
		}
		age := min(s.Age, maxReportedAge).Milliseconds()
		list = append(list, conductor.CopyState{Kind: kind, Position: s.Position, Changed: s.Changed, AgeMs: uint32(age)})
	}
	return list
}

// announceView announces a view to all regions at once if it came from the store. A
// view from another instance has been announced by that one.
func (e *Edge) announceView(v follower.View) {
	if !v.FromPeer {
		e.announce(e.announceAll)
	}
}

// announce makes runHeartbeats send the positions of the copies at once. to is
// announceAll or announceSameRegion.
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
		CopyStatesOnly: true, CopyStates: e.copyStates(time.Now()),
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

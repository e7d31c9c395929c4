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
	// maxRefusals is how often in a row a fetch is refused by instances that send copies to
	// others before the store is polled instead. The pause after a refusal is at least
	// minRefusalPause and at most twice that.
	maxRefusals     = 8
	minRefusalPause = 70 * time.Millisecond
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

// runFetches is the worker of a kind: until ctx ends, it executes the queued fetches of
// the kind. If a fetch fails, the follower polls the store instead; if it is refused, the
// fetch is repeated later, from any instance that has the change.
func (e *Edge) runFetches(ctx context.Context, kind string) {
	f := e.followers[kind]
	refusals := 0
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
		switch err := e.fetchChanges(ctx, pending); {
		case ctx.Err() != nil:
			return
		case errors.Is(err, heartbeater.ErrBusy) && refusals < maxRefusals:
			refusals++
			// By then other instances have the change too.
			waiter.Pause(ctx, minRefusalPause+rand.N(minRefusalPause))
			e.fetchQueue.put(pending)
			continue
		case err != nil:
			f.PollNow()
		}
		refusals = 0
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
// fetches the whole copy instead. It returns the error of the last call.
func (e *Edge) fetchChanges(ctx context.Context, pending pendingFetch) error {
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
		return err
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
	return nil
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

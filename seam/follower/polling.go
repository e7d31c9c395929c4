package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// Run polls the store whenever a poll is due, and so keeps the copy up to date, until
// ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pollSucceeded := false
	failures := 0
	relists := 0
	slowStoreCallsLeft := 0
	for ctx.Err() == nil {
		f.releaseExpired(f.clock.Now())
		if wait := f.untilNextPoll(f.clock.Now()); wait > 0 {
			f.sleep(ctx, wait)
			continue
		}
		result, err := f.poll(ctx, pollSucceeded, slowStoreCallsLeft > 0)
		switch {
		case err == nil:
			pollSucceeded = true
			failures = 0
			slowStoreCallsLeft = max(slowStoreCallsLeft-1, 0)
			relists = result.relistsAfter(relists)
			if relists > 0 {
				f.sleep(ctx, retryDelay(relists))
			} else if result.changed {
				f.sleep(ctx, pauseAfterChange)
			}
		case ctx.Err() != nil:
			return
		default:
			pollSucceeded = pollSucceeded && !errors.Is(err, ErrHistoryGone)
			failures++
			slowStoreCallsLeft = slowStoreCalls
			f.recordFailure(err)
			f.sleep(ctx, retryDelay(failures))
		}
	}
}

// pollResult describes a successful poll. relisted means that the objects were listed
// because the store no longer had the changes after the copy's position.
type pollResult struct{ changed, relisted bool }

// relistsAfter returns the number of polls in a row that had to list the objects, given
// that number before this poll. The pause after such a poll grows with the number, so that
// a store that keeps no history isn't asked without a pause.
func (r pollResult) relistsAfter(before int) int {
	if !r.relisted {
		return 0
	}
	return before + 1
}

// untilNextPoll returns the time until this instance must poll the store. The result is
// 0 or negative if a poll is due. A poll is always due at rank 0, and as long as there
// is no copy.
func (f *Follower) untilNextPoll(now time.Time) time.Duration {
	pollRank := f.pollRank()
	f.mu.Lock()
	defer f.mu.Unlock()
	if pollRank == 0 || !f.hasCopy {
		return 0
	}
	return f.lastPoll.Add(pollAfter + pollRankStep*time.Duration(min(pollRank, maxPollRankSteps))).Sub(now)
}

// poll makes one watch call, for the changes after the copy's position. If no earlier
// poll of this instance succeeded and the copy's position is 0, it lists all objects
// instead. It also lists all objects if the store no longer has all changes after the
// copy's position.
//
// Only the instance of rank 0 lets the store wait for a change. Any other instance
// polls because the last known poll is too old, so it needs the response now. The watch
// call fails if it takes longer than this wait plus watchGrace, unless allowSlow is
// set.
func (f *Follower) poll(ctx context.Context, pollSucceeded, allowSlow bool) (pollResult, error) {
	from := f.State(f.clock.Now()).Position
	if !pollSucceeded && from == 0 {
		changed, err := f.listObjects(ctx)
		return pollResult{changed: changed}, err
	}
	wait := watchWait
	if f.pollRank() > 0 {
		wait = 0
	}
	limit := slowCallLimit
	if !allowSlow {
		limit = wait + watchGrace
		bounded, cancel := context.WithTimeout(ctx, wait+watchGrace)
		defer cancel()
		ctx = bounded
	}
	watch := f.beginCall(limit)
	changes, position, err := f.store.Watch(ctx, f.kind, from, wait)
	if errors.Is(err, ErrHistoryGone) {
		changed, err := f.listObjects(ctx)
		return pollResult{changed: changed, relisted: true}, err
	}
	if err != nil {
		return pollResult{}, err
	}
	return pollResult{changed: f.applyChanges(watch, changes, position)}, nil
}

// listObjects lists all objects in the store and replaces the copy by the list, unless
// the list is older than the copy. It reports whether the copy changed.
func (f *Follower) listObjects(ctx context.Context) (bool, error) {
	list := f.beginCall(slowCallLimit)
	objects, position, err := f.store.List(ctx, f.kind)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordResponse(list)
	if f.hasCopy && position < f.view.Position {
		return false, nil
	}
	f.view.FromPeer = false
	return f.replaceObjects(objects, position, position), nil
}

// slowCallLimit is the longest time that a call to the store takes if the store is slow and this
// instance runs all the while.
const slowCallLimit = 5 * time.Second

// call is a call to the store.
type call struct {
	// began is when the call was made, and steady is the same moment by the steady clock.
	began  time.Time
	steady time.Time
	// limit is the longest time that the call takes while this instance runs.
	limit time.Duration
}

// beginCall returns a call that is made now.
func (f *Follower) beginCall(limit time.Duration) call {
	return call{began: f.clock.Now(), steady: time.Now(), limit: limit}
}

// asOf returns the time up to which the response to a call, read now, is known to be current. If
// this instance stood still meanwhile, the response may have waited for it since the call.
func (c call) asOf(now time.Time) time.Time {
	took := now.Sub(c.began)
	suspended := took - time.Since(c.steady)
	if took > c.limit || suspended > maxUnnoticedSuspend {
		return c.began
	}
	return now
}

// maxUnnoticedSuspend is the longest suspend in a call that leaves its response as recent as it
// was. It allows for the two clocks not being read at the same moment.
const maxUnnoticedSuspend = 50 * time.Millisecond

// retryDelay returns the pause after the given number of failures in a row. It grows
// exponentially from retryMin to retryMax; random jitter shortens it by up to half.
func retryDelay(failures int) time.Duration {
	d := retryMin << min(failures-1, 3)
	d = min(d, retryMax)
	return d/2 + rand.N(d/2)
}

// sleep returns after d, or earlier if ctx ends or PollNow is called.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

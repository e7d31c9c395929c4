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
	// farPatience is how long an instance waits for one of its region to fetch
	// news from another region, so that the bytes cross only once or twice. It
	// covers two ways there and back of 110 ms and a call on a slow machine.
	farPatience = 350 * time.Millisecond
	// nearFetch and farFetch bound a call for a copy. An instance that is gone
	// must not hold up what the store could say.
	nearFetch = 500 * time.Millisecond
	farFetch  = 800 * time.Millisecond
	// tooOld bounds the age of a check that is told to others.
	tooOld = time.Hour
)

// want is a kind of which another instance knows more.
type want struct {
	kind string
	peer string
	// changed is the position of the last change that the other one knows.
	changed uint64
	// near means that the other one is in this region.
	near bool
}

// from returns whether the other instance is near or far.
func (w want) from() conductor.Audience {
	if w.near {
		return conductor.SameRegion
	}
	return conductor.OtherRegions
}

// wishes holds, for each kind, the newest change that is not fetched yet. Kinds
// don't hold up each other. It is safe for concurrent use.
type wishes struct {
	mu     sync.Mutex
	newest map[string]want
	wake   map[string]chan struct{}
}

func newWishes(kinds ...string) *wishes {
	w := &wishes{newest: map[string]want{}, wake: map[string]chan struct{}{}}
	for _, kind := range kinds {
		w.wake[kind] = make(chan struct{}, 1)
	}
	return w
}

// put notes what another instance knows. It replaces what is older, or as old
// and farther away.
func (w *wishes) put(next want) {
	w.mu.Lock()
	old, ok := w.newest[next.kind]
	if !ok || next.changed > old.changed || next.changed == old.changed && next.near && !old.near {
		w.newest[next.kind] = next
	}
	w.mu.Unlock()
	select {
	case w.wake[next.kind] <- struct{}{}:
	default:
	}
}

// take removes and returns the newest wish of a kind.
func (w *wishes) take(kind string) (want, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next, ok := w.newest[kind]
	delete(w.newest, kind)
	return next, ok
}

// hearStates takes how far another instance's followers have come, and notes
// what is missing here.
func (e *Edge) hearStates(b conductor.Heartbeat, now time.Time) {
	for _, s := range b.States {
		f, ok := e.followers[s.Kind]
		if !ok {
			continue
		}
		state := follower.State{Position: s.Position, Changed: s.Changed, Age: time.Duration(s.AgeMs) * time.Millisecond}
		if f.ObservePeer(state, now) {
			e.wishes.put(want{kind: s.Kind, peer: b.PeerAddress, changed: s.Changed, near: b.Region == e.region()})
		}
	}
}

// fetchNews gets what is missing of a kind until ctx ends. What other instances
// don't give, the store is asked for.
func (e *Edge) fetchNews(ctx context.Context, kind string) {
	f := e.followers[kind]
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wishes.wake[kind]:
		}
		w, ok := e.wishes.take(kind)
		if !ok || e.knows(w) {
			continue
		}
		if !w.near && !e.fetchesFar() {
			waiter.Pause(ctx, farPatience)
			if newer, ok := e.wishes.take(kind); ok {
				w = newer
			}
			if e.knows(w) {
				continue
			}
		}
		if !e.fetch(ctx, w) && ctx.Err() == nil {
			f.PollNow()
		}
	}
}

// knows reports whether this instance has caught up with a wish.
func (e *Edge) knows(w want) bool {
	v, have := e.followers[w.kind].View()
	return have && v.Position >= w.changed
}

// fetchesFar reports whether this instance gets news from other regions for its
// own.
func (e *Edge) fetchesFar() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.FetchesFromOtherRegions()
}

// fetch asks another instance for what changed since this one's copy.
func (e *Edge) fetch(ctx context.Context, w want) bool {
	patience := farFetch
	if w.near {
		patience = nearFetch
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	v, _ := e.followers[w.kind].View()
	request := heartbeater.CopyRequest{Positions: map[string]uint64{w.kind: v.Position}}
	answer, err := heartbeater.FetchCopies(ctx, e.copies, w.peer, request)
	if err != nil {
		e.log.Info("copy: another instance gave none", zap.String("peer", w.peer), zap.String("kind", w.kind), zap.Error(err))
		return false
	}
	for _, d := range answer.Deltas {
		if f, ok := e.followers[d.Kind]; ok && f.ApplyDelta(d) {
			e.log.Info("copy: taken", zap.String("peer", w.peer), zap.String("kind", d.Kind), zap.Uint64("position", d.Position),
				zap.Bool("whole", d.Whole))
			e.metrics.copies[w.from()].Inc()
			if !w.near {
				e.tellNews(e.newsNear)
			}
		}
	}
	return true
}

// copiesFor answers another instance with what is newer than it knows.
func (e *Edge) copiesFor(r heartbeater.CopyRequest) heartbeater.CopyResponse {
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

// states returns how far the followers have come, for a heartbeat.
func (e *Edge) states(now time.Time) []conductor.KindState {
	var list []conductor.KindState
	for kind, f := range e.followers {
		s := f.State(now)
		if s.Position == 0 {
			continue
		}
		age := min(s.Age, tooOld).Milliseconds()
		list = append(list, conductor.KindState{Kind: kind, Position: s.Position, Changed: s.Changed, AgeMs: uint32(age)})
	}
	return list
}

// tellAll makes news of a view leave at once for all regions, if the store gave
// it. What came from another instance, that one has told.
func (e *Edge) tellAll(v follower.View) {
	if !v.FromPeer {
		e.tellNews(e.newsAll)
	}
}

// tellNews makes news leave at once.
func (e *Edge) tellNews(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// sendNews tells an audience how far this instance's copies have come.
func (e *Edge) sendNews(to conductor.Audience) {
	b := conductor.Heartbeat{
		ID: e.settings.Instance.ID, Started: e.started, Region: e.region(), PeerAddress: e.settings.Listen.Peers,
		StatesOnly: true, States: e.states(time.Now()),
	}
	e.sendTo(b, to)
}

// blind reports whether the store doesn't answer this instance.
func (e *Edge) blind() bool {
	for _, f := range e.followers {
		if !f.Reachable() {
			return true
		}
	}
	return false
}

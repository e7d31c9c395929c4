package placer

import "time"

// withdrawal is what an endpoint asked of its callers in its answers. It holds for one
// lifetime of the endpoint.
type withdrawal struct {
	// leaving means that the endpoint announced its own end: it gets no further requests.
	leaving bool
	// pausedUntil is the end of the time for which the endpoint refused requests of this
	// instance.
	pausedUntil time.Time
}

// active reports whether the endpoint still gets no requests.
func (w withdrawal) active(now time.Time) bool { return w.leaving || now.Before(w.pausedUntil) }

// unlistedWithdrawal is the withdrawal and the rate limit of an endpoint that is no longer
// listed, with the lifetime for which they hold. The entry may be listed again, since the
// store can lose entries that are still in use.
type unlistedWithdrawal struct {
	withdrawal
	limit       rateLimit
	startedAtMs int64
	unlistedAt  time.Time
}

// unlistedMemory is how long the withdrawal of an endpoint that isn't listed is kept. It is
// longer than any endpoint serves on after it has announced its end.
const unlistedMemory = 10 * time.Minute

// MaxPause is the longest pause that is granted to an endpoint.
const MaxPause = 5 * time.Minute

// RecordLeaving records that an endpoint announced its end in an answer. The endpoint gets
// no further requests in this lifetime.
func (b *Balancer) RecordLeaving(id string) {
	if e, ok := b.byID[id]; ok {
		e.withdrawal.leaving = true
		e.announceLeaving = true
	}
}

// RecordPause records that an endpoint turned a request away and asked this instance for a
// pause. A shorter pause doesn't end a longer one.
func (b *Balancer) RecordPause(now time.Time, id string, pause time.Duration) {
	if e, ok := b.byID[id]; ok && pause > 0 {
		e.withdrawal.pausedUntil = later(e.withdrawal.pausedUntil, now.Add(min(pause, MaxPause)))
	}
}

// TimeUntilReady returns the time until the first endpoint may receive the request, of those
// that paused or to which this instance may send a limited rate of requests. It returns
// false if there is no such endpoint.
func (b *Balancer) TimeUntilReady(now time.Time, r Request) (time.Duration, bool) {
	shortest, found := MaxPause, false
	for _, e := range b.service(r.Service).endpoints {
		// A copy, since looking ahead fills the bucket.
		ahead := *e
		at := later(now, ahead.withdrawal.pausedUntil)
		if !b.mayReceive(at, &r, &ahead) {
			at = at.Add(ahead.sendBudget.Wait(at) + time.Millisecond)
			if !b.mayReceive(at, &r, &ahead) {
				continue
			}
		}
		if wait := at.Sub(now); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

// unlist keeps the withdrawal and the limit of an endpoint that is no longer listed.
func (b *Balancer) unlist(now time.Time, e *endpoint) {
	if e.withdrawal.active(now) || e.limit.named {
		b.unlisted[e.spec.ID] = unlistedWithdrawal{withdrawal: e.withdrawal, limit: e.limit, startedAtMs: e.spec.StartedAtMs, unlistedAt: now}
	}
}

// relist restores the withdrawal and the limit of an endpoint that is listed again, if the
// endpoint hasn't started again meanwhile.
func (b *Balancer) relist(e *endpoint) {
	if w, ok := b.unlisted[e.spec.ID]; ok && w.startedAtMs == e.spec.StartedAtMs {
		e.withdrawal, e.limit = w.withdrawal, w.limit
	}
	delete(b.unlisted, e.spec.ID)
}

// pruneUnlisted deletes the withdrawals of endpoints that haven't been listed for
// unlistedMemory.
func (b *Balancer) pruneUnlisted(now time.Time) {
	for id, w := range b.unlisted {
		if now.Sub(w.unlistedAt) > unlistedMemory {
			delete(b.unlisted, id)
		}
	}
}

// Departure reports to other instances that an endpoint announced its end. Endpoint is the
// hash of the endpoint's ID. StartedAtMs holds the lower bits of its start time, in Unix
// milliseconds, and distinguishes its lifetimes.
type Departure struct {
	Endpoint    uint32
	StartedAtMs uint32
}

// Departures returns the listed endpoints that announced their end to this instance.
func (b *Balancer) Departures() []Departure {
	var list []Departure
	for _, e := range b.byID {
		if e.announceLeaving {
			list = append(list, Departure{Endpoint: e.hash, StartedAtMs: uint32(e.spec.StartedAtMs)})
		}
	}
	return list
}

// ApplyDepartures applies another instance's reports.
func (b *Balancer) ApplyDepartures(departures []Departure) {
	for _, d := range departures {
		if e, ok := b.byHash[d.Endpoint]; ok && uint32(e.spec.StartedAtMs) == d.StartedAtMs {
			e.withdrawal.leaving = true
		}
	}
}

// Package quarantiner finds requests that crash the endpoints that run them, so that they
// are not sent on. It is used by the edge daemon, seamedge, through package conductor.
//
// Requests that are alike have the same digest. The evidence against a digest are the ends
// of endpoints: an endpoint has ended while an attempt of such a request was in flight
// there. Other requests that were in flight there are innocent, so a digest is quarantined
// only if
//
//   - [endsToQuarantine] endpoints have ended under it;
//   - none of these ends is explained by another digest under which more endpoints have
//     ended;
//   - one of its attempts was sent after an earlier one had ended with its endpoint. Many
//     endpoints may end at the same moment for another reason;
//   - no instance has had an answer to such a request recently.
//
// Evidence fades, and an answer refutes it. Instances share evidence, answers and
// quarantines in their heartbeats. The package reads no clock and does no I/O.
//
// # Usage
//
//	q := quarantiner.New()
//	q.RecordEnd(now, quarantiner.End{Digest: digest, ...})
//	if v, ok := q.Lookup(now, digest); ok { ... refuse until v.Until }
package quarantiner

import (
	"time"
)

const (
	// endsToQuarantine is how many endpoints must end under a digest to quarantine it.
	endsToQuarantine = 3
	// minResend is how long after the first end an attempt must have been sent to count as
	// sent after it. It covers the error of ages in reports of other instances.
	minResend = 50 * time.Millisecond
	// evidenceTTL is how long an end counts.
	evidenceTTL = time.Minute
	// quarantinePeriod is how long a digest stays in quarantine after it last came, and
	// maxQuarantine how long at the most.
	quarantinePeriod = 10 * time.Minute
	maxQuarantine    = time.Hour
	// answeredPeriod is how long an answer refutes evidence at least, if there are fewer than
	// maxAnswered other answers meanwhile. Twice these figures at the most are kept.
	answeredPeriod = 30 * time.Second
	maxAnswered    = 8192
	// maxSuspects is the largest number of digests of which ends are kept, maxEnds the largest
	// number of ends of each, and maxQuarantined the largest number of quarantined digests.
	maxSuspects    = 1024
	maxEnds        = 8
	maxQuarantined = 256
	// maxChanges is the most changes collected between two calls of TakeChanges.
	maxChanges = 64
)

// End is the end of an endpoint while an attempt of a request was in flight there. Endpoint
// is the hash of the endpoint's ID.
type End struct {
	Digest   uint64
	Endpoint uint32
	SentAt   time.Time
	EndedAt  time.Time
}

// Verdict is the reason and the term of a quarantine.
type Verdict struct {
	// Ends is the number of endpoints that had ended under the digest, and LastEndAt when the
	// last one did.
	Ends      int
	LastEndAt time.Time
	Until     time.Time
	// ByPeer means that another instance reported the quarantine.
	ByPeer  bool
	longest time.Time
}

// prolong moves the end of the term to a later time, but not beyond the longest term.
func (v *Verdict) prolong(until time.Time) {
	if until.After(v.longest) {
		until = v.longest
	}
	if until.After(v.Until) {
		v.Until = until
	}
}

// Change is the begin or the end of a quarantine.
type Change struct {
	Digest uint64
	Verdict
	// Answered means that the quarantine has ended, because a request was answered.
	Answered bool
}

// suspect holds the ends under a digest, at most one of each endpoint.
type suspect struct {
	ends []End
}

// lastEndAt returns when the last end was.
func (s *suspect) lastEndAt() time.Time {
	var last time.Time
	for _, e := range s.ends {
		if e.EndedAt.After(last) {
			last = e.EndedAt
		}
	}
	return last
}

// wasSentAgain reports whether an attempt was sent after the first end.
func (s *suspect) wasSentAgain() bool {
	first, lastSent := s.ends[0].EndedAt, s.ends[0].SentAt
	for _, e := range s.ends {
		if e.EndedAt.Before(first) {
			first = e.EndedAt
		}
		if e.SentAt.After(lastSent) {
			lastSent = e.SentAt
		}
	}
	return lastSent.Sub(first) >= minResend
}

// Quarantiner holds the evidence and the quarantines. It is not safe for concurrent use.
type Quarantiner struct {
	suspects    map[uint64]*suspect
	quarantined map[uint64]Verdict
	// answered and answeredBefore hold the digests of recent answers. When answered is full
	// or answeredPeriod old, it replaces answeredBefore.
	answered, answeredBefore map[uint64]struct{}
	answeredSince            time.Time
	reports                  ownReports
	changes                  []Change
}

// New returns a quarantiner without evidence.
func New() *Quarantiner {
	return &Quarantiner{
		suspects: map[uint64]*suspect{}, quarantined: map[uint64]Verdict{},
		answered: map[uint64]struct{}{}, answeredBefore: map[uint64]struct{}{},
	}
}

// Lookup returns the verdict on a digest if it is in quarantine. The request for which it
// is called prolongs the quarantine.
func (q *Quarantiner) Lookup(now time.Time, digest uint64) (Verdict, bool) {
	v, ok := q.quarantined[digest]
	if !ok || !now.Before(v.Until) {
		return Verdict{}, false
	}
	v.prolong(now.Add(quarantinePeriod))
	q.quarantined[digest] = v
	return v, true
}

// wasAnswered reports whether a request with the digest was answered recently, as far as
// this instance knows.
func (q *Quarantiner) wasAnswered(digest uint64) bool {
	_, now := q.answered[digest]
	_, before := q.answeredBefore[digest]
	return now || before
}

// RecordAnswer records that an endpoint answered a request that it ran. If there is evidence
// against the digest, it is dropped, and the other instances are informed.
func (q *Quarantiner) RecordAnswer(now time.Time, digest uint64) {
	q.addAnswered(now, digest)
	if q.acquit(digest) {
		q.reports.addAnswer(now, digest)
	}
}

// addAnswered keeps a digest as recently answered.
func (q *Quarantiner) addAnswered(now time.Time, digest uint64) {
	if len(q.answered) >= maxAnswered || now.Sub(q.answeredSince) > answeredPeriod {
		q.answeredBefore, q.answered, q.answeredSince = q.answered, map[uint64]struct{}{}, now
	}
	q.answered[digest] = struct{}{}
}

// acquit drops the evidence against a digest. It reports whether there was any.
func (q *Quarantiner) acquit(digest uint64) bool {
	_, suspected := q.suspects[digest]
	v, quarantined := q.quarantined[digest]
	delete(q.suspects, digest)
	delete(q.quarantined, digest)
	if quarantined {
		q.collect(Change{Digest: digest, Verdict: v, Answered: true})
	}
	return suspected || quarantined
}

// RecordEnd records that an endpoint ended under an attempt of this instance.
func (q *Quarantiner) RecordEnd(now time.Time, e End) {
	if q.wasAnswered(e.Digest) {
		return
	}
	q.reports.addEnd(e)
	q.addEnd(now, e)
}

// addEnd adds an end to the evidence and judges the digest anew.
func (q *Quarantiner) addEnd(now time.Time, e End) {
	s, ok := q.suspects[e.Digest]
	if !ok {
		if len(q.suspects) >= maxSuspects {
			q.forgetOldest()
		}
		s = &suspect{}
		q.suspects[e.Digest] = s
	}
	s.ends = dropBefore(s.ends, now.Add(-evidenceTTL))
	for _, known := range s.ends {
		if known.Endpoint == e.Endpoint {
			return
		}
	}
	if len(s.ends) >= maxEnds || now.Sub(e.EndedAt) > evidenceTTL {
		return
	}
	s.ends = append(s.ends, e)
	if _, known := q.quarantined[e.Digest]; !known && q.isGuilty(e.Digest, s) {
		last := s.lastEndAt()
		q.quarantine(e.Digest, Verdict{Ends: len(s.ends), LastEndAt: last, Until: last.Add(quarantinePeriod), longest: last.Add(maxQuarantine)})
	}
}

// isGuilty reports whether the ends under a digest suffice for a quarantine.
func (q *Quarantiner) isGuilty(digest uint64, s *suspect) bool {
	if len(s.ends) < endsToQuarantine || !s.wasSentAgain() {
		return false
	}
	unexplained := 0
	for _, e := range s.ends {
		if !q.isExplained(digest, len(s.ends), e.Endpoint) {
			unexplained++
		}
	}
	return unexplained >= endsToQuarantine
}

// isExplained reports whether an endpoint ended under another digest too, under which more
// endpoints than the given number have ended.
func (q *Quarantiner) isExplained(digest uint64, ends int, endpoint uint32) bool {
	for other, s := range q.suspects {
		if other == digest || len(s.ends) <= ends {
			continue
		}
		for _, e := range s.ends {
			if e.Endpoint == endpoint {
				return true
			}
		}
	}
	return false
}

// quarantine puts a digest into quarantine. If there are too many, the one that ends first
// makes room.
func (q *Quarantiner) quarantine(digest uint64, v Verdict) {
	if len(q.quarantined) >= maxQuarantined {
		var first uint64
		for d, other := range q.quarantined {
			if known, ok := q.quarantined[first]; !ok || other.Until.Before(known.Until) {
				first = d
			}
		}
		delete(q.quarantined, first)
	}
	q.quarantined[digest] = v
	q.collect(Change{Digest: digest, Verdict: v})
}

// collect keeps a change for TakeChanges.
func (q *Quarantiner) collect(c Change) {
	if len(q.changes) < maxChanges {
		q.changes = append(q.changes, c)
	}
}

// TakeChanges returns the changes since the last call, at most maxChanges.
func (q *Quarantiner) TakeChanges() []Change {
	changes := q.changes
	q.changes = nil
	return changes
}

// Quarantined returns the number of digests in quarantine.
func (q *Quarantiner) Quarantined() int { return len(q.quarantined) }

// Prune drops evidence and quarantines whose time is over.
func (q *Quarantiner) Prune(now time.Time) {
	for digest, s := range q.suspects {
		if s.ends = dropBefore(s.ends, now.Add(-evidenceTTL)); len(s.ends) == 0 {
			delete(q.suspects, digest)
		}
	}
	for digest, v := range q.quarantined {
		if !now.Before(v.Until) {
			delete(q.quarantined, digest)
		}
	}
	q.reports.prune(now)
}

// forgetOldest drops the evidence against the digest whose last end is the oldest.
func (q *Quarantiner) forgetOldest() {
	var oldest uint64
	var at time.Time
	for digest, s := range q.suspects {
		if last := s.lastEndAt(); at.IsZero() || last.Before(at) {
			oldest, at = digest, last
		}
	}
	delete(q.suspects, oldest)
}

// dropBefore returns the ends at or after a time.
func dropBefore(ends []End, limit time.Time) []End {
	kept := ends[:0]
	for _, e := range ends {
		if !e.EndedAt.Before(limit) {
			kept = append(kept, e)
		}
	}
	return kept
}

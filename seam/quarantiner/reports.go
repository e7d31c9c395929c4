package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportPeriod is how long this instance reports an end or an answer of its own. It covers
	// the time in which heartbeats reach all instances.
	reportPeriod = 10 * time.Second
	// maxReported is the largest number of entries of each kind in a report. A report is a
	// part of a datagram.
	maxReported = 24
	// maxOwnReports is the largest number of ends and of answers that wait to be reported.
	maxOwnReports = 256
)

// Report is what an instance reports to the others. All ages are those at the time of the
// report.
type Report struct {
	Ends        []EndReport
	Answers     []AnswerReport
	Quarantines []QuarantineReport
}

// EndReport reports an [End] of the sender.
type EndReport struct {
	Digest   uint64
	Endpoint uint32
	SentAge  time.Duration
	EndedAge time.Duration
}

// AnswerReport reports that a request was answered although there was evidence against its
// digest.
type AnswerReport struct {
	Digest uint64
	Age    time.Duration
}

// QuarantineReport reports a digest in quarantine. Every instance passes it on, so that all
// know of it soon however large the fleet is. LastEndAge is the time since the last of the
// ends, and Left the time that is left of the quarantine.
type QuarantineReport struct {
	Digest     uint64
	Ends       uint8
	LastEndAge time.Duration
	Left       time.Duration
}

// ownReports holds the ends and answers of this instance that are still to be reported.
type ownReports struct {
	ends    []End
	answers []ownAnswer
}

type ownAnswer struct {
	digest uint64
	at     time.Time
}

func (r *ownReports) addEnd(e End) {
	r.ends = append(r.ends, e)
	r.ends = r.ends[max(len(r.ends)-maxOwnReports, 0):]
}

func (r *ownReports) addAnswer(now time.Time, digest uint64) {
	r.answers = append(r.answers, ownAnswer{digest, now})
	r.answers = r.answers[max(len(r.answers)-maxOwnReports, 0):]
}

// prune drops what has been reported for long enough.
func (r *ownReports) prune(now time.Time) {
	r.ends = dropBefore(r.ends, now.Add(-reportPeriod))
	r.answers = slices.DeleteFunc(r.answers, func(a ownAnswer) bool { return now.Sub(a.at) > reportPeriod })
}

// Report returns what this instance reports now. If there is too much, the digests with the
// most ends go first, and of equal ones the latest.
func (q *Quarantiner) Report(now time.Time) Report {
	q.reports.prune(now)
	var r Report
	ends := slices.Clone(q.reports.ends)
	slices.SortStableFunc(ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(q.endCount(b.Digest), q.endCount(a.Digest)), b.EndedAt.Compare(a.EndedAt))
	})
	for _, e := range ends[:min(len(ends), maxReported)] {
		r.Ends = append(r.Ends, EndReport{Digest: e.Digest, Endpoint: e.Endpoint, SentAge: now.Sub(e.SentAt), EndedAge: now.Sub(e.EndedAt)})
	}
	for _, a := range q.reports.answers[max(len(q.reports.answers)-maxReported, 0):] {
		r.Answers = append(r.Answers, AnswerReport{Digest: a.digest, Age: now.Sub(a.at)})
	}
	for digest, v := range q.quarantined {
		if now.Before(v.Until) {
			r.Quarantines = append(r.Quarantines, QuarantineReport{
				Digest: digest, Ends: uint8(min(v.Ends, 255)), LastEndAge: now.Sub(v.LastEndAt), Left: v.Until.Sub(now),
			})
		}
	}
	slices.SortFunc(r.Quarantines, func(a, b QuarantineReport) int {
		return cmp.Or(cmp.Compare(a.LastEndAge, b.LastEndAge), cmp.Compare(a.Digest, b.Digest))
	})
	r.Quarantines = r.Quarantines[:min(len(r.Quarantines), maxReported)]
	return r
}

// endCount returns the number of known ends under a digest.
func (q *Quarantiner) endCount(digest uint64) int {
	if s, ok := q.suspects[digest]; ok {
		return len(s.ends)
	}
	return 0
}

// Apply applies another instance's report. If this instance has had an answer to a request
// that the other one suspects, it reports that.
func (q *Quarantiner) Apply(now time.Time, r Report) {
	for _, a := range r.Answers {
		q.addAnswered(now, a.Digest)
		q.acquit(a.Digest)
	}
	for _, e := range r.Ends {
		if q.refute(now, e.Digest) {
			continue
		}
		q.addEnd(now, End{Digest: e.Digest, Endpoint: e.Endpoint, SentAt: now.Add(-e.SentAge), EndedAt: now.Add(-e.EndedAge)})
	}
	for _, c := range r.Quarantines {
		if c.Left > 0 && !q.refute(now, c.Digest) {
			q.applyQuarantine(now, c)
		}
	}
}

// applyQuarantine applies another instance's quarantine, or prolongs the one here.
func (q *Quarantiner) applyQuarantine(now time.Time, c QuarantineReport) {
	v, known := q.quarantined[c.Digest]
	if !known {
		last := now.Add(-c.LastEndAge)
		v = Verdict{Ends: int(c.Ends), LastEndAt: last, longest: last.Add(maxQuarantine), ByPeer: true}
	}
	v.prolong(now.Add(min(c.Left, quarantinePeriod)))
	switch {
	case known:
		q.quarantined[c.Digest] = v
	case now.Before(v.Until):
		q.quarantine(c.Digest, v)
	}
}

// refute reports whether requests with a digest were answered recently. If so, the other
// instances are informed.
func (q *Quarantiner) refute(now time.Time, digest uint64) bool {
	if !q.wasAnswered(digest) {
		return false
	}
	if !slices.ContainsFunc(q.reports.answers, func(a ownAnswer) bool { return a.digest == digest }) {
		q.reports.addAnswer(now, digest)
	}
	return true
}

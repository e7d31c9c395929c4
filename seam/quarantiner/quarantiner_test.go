package quarantiner_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/quarantiner"
)

var start = time.Unix(1000, 0)

// at returns the time n tenths of a second after the start.
func at(n int) time.Time { return start.Add(time.Duration(n) * 100 * time.Millisecond) }

// end is the end of an endpoint, ended tenths of a second after the start, under an attempt
// sent a tenth before.
func end(digest uint64, endpoint uint32, ended int) quarantiner.End {
	return quarantiner.End{Digest: digest, Endpoint: endpoint, SentAt: at(ended - 1), EndedAt: at(ended)}
}

func record(q *quarantiner.Quarantiner, ends ...quarantiner.End) {
	for _, e := range ends {
		q.RecordEnd(e.EndedAt, e)
	}
}

func isQuarantined(q *quarantiner.Quarantiner, now time.Time, digest uint64) bool {
	_, ok := q.Lookup(now, digest)
	return ok
}

func TestThreeEndsUnderOneDigestSuffice(t *testing.T) {
	q := quarantiner.New()
	record(q, end(1, 1, 10), end(1, 1, 11), end(1, 2, 15))
	if isQuarantined(q, at(16), 1) {
		t.Error("quarantined after the ends of two endpoints")
	}
	record(q, end(1, 3, 20))
	v, ok := q.Lookup(at(21), 1)
	if !ok || v.Ends != 3 || !v.LastEndAt.Equal(at(20)) || v.ByPeer {
		t.Errorf("verdict %+v, %t", v, ok)
	}
	if changes := q.TakeChanges(); len(changes) != 1 || changes[0].Digest != 1 || changes[0].Answered {
		t.Errorf("changes %+v", changes)
	}
}

func TestEndsAtTheSameMomentAreNoEvidenceAlone(t *testing.T) {
	q := quarantiner.New()
	record(q, end(1, 1, 10), end(1, 2, 10), end(1, 3, 10), end(1, 4, 10))
	if isQuarantined(q, at(11), 1) {
		t.Error("quarantined, though no attempt was sent after an endpoint had ended")
	}
}

// Requests that ran at the same endpoints as the one that crashed them are innocent.
func TestEndsExplainedByAnotherDigestDoNotCount(t *testing.T) {
	q := quarantiner.New()
	record(q, end(1, 1, 10), end(1, 2, 15), end(1, 3, 20), end(1, 4, 25))
	record(q, end(2, 2, 15), end(2, 3, 20), end(2, 4, 25))
	if isQuarantined(q, at(26), 2) || !isQuarantined(q, at(26), 1) {
		t.Error("want only the digest at all ends quarantined")
	}
	record(q, end(2, 5, 30), end(2, 6, 35), end(2, 7, 40))
	if !isQuarantined(q, at(41), 2) {
		t.Error("a second digest with ends of its own is not quarantined")
	}
}

func TestAnswersRefuteEvidence(t *testing.T) {
	q := quarantiner.New()
	q.RecordAnswer(at(5), 1)
	record(q, end(1, 1, 10), end(1, 2, 15), end(1, 3, 20))
	if isQuarantined(q, at(21), 1) {
		t.Error("quarantined, though it was answered before")
	}
	record(q, end(2, 1, 10), end(2, 2, 15), end(2, 3, 20))
	if !isQuarantined(q, at(21), 2) {
		t.Fatal("not quarantined")
	}
	q.RecordAnswer(at(22), 2)
	if isQuarantined(q, at(23), 2) {
		t.Error("quarantined, though it was answered")
	}
}

func TestEvidenceAndQuarantinesFade(t *testing.T) {
	q := quarantiner.New()
	record(q, end(1, 1, 10), end(1, 2, 15), end(1, 3, 700))
	if isQuarantined(q, at(701), 1) {
		t.Error("an end counts after a minute")
	}
	record(q, end(1, 4, 705), end(1, 5, 710))
	if !isQuarantined(q, at(711), 1) {
		t.Fatal("not quarantined")
	}
	if isQuarantined(q, at(711+6000), 1) {
		t.Error("quarantined ten minutes after it last came")
	}
	record(q, end(2, 1, 10), end(2, 2, 15), end(2, 3, 20))
	for n := range 80 {
		if got, want := isQuarantined(q, at(20+n*600), 2), n < 60; got != want {
			t.Fatalf("coming each minute, after %d minutes: quarantined %t", n, got)
		}
	}
}

// Each instance sees one end. All must know the verdict from each other's reports, and drop it
// when one of them has had an answer.
func TestInstancesShareEvidenceAndAnswers(t *testing.T) {
	var fleet []*quarantiner.Quarantiner
	for range 4 {
		fleet = append(fleet, quarantiner.New())
	}
	share := func(now time.Time) {
		for _, from := range fleet {
			for _, to := range fleet {
				if from != to {
					to.Apply(now, from.Report(now))
				}
			}
		}
	}
	for i := range 3 {
		record(fleet[i], end(1, uint32(i), 10+5*i))
	}
	share(at(21))
	for i, q := range fleet {
		if !isQuarantined(q, at(22), 1) {
			t.Errorf("instance %d doesn't know the quarantine", i)
		}
	}
	fleet[3].RecordAnswer(at(23), 1)
	share(at(24))
	share(at(25))
	for i, q := range fleet {
		if isQuarantined(q, at(26), 1) {
			t.Errorf("instance %d keeps the quarantine after an answer", i)
		}
	}
}

// An instance that saw none of the ends passes the quarantine on, also to one that starts
// later, and no instance prolongs it by that.
func TestQuarantinesArePassedOn(t *testing.T) {
	one, two, three := quarantiner.New(), quarantiner.New(), quarantiner.New()
	record(one, end(1, 1, 10), end(1, 2, 15), end(1, 3, 20))
	two.Apply(at(21), one.Report(at(21)))
	for n := 30; n < 6500; n += 10 {
		three.Apply(at(n), two.Report(at(n)))
		two.Apply(at(n), three.Report(at(n)))
		two.Prune(at(n))
		three.Prune(at(n))
		if n == 100 && !isQuarantined(three, at(n), 1) {
			t.Fatal("the quarantine was not passed on")
		}
	}
	if isQuarantined(two, at(6500), 1) || isQuarantined(three, at(6500), 1) {
		t.Error("the quarantine is kept up by the instances' reports")
	}
}

func TestMemoryAndReportsAreBounded(t *testing.T) {
	q := quarantiner.New()
	for n := range 5000 {
		digest := uint64(n + 1)
		record(q, end(digest, 1+uint32(3*n), 10), end(digest, 2+uint32(3*n), 15), end(digest, 3+uint32(3*n), 20))
	}
	if n := q.Quarantined(); n != 256 {
		t.Errorf("%d quarantines", n)
	}
	r := q.Report(at(21))
	if len(r.Ends) != 24 || len(r.Quarantines) != 24 {
		t.Errorf("a report of %d ends and %d quarantines", len(r.Ends), len(r.Quarantines))
	}
	for n := range 100000 {
		q.RecordAnswer(at(22), uint64(n+10000))
	}
	record(q, end(10000, 1, 30), end(10000, 2, 35), end(10000, 3, 40))
	if !isQuarantined(q, at(41), 10000) {
		t.Error("old answers are kept without bound")
	}
}

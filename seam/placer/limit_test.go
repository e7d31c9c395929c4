package placer_test

import (
	"fmt"
	"testing"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

func named(perSecond float64) router.RateLimit {
	return router.RateLimit{Statement: router.LimitNamed, PerSecond: perSecond}
}

// groupOf returns the balancers of instances that see only each other, with one endpoint
// that names a limit.
func groupOf(perSecond float64, disputed bool, ids ...string) []*placer.Balancer {
	var group []*placer.Balancer
	for _, id := range ids {
		b := newBalancerOf("one")
		ranking := placer.NewRanking(id, ids)
		b.SetStanding(func(_ string, endpoint uint32) placer.Standing {
			return placer.Standing{Rank: ranking.Rank(endpoint), Candidates: ranking.Candidates(), Disputed: disputed}
		})
		b.RecordLimit(start, "one", named(perSecond), true)
		group = append(group, b)
	}
	return group
}

// sendAll lets each balancer of each group send all that it may for a while, and returns the
// largest number of requests within 4 s. Each request is answered at once if answered is
// set, and otherwise never. The balancers of a group report to each other at once.
func sendAll(perSecond float64, answered bool, groups ...[]*placer.Balancer) int {
	const step, window, total = 20 * time.Millisecond, 4 * time.Second, 20 * time.Second
	sent := make([]int, total/step)
	for n := range sent {
		now := start.Add(time.Duration(n) * step)
		for _, group := range groups {
			for _, b := range group {
				sent[n] += sendWhilePicked(b, now, perSecond, answered)
				reportTo(group, b, now)
			}
		}
	}
	most, sum := 0, 0
	for n := range sent {
		sum += sent[n]
		if n >= int(window/step) {
			sum -= sent[n-int(window/step)]
		}
		most = max(most, sum)
	}
	return most
}

// sendWhilePicked sends the requests that a balancer may send at once.
func sendWhilePicked(b *placer.Balancer, now time.Time, perSecond float64, answered bool) int {
	for sent := 0; ; sent++ {
		c, ok := b.Pick(now, request(0))
		if !ok {
			return sent
		}
		b.RecordAttempt(now, c.ID, 0)
		if answered {
			b.RecordOutcome(now, c.ID, placer.Outcome{SentAt: now, Choice: c, Answered: true, SuccessStatus: true})
			b.RecordLimit(now, "one", named(perSecond), true)
		}
	}
}

// reportTo reports a balancer's loads and limits to the others of its group.
func reportTo(group []*placer.Balancer, b *placer.Balancer, now time.Time) {
	for _, other := range group {
		if other != b {
			other.SetPeerLoads(fmt.Sprintf("%p", b), b.Loads())
			other.ApplyLimits(now, b.LimitReports(now))
		}
	}
}

func TestSendersTogetherStayWithinTheLimit(t *testing.T) {
	var ids []string
	for n := range 12 {
		ids = append(ids, fmt.Sprint("e-", n))
	}
	for _, perSecond := range []float64{0, 0.1, 1, 2.7, 5.5, 10, 28.1, 200} {
		allowed := 1.5*perSecond*4 + 5
		for _, answered := range []bool{true, false} {
			if got := sendAll(perSecond, answered, groupOf(perSecond, false, ids...)); float64(got) > allowed {
				t.Errorf("limit %v: %d requests in 4 s, allowed %.0f", perSecond, got, allowed)
			}
			got := sendAll(perSecond, answered, groupOf(perSecond, true, ids[:5]...), groupOf(perSecond, true, ids[5:]...))
			if float64(got) > allowed {
				t.Errorf("limit %v: %d requests of two groups in 4 s, allowed %.0f", perSecond, got, allowed)
			}
		}
		if got := sendAll(perSecond, true, groupOf(perSecond, false, ids...)); float64(got) < 4*perSecond-1 {
			t.Errorf("limit %v: only %d requests in 4 s", perSecond, got)
		}
	}
}

// isLimited reports whether the endpoint "one" takes no second request within a moment after
// the first.
func isLimited(b *placer.Balancer, now time.Time) bool {
	for range 3 {
		c, ok := b.Pick(now, request(0))
		if !ok {
			return true
		}
		b.RecordAttempt(now, c.ID, 0)
	}
	return false
}

func TestLimitEndsOnlyWithASuccessThatNamesNone(t *testing.T) {
	b := newBalancerOf("one")
	b.RecordLimit(start, "one", named(0.5), false)
	b.RecordLimit(start, "one", router.RateLimit{Statement: router.InvalidLimit}, true)
	b.RecordLimit(start, "one", router.RateLimit{}, false)
	if !isLimited(b, start) {
		t.Error("the limit has ended without a success that names none")
	}
	b.RecordLimit(start, "one", router.RateLimit{}, true)
	if isLimited(b, start) {
		t.Error("the limit has not ended")
	}
	if changes := b.TakeLimitChanges(); len(changes) != 2 || !changes[0].Named || changes[1].Named {
		t.Errorf("changes %+v", changes)
	}
}

// The store may lose an entry and list it again. A start of the endpoint ends its limit.
func TestLimitHoldsForOneLifetime(t *testing.T) {
	b := newBalancerOf("one")
	b.RecordLimit(start, "one", named(0.5), true)
	report := b.LimitReports(start)
	b.SetEndpoints(start, nil, nil)
	b.SetEndpoints(start, endpointList(1, "one"), nil)
	if !isLimited(b, start.Add(time.Minute)) {
		t.Error("the limit is forgotten once the entry was missing")
	}
	b.SetEndpoints(start, endpointList(2, "one"), nil)
	b.ApplyLimits(start.Add(time.Second), report)
	if isLimited(b, start.Add(time.Minute)) {
		t.Error("the limit of the lifetime before applies")
	}
}

func TestReportsOfLimitsDoNotReplaceLaterAnswers(t *testing.T) {
	one, two := newBalancerOf("one"), newBalancerOf("one")
	one.RecordLimit(start, "one", named(0.5), true)
	two.ApplyLimits(start, one.LimitReports(start))
	if !isLimited(two, start) {
		t.Error("the report was not applied")
	}
	if len(two.LimitReports(start)) != 0 {
		t.Error("another instance's report is passed on")
	}
	two.RecordLimit(start.Add(time.Second), "one", router.RateLimit{}, true)
	two.ApplyLimits(start.Add(2*time.Second), one.LimitReports(start.Add(2*time.Second)))
	if isLimited(two, start.Add(2*time.Second)) {
		t.Error("an older report was applied")
	}
	one.ApplyLimits(start.Add(2*time.Second), two.LimitReports(start.Add(2*time.Second)))
	if isLimited(one, start.Add(2*time.Second)) {
		t.Error("the end of the limit was not applied")
	}
}

// If the senders have no callers, nobody learns that the limit has ended. The others then
// try the endpoint one after the other.
func TestEndpointWithIdleSendersIsTriedByOthersInTurn(t *testing.T) {
	b := newBalancerOf("one")
	rank := 3
	b.SetStanding(func(string, uint32) placer.Standing { return placer.Standing{Rank: rank, Candidates: 10} })
	b.RecordLimit(start, "one", named(2), true)
	for _, c := range []struct {
		after time.Duration
		rank  int
		want  bool
	}{
		{4500 * time.Millisecond, 2, false},
		{5500 * time.Millisecond, 2, true},
		{5500 * time.Millisecond, 4, false},
		{6500 * time.Millisecond, 4, true},
		{time.Hour, placer.NoRank, false},
	} {
		rank = c.rank
		if _, ok := b.Pick(start.Add(c.after), request(0)); ok != c.want {
			t.Errorf("rank %d after %v: %t, want %t", c.rank, c.after, ok, c.want)
		}
	}
	rank = 4
	b.RecordAttempt(start.Add(7*time.Second), "one", 0)
	if _, ok := b.Pick(start.Add(8*time.Second), request(0)); ok {
		t.Error("a second attempt at the same time")
	}
}

// Looking ahead for a caller's time to come back must not give requests in advance.
func TestTimeUntilReadyNamesTheNextRequestOfALimit(t *testing.T) {
	b := newBalancerOf("one")
	b.RecordLimit(start, "one", named(0.5), true)
	if !isLimited(b, start) {
		t.Fatal("no limit")
	}
	for range 3 {
		if wait, ok := b.TimeUntilReady(start, request(0)); !ok || wait < 1700*time.Millisecond || wait > 2000*time.Millisecond {
			t.Errorf("ready in %v, %t; want 1.8s: a burst of 2.1 is left with 0.1", wait, ok)
		}
	}
	if _, ok := b.Pick(start.Add(time.Second), request(0)); ok {
		t.Error("a request was given in advance")
	}
}

func TestReportsOfLimitsAreBounded(t *testing.T) {
	var ids []string
	for n := range 300 {
		ids = append(ids, fmt.Sprint("e-", n))
	}
	b := newBalancerOf(ids...)
	for n, id := range ids {
		b.RecordLimit(start.Add(time.Duration(n)*time.Millisecond), id, named(1), true)
	}
	reports := b.LimitReports(start.Add(time.Second))
	if len(reports) != 128 || reports[0].Age != 701*time.Millisecond {
		t.Errorf("%d reports, the first of an answer %v ago", len(reports), reports[0].Age)
	}
}

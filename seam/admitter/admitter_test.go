package admitter_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/admitter"
)

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		load    admitter.Load
		request admitter.Request
		refuse  bool
	}{
		"in time, though it waits": {
			admitter.Load{Expect: 450 * ms, Wait: 200 * ms, Room: 250 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerLeft: 3000 * ms},
			false,
		},
		"late, but at an idle slot": {
			admitter.Load{Expect: 700 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerLeft: 3000 * ms},
			false,
		},
		"late, and it would take a place in the queue": {
			admitter.Load{Expect: 700 * ms, Wait: 200 * ms, Room: 250 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerLeft: 3000 * ms},
			true,
		},
		"late, but its caller was refused before and the queue is short": {
			admitter.Load{Expect: 250 * ms, Wait: 50 * ms, Room: 300 * ms},
			admitter.Request{TargetLeft: -200 * ms, TimeLeft: 1200 * ms, CallerLeft: 2000 * ms, CameBack: true},
			false,
		},
		"late, its caller was refused before, but it would make others late": {
			admitter.Load{Expect: 450 * ms, Wait: 310 * ms, Room: 300 * ms},
			admitter.Request{TargetLeft: -200 * ms, TimeLeft: 1200 * ms, CallerLeft: 2000 * ms, CameBack: true},
			true,
		},
		"not before nobody waits any more": {
			admitter.Load{Expect: 1300 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerLeft: 3000 * ms},
			true,
		},
	} {
		d := admitter.Decide(c.load, c.request, &admitter.Credit{}, 0.5)
		if d.Refuse != c.refuse {
			t.Errorf("%s: refused %v", name, d.Refuse)
		}
		if d.Refuse && (d.RetryAfter <= 0 || d.RetryAfter > c.request.CallerLeft/3) {
			t.Errorf("%s: come back after %v of %v", name, d.RetryAfter, c.request.CallerLeft)
		}
	}
}

// Requests that find a free slot let some callers who came back wait longer. There
// are few of them, and none where all wait, so that the queue stays short enough.
func TestCallersWhoCameBackWaitOnCredit(t *testing.T) {
	inTime := admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerLeft: 3000 * ms}
	back := admitter.Request{TargetLeft: -200 * ms, TimeLeft: 1200 * ms, CallerLeft: 2000 * ms, CameBack: true}
	long := admitter.Load{Expect: 650 * ms, Wait: 500 * ms, Room: 200 * ms}
	tooLong := admitter.Load{Expect: 800 * ms, Wait: 650 * ms, Room: 200 * ms}
	var credit admitter.Credit
	served := 0
	for range 100 {
		admitter.Decide(admitter.Load{Expect: 300 * ms}, inTime, &credit, 0.5)
		if !admitter.Decide(tooLong, back, &credit, 0.5).Refuse {
			t.Fatal("a caller waits longer than three times the room")
		}
		if !admitter.Decide(long, back, &credit, 0.5).Refuse {
			served++
		}
	}
	if served < 25 || served > 30 {
		t.Errorf("%d callers who came back were served beside 100 that were in time", served)
	}
	for range 100 {
		admitter.Decide(long, back, &credit, 0.5)
		admitter.Decide(admitter.Load{Expect: 450 * ms, Wait: 150 * ms, Room: 200 * ms}, inTime, &credit, 0.5)
	}
	if !admitter.Decide(long, back, &credit, 0.5).Refuse {
		t.Error("the queue grows although all wait")
	}
}

func TestReturnsAreSpread(t *testing.T) {
	first := admitter.RetryAfter(400*ms, 3000*ms, 0)
	last := admitter.RetryAfter(400*ms, 3000*ms, 0.999)
	if last-first < 300*ms {
		t.Errorf("all come back between %v and %v", first, last)
	}
	if after := admitter.RetryAfter(10*time.Second, 900*ms, 0.5); after > 300*ms {
		t.Errorf("a caller with 0.9 s left is told to come back after %v", after)
	}
}

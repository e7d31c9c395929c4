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
		"in time although it queues": {
			admitter.Load{ExpectedLatency: 450 * ms, QueueTime: 200 * ms, QueueSlack: 250 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 3000 * ms},
			false,
		},
		"late, but a slot is free": {
			admitter.Load{ExpectedLatency: 700 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 3000 * ms},
			false,
		},
		"late, and it would have to queue": {
			admitter.Load{ExpectedLatency: 700 * ms, QueueTime: 200 * ms, QueueSlack: 250 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 3000 * ms},
			true,
		},
		"late, but its caller is retrying and the queue is short": {
			admitter.Load{ExpectedLatency: 250 * ms, QueueTime: 50 * ms, QueueSlack: 300 * ms},
			admitter.Request{TargetLeft: -200 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 2000 * ms, CallerRetry: true},
			false,
		},
		"late, its caller is retrying, but it would make others late": {
			admitter.Load{ExpectedLatency: 450 * ms, QueueTime: 310 * ms, QueueSlack: 300 * ms},
			admitter.Request{TargetLeft: -200 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 2000 * ms, CallerRetry: true},
			true,
		},
		"not before the deadline": {
			admitter.Load{ExpectedLatency: 1300 * ms},
			admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 3000 * ms},
			true,
		},
	} {
		d := admitter.Decide(c.load, c.request, &admitter.Credit{}, 0.5)
		if d.Refuse != c.refuse {
			t.Errorf("%s: refused is %v", name, d.Refuse)
		}
		if d.Refuse && (d.RetryAfter <= 0 || d.RetryAfter > c.request.CallerTimeLeft/3) {
			t.Errorf("%s: retry after %v, with %v left", name, d.RetryAfter, c.request.CallerTimeLeft)
		}
	}
}

// Requests that find a free slot earn credit, with which some retrying callers may
// wait in a longer queue. The queue stays short enough, because the credit is limited
// and none is earned while all requests queue.
func TestRetryingCallersWaitOnCredit(t *testing.T) {
	inTime := admitter.Request{TargetLeft: 500 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 3000 * ms}
	callerRetry := admitter.Request{TargetLeft: -200 * ms, TimeLeft: 1200 * ms, CallerTimeLeft: 2000 * ms, CallerRetry: true}
	longQueue := admitter.Load{ExpectedLatency: 650 * ms, QueueTime: 500 * ms, QueueSlack: 200 * ms}
	tooLongQueue := admitter.Load{ExpectedLatency: 800 * ms, QueueTime: 650 * ms, QueueSlack: 200 * ms}
	var credit admitter.Credit
	served := 0
	for range 100 {
		admitter.Decide(admitter.Load{ExpectedLatency: 300 * ms}, inTime, &credit, 0.5)
		if !admitter.Decide(tooLongQueue, callerRetry, &credit, 0.5).Refuse {
			t.Fatal("a caller may queue for more than three times the slack")
		}
		if !admitter.Decide(longQueue, callerRetry, &credit, 0.5).Refuse {
			served++
		}
	}
	if served < 25 || served > 30 {
		t.Errorf("%d retrying callers were admitted beside 100 requests in time; want 25 to 30", served)
	}
	for range 100 {
		admitter.Decide(longQueue, callerRetry, &credit, 0.5)
		admitter.Decide(admitter.Load{ExpectedLatency: 450 * ms, QueueTime: 150 * ms, QueueSlack: 200 * ms}, inTime, &credit, 0.5)
	}
	if !admitter.Decide(longQueue, callerRetry, &credit, 0.5).Refuse {
		t.Error("a retrying caller lengthens the queue although all requests queue")
	}
}

func TestRetryAfterIsSpread(t *testing.T) {
	first := admitter.RetryAfter(400*ms, 3000*ms, 0)
	last := admitter.RetryAfter(400*ms, 3000*ms, 0.999)
	if last-first < 300*ms {
		t.Errorf("all retries fall between %v and %v", first, last)
	}
	if after := admitter.RetryAfter(10*time.Second, 900*ms, 0.5); after > 300*ms {
		t.Errorf("a caller with 0.9 s left is told to retry after %v", after)
	}
}

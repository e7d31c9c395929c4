package edger_test

import (
	"net/http"
	"testing"
	"time"
)

// Two instances must keep a limit together, also the one that gets no answer that names it.
// What is over the limit is refused at once with a time to come back.
func TestInstancesKeepAnEndpointsLimitTogether(t *testing.T) {
	const perSecond, window = 3.0, 4 * time.Second
	r := newTestEnv(t)
	r.configure("key", "s")
	arrivals := r.endpoint("limited", "s", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Server-Limit", "3.0")
	})
	logs := &logSink{}
	one, two := r.start("one", logs), r.start("two", logs)
	for _, run := range []*runningEdge{one, two} {
		run.waitFor(5*time.Second, "ready", run.ready)
		run.waitFor(5*time.Second, "an answer", func() bool { return run.post("/x/", "key", "a").status == http.StatusOK })
	}
	one.waitFor(5*time.Second, "the limit", func() bool { return logs.contains(`"endpoint: rate limit"`) })
	before, end := arrivals.Load(), time.Now().Add(window)
	served := 0
	for time.Now().Before(end) {
		for _, run := range []*runningEdge{one, two} {
			a := run.post("/x/", "key", "a")
			switch {
			case a.status == http.StatusOK:
				served++
			case a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "":
				t.Fatalf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	allowed := int32(1.5*perSecond*window.Seconds()) + 5
	if n := arrivals.Load() - before; n > allowed || n < int32(perSecond*window.Seconds()/2) {
		t.Errorf("%d requests in %v, want at most %d and at least half of the limit; %d served", n, window, allowed, served)
	}
}

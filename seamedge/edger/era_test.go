package edger_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// The store comes back from an older copy and gives its revisions out again. Keys that were
// withdrawn and endpoints that drain or have left must not be used again, at any instance,
// and later changes must be followed.
func TestStoreThatGoesBackRevivesNothing(t *testing.T) {
	r := newTestEnv(t)
	r.configure("old-key", "s")
	r.endpoint("stays", "s", nil)
	draining := r.endpoint("drains", "s", nil)
	left := r.endpoint("leaves", "s", nil)
	one, two := r.start("one", &logSink{}), r.start("two", &logSink{})
	for _, run := range []*runningEdge{one, two} {
		run.waitFor(5*time.Second, "ready", run.ready)
		run.waitFor(5*time.Second, "answer", func() bool { return run.post("/x/", "old-key", "a").status == http.StatusOK })
	}
	older := r.store.Copy()
	r.configure("new-key", "s")
	r.store.Remove("servers", "leaves")
	entry := json.RawMessage(fmt.Sprintf(`{"address":%q,"born":1,"info":{"service":"s","version":"v1","zone":"z","slots":4},`+
		`"status":{"state":"draining","sequence":2}}`, r.addresses["drains"]))
	r.store.Put("servers", "drains", entry)
	for _, run := range []*runningEdge{one, two} {
		run.waitFor(5*time.Second, "the new key", func() bool { return run.post("/x/", "new-key", "a").status == http.StatusOK })
	}
	time.Sleep(time.Second)
	r.store.GoBack(older)
	time.Sleep(2 * time.Second)
	drainedBefore, leftBefore := draining.Load(), left.Load()
	for _, run := range []*runningEdge{one, two} {
		for range 20 {
			if a := run.post("/x/", "new-key", "a"); a.status != http.StatusOK {
				t.Errorf("status %d, %v", a.status, a.err)
			}
		}
		if a := run.post("/x/", "old-key", "a"); a.status != http.StatusUnauthorized {
			t.Errorf("a withdrawn key got status %d", a.status)
		}
	}
	if n := draining.Load() - drainedBefore; n > 0 {
		t.Errorf("%d requests reached an endpoint that drains", n)
	}
	if n := left.Load() - leftBefore; n > 0 {
		t.Errorf("%d requests reached an endpoint that had left", n)
	}
	r.configure("newest-key", "s")
	for _, run := range []*runningEdge{one, two} {
		run.waitFor(5*time.Second, "a change after that", func() bool { return run.post("/x/", "newest-key", "a").status == http.StatusOK })
	}
	one.waitFor(5*time.Second, "registration written again", func() bool { return r.store.Has("seam-instances", "one") && r.store.Has("seam-instances", "two") })
}

// The copy is from before an instance had registered itself.
func TestInstanceRegistersAgainAfterTheStoreWentBack(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key", "s")
	r.endpoint("e", "s", nil)
	older := r.store.Copy()
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "registration", func() bool { return r.store.Has("seam-instances", "one") })
	run.waitFor(5*time.Second, "ready", run.ready)
	r.store.GoBack(older)
	if r.store.Has("seam-instances", "one") {
		t.Fatal("the copy holds the registration")
	}
	run.waitFor(6*time.Second, "registration written again", func() bool { return r.store.Has("seam-instances", "one") })
}

// An odd entry among those of the endpoints must not keep the instance from following them.
func TestOddEntriesDoNotStopTheWatch(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key", "s")
	r.endpoint("first", "s", nil)
	r.store.Put("servers", "odd-1", json.RawMessage(`{"address":"10.0.0.1:99999","info":{"service":"s","zone":"z","slots":1e300},"status":{"state":"ready","sequence":1}}`))
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	r.store.Put("servers", "odd-2", json.RawMessage(`"\u0000"`))
	served := r.endpoint("second", "s", nil)
	run.waitFor(5*time.Second, "a request at the endpoint that came later", func() bool {
		run.post("/x/", "key", "a")
		return served.Load() > 0
	})
}

// One of two endpoints announces its end in an answer, the other asks for a pause. Neither
// may get another request, and callers are refused at once with the end of the pause.
func TestEndpointsThatDeclineRequestsGetNone(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key", "s")
	var announce atomic.Bool
	leaving := r.endpoint("leaves", "s", func(w http.ResponseWriter, _ *http.Request) {
		if announce.Load() {
			w.Header().Set("Server-Leaving", "1")
		}
	})
	pausing := r.endpoint("pauses", "s", func(w http.ResponseWriter, _ *http.Request) {
		if announce.Load() {
			w.Header().Set("Retry-After", "2.5")
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	announce.Store(true)
	run.waitFor(5*time.Second, "an announcement of both", func() bool {
		run.post("/x/", "key", "a")
		return leaving.Load() > 0 && pausing.Load() > 0
	})
	before := leaving.Load() + pausing.Load()
	for range 30 {
		a := run.post("/x/", "key", "a")
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
		}
	}
	if n := leaving.Load() + pausing.Load() - before; n > 0 {
		t.Errorf("%d requests reached endpoints that declined them", n)
	}
	announce.Store(false)
	run.waitFor(5*time.Second, "requests after the pause", func() bool { return run.post("/x/", "key", "a").status == http.StatusOK })
	if n := leaving.Load() + pausing.Load() - before; n == 0 {
		t.Error("no request arrived after the pause")
	}
}

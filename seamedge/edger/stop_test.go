package edger_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Callers send requests during a graceful stop until the process has ended. Every
// request that the instance has read must get its complete answer. A connection that is
// still in the kernel's backlog when the listener closes has not been read.
func TestPlannedStopCutsNothing(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key-1", "a")
	r.endpoint("i-1", "a", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(150 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	sink := &logSink{}
	e := r.start("edge-1", sink)
	e.waitFor(3*time.Second, "ready", e.ready)
	var served atomic.Int32
	var callers sync.WaitGroup
	failed := make(chan answer, 4)
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				a := e.post("/x/1", "key-1", "")
				if a.err != nil {
					failed <- a
					return
				}
				if a.status == http.StatusOK {
					served.Add(1)
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	e.stop()
	e.waitFor(time.Second, "not ready", func() bool { return !e.ready() })
	<-e.done
	callers.Wait()
	close(failed)
	for a := range failed {
		if sink.contains(a.id) {
			t.Errorf("request %s was read but its answer was cut off: %v", a.id, a.err)
		}
	}
	if served.Load() == 0 {
		t.Error("no request was served")
	}
}

// Requests that come while an instance stops must not be cut at its end: it takes only what
// it can answer, and refuses the rest as not run.
func TestRequestsTakenLateInAPlannedStopAreAnswered(t *testing.T) {
	r := newTestEnv(t)
	r.timeout = 5
	r.configure("key-1", "a")
	for n := range 8 {
		r.endpoint(fmt.Sprint("i-", n), "a", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(1300 * time.Millisecond)
			_, _ = io.WriteString(w, "done")
		})
	}
	sink := &logSink{}
	e := r.start("edge-1", sink)
	e.waitFor(3*time.Second, "ready", e.ready)
	if a := e.post("/x/1", "key-1", ""); a.status != http.StatusOK {
		t.Fatalf("status %d, %v", a.status, a.err)
	}
	e.stop()
	end := time.Now().Add(2 * time.Second)
	answers := make(chan answer, 16)
	var callers sync.WaitGroup
	var late atomic.Int32
	for range cap(answers) {
		time.Sleep(80 * time.Millisecond)
		callers.Go(func() {
			answers <- e.post("/x/1", "key-1", "")
			// The platform kills the process after the grace period.
			if time.Now().After(end) {
				late.Add(1)
			}
		})
	}
	callers.Wait()
	close(answers)
	for a := range answers {
		refused := a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
		if sink.contains(a.id) && a.status != http.StatusOK && !refused {
			t.Errorf("request %s was read and ended with status %d, %v", a.id, a.status, a.err)
		}
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests were still open at the end of the grace period", n)
	}
}

// A change in the store must not make a stopping instance ready again.
func TestStoppingInstanceIsNotReadyAgain(t *testing.T) {
	r := newTestEnv(t)
	r.configure("key-1", "s")
	r.endpoint("e-1", "s", nil)
	run := r.start("one", &logSink{})
	run.waitFor(5*time.Second, "ready", run.ready)
	run.stop()
	run.waitFor(time.Second, "not ready", func() bool { return !run.ready() })
	r.configure("key-2", "s")
	for end := time.Now().Add(700 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if run.ready() {
			t.Fatal("a stopping instance reports ready again")
		}
	}
}

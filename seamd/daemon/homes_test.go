package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"primroseseam.org/seam/caller"
	"primroseseam.org/seam/storer"
)

// TestCallerClientRepeatsUnderTheSameNameRunOnce checks that the caller's client names a
// non-idempotent request, that a repeat under the same name returns the recorded answer,
// and that another request gets another name.
func TestCallerClientRepeatsUnderTheSameNameRunOnce(t *testing.T) {
	fleet := newTestFleet(t, 3)
	client := caller.New([]string{"http://" + fleet.daemons[0].LookupAddress()}, caller.WithKey(fleet.apiKey))
	request := caller.Request{Method: http.MethodPost, Path: "/stamp", Body: []byte("bundle")}
	first, err := client.Do(t.Context(), request)
	if err != nil || first.Name == "" {
		t.Fatalf("got %+v, %v", first, err)
	}
	request.Name = first.Name
	again, err := client.Do(t.Context(), request)
	if err != nil || string(again.Body) != string(first.Body) {
		t.Errorf("the repeat got %q, %v", again.Body, err)
	}
	request.Name = ""
	other, err := client.Do(t.Context(), request)
	if err != nil || other.Name == first.Name {
		t.Errorf("another request got %+v, %v", other, err)
	}
	if seen := fleet.requests(); len(seen) != 2 {
		t.Errorf("the upstream ran 2 names %d times", len(seen))
	}
}

// TestNamedRequestRunsOnceWhereverItIsSent sends a named request to all instances, at the
// same time and later. It must run once, and all replies must be the same. Another
// request with the same name must be refused.
func TestNamedRequestRunsOnceWhereverItIsSent(t *testing.T) {
	fleet := newTestFleet(t, 3)
	name := fleet.lookUp(1).Ticket + ".1"
	replies := make([]reply, 9)
	var open sync.WaitGroup
	for k := range replies {
		open.Go(func() { replies[k] = fleet.send(k%3, "/stamp", name, strings.NewReader("bundle")) })
	}
	open.Wait()
	late := fleet.send(2, "/stamp", name, strings.NewReader("bundle"))
	for k, a := range append(replies, late) {
		if a.status != http.StatusOK || a.body != replies[0].body {
			t.Errorf("reply %d: %+v", k, a)
		}
	}
	if seen := fleet.requests(); len(seen) != 1 {
		t.Errorf("the upstream ran it %d times: %+v", len(seen), seen)
	}
	if a := fleet.send(0, "/other", name, nil); a.header.Get("Seam-Code") != "104" {
		t.Errorf("a name used twice: %+v", a)
	}
}

// TestForgedTicketIsRefused checks that names whose ticket isn't validly signed are
// refused as not run.
func TestForgedTicketIsRefused(t *testing.T) {
	fleet := newTestFleet(t, 1)
	name := fleet.lookUp(0).Ticket + ".1"
	for _, forged := range []string{strings.Replace(name, ".", "x.", 1), name + ".1", "1", name + "x"} {
		if a := fleet.send(0, "/stamp", forged, nil); a.header.Get("Seam-Code") != "104" || a.header.Get("Seam-Not-Run") != "true" {
			t.Errorf("%q: %+v", forged, a)
		}
	}
}

// TestPlannedStopHandsRecordsOver checks that after a graceful shutdown of its home, a
// named request isn't run again, and that names of that home can still be used.
func TestPlannedStopHandsRecordsOver(t *testing.T) {
	fleet := newTestFleet(t, 3)
	ticket := fleet.lookUp(1).Ticket
	first := fleet.send(0, "/stamp", ticket+".1", nil)
	if first.status != http.StatusOK {
		t.Fatalf("got %+v", first)
	}
	fleet.stops[1]()
	again := fleet.send(2, "/stamp", ticket+".1", nil)
	if again.status != http.StatusOK || again.body != first.body {
		t.Errorf("a repeat after the stop: %+v, not %+v", again, first)
	}
	if fresh := fleet.send(0, "/stamp", ticket+".2", nil); fresh.status != http.StatusOK {
		t.Errorf("a new name of the stopped home: %+v", fresh)
	}
	if seen := fleet.requests(); len(seen) != 2 {
		t.Errorf("the upstream ran 2 names %d times: %+v", len(seen), seen)
	}
}

// TestHomeWithoutSuccessorAnswersUnknown stops a home, then its successor. The third
// instance has no record whether the request ran, so it must answer with an unknown outcome
// and not run it.
func TestHomeWithoutSuccessorAnswersUnknown(t *testing.T) {
	fleet := newTestFleet(t, 3)
	ticket := fleet.lookUp(1).Ticket
	fleet.stops[1]()
	fleet.stops[0]()
	a := fleet.send(2, "/stamp", ticket+".7", nil)
	if a.header.Get("Seam-Code") != "123" || a.header.Get("Seam-Not-Run") != "unknown" {
		t.Errorf("got %+v", a)
	}
	if seen := fleet.requests(); len(seen) != 0 {
		t.Errorf("an upstream saw %+v", seen)
	}
}

// BenchmarkNamed compares requests without a name, requests named by a ticket, and
// requests that are each preceded by a write to a store with a latency of 3 ms.
func BenchmarkNamed(b *testing.B) {
	fleet := newTestFleet(b, 3)
	ticket := fleet.lookUp(1).Ticket
	b.Run("unnamed", func(b *testing.B) {
		for b.Loop() {
			fleet.send(0, "/stamp", "", nil)
		}
	})
	serial := 0
	b.Run("ticket", func(b *testing.B) {
		for b.Loop() {
			serial++
			fleet.send(0, "/stamp", fmt.Sprint(ticket, ".", serial), nil)
		}
	})
	b.Run("storeWrite", func(b *testing.B) {
		for b.Loop() {
			serial++
			time.Sleep(3 * time.Millisecond)
			fleet.put(storer.KindStatus, fmt.Sprint("name-", serial), serial)
			fleet.send(0, "/stamp", "", nil)
		}
	})
}

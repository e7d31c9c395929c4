package placer_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

func endpointList(startedAtMs int64, ids ...string) []router.Endpoint {
	var list []router.Endpoint
	for _, id := range ids {
		list = append(list, router.Endpoint{ID: id, Address: id, Service: "s", Zone: "zone-1", Slots: 4, StartedAtMs: startedAtMs})
	}
	return list
}

func newBalancerOf(ids ...string) *placer.Balancer {
	b := placer.New("zone-1", map[string]string{"zone-1": "region-1"})
	b.SetEndpoints(start, endpointList(1, ids...), nil)
	return b
}

// picks reports whether any of 50 requests goes to an endpoint.
func picks(b *placer.Balancer, now time.Time, id string) bool {
	for object := range uint32(50) {
		if c, ok := b.Pick(now, request(object)); ok && c.ID == id {
			return true
		}
	}
	return false
}

// An endpoint that announced its end gets nothing more, also if its entry in the store is
// lost and comes back, until it starts again.
func TestLeavingEndpointGetsNothingUntilItStartsAgain(t *testing.T) {
	b := newBalancerOf("one", "two")
	b.RecordLeaving("one")
	if picks(b, start.Add(time.Minute), "one") {
		t.Error("a request goes to an endpoint that announced its end")
	}
	b.SetEndpoints(start, endpointList(1, "two"), nil)
	b.Prune(start.Add(time.Minute))
	b.SetEndpoints(start, endpointList(1, "one", "two"), nil)
	if picks(b, start.Add(time.Minute), "one") {
		t.Error("the announcement is forgotten once the entry was missing")
	}
	b.SetEndpoints(start, endpointList(2, "one", "two"), nil)
	if !picks(b, start.Add(time.Minute), "one") {
		t.Error("no request goes to the endpoint after it has started again")
	}
}

// Other instances learn of the announcement. It must not be taken for one of the lifetime
// that follows.
func TestDeparturesApplyToOneLifetime(t *testing.T) {
	one, two := newBalancerOf("one", "two"), newBalancerOf("one", "two")
	one.RecordLeaving("one")
	two.ApplyDepartures(one.Departures())
	if picks(two, start, "one") || len(two.Departures()) != 0 {
		t.Errorf("departures at the other instance: %v, picked: %t", two.Departures(), picks(two, start, "one"))
	}
	two.SetEndpoints(start, endpointList(2, "one", "two"), nil)
	two.ApplyDepartures(one.Departures())
	if !picks(two, start.Add(time.Minute), "one") {
		t.Error("the departure of the lifetime before was applied")
	}
}

func TestPausedEndpointGetsNothingMeanwhile(t *testing.T) {
	b := newBalancerOf("one", "two")
	b.RecordPause(start, "one", 3*time.Second)
	b.RecordPause(start, "one", time.Second)
	if picks(b, start.Add(3*time.Second-1), "one") {
		t.Error("a request goes to an endpoint that asked for a pause")
	}
	if !picks(b, start.Add(3*time.Second), "one") {
		t.Error("no request goes to the endpoint after its pause")
	}
	b.RecordPause(start, "two", 24*time.Hour)
	if !picks(b, start.Add(placer.MaxPause), "two") {
		t.Error("a pause has no bound")
	}
	b.RecordPause(start, "one", 5*time.Second)
	if left, ok := b.TimeUntilReady(start.Add(time.Second), request(1)); !ok || left != 4*time.Second {
		t.Errorf("the first pause ends after %v, %t; want 4s", left, ok)
	}
	if _, ok := b.Pick(start.Add(time.Second), request(1)); ok {
		t.Error("a request goes to an endpoint while all pause")
	}
}

// A pause of an endpoint that drains or is out of the question for another reason must not
// be named to callers as the time to come back.
func TestTimeUntilReadyCountsOnlyEndpointsThatMayReceive(t *testing.T) {
	b := newBalancerOf("one")
	b.RecordPause(start, "one", time.Second)
	b.RecordLeaving("one")
	if _, ok := b.TimeUntilReady(start, request(1)); ok {
		t.Error("an endpoint that leaves counts")
	}
}

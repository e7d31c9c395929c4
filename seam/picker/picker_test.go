package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"primroseseam.org/seam/picker"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// pool returns a pool with the given number of endpoints, all in one region, and the list
// of these endpoints. slots is the number of slots of each endpoint.
func pool(endpoints, slots int, opts ...picker.Option) (*picker.Pool, []picker.Endpoint) {
	var list []picker.Endpoint
	for i := range endpoints {
		list = append(list, picker.NewEndpoint(fmt.Sprint("10.0.0.", i, ":1"), "west", slots, false))
	}
	return picker.NewPool(list, opts...), list
}

// rng returns a random source with a fixed seed.
func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// fill forwards requests like r until no endpoint is free. It returns the number of
// requests at each endpoint, by address.
func fill(p *picker.Pool, now time.Time, r picker.Request) map[string]int {
	taken := map[string]int{}
	random := rng()
	for range 1000 {
		e, ok := p.Pick(now, random, r)
		if !ok {
			break
		}
		p.Started(e.Address())
		taken[e.Address()]++
	}
	return taken
}

func TestEverySlotIsUsedAndNoMore(t *testing.T) {
	p, _ := pool(5, 3)
	taken := fill(p, start, picker.Request{Region: "west"})
	for address, n := range taken {
		if n != 3 {
			t.Errorf("%s got %d requests for its 3 slots", address, n)
		}
	}
	p.Ended(start, "10.0.0.2:1", picker.Succeeded)
	if e, ok := p.Pick(start, rng(), picker.Request{Region: "west"}); !ok || e.Address() != "10.0.0.2:1" {
		t.Errorf("the freed slot was not picked; an endpoint was found: %v", ok)
	}
}

func TestEjectionKeepsHalfOfTheEndpoints(t *testing.T) {
	p, list := pool(4, 3)
	for range 10 {
		for i := range list {
			p.Started(list[i].Address())
			p.Ended(start, list[i].Address(), picker.Failed)
		}
	}
	if taken := fill(p, start, picker.Request{Region: "west"}); len(taken) != 2 {
		t.Errorf("%d of 4 endpoints are in use; 2 should be", len(taken))
	}
	afterEjection := start.Add(1100 * time.Millisecond)
	p.Started("10.0.0.0:1")
	for address, n := range fill(p, afterEjection, picker.Request{Region: "west"}) {
		if address == "10.0.0.1:1" && n > 1 {
			t.Errorf("an endpoint got %d requests right after its ejection; its slots should grow from 1", n)
		}
	}
}

func TestAgreeingReportsTakeSlotsButNeverTheLast(t *testing.T) {
	p, _ := pool(1, 3)
	p.ReportLoad(start, "10.0.0.0:1", 100)
	if taken := fill(p, start, picker.Request{Region: "west"}); taken["10.0.0.0:1"] != 3 {
		t.Errorf("a single report used up slots: %v", taken)
	}
	q, _ := pool(1, 3)
	for range 4 {
		q.ReportLoad(start, "10.0.0.0:1", 100)
	}
	if taken := fill(q, start, picker.Request{Region: "west"}); taken["10.0.0.0:1"] != 1 {
		t.Errorf("four agreeing reports should leave one slot: %v", taken)
	}
}

func TestAffinityIsGivenUpBeforeARequestWaits(t *testing.T) {
	p, _ := pool(8, 3)
	r := picker.Request{Region: "west", Affinity: "/bundle/7"}
	var first string
	for k := range 4 {
		e, ok := p.Pick(start, rng(), r)
		if !ok {
			t.Fatal("no endpoint is free")
		}
		p.Started(e.Address())
		if k == 0 {
			first = e.Address()
		}
		if same := e.Address() == first; same != (k < 3) {
			t.Errorf("request %d went to %s; the first 3 should share an endpoint, not the next", k, e.Address())
		}
	}
}

func TestUpstreamsDrainNoticeStopsNewRequests(t *testing.T) {
	p, _ := pool(2, 3)
	p.ReportDrain(start, "10.0.0.0:1", true)
	if taken := fill(p, start.Add(time.Millisecond), picker.Request{Region: "west"}); taken["10.0.0.0:1"] != 0 || taken["10.0.0.1:1"] != 3 {
		t.Errorf("only the endpoint that isn't draining should get requests: %v", taken)
	}
}

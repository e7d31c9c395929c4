package placer_test

import (
	"fmt"
	"testing"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

const popular = 77

// newServiceOf returns a balancer of 20 endpoints of a zone with 3 slots each, where an object is
// warm at one endpoint, and that endpoint.
func newServiceOf(t *testing.T) (*placer.Balancer, placer.Choice) {
	t.Helper()
	b := placer.New("a-1", zones)
	var list []router.Endpoint
	for i := range 20 {
		id := fmt.Sprint("e-", i)
		list = append(list, router.Endpoint{ID: id, Address: id, Service: "s", Zone: "a-1", Slots: 3})
	}
	b.SetEndpoints(start, list, nil)
	first, ok := b.Pick(start, request(popular))
	if !ok {
		t.Fatal("no endpoint")
	}
	b.RecordAttempt(start, first.ID, popular)
	return b, first
}

// occupy makes an endpoint run n more requests.
func occupy(b *placer.Balancer, id string, n int) {
	for range n {
		b.RecordAttempt(start, id, 0)
	}
}

// Guards against hot spots: a request that would be late in the queue where its object is warm
// makes the object warm at an endpoint that isn't busy.
func TestBusyObjectGetsACopy(t *testing.T) {
	b, first := newServiceOf(t)
	occupy(b, first.ID, 4)
	c, ok := b.Pick(start, request(popular))
	if !ok || c.ID == first.ID || c.ObjectWarm || c.QueueTime > 0 {
		t.Errorf("got %+v, want an endpoint that isn't busy", c)
	}
	b.RecordAttempt(start, c.ID, popular)
	if again, _ := b.Pick(start, request(popular)); again.ID != c.ID || !again.ObjectWarm {
		t.Errorf("got %+v, want the new copy at %s", again, c.ID)
	}
}

// A request that is in time where its object is warm makes no copy, even if it queues.
func TestNoCopyForRequestsInTime(t *testing.T) {
	b, first := newServiceOf(t)
	occupy(b, first.ID, 3)
	if c, _ := b.Pick(start, request(popular)); c.ID != first.ID || c.QueueTime == 0 || c.ExpectedLatency > request(popular).TargetLatency {
		t.Errorf("got %+v, want the queue at %s", c, first.ID)
	}
}

// Guards against overload that feeds itself: cold runs take more slot time than warm ones, so
// there are no copies when most slots are occupied.
func TestNoCopiesInOverload(t *testing.T) {
	b, first := newServiceOf(t)
	occupy(b, first.ID, 4)
	for i := range 16 {
		if id := fmt.Sprint("e-", i); id != first.ID {
			occupy(b, id, 3)
		}
	}
	if c, _ := b.Pick(start, request(popular)); c.ID != first.ID {
		t.Errorf("got %+v, want the queue at %s", c, first.ID)
	}
}

// Guards against copies that evict other objects: none are made when endpoints keep about as
// many objects as they can.
func TestNoCopiesWithoutWarmCapacity(t *testing.T) {
	b, first := newServiceOf(t)
	b.MergePeerWarmCapacities([]placer.WarmCapacity{{Service: placer.Hash32("s"), Tenths: 50}})
	for i := range 20 {
		for object := range uint32(4) {
			b.AddPeerWarmObjects(start, []placer.WarmObject{{Endpoint: placer.Hash32(fmt.Sprint("e-", i)), Object: 1000 + object}})
		}
	}
	occupy(b, first.ID, 4)
	if c, _ := b.Pick(start, request(popular)); c.ID != first.ID {
		t.Errorf("got %+v, want the queue at %s", c, first.ID)
	}
}

// Instances that know the same make the same copy.
func TestInstancesAgreeOnCopies(t *testing.T) {
	one, first := newServiceOf(t)
	two, _ := newServiceOf(t)
	occupy(one, first.ID, 4)
	occupy(two, first.ID, 4)
	x, _ := one.Pick(start.Add(time.Millisecond), request(popular))
	y, _ := two.Pick(start.Add(time.Millisecond), request(popular))
	if x.ID != y.ID {
		t.Errorf("one instance picked %s and the other %s", x.ID, y.ID)
	}
}

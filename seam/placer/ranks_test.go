package placer_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// newSmallService returns a balancer of two endpoints with 3 slots each, of which 5 are occupied.
// Requests of rank 0 use the service.
func newSmallService() *placer.Balancer {
	b := placer.New("a-1", zones)
	b.SetEndpoints(start, []router.Endpoint{
		{ID: "e-1", Address: "e-1", Service: "s", Zone: "a-1", Slots: 3}, {ID: "e-2", Address: "e-2", Service: "s", Zone: "a-1", Slots: 3},
	}, nil)
	occupy(b, "e-1", 3)
	occupy(b, "e-2", 2)
	b.Pick(start, request(1))
	return b
}

func lowRank(callerRetry bool) placer.Request {
	r := request(2)
	r.Priority, r.CallerRetry = 2, callerRetry
	return r
}

// Where slots are short, the last one is kept for the higher rank, unless the caller was refused
// before.
func TestLastSlotIsKeptForHigherRanks(t *testing.T) {
	b := newSmallService()
	if c, _ := b.Pick(start, lowRank(false)); !c.Reserved {
		t.Errorf("a request of a low rank may take the last slot: %+v", c)
	}
	if c, _ := b.Pick(start, lowRank(true)); c.Reserved || c.ID != "e-2" {
		t.Errorf("a caller that was refused before may not take the last slot: %+v", c)
	}
	if c, _ := b.Pick(start, request(3)); c.Reserved {
		t.Errorf("the slot is kept from a request of the highest rank: %+v", c)
	}
	occupy(b, "e-2", 1)
	if c, _ := b.Pick(start.Add(time.Second), lowRank(true)); !c.Reserved {
		t.Errorf("a request of a low rank may queue: %+v", c)
	}
}

// Slots that no higher rank uses are not kept, nor are any while most slots are free.
func TestSpareSlotsAreKeptForNobody(t *testing.T) {
	b := newSmallService()
	if c, _ := b.Pick(start.Add(time.Minute), lowRank(false)); c.Reserved {
		t.Errorf("a minute after the last request of a higher rank: %+v", c)
	}
	free, _ := newServiceOf(t)
	free.Pick(start, request(1))
	for _, id := range []string{"e-0", "e-1"} {
		occupy(free, id, 2)
	}
	if c, _ := free.Pick(start.Add(time.Second), lowRank(false)); c.Reserved {
		t.Errorf("most slots are free: %+v", c)
	}
}

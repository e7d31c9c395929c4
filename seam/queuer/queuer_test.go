package queuer_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/queuer"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func item(id uint64, team string) queuer.Item {
	return queuer.Item{ID: id, Team: team, Weight: 1, Deadline: start.Add(time.Duration(id) * time.Millisecond)}
}

func TestReturnedRequestKeepsItsTurn(t *testing.T) {
	q := queuer.New(queuer.WithAllowance(0))
	for id := range uint64(4) {
		q.Push(item(id, "a"))
		q.Push(item(id+10, "b"))
	}
	first, _ := q.Pop()
	for range 5 {
		q.UndoPop(first)
		again, _ := q.Pop()
		if again.ID != first.ID {
			t.Fatalf("request %d took the turn of %d", again.ID, first.ID)
		}
	}
	if second, _ := q.Pop(); second.Team == first.Team {
		t.Fatalf("team %q went twice in a row", second.Team)
	}
}

// TestTeamsShareByWeight fills the queue of a heavy team first; the others
// still get their parts of the turns.
func TestTeamsShareByWeight(t *testing.T) {
	q := queuer.New(queuer.WithAllowance(4))
	for id := range uint64(400) {
		q.Push(item(id, "heavy"))
	}
	for id := uint64(1000); id < 1100; id++ {
		q.Push(item(id, "light"))
		q.Push(queuer.Item{ID: id + 500, Team: "double", Weight: 2, Deadline: start.Add(time.Hour)})
	}
	served := map[string]int{}
	for range 100 {
		next, _ := q.Pop()
		served[next.Team]++
	}
	if served["light"] < 19 || served["double"] < 38 {
		t.Fatalf("served %v", served)
	}
}

func TestOrderIsByDeadlineWithinTheAllowance(t *testing.T) {
	q := queuer.New()
	for i, team := range []string{"a", "a", "a", "b", "c", "c"} {
		q.Push(item(uint64(10-i), team))
	}
	for want := uint64(5); want <= 10; want++ {
		if next, _ := q.Pop(); next.ID != want {
			t.Fatalf("got %d instead of %d", next.ID, want)
		}
	}
}

func TestExpiredAndRemovedLeaveTheQueue(t *testing.T) {
	q := queuer.New()
	for id := uint64(1); id <= 4; id++ {
		q.Push(item(id, "a"))
	}
	if gone := q.Expired(start.Add(2 * time.Millisecond)); len(gone) != 2 {
		t.Fatalf("expired %v", gone)
	}
	if !q.Remove("a", 4) || q.Remove("a", 4) || q.Len() != 1 {
		t.Fatalf("%d requests are left", q.Len())
	}
	if next, ok := q.Pop(); !ok || next.ID != 3 {
		t.Fatalf("got %v", next)
	}
}

package queuer_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/queuer"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// item returns a request of weight 1. Its deadline is id milliseconds after start.
func item(id uint64, team string) queuer.Item {
	return queuer.Item{ID: id, Team: team, Weight: 1, Deadline: start.Add(time.Duration(id) * time.Millisecond)}
}

func TestUndonePopKeepsItsTurn(t *testing.T) {
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
			t.Fatalf("request %d was popped instead of %d", again.ID, first.ID)
		}
	}
	if second, _ := q.Pop(); second.Team == first.Team {
		t.Fatalf("team %q was served twice in a row", second.Team)
	}
}

// A team that fills its queue first must not keep the other teams from their shares. The
// weights here are 1, 1 and 2, so the shares of 100 requests are 25, 25 and 50. The test
// accepts less than that, 19 and 38, because of the allowance.
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
		t.Fatalf("requests served by team: %v", served)
	}
}

func TestOrderIsByDeadlineWithinTheAllowance(t *testing.T) {
	q := queuer.New()
	for i, team := range []string{"a", "a", "a", "b", "c", "c"} {
		q.Push(item(uint64(10-i), team))
	}
	for want := uint64(5); want <= 10; want++ {
		if next, _ := q.Pop(); next.ID != want {
			t.Fatalf("popped request %d instead of %d", next.ID, want)
		}
	}
}

func TestExpiredAndRemovedLeaveTheQueue(t *testing.T) {
	q := queuer.New()
	for id := uint64(1); id <= 4; id++ {
		q.Push(item(id, "a"))
	}
	if expired := q.Expired(start.Add(2 * time.Millisecond)); len(expired) != 2 {
		t.Fatalf("2 requests should have expired: %v", expired)
	}
	if !q.Remove("a", 4) || q.Remove("a", 4) || q.Len() != 1 {
		t.Fatalf("Remove should work once and leave 1 request, but %d are left", q.Len())
	}
	if next, ok := q.Pop(); !ok || next.ID != 3 {
		t.Fatalf("popped %v instead of request 3", next)
	}
}

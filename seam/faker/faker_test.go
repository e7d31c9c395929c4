package faker_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/storer"
)

// TestPauseDelaysAndCrashDropsEvents checks that an event of a paused node runs only
// after the pause, and that an event of a crashed node never runs.
func TestPauseDelaysAndCrashDropsEvents(t *testing.T) {
	w := faker.NewWorld(1)
	var ran []string
	w.After("a", time.Second, func() { ran = append(ran, "a") })
	w.After("b", time.Second, func() { ran = append(ran, "b") })
	w.Pause("a")
	w.Crash("b")
	w.Run(2 * time.Second)
	if len(ran) != 0 {
		t.Fatalf("ran the events of %v, want none", ran)
	}
	w.Resume("a")
	w.Run(0)
	if len(ran) != 1 || ran[0] != "a" {
		t.Fatalf("ran the events of %v, want [a]", ran)
	}
}

// TestLostAnswerLeavesTheWriteInPlace checks that a write whose response is lost times
// out but takes effect, so that a second write with the old version is a conflict.
func TestLostAnswerLeavesTheWriteInPlace(t *testing.T) {
	w := faker.NewWorld(1)
	s := faker.NewStore(w, faker.NewNetwork(w), time.Second)
	s.LoseAnswers(1)
	var got error
	s.Put("a", storer.Object{Kind: storer.KindSeat, Name: "x"}, func(_ storer.Object, err error) { got = err })
	w.Run(time.Minute)
	if coder.CodeOf(got) != coder.StoreOutcomeUnknown {
		t.Fatalf("got %v", got)
	}
	if _, ok := s.Object(storer.KindSeat, "x"); !ok {
		t.Fatal("the object is not in the store")
	}
	s.Put("a", storer.Object{Kind: storer.KindSeat, Name: "x"}, func(_ storer.Object, err error) { got = err })
	w.Run(time.Minute)
	if coder.CodeOf(got) != coder.StoreConflict {
		t.Fatalf("got %v", got)
	}
}

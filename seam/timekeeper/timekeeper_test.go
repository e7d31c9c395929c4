package timekeeper_test

import (
	"testing"
	"time"

	"primroseseam.org/seam/timekeeper"
)

// machine is a machine with three clocks.
type machine struct{ steady, timeOfDay, boot time.Duration }

func (m *machine) run(d time.Duration) {
	m.steady += d
	m.timeOfDay += d
	m.boot += d
}

func (m *machine) suspend(d time.Duration) {
	m.timeOfDay += d
	m.boot += d
}

func newKeeper(m *machine) *timekeeper.Keeper {
	read := func() timekeeper.Reading {
		return timekeeper.Reading{Steady: m.steady, TimeOfDay: m.timeOfDay}
	}
	return timekeeper.NewFrom(time.Unix(1000, 0), read, func() time.Duration { return m.boot })
}

// The clock must count suspends, and must not follow steps of the time of day, also beside a
// suspend.
func TestClockCountsSuspendsAndNoSteps(t *testing.T) {
	m := &machine{boot: time.Hour}
	k := newKeeper(m)
	for n, c := range []struct {
		do   func()
		want time.Duration
	}{
		{func() { m.run(time.Second) }, time.Second},
		{func() { m.suspend(1500 * time.Millisecond) }, 2500 * time.Millisecond},
		{func() { m.timeOfDay += time.Minute }, 2500 * time.Millisecond},
		{func() { m.timeOfDay -= 2 * time.Minute }, 2500 * time.Millisecond},
		{func() { m.suspend(30 * time.Second); m.timeOfDay -= time.Second }, 32500 * time.Millisecond},
		{func() { m.run(time.Second) }, 33500 * time.Millisecond},
	} {
		c.do()
		if got := k.Elapsed(); got != c.want {
			t.Errorf("step %d: elapsed %v, want %v", n, got, c.want)
		}
	}
	if got := k.Now().Sub(time.Unix(1000, 0)); got != 33500*time.Millisecond {
		t.Errorf("now is %v after the start", got)
	}
}

// On the machine of the test, the clock must run.
func TestSystemClockRuns(t *testing.T) {
	k := timekeeper.New()
	first := k.Now()
	time.Sleep(20 * time.Millisecond)
	if took := k.Now().Sub(first); took < 20*time.Millisecond || took > time.Minute {
		t.Errorf("20 ms took %v", took)
	}
}

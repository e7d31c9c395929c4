// Package timekeeper has a clock that runs on while the machine is suspended. The edge daemon,
// seamedge, uses it for ages that instances report to each other: how long ago the store was
// asked, or when another instance was last alive.
//
// The steady clock, by which [time.Time.Sub] measures, doesn't count the time of a suspend. What
// an instance knew before the suspend would look as fresh after it as before. The time of day
// counts the suspend, but may be set.
//
// # Usage
//
//	clock := timekeeper.New()
//	asked := clock.Now()
//	age := clock.Now().Sub(asked) // counts suspends, and no steps of the time of day
package timekeeper

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time. The times of one clock may be compared with each other, and with no
// others.
type Clock interface{ Now() time.Time }

// stepThreshold is a change in the difference between the time of day and the steady clock from
// which on the machine may have been suspended.
const stepThreshold = 20 * time.Millisecond

// Keeper is a [Clock] that counts the time of suspends. It is safe for concurrent use.
//
// Reading the system's own clock of this kind takes a system call, and reading the others takes
// none. So Keeper reads it only when the time of day and the steady clock have drifted apart,
// which a suspend makes them do, and so does a step of the time of day.
type Keeper struct {
	// read returns the time of day and the steady clock.
	read func() Reading
	// sinceBoot returns the time since the machine was started, suspends included.
	sinceBoot func() time.Duration
	started   time.Time

	mu sync.Mutex
	// suspended is the time for which the machine was suspended since the Keeper was made, and
	// difference the last one between the time of day and the steady clock.
	suspended  time.Duration
	difference time.Duration
	// bootAhead is the difference between the time since boot and the steady clock when the
	// Keeper was made.
	bootAhead time.Duration
}

// Reading is what two clocks show at one moment: the time since a fixed moment by the steady
// clock, and by the time of day.
type Reading struct{ Steady, TimeOfDay time.Duration }

// New returns a clock that starts at the current time of day.
func New() *Keeper {
	started := time.Now()
	read := func() Reading {
		now := time.Now()
		return Reading{Steady: now.Sub(started), TimeOfDay: now.Round(0).Sub(started.Round(0))}
	}
	return NewFrom(started, read, sinceBoot)
}

// NewFrom returns a clock that starts at a time, and reads the steady clock, the time of day and
// the time since boot with the given functions.
func NewFrom(started time.Time, read func() Reading, sinceBoot func() time.Duration) *Keeper {
	k := &Keeper{read: read, sinceBoot: sinceBoot, started: started.Round(0)}
	now := read()
	k.difference = now.TimeOfDay - now.Steady
	k.bootAhead = sinceBoot() - now.Steady
	return k
}

// Now implements [Clock]. The result has no reading of the steady clock.
func (k *Keeper) Now() time.Time { return k.started.Add(k.Elapsed()) }

// Elapsed returns the time since the clock was made.
func (k *Keeper) Elapsed() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.read()
	if difference := now.TimeOfDay - now.Steady; (difference - k.difference).Abs() > stepThreshold {
		k.difference = difference
		k.suspended = max(k.sinceBoot()-now.Steady-k.bootAhead, k.suspended)
	}
	return now.Steady + k.suspended
}

// sinceBoot returns the time since the machine was started, or 0 if the system doesn't
// report it. Then no suspend is noticed.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

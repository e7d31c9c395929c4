package rehearser_test

import (
	"os"
	"testing"
	"time"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/rehearser"
)

// callersPerRegion is the number of callers that send a request every 500 ms.
const callersPerRegion = 10

// leaveLinger is the default time that a leaving instance goes on serving.
const leaveLinger = 10 * time.Second

// scenario is a fault and what it may cost the callers.
type scenario struct {
	name string
	play func(f *rehearser.Fleet)
	// retriedFor and failedFor bound the time until callers are whole again.
	retriedFor time.Duration
	failedFor  time.Duration
	// retried bounds the part of all requests that needed a second instance.
	retried float64
}

func crashRegion(f *rehearser.Fleet, region string) {
	for _, id := range f.InRegion(region) {
		f.Crash(id)
	}
}

// whole asks for the whole scenarios instead of their first parts.
var whole = os.Getenv("SEAM_WHOLE") != ""

func replaceAll(f *rehearser.Fleet) {
	for i, id := range f.IDs() {
		if i >= 3 && !whole {
			return
		}
		f.Leave(id, leaveLinger)
		f.World.Run(leaveLinger + time.Second)
		f.Start(id)
		f.World.Run(time.Minute - leaveLinger - time.Second)
	}
}

func failWithinAnHour(f *rehearser.Fleet) {
	for i, id := range []string{"r0-d0-i0", "r1-d1-i0", "r2-d0-i0"} {
		f.World.Run(time.Minute)
		f.Crash(id)
		f.World.Run(time.Minute)
		if i != 1 {
			f.Start(id)
		}
	}
	if whole {
		f.World.Run(53 * time.Minute)
	}
}

var scenarios = []scenario{
	{name: "one instance dies", play: func(f *rehearser.Fleet) { f.Crash("r1-d0-i0") }, retriedFor: 15 * time.Second, retried: 1},
	{name: "a failure domain dies", play: func(f *rehearser.Fleet) {
		f.Crash("r0-d0-i0")
		f.Crash("r0-d0-i1")
	}, retriedFor: 15 * time.Second, retried: 1},
	{name: "a region dies", play: func(f *rehearser.Fleet) { crashRegion(f, "r0") }, retriedFor: 30 * time.Second, failedFor: 30 * time.Second, retried: 1},
	{name: "an instance is paused for 30 s", play: func(f *rehearser.Fleet) {
		f.World.Pause("r2-d0-i0")
		f.World.Run(30 * time.Second)
		f.World.Resume("r2-d0-i0")
	}, retriedFor: 15 * time.Second, retried: 1},
	{name: "a region is cut off for 3 min", play: func(f *rehearser.Fleet) {
		f.CutRegion("r1", true)
		f.World.Run(3 * time.Minute)
		f.CutRegion("r1", false)
	}},
	{name: "all are replaced within 10 min", play: replaceAll},
	{name: "three crashes within an hour without a store", play: failWithinAnHour, retriedFor: time.Hour, retried: 0.05},
}

func TestCallersRecover(t *testing.T) {
	seeds := uint64(1)
	if whole {
		seeds = 10
	}
	for _, s := range scenarios {
		for seed := range seeds {
			f := rehearser.NewFleet(seed, rehearser.Shape{Regions: 3, Domains: 2, Instances: 10, Services: 3}, faker.WithLoss(0.01))
			callers := f.AddCallers(callersPerRegion)
			f.World.Run(30 * time.Second)
			callers.Reset()
			fault := f.World.Now()
			s.play(f)
			f.World.Run(time.Minute)
			retried, failed := callers.RetriedFor(fault), callers.FailedFor(fault)
			part := float64(callers.Retried) / float64(callers.Requests)
			t.Logf("%s, seed %d: %d requests, %d retried (%.4f) for %v, %d failed for %v",
				s.name, seed, callers.Requests, callers.Retried, part, retried, callers.Failed, failed)
			if retried > s.retriedFor || failed > s.failedFor || part > s.retried {
				t.Errorf("%s, seed %d: callers were not whole in time", s.name, seed)
			}
		}
	}
}

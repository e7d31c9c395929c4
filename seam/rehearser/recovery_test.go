package rehearser_test

import (
	"os"
	"testing"
	"time"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/rehearser"
)

// callersPerRegion is the number of callers in each region. Each caller sends a request
// every 500 ms.
const callersPerRegion = 10

// leaveLinger is how long an instance goes on serving after it announced that it is
// leaving. It is the default of the daemon.
const leaveLinger = 10 * time.Second

// scenario is a fault, with bounds on how long and how strongly callers are affected.
type scenario struct {
	name   string
	inject func(f *rehearser.Fleet)
	// lastRetryWithin is the longest time from the fault to the last retried request,
	// and lastFailureWithin is the longest time to the last failed request.
	lastRetryWithin   time.Duration
	lastFailureWithin time.Duration
	// maxRetriedFraction bounds the fraction of requests whose first instance didn't
	// respond.
	maxRetriedFraction float64
}

func crashRegion(f *rehearser.Fleet, region string) {
	for _, id := range f.InRegion(region) {
		f.Crash(id)
	}
}

// fullRun makes the test run the scenarios at full length with 10 seeds. Otherwise long
// scenarios are shortened, and each scenario runs with one seed.
var fullRun = os.Getenv("SEAM_WHOLE") != ""

func replaceInstances(f *rehearser.Fleet) {
	for i, id := range f.IDs() {
		if i >= 3 && !fullRun {
			return
		}
		f.Leave(id, leaveLinger)
		f.World.Run(leaveLinger + time.Second)
		f.Start(id)
		f.World.Run(time.Minute - leaveLinger - time.Second)
	}
}

func crashThreeInstances(f *rehearser.Fleet) {
	for i, id := range []string{"r0-d0-i0", "r1-d1-i0", "r2-d0-i0"} {
		f.World.Run(time.Minute)
		f.Crash(id)
		f.World.Run(time.Minute)
		if i != 1 {
			f.Start(id)
		}
	}
	if fullRun {
		f.World.Run(53 * time.Minute)
	}
}

var scenarios = []scenario{
	{name: "one instance dies", inject: func(f *rehearser.Fleet) { f.Crash("r1-d0-i0") }, lastRetryWithin: 15 * time.Second, maxRetriedFraction: 1},
	{name: "a failure domain dies", inject: func(f *rehearser.Fleet) {
		f.Crash("r0-d0-i0")
		f.Crash("r0-d0-i1")
	}, lastRetryWithin: 15 * time.Second, maxRetriedFraction: 1},
	{name: "a region dies", inject: func(f *rehearser.Fleet) { crashRegion(f, "r0") }, lastRetryWithin: 30 * time.Second, lastFailureWithin: 30 * time.Second, maxRetriedFraction: 1},
	{name: "an instance is paused for 30 s", inject: func(f *rehearser.Fleet) {
		f.World.Pause("r2-d0-i0")
		f.World.Run(30 * time.Second)
		f.World.Resume("r2-d0-i0")
	}, lastRetryWithin: 15 * time.Second, maxRetriedFraction: 1},
	{name: "a region is cut off for 3 min", inject: func(f *rehearser.Fleet) {
		f.CutRegion("r1", true)
		f.World.Run(3 * time.Minute)
		f.CutRegion("r1", false)
	}},
	{name: "all are replaced within 10 min", inject: replaceInstances},
	{name: "three crashes within an hour without a store", inject: crashThreeInstances, lastRetryWithin: time.Hour, maxRetriedFraction: 0.05},
}

// TestCallersRecover injects each fault into a fleet that loses 1 % of its messages. It
// checks that callers stop retrying and failing in time, because instances detect the
// fault and leave the affected instances out of their lookup results.
func TestCallersRecover(t *testing.T) {
	seeds := uint64(1)
	if fullRun {
		seeds = 10
	}
	for _, s := range scenarios {
		for seed := range seeds {
			f := rehearser.NewFleet(seed, rehearser.Shape{Regions: 3, Domains: 2, Instances: 10, Services: 3}, faker.WithLoss(0.01))
			callers := f.AddCallers(callersPerRegion)
			f.World.Run(30 * time.Second)
			callers.Reset()
			fault := f.World.Now()
			s.inject(f)
			f.World.Run(time.Minute)
			lastRetry, lastFailure := callers.LastRetryAfter(fault), callers.LastFailureAfter(fault)
			retriedFraction := float64(callers.Retried) / float64(callers.Requests)
			t.Logf("%s, seed %d: %d requests, %d retried (%.4f) for %v, %d failed for %v",
				s.name, seed, callers.Requests, callers.Retried, retriedFraction, lastRetry, callers.Failed, lastFailure)
			if lastRetry > s.lastRetryWithin || lastFailure > s.lastFailureWithin || retriedFraction > s.maxRetriedFraction {
				t.Errorf("%s, seed %d: callers did not recover in time", s.name, seed)
			}
		}
	}
}

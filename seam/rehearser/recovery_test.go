package rehearser_test

import (
	"os"
	"testing"
	"time"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/rehearser"
)

// callersPerRegion is the number of callers in each region. Each sends a request every
// 500 ms.
const callersPerRegion = 10

// leaveLinger is how long a leaving instance goes on serving by default.
const leaveLinger = 10 * time.Second

// scenario is a fault and bounds on its effect on callers.
type scenario struct {
	name   string
	inject func(f *rehearser.Fleet)
	// lastRetryWithin and lastFailureWithin bound the time from the fault to the last
	// request that was retried and that failed, respectively.
	lastRetryWithin   time.Duration
	lastFailureWithin time.Duration
	// maxRetriedPart bounds the fraction of requests whose first instance didn't
	// respond.
	maxRetriedPart float64
}

func crashRegion(f *rehearser.Fleet, region string) {
	for _, id := range f.InRegion(region) {
		f.Crash(id)
	}
}

// fullRun runs the scenarios at full length and with 10 seeds. Otherwise the long ones
// are shortened and run with one seed.
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
	{name: "one instance dies", inject: func(f *rehearser.Fleet) { f.Crash("r1-d0-i0") }, lastRetryWithin: 15 * time.Second, maxRetriedPart: 1},
	{name: "a failure domain dies", inject: func(f *rehearser.Fleet) {
		f.Crash("r0-d0-i0")
		f.Crash("r0-d0-i1")
	}, lastRetryWithin: 15 * time.Second, maxRetriedPart: 1},
	{name: "a region dies", inject: func(f *rehearser.Fleet) { crashRegion(f, "r0") }, lastRetryWithin: 30 * time.Second, lastFailureWithin: 30 * time.Second, maxRetriedPart: 1},
	{name: "an instance is paused for 30 s", inject: func(f *rehearser.Fleet) {
		f.World.Pause("r2-d0-i0")
		f.World.Run(30 * time.Second)
		f.World.Resume("r2-d0-i0")
	}, lastRetryWithin: 15 * time.Second, maxRetriedPart: 1},
	{name: "a region is cut off for 3 min", inject: func(f *rehearser.Fleet) {
		f.CutRegion("r1", true)
		f.World.Run(3 * time.Minute)
		f.CutRegion("r1", false)
	}},
	{name: "all are replaced within 10 min", inject: replaceInstances},
	{name: "three crashes within an hour without a store", inject: crashThreeInstances, lastRetryWithin: time.Hour, maxRetriedPart: 0.05},
}

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
			retriedPart := float64(callers.Retried) / float64(callers.Requests)
			t.Logf("%s, seed %d: %d requests, %d retried (%.4f) for %v, %d failed for %v",
				s.name, seed, callers.Requests, callers.Retried, retriedPart, lastRetry, callers.Failed, lastFailure)
			if lastRetry > s.lastRetryWithin || lastFailure > s.lastFailureWithin || retriedPart > s.maxRetriedPart {
				t.Errorf("%s, seed %d: callers did not recover in time", s.name, seed)
			}
		}
	}
}

package conductor_test

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// fakeEndpoint is a simulated endpoint with slots, a queue and a limited number of
// warm objects.
type fakeEndpoint struct {
	spec         router.Endpoint
	region       string
	down         bool
	runningCount int
	queue        []attempt
	// generation counts the crashes. An attempt that was running when the endpoint
	// crashed ends without a response.
	generation   int
	warmObjects  []uint32
	warmCapacity int
	shedRatio    float64
	// limit is what the endpoint's answers state of its rate limit.
	limit     router.RateLimit
	coldUntil time.Time
	arrivals  []time.Time
	// maxColdArrivals is the largest number of arrivals within a second while the
	// endpoint was cold.
	maxColdArrivals int
	runs            int
	// warmRuns counts the runs whose object was warm.
	warmRuns int
}

type attempt struct {
	work
	digest uint64
	done   func(status int, notRun bool)
}

// arrive starts, queues or sheds an attempt.
func (e *fakeEndpoint) arrive(sim *simulation, a attempt) {
	e.arrivals = append(e.arrivals, sim.now)
	if sim.now.Before(e.coldUntil) {
		e.maxColdArrivals = max(e.maxColdArrivals, countSince(e.arrivals, sim.now.Add(-time.Second)))
	}
	switch {
	case sim.rng.Float64() < e.shedRatio, e.runningCount >= e.spec.Slots && len(e.queue) >= 3*e.spec.Slots:
		a.done(http.StatusServiceUnavailable, true)
	case e.runningCount >= e.spec.Slots:
		e.queue = append(e.queue, a)
	default:
		e.start(sim, a)
	}
}

// countSince returns how many entries of an ascending list of times are later than
// since.
func countSince(list []time.Time, since time.Time) int {
	count := 0
	for i := len(list) - 1; i >= 0 && list[i].After(since); i-- {
		count++
	}
	return count
}

func (e *fakeEndpoint) start(sim *simulation, a attempt) {
	e.runningCount++
	e.runs++
	duration := float64(sim.timings.coldRun*a.factor) * (0.85 + 0.3*sim.rng.Float64())
	if index := slices.Index(e.warmObjects, a.object); index >= 0 {
		duration *= warmRatio
		e.warmRuns++
		e.warmObjects = slices.Delete(e.warmObjects, index, index+1)
	}
	e.warmObjects = append(e.warmObjects, a.object)
	if len(e.warmObjects) > e.warmCapacity {
		e.warmObjects = e.warmObjects[1:]
	}
	if sim.now.Before(e.coldUntil) {
		duration *= 2
	}
	duration *= e.workTime(sim)
	generation := e.generation
	if a.digest == sim.deadly && sim.deadly != 0 {
		sim.after(crashDelay, func() {
			if e.generation == generation {
				sim.crashes = append(sim.crashes, sim.now)
				e.crash()
				sim.after(crashPause, func() { e.startAnew(sim) })
			}
			a.done(0, false)
		})
		return
	}
	sim.after(time.Duration(duration), func() {
		if e.generation != generation {
			a.done(0, false)
			return
		}
		e.runningCount--
		a.done(http.StatusOK, false)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.start(sim, next)
		}
	})
}

// workTime returns how long work takes at the endpoint at the moment, as a multiple of the usual
// time.
func (e *fakeEndpoint) workTime(sim *simulation) float64 {
	if sim.slowShare == 0 {
		return 1
	}
	period := sim.now.UnixNano() / int64(sim.slowPeriod)
	if float64(placer.Hash32(fmt.Sprint(period, e.spec.ID))%1000) < 1000*sim.slowShare {
		return sim.slowFactor
	}
	return 1
}

// load returns what the endpoint's answers state of its load.
func (e *fakeEndpoint) load(sim *simulation) router.ReportedLoad {
	if !sim.slownessReported {
		return router.ReportedLoad{}
	}
	return router.ReportedLoad{WorkTimePercent: int(100 * e.workTime(sim))}
}

// crash stops the endpoint; its attempts get no response.
func (e *fakeEndpoint) crash() {
	e.down = true
	e.generation++
	e.runningCount = 0
	for _, a := range e.queue {
		a.done(0, false)
	}
	e.queue = nil
	e.warmObjects = nil
}

// crashDelay is how long a deadly request runs before its endpoint ends, and crashPause how
// long the endpoint is gone.
const (
	crashDelay = 50 * time.Millisecond
	crashPause = 3 * time.Second
)

// startAnew begins a new lifetime of the endpoint, and all instances learn of it.
func (e *fakeEndpoint) startAnew(sim *simulation) {
	e.down = false
	e.spec.StartedAtMs++
	for _, i := range sim.instances {
		sim.updateEndpoints(i)
	}
}

// restartCold starts the endpoint again, cold, while its entry in the endpoint list
// still shows it as warmed up.
func (e *fakeEndpoint) restartCold(sim *simulation, cold time.Duration) {
	e.down = false
	e.coldUntil = sim.now.Add(cold)
}

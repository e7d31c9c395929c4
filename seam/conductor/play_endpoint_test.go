package conductor_test

import (
	"net/http"
	"slices"
	"time"

	"primroseseam.org/seam/router"
)

// fakeEndpoint is an endpoint of the played world.
type fakeEndpoint struct {
	spec    router.Endpoint
	region  string
	down    bool
	running int
	queue   []job
	// life counts the starts; what an earlier one worked on ends with a reset.
	life     int
	kept     []uint32
	keeps    int
	shed     float64
	coldTill time.Time
	arrivals []time.Time
	// coldMost is the most arrivals in any second while it was cold.
	coldMost int
	runs     int
	// hits counts the runs whose object was warm.
	hits int
}

type job struct {
	object uint32
	done   func(status int, notRun bool)
}

// arrive takes a request at an endpoint.
func (e *fakeEndpoint) arrive(w *world, j job) {
	e.arrivals = append(e.arrivals, w.now)
	if w.now.Before(e.coldTill) {
		e.coldMost = max(e.coldMost, within(e.arrivals, w.now.Add(-time.Second)))
	}
	switch {
	case w.rng.Float64() < e.shed, e.running >= e.spec.Slots && len(e.queue) >= 3*e.spec.Slots:
		j.done(http.StatusServiceUnavailable, true)
	case e.running >= e.spec.Slots:
		e.queue = append(e.queue, j)
	default:
		e.start(w, j)
	}
}

// within counts the times after a moment, of a list that grows.
func within(list []time.Time, since time.Time) int {
	count := 0
	for i := len(list) - 1; i >= 0 && list[i].After(since); i-- {
		count++
	}
	return count
}

func (e *fakeEndpoint) start(w *world, j job) {
	e.running++
	e.runs++
	length := float64(w.times.work) * (0.85 + 0.3*w.rng.Float64())
	if at := slices.Index(e.kept, j.object); at >= 0 {
		length *= warmPart
		e.hits++
		e.kept = slices.Delete(e.kept, at, at+1)
	}
	e.kept = append(e.kept, j.object)
	if len(e.kept) > e.keeps {
		e.kept = e.kept[1:]
	}
	if w.now.Before(e.coldTill) {
		length *= 2
	}
	life := e.life
	w.after(time.Duration(length), func() {
		if e.life != life {
			j.done(0, false)
			return
		}
		e.running--
		j.done(http.StatusOK, false)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.start(w, next)
		}
	})
}

// crash ends an endpoint; what it works on gets no answer.
func (e *fakeEndpoint) crash() {
	e.down = true
	e.life++
	e.running = 0
	for _, j := range e.queue {
		j.done(0, false)
	}
	e.queue = nil
	e.kept = nil
}

// comeBack starts it again, cold, before its entry says so.
func (e *fakeEndpoint) comeBack(w *world, cold time.Duration) {
	e.down = false
	e.coldTill = w.now.Add(cold)
}

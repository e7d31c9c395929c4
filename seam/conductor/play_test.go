package conductor_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// A world plays a deployment in virtual time: instances of the loop, endpoints
// with slots that keep some objects warm, callers, heartbeats and delays.
type world struct {
	// lost is the part of the heartbeats that get lost.
	lost      float64
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	events    events
	order     int
	zones     map[string]string
	config    *router.Config
	instances []*instance
	endpoints map[string]*fakeEndpoint
	requests  uint64
	answers   []answer
	// admitted holds when each request of a team reached an endpoint.
	admitted map[string][]time.Time
	runs     []run
	// times.work is the time of a cold run; a warm one takes warmPart of it.
	times times
}

const (
	warmPart = 0.3
	farWay   = 28 * time.Millisecond
	nearWay  = time.Millisecond
	playRate = 200 * time.Millisecond
)

type instance struct {
	id, zone string
	model    *conductor.Model
	serial   uint64
	started  int64
	idle     connections
	// cut instances hear no others and are not heard.
	cut bool
}

// answer is what a caller got.
type answer struct {
	at     time.Time
	took   time.Duration
	status int
	team   string
	target time.Duration
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, do: do})
}

// run plays for a time.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

const (
	service  = "pages"
	host     = "pages.example"
	coldRate = 18.0
)

// times are a route's target and timeout, and how long a cold run takes.
type times struct{ target, timeout, work time.Duration }

var quick = times{target: 200 * time.Millisecond, timeout: 1500 * time.Millisecond, work: 300 * time.Millisecond}

// newWorld returns three regions with instances and endpoints, as many in each
// region as the lists say.
func newWorld(t *testing.T, seed uint64, instances, endpoints [3]int, slots, keeps int, teams []router.Team) *world {
	t.Helper()
	return newWorldOf(t, seed, instances, endpoints, slots, keeps, teams, quick)
}

func newWorldOf(t *testing.T, seed uint64, instances, endpoints [3]int, slots, keeps int, teams []router.Team, times times) *world {
	t.Helper()
	w := &world{
		times: times,
		t:     t, rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), zones: map[string]string{},
		endpoints: map[string]*fakeEndpoint{}, admitted: map[string][]time.Time{},
	}
	w.config = router.NewConfig(1, []router.Route{{
		Name: "r", Host: host, Prefix: "/", Idempotent: true, Timeout: times.timeout, Target: times.target,
		MaxAttempts: 2, Sticky: true, Parts: []router.Part{{Service: service, Weight: 1}},
	}, {
		Name: "pay", Host: host, Prefix: "/pay/", Timeout: times.timeout, Target: times.target,
		MaxAttempts: 3, Parts: []router.Part{{Service: service, Weight: 1}},
	}}, []router.Service{{Name: service, Warmup: 3 * time.Second, ColdRate: coldRate}}, teams, router.Limits{})
	for r := range 3 {
		w.zones[zone(r)] = region(r)
	}
	for r := range 3 {
		for i := range endpoints[r] {
			id := fmt.Sprintf("e-%d-%d", r, i)
			w.endpoints[id] = &fakeEndpoint{
				spec:   router.Endpoint{ID: id, Address: id, Service: service, Zone: zone(r), Slots: slots},
				region: region(r), keeps: keeps,
			}
		}
		for i := range instances[r] {
			w.addInstance(fmt.Sprintf("edge-%d-%d", r, i), zone(r))
		}
	}
	w.run(2 * time.Second)
	return w
}

func zone(r int) string   { return fmt.Sprintf("zone-%d", r) }
func region(r int) string { return fmt.Sprintf("region-%d", r) }

var playBounds = conductor.Bounds{RetryRatio: 0.2, RetryExtra: 60}

func (w *world) addInstance(id, zone string) *instance {
	i := &instance{id: id, zone: zone}
	w.instances = append(w.instances, i)
	w.restart(i)
	for _, to := range []conductor.Audience{conductor.SameRegion, conductor.OtherRegions} {
		w.after(w.upTo(playRate), func() { w.beat(i, to) })
	}
	return i
}

// restart starts an instance anew, without what it knew.
func (w *world) restart(i *instance) {
	i.started++
	i.serial = 0
	i.idle = connections{}
	connected := func(address string, once bool) bool { return i.idle.has(w.now, address, once) }
	i.model = conductor.New(conductor.WithSelf(i.id, i.zone, w.zones), conductor.WithBounds(playBounds),
		conductor.WithSeed(w.rng.Uint64()), conductor.WithConnected(connected))
	i.model.Update(w.now, conductor.ConfigSeen{Config: w.config})
	w.tellEndpoints(i)
}

func (w *world) tellEndpoints(i *instance) {
	var list []router.Endpoint
	for _, e := range w.endpoints {
		list = append(list, e.spec)
	}
	i.model.Update(w.now, conductor.EndpointsSeen{Endpoints: list})
}

// beat sends a heartbeat to an audience and plans the next.
func (w *world) beat(i *instance, to conductor.Audience) {
	i.model.Update(w.now, conductor.Ticked{})
	i.serial++
	w.tell(i, to)
	near := 0
	for _, other := range w.instances {
		if w.zones[other.zone] == w.zones[i.zone] {
			near++
		}
	}
	every := conductor.HeartbeatInterval(to, near, len(w.instances))
	w.after(every/2+w.upTo(every), func() { w.beat(i, to) })
}

// tell sends a heartbeat to the instances of an audience.
func (w *world) tell(i *instance, to conductor.Audience) {
	b := i.model.Heartbeat(w.now, to)
	b.Started = i.started
	b.Serial = i.serial
	for _, other := range w.instances {
		far := w.zones[other.zone] != w.zones[i.zone]
		if other == i || i.cut || far != (to == conductor.OtherRegions) || w.rng.Float64() < w.lost {
			continue
		}
		w.after(w.way(far), func() {
			if !other.cut {
				other.model.Update(w.now, conductor.HeartbeatReceived{Heartbeat: b})
			}
		})
	}
}

func (w *world) way(far bool) time.Duration {
	if far {
		return farWay
	}
	return nearWay
}

// load lets callers ask an instance at a rate per second, for a time. Objects
// are drawn from a number of them that belong to the instance's region.
func (w *world) load(i *instance, perSecond float64, objects int, key, path string, until time.Duration) {
	end := w.now.Add(until)
	var next func()
	next = func() {
		if w.now.After(end) {
			return
		}
		object := placer.Hash32(fmt.Sprint(w.zones[i.zone], w.rng.IntN(objects)))
		w.ask(i, object, key, path, 2*w.times.timeout, w.now, 1)
		w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	w.after(time.Duration(w.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// ask sends a request. Callers that are refused come back once.
func (w *world) ask(i *instance, object uint32, key, path string, left time.Duration, first time.Time, retries int) {
	w.requests++
	id := w.requests
	w.carry(i, key, i.model.Update(w.now, conductor.RequestArrived{
		ID: id, Host: host, Path: path, Key: key, Object: object, CallerTimeLeft: left, Read: w.now,
	}), func(status int, after time.Duration) {
		i.model.Update(w.now, conductor.RequestEnded{ID: id})
		gone := w.now.Sub(first)
		if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && retries > 0 && after > 0 {
			w.after(min(after, (left-gone)/3), func() {
				w.ask(i, object, key, path, 2*w.times.timeout-w.now.Sub(first), first, retries-1)
			})
			return
		}
		w.answers = append(w.answers, answer{at: first, took: gone, status: status, team: key, target: w.times.target})
	}, object)
}

// carry carries out commands until the request has its answer.
func (w *world) carry(i *instance, team string, cmds []conductor.Cmd, done func(int, time.Duration), object uint32) {
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case conductor.Refuse:
			done(cmd.Status, cmd.RetryAfter)
		case conductor.Deliver:
			done(http.StatusOK, 0)
		case conductor.Send:
			w.send(i, team, cmd, done, object)
		}
	}
}

func (w *world) send(i *instance, team string, cmd conductor.Send, done func(int, time.Duration), object uint32) {
	e := w.endpoints[cmd.Endpoint]
	if e == nil {
		e = &fakeEndpoint{down: true}
	}
	way := w.way(e.region != w.zones[i.zone])
	var opening time.Duration
	if !i.idle.take(w.now, cmd.Address, !cmd.Repeatable) {
		opening = 2 * way
	}
	idle := i.idle
	end := func(o conductor.Outcome) {
		o.Connect = opening
		w.after(way, func() {
			if o.Answered {
				idle.put(w.now, cmd.Address)
			}
			w.carry(i, team, i.model.Update(w.now, conductor.AttemptEnded{ID: cmd.ID, Outcome: o}), done, object)
		})
	}
	w.after(opening+way, func() {
		if e.down {
			end(conductor.Outcome{Unreachable: true, Refused: true, NotRun: true})
			return
		}
		w.admitted[team] = append(w.admitted[team], w.now)
		w.runs = append(w.runs, run{at: w.now, from: w.zones[i.zone], in: e.region})
		e.arrive(w, job{object: object, done: func(status int, notRun bool) {
			end(conductor.Outcome{Answered: status > 0, Status: status, NotRun: notRun})
		}})
	})
}

// inTime returns the part of answers from a moment on that came within their
// target, and the part that was refused or failed.
func (w *world) inTime(since time.Time) (good, bad float64) {
	total := 0
	for _, a := range w.answers {
		if a.at.Before(since) {
			continue
		}
		total++
		switch {
		case a.status != http.StatusOK:
			bad++
		case a.took <= a.target:
			good++
		}
	}
	if total == 0 {
		w.t.Fatal("no answers")
	}
	return good / float64(total), bad / float64(total)
}

// mostWithin returns the most times within any window of a length.
func mostWithin(list []time.Time, window time.Duration) int {
	slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
	most, first := 0, 0
	for i := range list {
		for list[i].Sub(list[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// upTo returns a random time below d.
func (w *world) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

// run is where and when a request of a region's callers ran.
type run struct {
	at       time.Time
	from, in string
}

// mostShift returns the greatest part of a region's requests that changed the
// region in which they ran from one window to the next. Windows with few
// requests are left out.
func mostShift(runs []run, from string, window time.Duration, few int) float64 {
	counts := map[int64]map[string]int{}
	var first, last int64
	for _, r := range runs {
		if r.from != from {
			continue
		}
		n := r.at.UnixNano() / int64(window)
		if counts[n] == nil {
			counts[n] = map[string]int{}
		}
		counts[n][r.in]++
		counts[n][""]++
		if first == 0 {
			first = n
		}
		last = n
	}
	most := 0.0
	for n := first + 1; n < last; n++ {
		a, b := counts[n-1], counts[n]
		if a[""] < few || b[""] < few {
			continue
		}
		moved := 0.0
		for _, in := range []string{region(0), region(1), region(2)} {
			d := float64(b[in])/float64(b[""]) - float64(a[in])/float64(a[""])
			moved += max(d, 0)
		}
		most = max(most, moved)
	}
	return most
}

// warmth returns the part of runs whose object was warm, by region.
func (w *world) warmth() map[string]float64 {
	runs, hits := map[string]int{}, map[string]int{}
	for _, e := range w.endpoints {
		runs[e.region] += e.runs
		hits[e.region] += e.hits
	}
	parts := map[string]float64{}
	for r := range runs {
		parts[r] = float64(hits[r]) / float64(max(runs[r], 1))
	}
	return parts
}

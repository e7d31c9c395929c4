package decider_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/picker"
)

// reportAge is how old an endpoint's report is when it arrives, and how often
// one is made.
const reportAge = time.Second

// shape is one region's part of a deployment, for one service.
type shape struct {
	name      string
	instances int
	endpoints int
	slots     int
	work      time.Duration
	// hop is the one-way latency between failure domains.
	hop time.Duration
}

// shapes are the sizes of both deployments, one region of each service.
var shapes = []shape{
	{"nathibandh-index", 3, 4, 3, 20 * time.Millisecond, time.Millisecond},
	{"nathibandh-stamping", 4, 4, 3, 30 * time.Millisecond, time.Millisecond},
	{"nathibandh-archive", 4, 5, 3, 40 * time.Millisecond, time.Millisecond},
	{"lonestar-lessons", 4, 5, 7, 20 * time.Millisecond, 500 * time.Microsecond},
	{"lonestar-payments", 4, 4, 4, 30 * time.Millisecond, 500 * time.Microsecond},
	{"lonestar-transcripts", 3, 4, 7, 20 * time.Millisecond, 500 * time.Microsecond},
}

// sameDomainHop is the one-way latency inside a failure domain.
const sameDomainHop = 100 * time.Microsecond

// call is one request of a trace.
type call struct {
	at       time.Duration
	instance int
	team     int
	work     time.Duration
}

// trace makes the same arrivals for every policy: Poisson in time, exponential
// work, spread over instances and teams.
func (s shape) trace(seed uint64, load float64, length time.Duration) []call {
	rng := rand.New(rand.NewPCG(seed, 7))
	rate := load * float64(s.endpoints*s.slots) / s.work.Seconds()
	var calls []call
	at := 0.0
	for {
		at += rng.ExpFloat64() / rate
		if at > length.Seconds() {
			return calls
		}
		calls = append(calls, call{
			at:       time.Duration(at * float64(time.Second)),
			instance: rng.IntN(s.instances), team: rng.IntN(8),
			work: time.Duration(rng.ExpFloat64() * float64(s.work)),
		})
	}
}

// upstream is an endpoint with slots and a queue of its own.
type upstream struct {
	address  string
	domain   int
	slots    int
	busy     int
	most     int
	waiting  []func()
	liar     bool
	drained  bool
	failFast bool
	received int
}

// fleet runs models of one region against upstreams on a virtual clock.
type fleet struct {
	shape  shape
	world  *faker.World
	config *configurer.Config
	models []*decider.Model
	opts   []decider.Option
	// idempotent allows hedges, which the comparison of policies leaves out.
	idempotent bool
	upstreams  []*upstream
	byAddress  map[string]*upstream
	legs       map[uint64]*fleetLeg
	nextID     uint64
	passes     int
	down       map[int]bool
	// late counts requests that reached a drained endpoint after lateFrom.
	lateFrom time.Time
	late     int
	outcomes []outcome
}

// fleetLeg follows one request at one instance; origin is nil at the entry.
type fleetLeg struct {
	call     call
	at       int
	origin   *fleetLeg
	originID uint64
	arrived  time.Time
	outcome  *outcome
}

// outcome is what became of a call.
type outcome struct {
	call  call
	wait  time.Duration
	total time.Duration
	code  coder.Code
	ran   coder.Ran
	runs  int
	done  bool
}

type fleetOption func(*fleet)

func withPolicy(p picker.Policy) fleetOption {
	return func(f *fleet) { f.opts = append(f.opts, decider.WithPolicy(p)) }
}

func withIdempotent() fleetOption { return func(f *fleet) { f.idempotent = true } }

func newFleet(t testing.TB, s shape, opts ...fleetOption) *fleet {
	t.Helper()
	f := &fleet{shape: s, world: faker.NewWorld(1), byAddress: map[string]*upstream{}, legs: map[uint64]*fleetLeg{}, down: map[int]bool{}}
	for _, opt := range opts {
		opt(f)
	}
	f.config = f.configure(t, 1, nil)
	for i, e := range f.config.Services()[0].Endpoints {
		u := &upstream{address: e.Address, domain: i % 2, slots: s.slots}
		f.upstreams = append(f.upstreams, u)
		f.byAddress[u.address] = u
	}
	for i := range s.instances {
		f.models = append(f.models, nil)
		f.start(i)
	}
	f.report()
	return f
}

func (f *fleet) configure(t testing.TB, version int64, draining []int) *configurer.Config {
	t.Helper()
	svc := configurer.Service{Name: "svc", Timeout: configurer.Duration(2 * time.Second)}
	for i := range f.shape.endpoints {
		svc.Endpoints = append(svc.Endpoints, configurer.Endpoint{
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), Region: "west", FailureDomain: "west-a",
			Slots: f.shape.slots, MaxConnections: 360, Draining: slices.Contains(draining, i),
		})
	}
	d := configurer.Defaults{
		FleetSize: 1,
		Regions:   []configurer.Region{{Name: "west", FailureDomains: []string{"west-a"}}},
		Services:  []configurer.Service{svc},
		Routes:    []configurer.Route{{PathPrefix: "/", Service: "svc", OpenToAll: true, Idempotent: f.idempotent}},
	}
	for i := range 8 {
		d.Teams = append(d.Teams, configurer.Team{Name: fmt.Sprint("team-", i), RatePerSecond: 1e6, Burst: 1e6, Weight: 1})
	}
	c, err := configurer.New(configurer.Document{Defaults: d}, version)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func nodeName(i int) string { return fmt.Sprint("seamd-", i) }

// start gives an instance a new model, as after a start of its process.
func (f *fleet) start(i int) {
	opts := append([]decider.Option{
		decider.WithSelf(decider.NewSelf(nodeName(i), "west", "west-a")), decider.WithSeed(uint64(i) + 1),
	}, f.opts...)
	m := decider.New(opts...)
	f.models[i] = m
	f.update(i, decider.ConfigChanged{Config: f.config})
	var records []authenticator.Record
	for k := range 8 {
		records = append(records, authenticator.Record{Digest: teamKey(k), Team: fmt.Sprint("team-", k)})
	}
	f.update(i, decider.KeysChanged{Keys: authenticator.NewKeyring(records)})
	var peers []decider.Peer
	for p := range f.shape.instances {
		peers = append(peers, decider.Peer{ID: nodeName(p), Region: "west", Incarnation: f.world.Incarnation(nodeName(p))})
	}
	f.update(i, decider.PeersChanged{Peers: peers})
	f.tick(i)
}

func teamKey(team int) authenticator.Digest { return authenticator.DigestOf(fmt.Sprint("key-", team)) }

func (f *fleet) tick(i int) {
	f.world.After(nodeName(i), 50*time.Millisecond, func() {
		f.update(i, decider.Ticked{})
		f.tick(i)
	})
}

// report brings every endpoint's load to all instances, a second late.
func (f *fleet) report() {
	f.world.After("", reportAge, func() {
		for _, u := range f.upstreams {
			load := u.busy + len(u.waiting)
			if u.liar {
				load = 0
			}
			for i := range f.models {
				f.world.After(nodeName(i), reportAge, func() {
					f.update(i, decider.LoadReported{Service: "svc", Endpoint: u.address, Load: load})
				})
			}
		}
		for i, m := range f.models {
			loads := m.Loads(f.world.Now())
			for to := range f.models {
				f.world.After(nodeName(to), reportAge, func() {
					f.update(to, decider.PeerLoadsReported{Peer: nodeName(i), Loads: loads})
				})
			}
		}
		f.report()
	})
}

// between is the one-way latency between two places, by failure domain.
func (s shape) between(a, b int) time.Duration {
	if a%2 == b%2 {
		return sameDomainHop
	}
	return s.hop
}

// play schedules the calls and runs until all are settled.
func (f *fleet) play(calls []call, length time.Duration) []outcome {
	f.schedule(calls)
	f.world.Run(length + 5*time.Second)
	return f.outcomes
}

func (f *fleet) schedule(calls []call) {
	f.outcomes = make([]outcome, len(calls))
	for k, c := range calls {
		f.outcomes[k] = outcome{call: c}
		f.world.After("", c.at, func() {
			at := c.instance
			for f.down[at] {
				// Callers go to another instance.
				at = (at + 1) % f.shape.instances
			}
			f.nextID++
			id := f.nextID
			f.legs[id] = &fleetLeg{call: c, at: at, arrived: f.world.Now(), outcome: &f.outcomes[k]}
			f.world.After(nodeName(at), 0, func() {
				f.update(at, decider.RequestArrived{ID: id, HasKey: true, Key: teamKey(c.team), Path: "/x", Repeatable: true})
			})
		})
	}
}

func (f *fleet) update(i int, msg decider.Msg) {
	for _, cmd := range f.models[i].Update(f.world.Now(), msg) {
		switch c := cmd.(type) {
		case decider.Forward:
			f.forward(i, c)
		case decider.Pass:
			f.pass(i, c)
		case decider.Refuse:
			f.refused(c)
		}
	}
}

func (f *fleet) forward(i int, c decider.Forward) {
	l := f.legs[c.ID]
	u := f.byAddress[c.Endpoint]
	hop := f.shape.between(i, u.domain)
	from := nodeName(i)
	f.world.After("", hop, func() {
		u.received++
		if u.drained && f.world.Now().After(f.lateFrom) {
			f.late++
		}
		f.serve(u, l, func(failed bool) {
			f.world.After(from, hop, func() { f.answered(i, c, l, failed) })
		})
	})
}

// serve runs a request at an endpoint when a slot is free.
func (f *fleet) serve(u *upstream, l *fleetLeg, done func(failed bool)) {
	u.most = max(u.most, u.busy+len(u.waiting)+1)
	run := func() {
		work := l.call.work
		if u.failFast {
			work = time.Millisecond
		} else if l.outcome.runs++; l.outcome.runs == 1 {
			l.outcome.wait = f.world.Now().Sub(faker.Epoch.Add(l.call.at))
		}
		f.world.After("", work, func() {
			u.busy--
			done(u.failFast)
			if len(u.waiting) > 0 {
				next := u.waiting[0]
				u.waiting = u.waiting[1:]
				u.busy++
				next()
			}
		})
	}
	if u.busy >= u.slots {
		u.waiting = append(u.waiting, run)
		return
	}
	u.busy++
	run()
}

// answered tells the instance, then the one that passed the request on.
func (f *fleet) answered(i int, c decider.Forward, l *fleetLeg, failed bool) {
	end := decider.ForwardEnded{ID: c.ID, Endpoint: c.Endpoint, Ran: coder.HasRun, Committed: !failed}
	if failed {
		end.Result, end.Ran = coder.UpstreamFailed, coder.NotRun
	}
	if !failed {
		f.answer(l, decider.PassEnded{Peer: nodeName(i), Ran: coder.HasRun, Committed: true})
	}
	f.update(i, end)
}

// answer ends a request at its entry, or sends the end to the instance before.
func (f *fleet) answer(l *fleetLeg, end decider.PassEnded) {
	if l.origin == nil {
		if !l.outcome.done {
			l.outcome.done = true
			l.outcome.code, l.outcome.ran = end.Result, end.Ran
			l.outcome.total = f.world.Now().Sub(l.arrived)
		}
		return
	}
	end.ID = l.originID
	at := l.origin.at
	f.world.After(nodeName(at), f.shape.between(l.at, at), func() {
		if end.Committed {
			f.answer(l.origin, end)
		}
		f.update(at, end)
	})
}

func (f *fleet) refused(c decider.Refuse) {
	l := f.legs[c.ID]
	f.answer(l, decider.PassEnded{Peer: nodeName(l.at), Result: c.Code, Ran: c.Ran, Refused: true, RetryAfter: c.RetryAfter})
}

// pass carries a request to a peer; a crashed one refuses the connection.
func (f *fleet) pass(i int, c decider.Pass) {
	f.passes++
	var to int
	_, _ = fmt.Sscanf(c.Peer, "seamd-%d", &to)
	if f.down[to] {
		f.world.After(nodeName(i), f.shape.hop, func() {
			f.update(i, decider.PassEnded{ID: c.ID, Peer: c.Peer, Result: coder.UpstreamFailed, Ran: coder.NotRun})
		})
		return
	}
	l := f.legs[c.ID]
	f.nextID++
	id := f.nextID
	f.legs[id] = &fleetLeg{call: l.call, at: to, origin: l, originID: c.ID, arrived: f.world.Now(), outcome: l.outcome}
	f.world.After(nodeName(to), f.shape.between(i, to), func() {
		f.update(to, decider.PassedRequestArrived{
			ID: id, From: nodeName(i), Team: c.Team, Service: c.Service, Idempotent: c.Idempotent,
			Repeatable: true, Affinity: c.Affinity, Deadline: c.Deadline,
		})
	})
}

// quantile returns the wait below which a part of the answered calls lies.
func quantile(outcomes []outcome, q float64) time.Duration {
	var waits []time.Duration
	for _, o := range outcomes {
		if o.done && o.code == coder.OK {
			waits = append(waits, o.wait)
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[int(q*float64(len(waits)-1))]
}

// unanswered counts the calls that got no proper answer.
func unanswered(outcomes []outcome) int {
	n := 0
	for _, o := range outcomes {
		if !o.done || o.code != coder.OK {
			n++
		}
	}
	return n
}

// crash ends an instance; those that passed it requests see broken connections.
func (f *fleet) crash(i int) {
	f.world.Crash(nodeName(i))
	f.down[i] = true
	ids := slices.Sorted(maps.Keys(f.legs))
	for _, id := range ids {
		l := f.legs[id]
		if l.at != i || l.outcome.done {
			continue
		}
		if l.origin == nil {
			l.outcome.done, l.outcome.code = true, coder.OutcomeUnknown
			continue
		}
		end := decider.PassEnded{ID: l.originID, Peer: nodeName(i), Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}
		f.world.After(nodeName(l.origin.at), f.shape.hop, func() { f.update(l.origin.at, end) })
	}
}

// restart starts a crashed instance anew.
func (f *fleet) restart(i int) {
	f.down[i] = false
	f.start(i)
}

// reconfigure gives all instances a newer configuration.
func (f *fleet) reconfigure(t testing.TB, draining []int) {
	f.config = f.configure(t, f.config.Version()+1, draining)
	for k, u := range f.upstreams {
		u.drained = slices.Contains(draining, k)
		u.most = u.busy
	}
	for i := range f.models {
		f.update(i, decider.ConfigChanged{Config: f.config})
	}
}

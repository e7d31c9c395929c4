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

// reportAge is both the age of a load report when it arrives and the interval between
// two reports.
const reportAge = time.Second

// topology describes one service in one region of a deployment.
type topology struct {
	name      string
	instances int
	endpoints int
	slots     int
	// serviceTime is the mean time for which a request occupies a slot.
	serviceTime time.Duration
	// crossDomainLatency is the one-way network latency between failure domains.
	crossDomainLatency time.Duration
}

// topologies are the services of both tested deployments, each in one region.
var topologies = []topology{
	{"nathibandh-index", 3, 4, 3, 20 * time.Millisecond, time.Millisecond},
	{"nathibandh-stamping", 4, 4, 3, 30 * time.Millisecond, time.Millisecond},
	{"nathibandh-archive", 4, 5, 3, 40 * time.Millisecond, time.Millisecond},
	{"lonestar-lessons", 4, 5, 7, 20 * time.Millisecond, 500 * time.Microsecond},
	{"lonestar-payments", 4, 4, 4, 30 * time.Millisecond, 500 * time.Microsecond},
	{"lonestar-transcripts", 3, 4, 7, 20 * time.Millisecond, 500 * time.Microsecond},
}

// sameDomainLatency is the one-way network latency inside a failure domain.
const sameDomainLatency = 100 * time.Microsecond

// call is one request of a trace.
type call struct {
	at          time.Duration
	instance    int
	team        int
	serviceTime time.Duration
}

// trace returns calls with Poisson arrivals and exponential service times, spread
// evenly over instances and teams. load is the part of the slots that they keep busy.
// All policies are compared on the same trace.
func (s topology) trace(seed uint64, load float64, length time.Duration) []call {
	rng := rand.New(rand.NewPCG(seed, 7))
	rate := load * float64(s.endpoints*s.slots) / s.serviceTime.Seconds()
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
			serviceTime: time.Duration(rng.ExpFloat64() * float64(s.serviceTime)),
		})
	}
}

// upstream simulates an endpoint with slots and a queue of its own.
type upstream struct {
	address     string
	domain      int
	slots       int
	busy        int
	maxInFlight int
	queue       []func()
	// reportsZero makes the endpoint report a load of 0, whatever it has.
	reportsZero bool
	drained     bool
	failFast    bool
	received    int
}

// fleet simulates the instances and endpoints of one region on a virtual clock.
type fleet struct {
	topology topology
	world    *faker.World
	config   *configurer.Config
	models   []*decider.Model
	opts     []decider.Option
	// idempotent makes the route idempotent, which allows hedges. The comparison of
	// policies runs without them.
	idempotent bool
	upstreams  []*upstream
	byAddress  map[string]*upstream
	requests   map[uint64]*trackedRequest
	nextID     uint64
	passes     int
	down       map[int]bool
	// afterDrain counts the requests that reached drained endpoints after drainedFrom.
	drainedFrom time.Time
	afterDrain  int
	outcomes    []outcome
}

// trackedRequest is a call's request at one instance. If a peer passed it on, origin
// is the request at that peer; at the instance that the caller chose, it is nil.
type trackedRequest struct {
	call call
	// at is the index of the instance.
	at       int
	origin   *trackedRequest
	originID uint64
	arrived  time.Time
	outcome  *outcome
}

// outcome is the result of a call.
type outcome struct {
	call call
	// wait is the time until the call first started to run at an endpoint.
	wait time.Duration
	// total is the time until the answer or refusal.
	total time.Duration
	code  coder.Code
	ran   coder.Ran
	// runs counts the times that an endpoint ran the call.
	runs int
	done bool
}

type fleetOption func(*fleet)

func withPolicy(p picker.Policy) fleetOption {
	return func(f *fleet) { f.opts = append(f.opts, decider.WithPolicy(p)) }
}

func withIdempotent() fleetOption { return func(f *fleet) { f.idempotent = true } }

func newFleet(t testing.TB, s topology, opts ...fleetOption) *fleet {
	t.Helper()
	f := &fleet{topology: s, world: faker.NewWorld(1), byAddress: map[string]*upstream{}, requests: map[uint64]*trackedRequest{}, down: map[int]bool{}}
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
	for i := range f.topology.endpoints {
		svc.Endpoints = append(svc.Endpoints, configurer.Endpoint{
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), Region: "west", FailureDomain: "west-a",
			Slots: f.topology.slots, MaxConnections: 360, Draining: slices.Contains(draining, i),
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

// start gives an instance a new model, as if its process had just started.
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
	for p := range f.topology.instances {
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

// report delivers the loads of endpoints and peers to all instances every reportAge,
// with a delay of reportAge.
func (f *fleet) report() {
	f.world.After("", reportAge, func() {
		for _, u := range f.upstreams {
			load := u.busy + len(u.queue)
			if u.reportsZero {
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

// latencyBetween returns the one-way network latency between an instance and an
// endpoint or another instance. Their indexes alternate between two failure domains.
func (s topology) latencyBetween(a, b int) time.Duration {
	if a%2 == b%2 {
		return sameDomainLatency
	}
	return s.crossDomainLatency
}

// play schedules the calls, runs the fleet for length and 5 s more, so that all calls
// can end, and returns their outcomes.
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
				// Callers of a crashed instance go to the next one.
				at = (at + 1) % f.topology.instances
			}
			f.nextID++
			id := f.nextID
			f.requests[id] = &trackedRequest{call: c, at: at, arrived: f.world.Now(), outcome: &f.outcomes[k]}
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
			f.requestRefused(c)
		}
	}
}

func (f *fleet) forward(i int, c decider.Forward) {
	r := f.requests[c.ID]
	u := f.byAddress[c.Endpoint]
	latency := f.topology.latencyBetween(i, u.domain)
	from := nodeName(i)
	f.world.After("", latency, func() {
		u.received++
		if u.drained && f.world.Now().After(f.drainedFrom) {
			f.afterDrain++
		}
		f.serve(u, r, func(failed bool) {
			f.world.After(from, latency, func() { f.forwardEnded(i, c, r, failed) })
		})
	})
}

// serve runs a request at an endpoint, or queues it there until a slot is free.
func (f *fleet) serve(u *upstream, r *trackedRequest, done func(failed bool)) {
	u.maxInFlight = max(u.maxInFlight, u.busy+len(u.queue)+1)
	run := func() {
		serviceTime := r.call.serviceTime
		if u.failFast {
			serviceTime = time.Millisecond
		} else if r.outcome.runs++; r.outcome.runs == 1 {
			r.outcome.wait = f.world.Now().Sub(faker.Epoch.Add(r.call.at))
		}
		f.world.After("", serviceTime, func() {
			u.busy--
			done(u.failFast)
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				u.busy++
				next()
			}
		})
	}
	if u.busy >= u.slots {
		u.queue = append(u.queue, run)
		return
	}
	u.busy++
	run()
}

// forwardEnded reports the end of an attempt to the instance that forwarded the
// request. A successful answer first goes to the caller or to the peer that passed the
// request on.
func (f *fleet) forwardEnded(i int, c decider.Forward, r *trackedRequest, failed bool) {
	end := decider.ForwardEnded{ID: c.ID, Endpoint: c.Endpoint, Ran: coder.HasRun, Committed: !failed}
	if failed {
		end.Result, end.Ran = coder.UpstreamFailed, coder.NotRun
	}
	if !failed {
		f.complete(r, decider.PassEnded{Peer: nodeName(i), Ran: coder.HasRun, Committed: true})
	}
	f.update(i, end)
}

// complete records the outcome of a request at the instance that the caller chose, or
// sends the result to the peer that passed the request on.
func (f *fleet) complete(r *trackedRequest, end decider.PassEnded) {
	if r.origin == nil {
		if !r.outcome.done {
			r.outcome.done = true
			r.outcome.code, r.outcome.ran = end.Result, end.Ran
			r.outcome.total = f.world.Now().Sub(r.arrived)
		}
		return
	}
	end.ID = r.originID
	at := r.origin.at
	f.world.After(nodeName(at), f.topology.latencyBetween(r.at, at), func() {
		if end.Committed {
			f.complete(r.origin, end)
		}
		f.update(at, end)
	})
}

func (f *fleet) requestRefused(c decider.Refuse) {
	r := f.requests[c.ID]
	f.complete(r, decider.PassEnded{Peer: nodeName(r.at), Result: c.Code, Ran: c.Ran, Refused: true, RetryAfter: c.RetryAfter})
}

// pass sends a request to a peer. A crashed peer refuses the connection.
func (f *fleet) pass(i int, c decider.Pass) {
	f.passes++
	var to int
	_, _ = fmt.Sscanf(c.Peer, "seamd-%d", &to)
	if f.down[to] {
		f.world.After(nodeName(i), f.topology.crossDomainLatency, func() {
			f.update(i, decider.PassEnded{ID: c.ID, Peer: c.Peer, Result: coder.UpstreamFailed, Ran: coder.NotRun})
		})
		return
	}
	r := f.requests[c.ID]
	f.nextID++
	id := f.nextID
	f.requests[id] = &trackedRequest{call: r.call, at: to, origin: r, originID: c.ID, arrived: f.world.Now(), outcome: r.outcome}
	f.world.After(nodeName(to), f.topology.latencyBetween(i, to), func() {
		f.update(to, decider.PassedRequestArrived{
			ID: id, From: nodeName(i), Team: c.Team, Service: c.Service, Idempotent: c.Idempotent,
			Repeatable: true, Affinity: c.Affinity, Deadline: c.Deadline,
		})
	})
}

// waitQuantile returns the q-quantile of the waits of all calls answered with OK.
func waitQuantile(outcomes []outcome, q float64) time.Duration {
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

// countFailed counts the calls that got no answer, or one other than OK.
func countFailed(outcomes []outcome) int {
	n := 0
	for _, o := range outcomes {
		if !o.done || o.code != coder.OK {
			n++
		}
	}
	return n
}

// crash stops an instance. Its callers get no answer, and peers that passed requests to
// it see broken connections.
func (f *fleet) crash(i int) {
	f.world.Crash(nodeName(i))
	f.down[i] = true
	ids := slices.Sorted(maps.Keys(f.requests))
	for _, id := range ids {
		r := f.requests[id]
		if r.at != i || r.outcome.done {
			continue
		}
		if r.origin == nil {
			r.outcome.done, r.outcome.code = true, coder.OutcomeUnknown
			continue
		}
		end := decider.PassEnded{ID: r.originID, Peer: nodeName(i), Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}
		f.world.After(nodeName(r.origin.at), f.topology.crossDomainLatency, func() { f.update(r.origin.at, end) })
	}
}

// restart starts a crashed instance again.
func (f *fleet) restart(i int) {
	f.down[i] = false
	f.start(i)
}

// reconfigure applies a configuration with the given draining endpoints to all
// instances, and restarts the count of the most requests at each endpoint.
func (f *fleet) reconfigure(t testing.TB, draining []int) {
	f.config = f.configure(t, f.config.Version()+1, draining)
	for k, u := range f.upstreams {
		u.drained = slices.Contains(draining, k)
		u.maxInFlight = u.busy
	}
	for i := range f.models {
		f.update(i, decider.ConfigChanged{Config: f.config})
	}
}

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

// topologies lists the services of the two deployments that are tested, nathibandh and
// lonestar. Each service runs in one region.
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
	// at is when the call arrives, counted from the start of the trace.
	at time.Duration
	// instance is the index of the instance that the caller chose.
	instance int
	team     int
	// serviceTime is how long the call occupies a slot of an endpoint.
	serviceTime time.Duration
}

// trace returns calls with Poisson arrivals and exponential service times, spread
// evenly over instances and teams. load is the fraction of all slots that the calls keep
// in use on average. All policies are compared on the same trace.
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
	address string
	// domain is the index of the endpoint's failure domain, 0 or 1.
	domain int
	slots  int
	// busy is the number of slots in use.
	busy int
	// maxInFlight is the highest number of requests that were running or queued at a
	// time.
	maxInFlight int
	// queue holds the functions that run the queued requests.
	queue []func()
	// reportsZero makes the endpoint always report a load of 0.
	reportsZero bool
	// drained means that the configuration drains the endpoint.
	drained bool
	// failFast makes the endpoint fail each request after 1 ms, without running it.
	failFast bool
	// received is the number of requests that reached the endpoint.
	received int
}

// fleet simulates the instances and endpoints of one region on a virtual clock.
type fleet struct {
	topology topology
	world    *faker.World
	config   *configurer.Config
	models   []*decider.Model
	opts     []decider.Option
	// idempotent makes the route idempotent, which allows hedges. The tests that compare
	// policies leave it unset, so that no request is hedged.
	idempotent bool
	upstreams  []*upstream
	byAddress  map[string]*upstream
	requests   map[uint64]*trackedRequest
	nextID     uint64
	// passes is the number of requests that instances passed to peers.
	passes int
	// down contains the indexes of crashed instances.
	down map[int]bool
	// drainedFrom is the time after which requests at drained endpoints are counted, and
	// afterDrain is their number.
	drainedFrom time.Time
	afterDrain  int
	outcomes    []outcome
}

// trackedRequest is the request that one instance handles for a call. A call has one
// such request at the instance that the caller chose, and one more for each pass.
type trackedRequest struct {
	call call
	// instanceIndex is the index of the instance that handles the request.
	instanceIndex int
	// If a peer passed this request on, origin is that peer's own request for the call,
	// and originID is its ID. At the instance that the caller chose, origin is nil.
	origin   *trackedRequest
	originID uint64
	arrived  time.Time
	outcome  *outcome
}

// outcome is the result of a call.
type outcome struct {
	call call
	// wait is the time from the call's arrival until it first started to run at an
	// endpoint.
	wait time.Duration
	// total is the time from the call's arrival until the answer or refusal.
	total time.Duration
	code  coder.Code
	ran   coder.Ran
	// runs is the number of times that endpoints ran the call.
	runs int
	// done means that the call has its answer or refusal.
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

// report starts the load reports. At each interval of reportAge, the loads of all
// endpoints and instances are recorded and sent to the instances, where they arrive after
// a delay of reportAge.
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

// latencyBetween returns the one-way network latency between an instance and an endpoint
// or another instance, given their indexes. Even indexes are in one failure domain, and
// odd indexes in the other.
func (s topology) latencyBetween(a, b int) time.Duration {
	if a%2 == b%2 {
		return sameDomainLatency
	}
	return s.crossDomainLatency
}

// play schedules the calls, runs the fleet for the given length and then 5 s longer, so
// that all calls can end, and returns the outcomes of the calls.
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
			instanceIndex := c.instance
			for f.down[instanceIndex] {
				// A caller whose instance has crashed uses the next instance.
				instanceIndex = (instanceIndex + 1) % f.topology.instances
			}
			f.nextID++
			id := f.nextID
			f.requests[id] = &trackedRequest{call: c, instanceIndex: instanceIndex, arrived: f.world.Now(), outcome: &f.outcomes[k]}
			f.world.After(nodeName(instanceIndex), 0, func() {
				f.update(instanceIndex, decider.RequestArrived{ID: id, HasKey: true, Key: teamKey(c.team), Path: "/x", Repeatable: true})
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

// forwardEnded reports the end of an attempt to the instance that forwarded the request.
// Before that, it delivers a successful answer to the caller, or to the peer that passed
// the request on.
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

// complete handles the answer to a request, or its refusal. At the instance that the
// caller chose, it records the outcome of the call. At any other instance, it sends the
// result to the peer that passed the request on.
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
	instanceIndex := r.origin.instanceIndex
	f.world.After(nodeName(instanceIndex), f.topology.latencyBetween(r.instanceIndex, instanceIndex), func() {
		if end.Committed {
			f.complete(r.origin, end)
		}
		f.update(instanceIndex, end)
	})
}

func (f *fleet) requestRefused(c decider.Refuse) {
	r := f.requests[c.ID]
	f.complete(r, decider.PassEnded{Peer: nodeName(r.instanceIndex), Result: c.Code, Ran: c.Ran, Refused: true, RetryAfter: c.RetryAfter})
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
	f.requests[id] = &trackedRequest{call: r.call, instanceIndex: to, origin: r, originID: c.ID, arrived: f.world.Now(), outcome: r.outcome}
	f.world.After(nodeName(to), f.topology.latencyBetween(i, to), func() {
		f.update(to, decider.PassedRequestArrived{
			ID: id, From: nodeName(i), Team: c.Team, Service: c.Service, Idempotent: c.Idempotent,
			Repeatable: true, Affinity: c.Affinity, Deadline: c.Deadline,
		})
	})
}

// waitQuantile returns the q-quantile of the waits of all calls that were answered with
// OK.
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

// countFailed returns the number of calls that were not answered with OK: those that got
// another code, and those that got neither an answer nor a refusal.
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
		if r.instanceIndex != i || r.outcome.done {
			continue
		}
		if r.origin == nil {
			r.outcome.done, r.outcome.code = true, coder.OutcomeUnknown
			continue
		}
		end := decider.PassEnded{ID: r.originID, Peer: nodeName(i), Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}
		f.world.After(nodeName(r.origin.instanceIndex), f.topology.crossDomainLatency, func() { f.update(r.origin.instanceIndex, end) })
	}
}

// restart starts a crashed instance again.
func (f *fleet) restart(i int) {
	f.down[i] = false
	f.start(i)
}

// reconfigure gives all instances a new configuration, which drains only the endpoints
// with the given indexes. It also resets maxInFlight of each endpoint.
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

// Package replayer simulates a fleet under the load and faults of a trace, and
// checks the outcomes that the trace states. The operators' client seamctl uses it.
//
// Every simulated instance runs the decision core of the fleet daemon seamd, package
// decider. The clock, the network, the store, the upstream endpoints and the callers
// are simulated, so the same trace always gives the same [Result], byte for byte.
//
// These terms are used throughout the package:
//   - A caller is a client program. It looks up a list of instances, caches the list,
//     and sends requests to the instances on it.
//   - An endpoint is an upstream process with a number of slots. Each request that the
//     endpoint runs occupies a slot. After its start the endpoint is cold, that is
//     slower, for a time.
//   - A peer is another instance. An instance forwards a request to an endpoint, or
//     passes it to a peer that forwards it.
//   - A promise is a guarantee of the system, such as a team's rate limit. A replay
//     checks the promises and counts their violations.
//   - An outcome is a bound on a measured value that the trace states.
//
// # Usage
//
//	trace, err := tracer.Read(file)
//	result := replayer.Replay(trace)
//	if !result.Holds() { ... }
package replayer

import (
	"time"

	"primroseseam.org/seam/faker"
	"primroseseam.org/seam/storer"
	"primroseseam.org/seam/tracer"
)

const (
	// storeTimeout is the timeout of each call to the store.
	storeTimeout = 2 * time.Second
	// settleTime is the length of two periods. The fleet runs this long before the
	// trace starts, so that instances read their configuration. It runs this long again
	// after the trace ends, so that open requests finish.
	settleTime = 5 * time.Second
	// defaultReportLag is the delay of load reports of a service for which the
	// trace sets none.
	defaultReportLag = time.Second
)

// replay is the state of one simulation.
type replay struct {
	trace *tracer.Trace
	// world holds the virtual clock, the queue of events and the random numbers.
	world       *faker.World
	network     *faker.Network
	store       *faker.Store
	locations   map[string]location
	lostRegions map[string]bool
	cutLinks    map[regionPair]bool
	instances   map[string]*instance
	// fleet lists the instances in the order of the trace's header. Loops over instances
	// use it instead of the map, whose random order would make results differ.
	fleet             []*instance
	endpoints         map[string]*endpoint
	callers           *callers
	recorder          *recorder
	start             time.Time
	disabledMechanism Mechanism
	// firstConfig is the first configuration that was written to the store.
	firstConfig storer.Object
}

// location holds the region and the failure domain of a node of the simulated network.
// The nodes are instances, endpoints, callers and the store. Callers and the store have
// no failure domain.
type location struct {
	region   string
	domain   string
	isCaller bool
}

// regionPair identifies the traffic from one region to another, in this direction only.
type regionPair struct{ from, to string }

// Option configures a replay.
type Option func(*replay)

// Replay simulates a trace and returns the measurements, with the outcomes of the trace
// and whether they hold.
func Replay(t *tracer.Trace, opts ...Option) Result {
	r := &replay{
		trace:       t,
		world:       faker.NewWorld(t.Header().Seed),
		locations:   map[string]location{},
		lostRegions: map[string]bool{},
		cutLinks:    map[regionPair]bool{},
		instances:   map[string]*instance{},
		endpoints:   map[string]*endpoint{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.recorder = newRecorder(r.world, t)
	r.network = faker.NewNetwork(r.world, faker.WithDelay(0, 0), faker.WithPath(r.oneWayLatency))
	r.store = faker.NewStore(r.world, r.network, storeTimeout)
	r.locations[faker.StoreNode] = location{region: t.Header().Network.StoreRegion}
	r.startFleet()
	r.world.Run(settleTime)
	r.start = r.world.Now()
	r.recorder.begin(r.start)
	for _, e := range t.Events() {
		r.world.After("", e.At(), func() { r.apply(e.Body()) })
	}
	r.world.Run(time.Duration(t.Header().Duration))
	r.recorder.end(r.world.Now())
	r.world.Run(settleTime)
	return r.recorder.result()
}

// startFleet writes the configuration and one API key for each team to the store, and
// starts the endpoints, the instances and the callers.
func (r *replay) startFleet() {
	r.writeConfig(r.trace.Header().Config)
	for _, t := range r.trace.Config().Teams() {
		r.writeKey(defaultKeyLabel(t.Name), t.Name, false)
	}
	for _, svc := range r.trace.Config().Services() {
		for _, p := range svc.Endpoints {
			r.locations[p.Address] = location{region: p.Region, domain: p.FailureDomain}
			r.endpoints[p.Address] = newEndpoint(r, svc, p)
		}
	}
	for _, i := range r.trace.Header().Instances {
		r.locations[i.ID] = location{region: i.Region, domain: i.FailureDomain}
		r.startInstance(i)
	}
	r.callers = newCallers(r)
}

// oneWayLatency returns the latency from one node to another. It returns false if no
// message can get through: if one of the nodes is in a lost region, or if the link
// between their regions is cut. A caller can still send when its own region is lost, and
// cut links don't affect callers.
func (r *replay) oneWayLatency(from, to string) (time.Duration, bool) {
	a, b := r.locations[from], r.locations[to]
	if !a.isCaller && r.lostRegions[a.region] || !b.isCaller && r.lostRegions[b.region] {
		return 0, false
	}
	n := r.trace.Header().Network
	var latency time.Duration
	if a.isCaller || b.isCaller {
		latency += time.Duration(n.ToClients)
	}
	switch {
	case a.region != b.region:
		if !a.isCaller && !b.isCaller && r.cutLinks[regionPair{a.region, b.region}] {
			return 0, false
		}
		latency += time.Duration(n.BetweenRegions)
	case a.domain != b.domain && !a.isCaller && !b.isCaller:
		latency += time.Duration(n.BetweenDomains)
	}
	return latency, true
}

// apply carries out one event of the trace.
func (r *replay) apply(body tracer.Body) {
	r.recorder.mark(body)
	switch b := body.(type) {
	case tracer.Request:
		r.callers.send(b)
	case tracer.Load:
		r.callers.startLoad(b)
	case tracer.KeyWithdrawn:
		r.writeKey(b.Key, "", true)
	case tracer.ConfigApplied:
		r.writeConfig(b.Config)
	case tracer.UpstreamDrain:
		r.drain(b)
	case tracer.UpstreamChanged:
		r.endpoints[b.Endpoint].setFault(b.Fault)
	case tracer.InstanceCrashed:
		r.instances[b.Instance].crash()
	case tracer.InstanceStarted:
		r.restartInstance(b.Instance)
	case tracer.InstanceStopped:
		r.instances[b.Instance].stop()
	case tracer.InstancePaused:
		r.world.Pause(b.Instance)
		r.world.After("", time.Duration(b.For), func() { r.world.Resume(b.Instance) })
	case tracer.StoreChanged:
		r.store.SetDown(b.Down)
		r.store.LoseAnswers(b.LoseAnswers)
	case tracer.LinkChanged:
		r.cutLinks[regionPair{b.From, b.To}] = b.Cut
		r.cutLinks[regionPair{b.To, b.From}] = b.Cut
	case tracer.RegionChanged:
		r.changeRegion(b)
	}
}

// changeRegion takes a region down or brings it back. When the region is lost, its
// instances crash; when it comes back, they start again. Its endpoints restart in both
// cases. While the region is lost, no node can reach its instances, its endpoints or a
// store in it.
func (r *replay) changeRegion(b tracer.RegionChanged) {
	r.lostRegions[b.Region] = b.Lost
	for _, svc := range r.trace.Config().Services() {
		for _, p := range svc.Endpoints {
			if p.Region == b.Region {
				r.endpoints[p.Address].setFault(tracer.UpstreamRestarted)
			}
		}
	}
	for _, i := range r.trace.Header().Instances {
		switch {
		case i.Region != b.Region:
		case b.Lost:
			r.instances[i.ID].crash()
		default:
			r.restartInstance(i.ID)
		}
	}
}

// writeObject replaces an object in the store at once. It doesn't use the network and
// also works while the store is down.
func (r *replay) writeObject(kind storer.Kind, name string, value []byte) {
	o, _ := r.store.Object(kind, name)
	r.store.PutDirect(storer.Object{Kind: kind, Name: name, Version: o.Version, Value: value})
}

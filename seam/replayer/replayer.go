// Package replayer simulates a fleet under the load and faults of a trace, and
// checks the outcomes that the trace states.
//
// Every simulated instance runs the decision core of the daemon. The clock, the
// network, the store, the upstream endpoints and the callers are simulated, so
// the same trace always gives the same [Result], byte for byte.
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
	// storeTimeout limits one call to the store.
	storeTimeout = 2 * time.Second
	// settleTime is how long the fleet runs before the trace starts, to read its
	// configuration, and after the trace ends, to finish open requests.
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
	// fleet lists the instances in the order of the trace's header, because the
	// order of a map would make results differ.
	fleet     []*instance
	endpoints map[string]*endpoint
	callers   *callers
	recorder  *recorder
	start     time.Time
	disabled  Mechanism
	// firstConfig is the oldest configuration that was written to the store.
	firstConfig storer.Object
}

// location is where a node of the simulated network is. Callers have no failure
// domain.
type location struct {
	region   string
	domain   string
	isCaller bool
}

// regionPair is one direction of the traffic between two regions.
type regionPair struct{ from, to string }

// Option configures a replay.
type Option func(*replay)

// Replay simulates a trace and measures the values that its outcomes limit.
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

// startFleet writes the configuration and one key for each team to the store,
// and starts the endpoints, the instances and the callers.
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

// oneWayLatency returns the latency from one node to another, or false if a lost
// region or a cut link separates them. Callers aren't affected by the loss of
// their own region, nor by cut links.
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

// changeRegion takes a region down or brings it back: its instances crash or start
// again, and its endpoints restart. While the region is lost, no node can reach
// its instances, endpoints or store.
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

// writeObject replaces an object in the store at once, without the network and
// whether or not the store is down.
func (r *replay) writeObject(kind storer.Kind, name string, value []byte) {
	o, _ := r.store.Object(kind, name)
	r.store.PutDirect(storer.Object{Kind: kind, Name: name, Version: o.Version, Value: value})
}

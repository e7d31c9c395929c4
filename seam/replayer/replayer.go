// Package replayer runs a trace through the decision cores of a fleet.
//
// The cores are those of the daemon. Around them stand a virtual clock and
// small fakes for the network, the store, the upstreams and the callers, so
// that the same trace gives the same [Result], byte for byte.
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
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// settleTime is how long a fleet runs before the trace starts and after it
	// ends, so that requests in progress have their answers.
	settleTime = 5 * time.Second
	// defaultReportLag is the age of load reports where a trace names none.
	defaultReportLag = time.Second
)

// replay is the state of one run.
type replay struct {
	trace     *tracer.Trace
	world     *faker.World
	network   *faker.Network
	store     *faker.Store
	places    map[string]place
	lost      map[string]bool
	cutLinks  map[regionPair]bool
	instances map[string]*instance
	order     []*instance
	endpoints map[string]*endpoint
	callers   *callers
	recorder  *recorder
	start     time.Time
	broken    Mechanism
	// firstConfig is the oldest configuration in the store.
	firstConfig storer.Object
}

// place says where a node is.
type place struct {
	region string
	domain string
	client bool
}

// regionPair is one direction between two regions.
type regionPair struct{ from, to string }

// Option changes a replay.
type Option func(*replay)

// Replay runs a trace and measures what its outcomes bound.
func Replay(t *tracer.Trace, opts ...Option) Result {
	r := &replay{
		trace:     t,
		world:     faker.NewWorld(t.Header().Seed),
		places:    map[string]place{},
		lost:      map[string]bool{},
		cutLinks:  map[regionPair]bool{},
		instances: map[string]*instance{},
		endpoints: map[string]*endpoint{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.recorder = newRecorder(r.world, t)
	r.network = faker.NewNetwork(r.world, faker.WithDelay(0, 0), faker.WithPath(r.path))
	r.store = faker.NewStore(r.world, r.network, storeTimeout)
	r.places[faker.StoreNode] = place{region: t.Header().Network.StoreRegion}
	r.build()
	r.world.Run(settleTime)
	r.start = r.world.Now()
	r.recorder.begin(r.start)
	for _, e := range t.Events() {
		r.world.After("", e.At(), func() { r.happen(e.Body()) })
	}
	r.world.Run(time.Duration(t.Header().Duration))
	r.recorder.end(r.world.Now())
	r.world.Run(settleTime)
	return r.recorder.result()
}

// build writes the configuration and keys and starts the fleet.
func (r *replay) build() {
	r.writeConfig(r.trace.Header().Config)
	for _, t := range r.trace.Config().Teams() {
		r.writeKey(defaultKey(t.Name), t.Name, false)
	}
	for _, svc := range r.trace.Config().Services() {
		for _, p := range svc.Endpoints {
			r.places[p.Address] = place{region: p.Region, domain: p.FailureDomain}
			r.endpoints[p.Address] = newEndpoint(r, svc, p)
		}
	}
	for _, i := range r.trace.Header().Instances {
		r.places[i.ID] = place{region: i.Region, domain: i.FailureDomain}
		r.startInstance(i)
	}
	r.callers = newCallers(r)
}

// path gives the one-way latency between two nodes, or false if they can't
// reach each other now.
func (r *replay) path(from, to string) (time.Duration, bool) {
	a, b := r.places[from], r.places[to]
	if !a.client && r.lost[a.region] || !b.client && r.lost[b.region] {
		return 0, false
	}
	n := r.trace.Header().Network
	var latency time.Duration
	if a.client || b.client {
		latency += time.Duration(n.ToClients)
	}
	switch {
	case a.region != b.region:
		if !a.client && !b.client && r.cutLinks[regionPair{a.region, b.region}] {
			return 0, false
		}
		latency += time.Duration(n.BetweenRegions)
	case a.domain != b.domain && !a.client && !b.client:
		latency += time.Duration(n.BetweenDomains)
	}
	return latency, true
}

// happen applies one event of the trace.
func (r *replay) happen(body tracer.Body) {
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
		r.endpoints[b.Endpoint].change(b.Fault)
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

// changeRegion takes a region's instances and endpoints away or starts them.
func (r *replay) changeRegion(b tracer.RegionChanged) {
	r.lost[b.Region] = b.Lost
	for _, svc := range r.trace.Config().Services() {
		for _, p := range svc.Endpoints {
			if p.Region == b.Region {
				r.endpoints[p.Address].change(tracer.UpstreamRestarted)
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

// write puts an object into the store as an operator would, at once.
func (r *replay) write(kind storer.Kind, name string, value []byte) {
	o, _ := r.store.Object(kind, name)
	r.store.PutDirect(storer.Object{Kind: kind, Name: name, Version: o.Version, Value: value})
}

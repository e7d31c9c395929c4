// Package placer chooses the endpoint for a request.
//
// A [Board] knows the usable endpoints of all regions, how busy each is (the
// attempts of this instance and those of which the others tell), which objects
// are warm where, how far away and how slow each is. [Board.Pick] returns the
// endpoint that is expected to answer first.
//
// The load that this answers: objects are several times faster where they were
// handled lately, endpoints have few slots, regions are unequal.
//
// # Usage
//
//	b := placer.New("zone-1", zones)
//	b.SetEndpoints(now, endpoints)
//	choice, ok := b.Pick(now, placer.Request{Service: "lessons", Object: object})
//	b.Sent(now, choice.ID, object)
//	b.Ended(now, choice.ID, placer.Outcome{...})
package placer

import (
	"math"
	"slices"
	"time"

	"primroseseam.org/seam/router"
)

// Request is what matters of a request for choosing an endpoint.
type Request struct {
	Service string
	// Object is the hash of the object that the request concerns, or 0.
	Object uint32
	// Regions are those that may serve the request, if Bound.
	Regions    []string
	Restricted bool
	// Tried lists endpoints that must not be chosen again.
	Tried []string
	// Target is the time within which an answer has its full benefit, Timeout
	// the time after which nobody waits any more.
	Target  time.Duration
	Timeout time.Duration
	// Once means that the request may run only once.
	Once bool
}

// Choice is an endpoint and what is expected of it.
type Choice struct {
	ID      string
	Address string
	Region  string
	// Expect is the time until the answer, Wait the part spent in a queue and
	// Opening that for a new connection.
	Expect  time.Duration
	Wait    time.Duration
	Opening time.Duration
	Warm    bool
	Load    int
	Slots   int
	// Room is how long a request for a warm object could wait there and still
	// be in time.
	Room time.Duration
	// Slowdown is how many times longer than its service the endpoint takes.
	Slowdown float64
}

// Load is a number of attempts under way at an endpoint.
type Load struct {
	Endpoint uint32
	Count    int
}

// WarmObject says that an endpoint handles an object.
type WarmObject struct {
	Endpoint uint32
	Object   uint32
}

// service is what is known of all endpoints of a service.
type service struct {
	endpoints []*endpoint
	spec      router.Service
	// warm and cold are the mean times of a run with and without the object
	// being warm.
	warm time.Duration
	cold time.Duration
	// keeps is the number of objects that an endpoint keeps warm, as far as is
	// known, or 0; misses counts what spoke against keeping all.
	keeps  float64
	misses int
}

// crowded reports whether an endpoint keeps as many objects as it can, so that
// one more pushes out another.
func (s *service) crowded(e *endpoint) bool { return s.keeps > 0 && float64(len(e.warm)) >= s.keeps }

// Balancer is the state of all endpoints. It is not safe for concurrent use.
type Balancer struct {
	zone      string
	region    string
	zones     map[string]string
	byID      map[string]*endpoint
	byHash    map[uint32]*endpoint
	services  map[string]*service
	evacuated map[string]bool
	// distance is the time to a region and back, as connections showed.
	distance map[string]time.Duration
	peers    map[string]map[uint32]int
	touches  []WarmObject
	started  bool
	// keepCold reports whether this instance may send to a cold endpoint.
	keepCold func(endpoint uint32) bool
	// connected reports whether this instance has an open connection to an
	// address that may carry a request.
	connected func(address string, once bool) bool
}

const (
	// nearDistance and farDistance are assumed until connections show more.
	nearDistance = 2 * time.Millisecond
	farDistance  = 60 * time.Millisecond
	// otherZone and otherRegion make nearer endpoints win where the times are
	// alike: bytes between zones and regions are paid for. They are parts of
	// the target.
	otherZone   = 0.04
	otherRegion = 0.12
	// openingCost is what a new connection costs beside its time, as a part of
	// the target: it holds a slot of the endpoint for a moment, and endpoints bear
	// a bounded number.
	openingCost = 0.04
	// spread is the part of a cold run by which endpoints are preferred for a
	// new object, in an order that all instances agree on.
	spread = 1.0
	// crowdedCost is the part of a cold run that it costs to push out another
	// object.
	crowdedCost = 1.0
	// copiesMost is the number of endpoints at which an object is kept warm.
	// Endpoints keep a bounded number of objects, so more copies of one push out
	// others.
	copiesMost = 3
	// failurePenalty is how many targets a certain failure costs.
	failurePenalty = 3.0
	// maxTouches bounds the news of warm objects between two heartbeats.
	maxTouches = 64
)

// New returns a board of an instance in a zone; zones maps zones to regions.
func New(zone string, zones map[string]string) *Balancer {
	return &Balancer{
		zone: zone, region: zones[zone], zones: zones,
		byID: map[string]*endpoint{}, byHash: map[uint32]*endpoint{},
		services: map[string]*service{}, evacuated: map[string]bool{},
		distance: map[string]time.Duration{}, peers: map[string]map[uint32]int{},
		keepCold:  func(uint32) bool { return true },
		connected: func(string, bool) bool { return true },
	}
}

// SetColdOwner sets which cold endpoints this instance may send to.
func (b *Balancer) SetColdOwner(keeps func(endpoint uint32) bool) { b.keepCold = keeps }

// SetConnected sets what tells whether there is an open connection to an address
// for a request, which may run only once if once is set.
func (b *Balancer) SetConnected(connected func(address string, once bool) bool) {
	b.connected = connected
}

func (b *Balancer) service(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// SetServices takes the settings of services from a configuration.
func (b *Balancer) SetServices(c *router.Config) {
	for name, s := range b.services {
		if spec, ok := c.Service(name); ok {
			s.spec = spec
		}
	}
}

// SetEndpoints takes the list of all endpoints. Those that are left out are
// gone.
func (b *Balancer) SetEndpoints(now time.Time, list []router.Endpoint, config *router.Config) {
	seen := make(map[string]bool, len(list))
	for _, s := range b.services {
		s.endpoints = s.endpoints[:0]
	}
	for _, spec := range list {
		seen[spec.ID] = true
		s := b.service(spec.Service)
		if config != nil {
			s.spec, _ = config.Service(spec.Service)
		}
		s.endpoints = append(s.endpoints, b.setEndpoint(now, spec, s))
	}
	for id, e := range b.byID {
		if !seen[id] {
			delete(b.byID, id)
			delete(b.byHash, e.hash)
		}
	}
	for _, s := range b.services {
		slices.SortFunc(s.endpoints, func(x, y *endpoint) int { return int(int64(x.hash) - int64(y.hash)) })
	}
	b.started = true
}

// setEndpoint adds an endpoint or changes what is known of it.
func (b *Balancer) setEndpoint(now time.Time, spec router.Endpoint, s *service) *endpoint {
	e, ok := b.byID[spec.ID]
	reborn := ok && (e.spec.Born != spec.Born || e.spec.Address != spec.Address)
	if !ok || reborn {
		e = &endpoint{spec: spec, region: b.zones[spec.Zone], hash: Hash32(spec.ID), warm: map[uint32]handled{}}
		if b.started {
			// It has just started, so it is cold even if it doesn't say so yet.
			e.untried = true
			e.coldTill = now.Add(s.spec.Warmup)
		}
		b.byID[spec.ID] = e
		b.byHash[e.hash] = e
	}
	if spec.Cold > 0 && (e.spec.Cold != spec.Cold || !ok) {
		e.coldTill = later(e.coldTill, now.Add(spec.Cold))
	}
	e.spec = spec
	return e
}

// SetEvacuated takes the zones that get no new requests. The endpoints of a
// zone that comes back count as cold.
func (b *Balancer) SetEvacuated(now time.Time, zones []string) {
	next := make(map[string]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	for _, e := range b.byID {
		if b.evacuated[e.spec.Zone] && !next[e.spec.Zone] {
			e.coldTill = later(e.coldTill, now.Add(b.service(e.spec.Service).spec.Warmup))
			e.warm = map[uint32]handled{}
		}
	}
	b.evacuated = next
}

// Usable reports whether the endpoint may still get new requests.
func (b *Balancer) Usable(id string) bool {
	e, ok := b.byID[id]
	return ok && !e.spec.Draining && !b.evacuated[e.spec.Zone]
}

// allowed reports whether a request may go to an endpoint at all.
func (b *Balancer) allowed(now time.Time, r Request, e *endpoint) bool {
	if e.spec.Draining || b.evacuated[e.spec.Zone] {
		return false
	}
	if r.Restricted && !slices.Contains(r.Regions, e.region) {
		return false
	}
	return !slices.Contains(r.Tried, e.spec.ID) && e.mayTry(now, b.keepCold(e.hash), b.service(r.Service).spec.ColdRate)
}

// Pick returns the best endpoint. It reports false if there is none at all.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, bool) {
	s := b.service(r.Service)
	full := b.copies(now, r, s) >= copiesMost
	best, bestCost := -1, math.Inf(1)
	var bestChoice Choice
	for i, e := range s.endpoints {
		if !b.allowed(now, r, e) {
			continue
		}
		choice, cost := b.weigh(now, r, s, e)
		if full && !choice.Warm && !e.underused() {
			cost += surplusCost
		}
		if cost < bestCost {
			best, bestCost, bestChoice = i, cost, choice
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return bestChoice, true
}

// copies returns at how many endpoints that are fit for it an object is warm.
func (b *Balancer) copies(now time.Time, r Request, s *service) int {
	if r.Object == 0 {
		return 0
	}
	count := 0
	for _, e := range s.endpoints {
		if e.isWarm(now, r.Object, s.keeps) && b.allowed(now, r, e) && !e.ejected(now) && !e.cold(now) {
			count++
		}
	}
	return count
}

// weigh returns what is expected of an endpoint, and its cost in seconds.
func (b *Balancer) weigh(now time.Time, r Request, s *service, e *endpoint) (Choice, float64) {
	warm, cold := s.times(r.Target, r.Timeout)
	c := Choice{
		ID: e.spec.ID, Address: e.spec.Address, Region: e.region, Load: e.load(), Slots: e.spec.Slots,
		Warm: r.Object != 0 && e.isWarm(now, r.Object, s.keeps),
	}
	run := cold
	if c.Warm {
		run = warm
	}
	slow := e.slowness(now)
	if e.cold(now) {
		slow = max(slow, coldSlowdown)
	}
	c.Slowdown = slow
	mean := (3*warm + cold) / 4
	if waiting := c.Load - c.Slots + 1; waiting > 0 {
		c.Wait = time.Duration(float64(mean) * slow * float64(waiting) / float64(c.Slots))
	}
	if !b.connected(e.spec.Address, r.Once) {
		c.Opening = b.distanceTo(e.region)
	}
	c.Expect = c.Opening + b.distanceTo(e.region) + c.Wait + time.Duration(float64(run)*slow)
	c.Room = max(r.Target-c.Opening-b.distanceTo(e.region)-time.Duration(float64(warm)*slow), 0)
	// An attempt that is long overdue says more than earlier answers.
	if stalled := e.stalled(now); stalled > 3*cold {
		c.Expect += stalled
	}
	// The time to open is left out here: each request that goes to another region
	// would draw more after it.
	cost := (c.Expect - c.Opening).Seconds() + b.farness(e, r.Target)
	if c.Opening > 0 {
		cost += openingCost * r.Target.Seconds()
	}
	cost += failurePenalty * e.failing(now) * r.Target.Seconds()
	if !c.Warm && s.crowded(e) {
		cost += crowdedCost * cold.Seconds()
	}
	if !c.Warm {
		cost += spread * cold.Seconds() * float64(mix(e.hash, r.Object)) / math.MaxUint32
	}
	if e.ejected(now) {
		cost += ejectedCost
	}
	if e.untried && !e.cold(now) && b.keepCold(e.hash) {
		cost -= untriedGain
	}
	return c, cost
}

const (
	// untriedGain makes the keeper of an endpoint that nobody has used yet try
	// it, in seconds.
	untriedGain = 5.0
	// surplusCost puts endpoints where an object would be one too many behind
	// those where it is warm, ejectedCost and coldCost put endpoints behind all others, in seconds.
	surplusCost = 10.0
	ejectedCost = 1000.0
)

// farness returns the cost of leaving the zone or the region, in seconds.
func (b *Balancer) farness(e *endpoint, target time.Duration) float64 {
	switch {
	case e.spec.Zone == b.zone:
		return 0
	case e.region == b.region:
		return otherZone * target.Seconds()
	}
	return (otherZone + otherRegion) * target.Seconds()
}

func (b *Balancer) distanceTo(region string) time.Duration {
	if d, ok := b.distance[region]; ok {
		return d
	}
	if region == b.region {
		return nearDistance
	}
	return farDistance
}

// times returns the mean times of warm and cold runs. Until answers show them,
// a cold run is taken to miss its target, but to end before the timeout, and a
// warm one to keep it.
func (s *service) times(target, timeout time.Duration) (warm, cold time.Duration) {
	warm, cold = s.warm, s.cold
	if cold == 0 {
		cold = min(target*5/4, timeout*3/4)
	}
	if warm == 0 {
		warm = cold * 3 / 8
	}
	return warm, cold
}

// Count returns the number of endpoints.
func (b *Balancer) Count() int { return len(b.byID) }

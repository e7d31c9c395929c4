// Package placer chooses the endpoint for a request.
//
// A [Balancer] tracks the endpoints of all regions: how many attempts are in
// flight at each (from this instance and, as reported, from the others), which
// objects are warm there, how far away the endpoint is and how slow.
// [Balancer.Pick] returns the endpoint that is expected to answer first.
//
// An object is warm at an endpoint that handled it recently: requests for it run
// several times faster there. Endpoints have few slots, and the regions differ in
// capacity, so always choosing the warm endpoint would build up queues. An
// endpoint is cold for a warm-up period after it starts: it is slower, and
// requests to it are rate limited.
//
// # Usage
//
//	b := placer.New("zone-1", zones)
//	b.SetEndpoints(now, endpoints, config)
//	choice, ok := b.Pick(now, placer.Request{Service: "lessons", Object: object})
//	b.RecordAttempt(now, choice.ID, object)
//	b.RecordOutcome(now, choice.ID, placer.Outcome{...})
package placer

import (
	"math"
	"slices"
	"time"

	"primroseseam.org/seam/router"
)

// Request holds the properties of a request that affect the choice of an endpoint.
type Request struct {
	Service string
	// Object is the hash of the requested object, or 0 if there is none.
	Object uint32
	// Regions lists the regions that may serve the request. It applies only if
	// Restricted is set; otherwise any region may.
	Regions    []string
	Restricted bool
	// Tried lists the IDs of endpoints that must not be chosen again.
	Tried []string
	// TargetLatency is the response time up to which an answer has its full value.
	// Timeout is the time after which the caller no longer waits.
	TargetLatency time.Duration
	Timeout       time.Duration
	// NonIdempotent means that the request must not run more than once.
	NonIdempotent bool
}

// Choice is a chosen endpoint with the estimates behind the choice.
type Choice struct {
	ID      string
	Address string
	Region  string
	// ExpectedLatency is the estimated time until the answer. It includes QueueTime,
	// the time in the endpoint's queue, and DialTime, the time to open a connection
	// (0 if one is open).
	ExpectedLatency  time.Duration
	QueueTime        time.Duration
	DialTime         time.Duration
	ObjectWarm       bool
	AttemptsInFlight int
	Slots            int
	// QueueSlack is how long a request for a warm object could queue there and still
	// be answered within the target latency.
	QueueSlack time.Duration
	// Slowdown is the endpoint's run time relative to the mean of its service.
	Slowdown float64
}

// Load is a number of attempts in flight at an endpoint, which is identified by
// the hash of its ID.
type Load struct {
	Endpoint uint32
	Count    int
}

// WarmObject reports that an endpoint handles an object and so has it warm. Both
// are identified by their hashes.
type WarmObject struct {
	Endpoint uint32
	Object   uint32
}

// service is the shared state of all endpoints of a service.
type service struct {
	endpoints []*endpoint
	spec      router.Service
	// warm and cold are the mean run times of requests whose object is warm or
	// not warm, or 0 before the first measurement.
	warm time.Duration
	cold time.Duration
	// warmCapacity is the estimated number of objects that an endpoint keeps
	// warm, or 0 while no limit is known. Until then misses counts the runs that
	// took as long as a cold one although the object was expected to be warm.
	warmCapacity float64
	misses       int
}

// atWarmCapacity reports whether an endpoint has as many warm objects as it can
// keep, so that a new one evicts another.
func (s *service) atWarmCapacity(e *endpoint) bool {
	return s.warmCapacity > 0 && float64(len(e.warm)) >= s.warmCapacity
}

// Balancer tracks the state of all endpoints and chooses among them. It is not safe
// for concurrent use.
type Balancer struct {
	zone      string
	region    string
	zones     map[string]string
	byID      map[string]*endpoint
	byHash    map[uint32]*endpoint
	services  map[string]*service
	evacuated map[string]bool
	// roundTrip is the round-trip time to each region, measured when dialing.
	roundTrip map[string]time.Duration
	// peers holds the attempts that each other instance has in flight, by instance
	// and by endpoint hash.
	peers          map[string]map[uint32]int
	newWarmObjects []WarmObject
	// endpointsListed is set after the first list of endpoints. Endpoints that first
	// appear in a later list are assumed to have just started.
	endpointsListed bool
	// ownsCold reports whether this instance owns the endpoint: normally only the
	// owner sends to it while it is cold.
	ownsCold func(endpoint uint32) bool
	// hasConnection reports whether this instance has an idle connection to an
	// address that the request may use.
	hasConnection func(address string, nonIdempotent bool) bool
}

const (
	// sameRegionRoundTrip and otherRegionRoundTrip are the round-trip times that
	// are assumed until one has been measured.
	sameRegionRoundTrip  = 2 * time.Millisecond
	otherRegionRoundTrip = 60 * time.Millisecond
	// otherZoneCost and otherRegionCost favor nearer endpoints if the estimated
	// times are similar, because traffic between zones and regions costs money.
	// They are fractions of the request's target.
	otherZoneCost   = 0.04
	otherRegionCost = 0.12
	// newConnectionCost is the cost of a new connection apart from its dial time,
	// as a fraction of the target: a new connection occupies a slot of the
	// endpoint for a moment, and endpoints accept a limited number of connections.
	newConnectionCost = 0.04
	// placementSpread scales a hash-based cost, as a fraction of a cold run, that
	// is added at endpoints where the object is not warm. It spreads new objects
	// over the endpoints in an order that is the same at all instances.
	placementSpread = 1.0
	// evictionCost is the cost of evicting a warm object, as a fraction of a cold
	// run.
	evictionCost = 1.0
	// maxCopies is the number of endpoints at which an object should be warm.
	// Endpoints keep a limited number of objects, so more copies of one evict
	// others.
	maxCopies = 3
	// failurePenalty is the cost, in targets, of an endpoint where every attempt
	// fails; it is scaled by the failure rate.
	failurePenalty = 3.0
	// maxNewWarmObjects bounds the newly warm objects that are collected between
	// two calls of TakeWarmObjects.
	maxNewWarmObjects = 64
)

// New returns a balancer for an instance in a zone; zones maps zones to regions.
func New(zone string, zones map[string]string) *Balancer {
	return &Balancer{
		zone: zone, region: zones[zone], zones: zones,
		byID: map[string]*endpoint{}, byHash: map[uint32]*endpoint{},
		services: map[string]*service{}, evacuated: map[string]bool{},
		roundTrip: map[string]time.Duration{}, peers: map[string]map[uint32]int{},
		ownsCold:      func(uint32) bool { return true },
		hasConnection: func(string, bool) bool { return true },
	}
}

// SetColdOwner sets the function that reports whether this instance owns an
// endpoint, that is, sends requests to it while it is cold.
func (b *Balancer) SetColdOwner(owns func(endpoint uint32) bool) { b.ownsCold = owns }

// SetHasConnection sets the function that reports whether an idle connection to an
// address may be used for a request.
func (b *Balancer) SetHasConnection(hasConnection func(address string, nonIdempotent bool) bool) {
	b.hasConnection = hasConnection
}

// service returns the state of a service and creates it if needed.
func (b *Balancer) service(name string) *service {
	s, ok := b.services[name]
	if !ok {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// SetServices updates the settings of the services that have had endpoints from a
// configuration.
func (b *Balancer) SetServices(c *router.Config) {
	for name, s := range b.services {
		if spec, ok := c.Service(name); ok {
			s.spec = spec
		}
	}
}

// SetEndpoints replaces the list of all endpoints. Those that are not in the list
// are removed. If config is not nil, it updates the settings of their services.
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
	b.endpointsListed = true
}

// setEndpoint adds an endpoint or updates it. A new incarnation or address means
// that the endpoint has restarted: its state starts anew.
func (b *Balancer) setEndpoint(now time.Time, spec router.Endpoint, s *service) *endpoint {
	e, ok := b.byID[spec.ID]
	restarted := ok && (e.spec.StartedAtMs != spec.StartedAtMs || e.spec.Address != spec.Address)
	if !ok || restarted {
		e = &endpoint{spec: spec, region: b.zones[spec.Zone], hash: Hash32(spec.ID), warm: map[uint32]useTimes{}}
		if b.endpointsListed {
			// It has just started, so it is cold even if its record doesn't report
			// that yet.
			e.untried = true
			e.coldUntil = now.Add(s.spec.Warmup)
		}
		b.byID[spec.ID] = e
		b.byHash[e.hash] = e
	}
	if spec.ColdRemaining > 0 && (e.spec.ColdRemaining != spec.ColdRemaining || !ok) {
		e.coldUntil = later(e.coldUntil, now.Add(spec.ColdRemaining))
	}
	e.spec = spec
	return e
}

// SetEvacuated sets the zones that get no new requests. The endpoints of a zone
// that is no longer evacuated count as cold and without warm objects.
func (b *Balancer) SetEvacuated(now time.Time, zones []string) {
	next := make(map[string]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	for _, e := range b.byID {
		if b.evacuated[e.spec.Zone] && !next[e.spec.Zone] {
			e.coldUntil = later(e.coldUntil, now.Add(b.service(e.spec.Service).spec.Warmup))
			e.warm = map[uint32]useTimes{}
		}
	}
	b.evacuated = next
}

// Usable reports whether the endpoint is known, isn't draining and isn't in an
// evacuated zone.
func (b *Balancer) Usable(id string) bool {
	e, ok := b.byID[id]
	return ok && !e.spec.Draining && !b.evacuated[e.spec.Zone]
}

// allowed reports whether a request may be sent to an endpoint, whatever the cost.
func (b *Balancer) allowed(now time.Time, r Request, e *endpoint) bool {
	if e.spec.Draining || b.evacuated[e.spec.Zone] {
		return false
	}
	if r.Restricted && !slices.Contains(r.Regions, e.region) {
		return false
	}
	return !slices.Contains(r.Tried, e.spec.ID) && e.maySend(now, b.ownsCold(e.hash), b.service(r.Service).spec.ColdRate)
}

// Pick returns the endpoint with the lowest cost. It reports false if the request
// may go to none.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, bool) {
	s := b.service(r.Service)
	enoughCopies := b.warmCopies(now, r, s) >= maxCopies
	best, bestCost := -1, math.Inf(1)
	var bestChoice Choice
	for i, e := range s.endpoints {
		if !b.allowed(now, r, e) {
			continue
		}
		choice, cost := b.estimate(now, r, s, e)
		if enoughCopies && !choice.ObjectWarm && !e.underused() {
			cost += extraCopyCost
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

// warmCopies returns at how many endpoints the request's object is warm, counting
// only endpoints that may get the request and are neither ejected nor cold.
func (b *Balancer) warmCopies(now time.Time, r Request, s *service) int {
	if r.Object == 0 {
		return 0
	}
	count := 0
	for _, e := range s.endpoints {
		if e.isWarm(now, r.Object, s.warmCapacity) && b.allowed(now, r, e) && !e.ejected(now) && !e.cold(now) {
			count++
		}
	}
	return count
}

// estimate returns the estimates for a request at an endpoint, and their cost in
// seconds. The cost is the expected time plus penalties.
func (b *Balancer) estimate(now time.Time, r Request, s *service, e *endpoint) (Choice, float64) {
	warm, cold := s.runTimes(r.TargetLatency, r.Timeout)
	c := Choice{
		ID: e.spec.ID, Address: e.spec.Address, Region: e.region, AttemptsInFlight: e.attemptsInFlight(), Slots: e.spec.Slots,
		ObjectWarm: r.Object != 0 && e.isWarm(now, r.Object, s.warmCapacity),
	}
	run := cold
	if c.ObjectWarm {
		run = warm
	}
	slowdown := e.currentSlowdown(now)
	if e.cold(now) {
		slowdown = max(slowdown, coldSlowdown)
	}
	c.Slowdown = slowdown
	meanRun := (3*warm + cold) / 4
	if waiting := c.AttemptsInFlight - c.Slots + 1; waiting > 0 {
		c.QueueTime = time.Duration(float64(meanRun) * slowdown * float64(waiting) / float64(c.Slots))
	}
	if !b.hasConnection(e.spec.Address, r.NonIdempotent) {
		c.DialTime = b.roundTripTo(e.region)
	}
	c.ExpectedLatency = c.DialTime + b.roundTripTo(e.region) + c.QueueTime + time.Duration(float64(run)*slowdown)
	c.QueueSlack = max(r.TargetLatency-c.DialTime-b.roundTripTo(e.region)-time.Duration(float64(warm)*slowdown), 0)
	// An attempt that is long overdue is better evidence than earlier answers.
	if oldestAge := e.oldestAge(now); oldestAge > 3*cold {
		c.ExpectedLatency += oldestAge
	}
	// The dial time is left out of the cost: otherwise a connection that one request
	// has opened to another region would attract more requests to that region.
	cost := (c.ExpectedLatency - c.DialTime).Seconds() + b.localityCost(e, r.TargetLatency)
	if c.DialTime > 0 {
		cost += newConnectionCost * r.TargetLatency.Seconds()
	}
	cost += failurePenalty * e.currentFailureRate(now) * r.TargetLatency.Seconds()
	if !c.ObjectWarm && s.atWarmCapacity(e) {
		cost += evictionCost * cold.Seconds()
	}
	if !c.ObjectWarm {
		cost += placementSpread * cold.Seconds() * float64(mix(e.hash, r.Object)) / math.MaxUint32
	}
	if e.ejected(now) {
		cost += ejectedCost
	}
	if e.untried && !e.cold(now) && b.ownsCold(e.hash) {
		cost -= untriedBonus
	}
	return c, cost
}

const (
	// untriedBonus is subtracted, in seconds, so that the owner of an endpoint that
	// has not had any request yet sends it one.
	untriedBonus = 5.0
	// extraCopyCost, in seconds, ranks endpoints where the object would exceed
	// maxCopies behind those where it is warm. ejectedCost, in seconds, ranks
	// ejected endpoints behind all others.
	extraCopyCost = 10.0
	ejectedCost   = 1000.0
)

// localityCost returns the cost of sending to another zone or region, in seconds.
func (b *Balancer) localityCost(e *endpoint, target time.Duration) float64 {
	switch {
	case e.spec.Zone == b.zone:
		return 0
	case e.region == b.region:
		return otherZoneCost * target.Seconds()
	}
	return (otherZoneCost + otherRegionCost) * target.Seconds()
}

// roundTripTo returns the round-trip time to a region, measured or assumed.
func (b *Balancer) roundTripTo(region string) time.Duration {
	if d, ok := b.roundTrip[region]; ok {
		return d
	}
	if region == b.region {
		return sameRegionRoundTrip
	}
	return otherRegionRoundTrip
}

// runTimes returns the mean times of warm and cold runs. Before they have been
// measured, a cold run is assumed to miss the target but to end before the timeout,
// and a warm run to meet the target.
func (s *service) runTimes(target, timeout time.Duration) (warm, cold time.Duration) {
	warm, cold = s.warm, s.cold
	if cold == 0 {
		cold = min(target*5/4, timeout*3/4)
	}
	if warm == 0 {
		warm = cold * 3 / 8
	}
	return warm, cold
}

// EndpointCount returns the number of endpoints.
func (b *Balancer) EndpointCount() int { return len(b.byID) }

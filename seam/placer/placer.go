// Package placer chooses the endpoint for a request. It is used by the edge daemon,
// seamedge, mainly through package conductor.
//
// A [Balancer] tracks the endpoints of all regions: how many attempts are in flight
// at each (from this instance and, as reported, from the others), which objects are
// warm at each, how far away it is and how slow. [Balancer.Pick] returns the endpoint
// with the lowest cost, which is the expected time until the answer plus penalties.
//
// An object is what a request's affinity key identifies. It is warm at an endpoint that
// handled it recently: requests for it run several times faster there (a warm run) than
// elsewhere (a cold run). An endpoint keeps a limited number of objects warm, its warm
// capacity. An endpoint runs only as many requests at a time as it has slots; further
// requests queue. Endpoints have few slots, and the regions differ in capacity, so
// always choosing the warm endpoint would build up queues.
//
// An endpoint is cold for a warm-up period after it starts: it is slower, and
// requests to it are rate limited. An endpoint may also name the rate of requests that it
// takes from all instances together. Each endpoint has an order of the instances, the same
// at all of them. Normally only the first one, its owner, sends requests to the endpoint
// while it is cold, and only the first few while it names a rate. See [Standing] and
// [Ranking].
//
// An endpoint whose attempts fail repeatedly is ejected for a while: it is chosen
// only if all others are ejected too.
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
	// Regions lists the regions that may serve the request. If Restricted is not set,
	// Regions is ignored and any region may serve it.
	Regions    []string
	Restricted bool
	// Tried lists the IDs of endpoints that must not be chosen again.
	Tried []string
	// TargetLatency is the latency within which the request should be answered; a later
	// answer still counts, but for less. Timeout is the time after which the caller no
	// longer waits.
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
	// ExpectedLatency is the estimated time until the answer. It includes QueueTime, the
	// time in the endpoint's queue, and DialTime, the time to open a connection. DialTime
	// is 0 if an idle connection can be used.
	ExpectedLatency  time.Duration
	QueueTime        time.Duration
	DialTime         time.Duration
	ObjectWarm       bool
	AttemptsInFlight int
	Slots            int
	// QueueSlack is how long a request could queue at the endpoint and still be answered
	// within the target latency, if its object is warm there.
	QueueSlack time.Duration
	// Slowdown is the endpoint's run time divided by the mean run time of its service.
	// For a cold endpoint it is at least coldSlowdown.
	Slowdown float64
	// Limited means that the endpoint named a rate limit.
	Limited bool
}

// Load is a number of attempts in flight at an endpoint, which is identified by
// the hash of its ID.
type Load struct {
	Endpoint uint32
	Count    int
}

// WarmObject reports that an endpoint handles an object, which is therefore warm
// there. Both are identified by their hashes.
type WarmObject struct {
	Endpoint uint32
	Object   uint32
}

// service is the shared state of all endpoints of a service.
type service struct {
	endpoints []*endpoint
	spec      router.Service
	// excess is how far the part of the requests that only this instance's region may serve
	// exceeds the region's part of the slots, from 0 to 1.
	excess float64
	// warmRunTime is the mean run time of requests whose object is warm, coldRunTime that
	// of all other requests. Each is 0 before its first measurement.
	warmRunTime time.Duration
	coldRunTime time.Duration
	// warmCapacity is the estimated number of objects that an endpoint of the service
	// keeps warm, or 0 while no limit has been detected. Until then, misses counts the
	// runs that were cold although their object was expected to be warm.
	warmCapacity float64
	misses       int
}

// atWarmCapacity reports whether an endpoint handled at least as many objects recently
// as it keeps warm. If the endpoint then handles a new object, it evicts another one.
func (s *service) atWarmCapacity(e *endpoint) bool {
	return s.warmCapacity > 0 && float64(len(e.recentObjects)) >= s.warmCapacity
}

// Balancer tracks the state of all endpoints and chooses among them. It is not safe
// for concurrent use.
type Balancer struct {
	zone           string
	region         string
	zones          map[string]string
	byID           map[string]*endpoint
	byHash         map[uint32]*endpoint
	services       map[string]*service
	evacuatedZones map[string]bool
	// bound is the expected part of all requests that only this instance's region may serve.
	bound float64
	// roundTrip is the round-trip time to each region, measured when dialing.
	roundTrip map[string]time.Duration
	// peerAttempts holds the numbers of attempts in flight that each other instance
	// reported, by instance ID and endpoint hash.
	peerAttempts   map[string]map[uint32]int
	newWarmObjects []WarmObject
	limitChanges   []LimitChange
	// endpointsListed is set after the first list of endpoints. An endpoint that first
	// appears in a later list is assumed to have just started.
	endpointsListed bool
	// unlisted holds the withdrawals of endpoints that are no longer listed, by ID.
	unlisted map[string]unlistedWithdrawal
	// standing returns this instance's standing for the endpoint with the given hash in the
	// given region.
	standing func(region string, endpoint uint32) Standing
	// hasConnection reports whether this instance has an idle connection to an address,
	// and a request may use that connection.
	hasConnection func(address string, nonIdempotent bool) bool
}

const (
	// sameRegionRoundTrip and otherRegionRoundTrip are the round-trip times that are
	// assumed for a region until one has been measured.
	sameRegionRoundTrip  = 2 * time.Millisecond
	otherRegionRoundTrip = 60 * time.Millisecond
	// otherZoneCost and otherRegionCost are added for endpoints in other zones and
	// regions, because traffic between zones and regions costs money. They are fractions
	// of the request's target latency, so they decide only if the estimated times are
	// similar.
	otherZoneCost   = 0.04
	otherRegionCost = 0.12
	// newConnectionCost is the cost of a new connection apart from its dial time, as a
	// fraction of the target latency. A new connection occupies a slot of the endpoint
	// for a moment, and endpoints accept a limited number of connections.
	newConnectionCost = 0.04
	// placementSpread is the highest cost, in cold runs, that is added for an endpoint
	// where the object is not warm. A hash of the endpoint and the object determines
	// the cost, between 0 and placementSpread. The cost spreads new objects over the
	// endpoints, in an order of preference that is the same at all instances.
	placementSpread = 1.0
	// evictionCost is the cost of making an object warm at an endpoint that is at its
	// warm capacity and must evict another object. It is a multiple of the time of a
	// cold run.
	evictionCost = 1.0
	// copiesWithoutPenalty is the number of endpoints at which an object may be warm
	// before extraCopyCost is added for making it warm at another one. Endpoints keep a
	// limited number of objects, so keeping an object at many endpoints leaves less room
	// for other objects.
	copiesWithoutPenalty = 3
	// failurePenalty is the cost of an endpoint where every attempt fails, as a multiple
	// of the request's target latency. It is multiplied by the endpoint's failure rate.
	failurePenalty = 3.0
	// maxNewWarmObjects is the most newly warm objects collected between two calls of
	// TakeWarmObjects. Further objects are not reported to other instances.
	maxNewWarmObjects = 64
)

// New returns a balancer for an instance in a zone; zones maps zones to regions.
func New(zone string, zones map[string]string) *Balancer {
	return &Balancer{
		zone: zone, region: zones[zone], zones: zones,
		byID: map[string]*endpoint{}, byHash: map[uint32]*endpoint{},
		unlisted: map[string]unlistedWithdrawal{},
		services: map[string]*service{}, evacuatedZones: map[string]bool{},
		roundTrip: map[string]time.Duration{}, peerAttempts: map[string]map[uint32]int{},
		standing:      func(string, uint32) Standing { return Standing{Candidates: 1} },
		hasConnection: func(string, bool) bool { return true },
	}
}

// SetStanding sets the function that returns this instance's standing for the endpoint with
// the given hash in the given region. If SetStanding is not called, this instance is the
// only one.
func (b *Balancer) SetStanding(standing func(region string, endpoint uint32) Standing) {
	b.standing = standing
}

// SetHasConnection sets the function that reports whether this instance has an idle
// connection to an address, and a request may use that connection. If SetHasConnection
// is not called, every address is assumed to have an idle connection.
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

// SetServices applies the settings in a configuration to the services that the balancer
// tracks. The balancer tracks a service once an endpoint of the service has been listed
// or Pick has been called for the service.
func (b *Balancer) SetServices(c *router.Config) {
	for name, s := range b.services {
		if spec, ok := c.Service(name); ok {
			s.spec = spec
		}
	}
}

// SetEndpoints replaces the list of all endpoints; endpoints that are not in the new
// list are removed. If config is not nil, the settings of the endpoints' services are
// updated from it.
func (b *Balancer) SetEndpoints(now time.Time, list []router.Endpoint, config *router.Config) {
	listed := make(map[string]bool, len(list))
	for _, s := range b.services {
		s.endpoints = s.endpoints[:0]
	}
	for _, spec := range list {
		listed[spec.ID] = true
		s := b.service(spec.Service)
		if config != nil {
			s.spec, _ = config.Service(spec.Service)
		}
		s.endpoints = append(s.endpoints, b.setEndpoint(now, spec, s))
	}
	for id, e := range b.byID {
		if !listed[id] {
			b.unlist(now, e)
			delete(b.byID, id)
			delete(b.byHash, e.hash)
		}
	}
	for _, s := range b.services {
		slices.SortFunc(s.endpoints, func(x, y *endpoint) int { return int(int64(x.hash) - int64(y.hash)) })
	}
	b.refreshExcess()
	b.endpointsListed = true
}

// setEndpoint adds an endpoint of the service s, or updates it, and returns its state.
// If the start time or address has changed, the endpoint has restarted, so its old
// state is discarded.
func (b *Balancer) setEndpoint(now time.Time, spec router.Endpoint, s *service) *endpoint {
	e, ok := b.byID[spec.ID]
	restarted := ok && (e.spec.StartedAtMs != spec.StartedAtMs || e.spec.Address != spec.Address)
	if !ok || restarted {
		e = &endpoint{spec: spec, region: b.zones[spec.Zone], hash: Hash32(spec.ID), recentObjects: map[uint32]useTimes{}}
		if b.endpointsListed {
			// The endpoint has just started, so it counts as cold even if its entry in the list
			// doesn't say so yet.
			e.untried = true
			e.coldUntil = now.Add(s.spec.Warmup)
		}
		b.relist(e)
		b.byID[spec.ID] = e
		b.byHash[e.hash] = e
	}
	if spec.ColdRemaining > 0 && (e.spec.ColdRemaining != spec.ColdRemaining || !ok) {
		e.coldUntil = later(e.coldUntil, now.Add(spec.ColdRemaining))
	}
	e.spec = spec
	return e
}

// SetEvacuated sets the zones whose endpoints get no new requests. When a zone is no
// longer evacuated, its endpoints count as cold and have no warm objects.
func (b *Balancer) SetEvacuated(now time.Time, zones []string) {
	nextZones := make(map[string]bool, len(zones))
	for _, z := range zones {
		nextZones[z] = true
	}
	for _, e := range b.byID {
		if b.evacuatedZones[e.spec.Zone] && !nextZones[e.spec.Zone] {
			e.coldUntil = later(e.coldUntil, now.Add(b.service(e.spec.Service).spec.Warmup))
			e.recentObjects = map[uint32]useTimes{}
		}
	}
	b.evacuatedZones = nextZones
}

// mayReceive reports whether a request may be sent to an endpoint at all. The cost is
// not considered.
func (b *Balancer) mayReceive(now time.Time, r *Request, e *endpoint) bool {
	if e.spec.Draining || e.withdrawal.active(now) || b.evacuatedZones[e.spec.Zone] {
		return false
	}
	if r.Restricted && !slices.Contains(r.Regions, e.region) {
		return false
	}
	if slices.Contains(r.Tried, e.spec.ID) {
		return false
	}
	if !e.isCold(now) && !e.limit.named {
		return true
	}
	return e.maySend(now, b.standing(e.region, e.hash), b.service(r.Service).spec.ColdRate)
}

// Pick returns the endpoint with the lowest cost for a request, with the estimates
// for it. It returns false if no endpoint may receive the request.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, bool) {
	s := b.service(r.Service)
	enoughCopies := b.warmCopies(now, &r, s) >= copiesWithoutPenalty
	best := newCheapest()
	var c Candidate
	for _, e := range s.endpoints {
		if !b.mayReceive(now, &r, e) {
			continue
		}
		b.estimateWithCopies(now, &r, s, e, enoughCopies, &c)
		best.offer(&c)
	}
	if r.wantsCopy(&best.choice) {
		if choice, ok := b.pickForCopy(now, &r, s, best.choice.Region); ok {
			return choice, true
		}
	}
	return best.choice, best.found()
}

// warmCopies returns the number of endpoints at which the request's object is warm.
// It counts only endpoints that may receive the request and are neither ejected nor
// cold.
func (b *Balancer) warmCopies(now time.Time, r *Request, s *service) int {
	if r.Object == 0 {
		return 0
	}
	count := 0
	for _, e := range s.endpoints {
		if e.isWarm(now, r.Object, s.warmCapacity) && b.mayReceive(now, r, e) && !e.isEjected(now) && !e.isCold(now) {
			count++
		}
	}
	return count
}

// estimate sets a candidate to the estimates for sending a request to an endpoint, and the cost of doing so
// without that of further copies.
func (b *Balancer) estimate(now time.Time, r *Request, s *service, e *endpoint, candidate *Candidate) {
	warmRunTime, coldRunTime := s.runTimes(r.TargetLatency, r.Timeout)
	roundTrip, cold := b.roundTripTo(e.region), e.isCold(now)
	*candidate = Candidate{Zone: e.spec.Zone, Choice: Choice{
		ID: e.spec.ID, Address: e.spec.Address, Region: e.region, AttemptsInFlight: e.attemptsInFlight(), Slots: e.spec.Slots,
		ObjectWarm: r.Object != 0 && e.isWarm(now, r.Object, s.warmCapacity), Limited: e.limit.named,
	}}
	c, cost := &candidate.Choice, &candidate.Cost
	runTime := coldRunTime
	if c.ObjectWarm {
		runTime = warmRunTime
	}
	slowdown := e.currentSlowdown(now)
	if cold {
		slowdown = max(slowdown, coldSlowdown)
	}
	slowdown *= e.currentWorkTime(now)
	c.Slowdown = slowdown
	meanRun := (3*warmRunTime + coldRunTime) / 4
	if waiting := c.AttemptsInFlight - c.Slots + 1; waiting > 0 {
		c.QueueTime = time.Duration(float64(meanRun) * slowdown * float64(waiting) / float64(c.Slots))
	}
	if !b.hasConnection(e.spec.Address, r.NonIdempotent) {
		c.DialTime = roundTrip
	}
	c.ExpectedLatency = c.DialTime + roundTrip + c.QueueTime + time.Duration(float64(runTime)*slowdown)
	c.QueueSlack = max(r.TargetLatency-c.DialTime-roundTrip-time.Duration(float64(warmRunTime)*slowdown), 0)
	// An attempt that has been in flight for very long suggests that the endpoint has
	// become slow, even if its earlier answers were fast.
	if oldestAge := e.oldestAge(now); oldestAge > 3*coldRunTime {
		c.ExpectedLatency += oldestAge
	}
	// The dial time is left out of the cost. Otherwise, once one request has opened a
	// connection to another region, more requests would be sent to that region.
	cost.Latency, cost.Locality = (c.ExpectedLatency - c.DialTime).Seconds(), b.localityCost(e, r.TargetLatency)
	if c.DialTime > 0 {
		cost.Connection = newConnectionCost * r.TargetLatency.Seconds()
	}
	cost.Failures = failurePenalty * e.currentFailureRate(now) * r.TargetLatency.Seconds()
	if !c.ObjectWarm && s.atWarmCapacity(e) {
		cost.Eviction = evictionCost * coldRunTime.Seconds()
	}
	if !c.ObjectWarm {
		cost.Placement = placementSpread * coldRunTime.Seconds() * float64(mix(e.hash, r.Object)) / math.MaxUint32
	}
	cost.Bound = b.costOfBound(r, s, e) * coldRunTime.Seconds()
	if e.isEjected(now) {
		cost.Ejected = ejectedCost
	}
	if e.untried && !cold && b.standing(e.region, e.hash).Rank == 0 {
		cost.Untried = -untriedBonus
	}
}

const (
	// untriedBonus, in seconds, is subtracted from the cost of an untried endpoint at its
	// owner, so that the owner sends it a first request.
	untriedBonus = 5.0
	// extraCopyCost, in seconds, is added for an endpoint where the object is not warm,
	// if the object is warm at copiesWithoutPenalty endpoints already. It ranks such an
	// endpoint behind those where the object is warm, unless it is underused.
	// ejectedCost, in seconds, ranks ejected endpoints behind all others.
	extraCopyCost = 10.0
	ejectedCost   = 1000.0
)

// localityCost returns the cost of sending to an endpoint in another zone or region,
// in seconds, or 0 for an endpoint in this instance's zone.
func (b *Balancer) localityCost(e *endpoint, target time.Duration) float64 {
	switch {
	case e.spec.Zone == b.zone:
		return 0
	case e.region == b.region:
		return otherZoneCost * target.Seconds()
	}
	return (otherZoneCost + otherRegionCost) * target.Seconds()
}

// roundTripTo returns the round-trip time to a region: the measured one, or an
// assumed one if there is none.
func (b *Balancer) roundTripTo(region string) time.Duration {
	if d, ok := b.roundTrip[region]; ok {
		return d
	}
	if region == b.region {
		return sameRegionRoundTrip
	}
	return otherRegionRoundTrip
}

// runTimes returns the mean times of warm and cold runs. Before any cold run has been
// measured, it is assumed to take longer than the target latency but to end before
// the timeout. Before any warm run has been measured, it is assumed to take 3/8 of a
// cold run.
func (s *service) runTimes(target, timeout time.Duration) (warmRunTime, coldRunTime time.Duration) {
	warmRunTime, coldRunTime = s.warmRunTime, s.coldRunTime
	if coldRunTime == 0 {
		coldRunTime = min(target*5/4, timeout*3/4)
	}
	if warmRunTime == 0 {
		warmRunTime = coldRunTime * 3 / 8
	}
	return warmRunTime, coldRunTime
}

// EndpointCount returns the number of listed endpoints.
func (b *Balancer) EndpointCount() int { return len(b.byID) }

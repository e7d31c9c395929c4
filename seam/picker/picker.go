// Package picker chooses, by free slots and load, the endpoint of a service to which a
// request is forwarded. Package decider uses it for the fleet daemon seamd; package
// placer is its counterpart for the edge daemon seamedge.
//
// An instance is one process of the load balancer, and its peers are the other
// instances. An endpoint is one upstream process, and its slots are the number of
// requests that it can run at a time.
//
// A [Pool] holds the endpoints of one service. It tracks this instance's requests in
// flight at each endpoint and the loads that endpoints and peers report. A [Policy]
// determines how the pool chooses among the usable endpoints. An endpoint isn't usable
// in two cases:
//
//   - It is draining: the configuration, or a notice by the endpoint itself, states that
//     it must get no new requests.
//   - It is ejected: it gets no requests for a while because it failed too often.
//
// An endpoint that is added to an existing pool, or becomes usable again, is cold for a
// few seconds. The number of its slots that may be used then grows from one to all of
// them. An endpoint that is not cold is warm.
//
// # Usage
//
//	pool := picker.NewPool(endpoints)
//	choice, ok := pool.Pick(now, rng, picker.Request{Region: "kolkata"})
//	pool.Started(choice.Address())
//	pool.Ended(now, choice.Address(), picker.Succeeded)
package picker

import (
	"math/rand/v2"
	"time"
)

//go:generate stringer -type=Outcome -output=picker_string.go

// randomCandidates is the number of endpoints that leastOfTwo tries at random before it
// scans all endpoints of the region.
const randomCandidates = 4

// Outcome is what an attempt showed about the health of its endpoint. Each time a request
// is forwarded is one attempt.
type Outcome int

const (
	// Neutral means that the attempt showed nothing, for example because the caller
	// disconnected.
	Neutral Outcome = iota
	// Succeeded means that the endpoint gave a usable answer.
	Succeeded
	// Failed means that the endpoint gave no usable answer.
	Failed
	// Shed means that the endpoint rejected the request because it had no free slot or
	// was draining.
	Shed
)

// Request holds the properties of a request that affect the choice of an endpoint.
type Request struct {
	// Region is the region whose endpoints may be chosen.
	Region string
	// Avoid is the address of an endpoint that isn't chosen, because the previous attempt
	// was made there, or "".
	Avoid string
	// Affinity is a key that is hashed to an endpoint. This endpoint is chosen if it has
	// a free slot, except with the policy RoundRobin. "" means that the request has no
	// affinity key.
	Affinity string
}

// Pool holds the endpoints of one service. It is not safe for concurrent use.
type Pool struct {
	policy    Policy
	byAddress map[string]*Endpoint
	byRegion  map[string]*regionPool
	// orderedEndpoints holds all endpoints in the order of the configuration.
	orderedEndpoints []*Endpoint
	// nextIndex is the index of the endpoint that RoundRobin tries next, modulo the
	// number of endpoints in the region.
	nextIndex int
}

// Option configures a new pool.
type Option func(*Pool)

// WithPolicy sets how endpoints are chosen; the default is [SingleOwner].
func WithPolicy(policy Policy) Option { return func(p *Pool) { p.policy = policy } }

// NewPool returns a pool of the given endpoints. All of them are warm.
func NewPool(endpoints []Endpoint, opts ...Option) *Pool {
	p := &Pool{policy: SingleOwner{}}
	for _, opt := range opts {
		opt(p)
	}
	p.setEndpoints(endpoints)
	return p
}

// setEndpoints replaces the endpoints of the pool and keeps no state of the old ones.
func (p *Pool) setEndpoints(endpoints []Endpoint) {
	p.byAddress = make(map[string]*Endpoint, len(endpoints))
	p.byRegion = map[string]*regionPool{}
	p.orderedEndpoints = make([]*Endpoint, 0, len(endpoints))
	for i := range endpoints {
		e := endpoints[i]
		p.byAddress[e.address] = &e
		p.orderedEndpoints = append(p.orderedEndpoints, &e)
		if p.byRegion[e.region] == nil {
			p.byRegion[e.region] = &regionPool{}
		}
		region := p.byRegion[e.region]
		region.endpoints = append(region.endpoints, &e)
	}
}

// Update replaces the endpoints of the pool. Endpoints that were in the pool before keep
// their state. New endpoints, and endpoints that the configuration no longer drains,
// become cold.
func (p *Pool) Update(now time.Time, endpoints []Endpoint) {
	old := p.byAddress
	p.setEndpoints(endpoints)
	for _, e := range p.orderedEndpoints {
		if before, ok := old[e.address]; ok {
			e.inheritState(before, now)
		} else {
			e.startWarmUp(now)
		}
	}
}

// Pick returns an endpoint of the request's region that can take the request now. It
// returns false if there is no such endpoint.
func (p *Pool) Pick(now time.Time, rng *rand.Rand, r Request) (*Endpoint, bool) {
	region, ok := p.byRegion[r.Region]
	if !ok {
		return nil, false
	}
	all := region.endpoints
	if _, ok := p.policy.(RoundRobin); ok {
		return p.roundRobin(now, all, r)
	}
	if e, ok := p.pickByAffinity(now, all, r); ok {
		return e, true
	}
	if region.full(now) {
		return p.pickFreed(now, region, r)
	}
	e, ok := p.leastOfTwo(now, rng, all, r)
	if !ok && r.Avoid == "" {
		region.setFull(now)
	}
	return e, ok
}

// roundRobin returns the next usable endpoint in turn, whatever its load. It skips the
// endpoint to avoid, unless that is the only endpoint of the region.
func (p *Pool) roundRobin(now time.Time, all []*Endpoint, r Request) (*Endpoint, bool) {
	for range all {
		e := all[p.nextIndex%len(all)]
		p.nextIndex++
		if p.usable(now, e) && (e.address != r.Avoid || len(all) == 1) {
			return e, true
		}
	}
	return nil, false
}

// leastOfTwo draws up to randomCandidates endpoints at random. As soon as it has drawn two
// different free endpoints, it returns the less loaded one. If it draws only one free
// endpoint, it returns that one. If it draws none, it scans all endpoints from a random
// start and returns the first free endpoint. It returns false if no endpoint is free.
func (p *Pool) leastOfTwo(now time.Time, rng *rand.Rand, all []*Endpoint, r Request) (*Endpoint, bool) {
	var first *Endpoint
	for range min(randomCandidates, len(all)) {
		e := all[rng.IntN(len(all))]
		if e == first || !p.free(now, e, r) {
			continue
		}
		if first != nil {
			return p.lessLoaded(now, first, e), true
		}
		first = e
	}
	if first != nil {
		return first, true
	}
	offset := rng.IntN(len(all))
	for i := range all {
		if e := all[(offset+i)%len(all)]; p.free(now, e, r) {
			return e, true
		}
	}
	return nil, false
}

// lessLoaded returns the endpoint with the lower load, or a if the loads are equal.
func (p *Pool) lessLoaded(now time.Time, a, b *Endpoint) *Endpoint {
	if p.load(now, b) < p.load(now, a) {
		return b
	}
	return a
}

// load returns the policy's estimate of the number of requests in flight at an endpoint,
// from all instances.
func (p *Pool) load(now time.Time, e *Endpoint) float64 {
	switch p.policy.(type) {
	case LeastReported:
		return float64(e.reports.lastLoad)
	case LeastDiscounted:
		return e.discountedLoad(now)
	}
	return float64(e.inFlight) + max(float64(e.otherInFlight(now)), e.peerInFlight(now))
}

// free reports whether the endpoint can take the request now. With all policies except
// LeastReported, this requires a free slot.
func (p *Pool) free(now time.Time, e *Endpoint, r Request) bool {
	if e.address == r.Avoid || !p.usable(now, e) || now.Before(e.shedUntil) {
		return false
	}
	switch p.policy.(type) {
	case LeastReported:
		return true
	case LeastDiscounted:
		return e.inFlight < e.Slots(now)
	}
	return e.inFlight+e.otherInFlight(now) < e.Slots(now)
}

// usable reports whether the endpoint is neither draining nor ejected.
func (p *Pool) usable(now time.Time, e *Endpoint) bool {
	return !e.isDraining(now) && !e.ejected(now)
}

// Started counts a request that is forwarded to the endpoint with the given address.
func (p *Pool) Started(address string) {
	if e, ok := p.byAddress[address]; ok {
		e.inFlight++
	}
}

// Ended counts the end of a forwarded request and applies its outcome to the endpoint.
// Failures may eject the endpoint. After a rejection, the endpoint gets no requests for
// shedBackoff.
func (p *Pool) Ended(now time.Time, address string, outcome Outcome) {
	e, ok := p.byAddress[address]
	if !ok {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if region := p.byRegion[e.region]; region.full(now) {
		region.freedEndpoints = append(region.freedEndpoints, e)
	}
	switch outcome {
	case Succeeded:
		e.recordSuccess()
	case Failed:
		if e.recordFailure(now) && p.mayEject(now, e) {
			e.eject(now)
			p.byRegion[e.region].capacityValidUntil = now
		}
	case Shed:
		e.shedUntil = now.Add(shedBackoff)
	}
}

// mayEject reports whether the candidate may be ejected: at least half of its region's
// endpoints must remain usable without it.
func (p *Pool) mayEject(now time.Time, candidate *Endpoint) bool {
	all := p.byRegion[candidate.region].endpoints
	remaining := 0
	for _, e := range all {
		if e != candidate && p.usable(now, e) {
			remaining++
		}
	}
	return 2*remaining >= len(all)
}

// ReportLoad records an endpoint's own count of the requests that it has in flight. The
// count came with an answer to this instance.
func (p *Pool) ReportLoad(now time.Time, address string, load int) {
	if e, ok := p.byAddress[address]; ok {
		// The reported load still includes the request whose answer carried the report,
		// but inFlight no longer does.
		e.reports.add(load, e.inFlight+1, now)
	}
}

// ReportDrain records a notice, from the endpoint itself to this instance, that the
// endpoint is draining. It does nothing if draining is false.
func (p *Pool) ReportDrain(now time.Time, address string, draining bool) {
	e, ok := p.byAddress[address]
	if !ok || !draining {
		return
	}
	e.ownNoticeUntil = now.Add(drainNoticeTTL)
	p.ReportPeerDrain(now, address, draining)
}

// ReportPeerDrain records a notice from a peer that an endpoint is draining. It does
// nothing if draining is false. Visit leaves such notices out. Otherwise instances would
// keep renewing the notice among themselves after the drain has ended.
func (p *Pool) ReportPeerDrain(now time.Time, address string, draining bool) {
	e, ok := p.byAddress[address]
	if !ok || !draining {
		return
	}
	e.drainingUntil = now.Add(drainNoticeTTL)
	p.byRegion[e.region].capacityValidUntil = now
	e.startWarmUp(e.drainingUntil)
}

// ReportPeerLoad records the number of requests that a peer has in flight at an endpoint.
func (p *Pool) ReportPeerLoad(now time.Time, peer, address string, load int) {
	e, ok := p.byAddress[address]
	if !ok {
		return
	}
	if load == 0 {
		delete(e.peers, peer)
		return
	}
	if e.peers == nil {
		e.peers = map[string]peerCount{}
	}
	e.peers[peer] = peerCount{load: load, at: now}
}

// Usable reports whether at least one endpoint of the region is neither draining nor
// ejected. The result is cached and may be up to scanTTL old.
func (p *Pool) Usable(now time.Time, region string) bool {
	return p.Capacity(now, region) > 0
}

// Capacity returns the number of slots at the usable endpoints of a region, whether they
// are free or in use. The result is cached and may be up to scanTTL old.
func (p *Pool) Capacity(now time.Time, region string) int {
	r, ok := p.byRegion[region]
	if !ok {
		return 0
	}
	if now.Before(r.capacityValidUntil) {
		return r.capacity
	}
	r.capacity = 0
	for _, e := range r.endpoints {
		if p.usable(now, e) {
			r.capacity += e.Slots(now)
		}
	}
	r.capacityValidUntil = now.Add(scanTTL)
	return r.capacity
}

// Visit calls visit for each endpoint that has requests of this instance in flight or
// from which this instance has a valid notice that the endpoint is draining. load is the
// number of these requests. draining reports whether there is such a notice.
func (p *Pool) Visit(now time.Time, visit func(address string, load int, draining bool)) {
	for _, e := range p.orderedEndpoints {
		draining := now.Before(e.ownNoticeUntil)
		if e.inFlight > 0 || draining {
			visit(e.address, e.inFlight, draining)
		}
	}
}

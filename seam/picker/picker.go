// Package picker chooses the endpoint for a request.
//
// A [Pool] holds the endpoints of one service. It tracks this instance's requests in
// flight there, the loads that endpoints and peers report, and which endpoints are
// draining, failing or warming up. A [Policy] determines how it chooses. Peers are the
// other instances of the load balancer, and an endpoint's slots are the number of
// requests that it can run at a time.
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

// randomCandidates is the number of random endpoints that are tried before scanning
// all of them.
const randomCandidates = 4

// Outcome is what an attempt showed about its endpoint.
type Outcome int

const (
	// Neutral shows nothing, for example because the caller disconnected.
	Neutral Outcome = iota
	// Succeeded means that the endpoint gave a usable answer.
	Succeeded
	// Failed means that the endpoint gave no usable answer.
	Failed
	// Shed means that the endpoint rejected the request because it had no free slot.
	Shed
)

// Request holds the properties of a request that affect the choice.
type Request struct {
	Region string
	// Avoid is the address of the endpoint of the previous attempt, or "".
	Avoid string
	// Affinity is a key that is hashed to an endpoint, which is preferred while it
	// has a free slot; "" means none.
	Affinity string
}

// Pool holds the endpoints of one service. It is not safe for concurrent use.
type Pool struct {
	policy    Policy
	byAddress map[string]*Endpoint
	byRegion  map[string]*regionPool
	ordered   []*Endpoint
	nextIndex int
}

// Option configures a new pool.
type Option func(*Pool)

// WithPolicy sets how endpoints are chosen; the default is [SingleOwner].
func WithPolicy(policy Policy) Option { return func(p *Pool) { p.policy = policy } }

// NewPool returns a pool of endpoints, which count as warm.
func NewPool(endpoints []Endpoint, opts ...Option) *Pool {
	p := &Pool{policy: SingleOwner{}}
	for _, opt := range opts {
		opt(p)
	}
	p.setEndpoints(endpoints)
	return p
}

// setEndpoints replaces the endpoints without keeping any state.
func (p *Pool) setEndpoints(endpoints []Endpoint) {
	p.byAddress = make(map[string]*Endpoint, len(endpoints))
	p.byRegion = map[string]*regionPool{}
	p.ordered = make([]*Endpoint, 0, len(endpoints))
	for i := range endpoints {
		e := endpoints[i]
		p.byAddress[e.address] = &e
		p.ordered = append(p.ordered, &e)
		if p.byRegion[e.region] == nil {
			p.byRegion[e.region] = &regionPool{}
		}
		region := p.byRegion[e.region]
		region.endpoints = append(region.endpoints, &e)
	}
}

// Update replaces the endpoints and keeps the state of those that stay. New ones, and
// those that the configuration no longer drains, are cold.
func (p *Pool) Update(now time.Time, endpoints []Endpoint) {
	old := p.byAddress
	p.setEndpoints(endpoints)
	for _, e := range p.ordered {
		if before, ok := old[e.address]; ok {
			e.inheritState(before, now)
		} else {
			e.warmUp(now)
		}
	}
}

// Pick returns an endpoint of the region that can take the request now. It reports
// false if there is none.
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

// roundRobin returns the next usable endpoint in turn, whatever its load.
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

// leastOfTwo returns the less loaded of the first two free endpoints among a few random
// ones. If only one of them is free it returns that, and if none is, the first free
// endpoint of all, from a random start.
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

// lessLoaded returns the endpoint with the lower load, or a if they are equal.
func (p *Pool) lessLoaded(now time.Time, a, b *Endpoint) *Endpoint {
	if p.load(now, b) < p.load(now, a) {
		return b
	}
	return a
}

// load returns the policy's estimate of the requests in flight at an endpoint, from
// all instances.
func (p *Pool) load(now time.Time, e *Endpoint) float64 {
	switch p.policy.(type) {
	case LeastReported:
		return float64(e.reports.lastLoad)
	case LeastDiscounted:
		return e.discountedLoad(now)
	}
	return float64(e.inFlight) + max(float64(e.otherInFlight(now)), e.peerInFlight(now))
}

// free reports whether the endpoint can take the request now.
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

// Started counts a request that is forwarded to the endpoint.
func (p *Pool) Started(address string) {
	if e, ok := p.byAddress[address]; ok {
		e.inFlight++
	}
}

// Ended counts the end of a forwarded request and applies its outcome.
func (p *Pool) Ended(now time.Time, address string, outcome Outcome) {
	e, ok := p.byAddress[address]
	if !ok {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if region := p.byRegion[e.region]; region.full(now) {
		region.freed = append(region.freed, e)
	}
	switch outcome {
	case Succeeded:
		e.recordSuccess()
	case Failed:
		if e.recordFailure(now) && p.mayEject(now, e) {
			e.eject(now)
			p.byRegion[e.region].countedUntil = now
		}
	case Shed:
		e.shedUntil = now.Add(shedBackoff)
	}
}

// mayEject reports whether at least half of the region's endpoints remain usable
// without the candidate.
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

// ReportLoad records an endpoint's own count of requests in flight, which came with an
// answer.
func (p *Pool) ReportLoad(now time.Time, address string, load int) {
	if e, ok := p.byAddress[address]; ok {
		// The reported load includes the request whose answer brought it, which
		// inFlight no longer counts.
		e.reports.add(load, e.inFlight+1, now)
	}
}

// ReportDrain records an endpoint's own notice that it is draining.
func (p *Pool) ReportDrain(now time.Time, address string, draining bool) {
	e, ok := p.byAddress[address]
	if !ok || !draining {
		return
	}
	e.ownNoticeUntil = now.Add(drainNoticeTTL)
	p.ReportPeerDrain(now, address, draining)
}

// ReportPeerDrain records an endpoint's notice to a peer that it is draining. Visit
// doesn't pass this on, so that peers don't keep renewing it among themselves.
func (p *Pool) ReportPeerDrain(now time.Time, address string, draining bool) {
	e, ok := p.byAddress[address]
	if !ok || !draining {
		return
	}
	e.drainingUntil = now.Add(drainNoticeTTL)
	p.byRegion[e.region].countedUntil = now
	e.warmUp(e.drainingUntil)
}

// ReportPeerLoad records a peer's count of its requests in flight at an endpoint.
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

// Usable reports whether any endpoint of the region accepts new requests.
func (p *Pool) Usable(now time.Time, region string) bool {
	return p.Capacity(now, region) > 0
}

// Capacity returns the number of usable slots in a region. The result is cached and may
// be a few milliseconds old.
func (p *Pool) Capacity(now time.Time, region string) int {
	r, ok := p.byRegion[region]
	if !ok {
		return 0
	}
	if now.Before(r.countedUntil) {
		return r.capacity
	}
	r.capacity = 0
	for _, e := range r.endpoints {
		if p.usable(now, e) {
			r.capacity += e.Slots(now)
		}
	}
	r.countedUntil = now.Add(scanTTL)
	return r.capacity
}

// Visit calls visit with each endpoint that has requests of this instance in flight, or
// has sent this instance itself a notice that it is draining.
func (p *Pool) Visit(now time.Time, visit func(address string, load int, draining bool)) {
	for _, e := range p.ordered {
		draining := now.Before(e.ownNoticeUntil)
		if e.inFlight > 0 || draining {
			visit(e.address, e.inFlight, draining)
		}
	}
}

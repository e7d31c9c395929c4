// Package picker chooses the endpoint for a request.
//
// A [Pool] holds the endpoints of one service. It knows what this instance has
// in flight there, what endpoints and peers say, and which endpoints drain,
// fail or warm up. A [Policy] says how it chooses.
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

// probes is the number of random endpoints that are tried before all are.
const probes = 4

// Outcome says what an attempt showed of its endpoint.
type Outcome int

const (
	// Neutral shows nothing, for example when the caller left.
	Neutral Outcome = iota
	// Succeeded means that the endpoint answered properly.
	Succeeded
	// Failed means that the endpoint gave no usable answer.
	Failed
	// Shed means that the endpoint had no free slot.
	Shed
)

// Request describes what to pick for.
type Request struct {
	Region string
	// Avoid is the endpoint of the attempt before, or "".
	Avoid string
	// Affinity is hashed to the endpoint that goes first while it has a free
	// slot; "" means none.
	Affinity string
}

// Pool holds the endpoints of one service. It is not safe for concurrent use.
type Pool struct {
	policy    Policy
	byAddress map[string]*Endpoint
	byRegion  map[string]*regionPool
	ordered   []*Endpoint
	turn      int
}

// Option changes a pool at its creation.
type Option func(*Pool)

// WithPolicy sets how endpoints are chosen; the default is [Keeper].
func WithPolicy(policy Policy) Option { return func(p *Pool) { p.policy = policy } }

// NewPool returns a pool of endpoints that are taken for warm.
func NewPool(endpoints []Endpoint, opts ...Option) *Pool {
	p := &Pool{policy: SingleOwner{}}
	for _, opt := range opts {
		opt(p)
	}
	p.set(endpoints)
	return p
}

func (p *Pool) set(endpoints []Endpoint) {
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

// Update replaces the set of endpoints and keeps the state of those that stay.
// New ones and those whose drain has ended are cold.
func (p *Pool) Update(now time.Time, endpoints []Endpoint) {
	old := p.byAddress
	p.set(endpoints)
	for _, e := range p.ordered {
		if before, ok := old[e.address]; ok {
			e.inherit(before, now)
		} else {
			e.warmUp(now)
		}
	}
}

// Pick returns an endpoint of the region that takes a request now. It reports
// false if none does.
func (p *Pool) Pick(now time.Time, rng *rand.Rand, r Request) (*Endpoint, bool) {
	region, ok := p.byRegion[r.Region]
	if !ok {
		return nil, false
	}
	all := region.endpoints
	if _, ok := p.policy.(RoundRobin); ok {
		return p.next(now, all, r)
	}
	if e, ok := p.preferred(now, all, r); ok {
		return e, true
	}
	if region.full(now) {
		return p.freed(now, region, r)
	}
	e, ok := p.leastOfTwo(now, rng, all, r)
	if !ok && r.Avoid == "" {
		region.setFull(now)
	}
	return e, ok
}

// next takes the endpoints in turn.
func (p *Pool) next(now time.Time, all []*Endpoint, r Request) (*Endpoint, bool) {
	for range all {
		e := all[p.turn%len(all)]
		p.turn++
		if p.usable(now, e) && (e.address != r.Avoid || len(all) == 1) {
			return e, true
		}
	}
	return nil, false
}

// leastOfTwo takes the less loaded of the first two free endpoints among a few
// random ones, then among all.
func (p *Pool) leastOfTwo(now time.Time, rng *rand.Rand, all []*Endpoint, r Request) (*Endpoint, bool) {
	var first *Endpoint
	for range min(probes, len(all)) {
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

func (p *Pool) lessLoaded(now time.Time, a, b *Endpoint) *Endpoint {
	if p.load(now, b) < p.load(now, a) {
		return b
	}
	return a
}

// load is the number of requests at an endpoint, as the policy sees it.
func (p *Pool) load(now time.Time, e *Endpoint) float64 {
	switch p.policy.(type) {
	case LeastReported:
		return float64(e.reports.last)
	case LeastDiscounted:
		return e.discounted(now)
	}
	return float64(e.inFlight) + max(float64(e.elsewhere(now)), e.fromPeers(now))
}

// free reports whether the endpoint takes the request now.
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
	return e.inFlight+e.elsewhere(now) < e.Slots(now)
}

func (p *Pool) usable(now time.Time, e *Endpoint) bool {
	return !e.leaving(now) && !e.ejected(now)
}

// Started counts a request that is forwarded to the endpoint.
func (p *Pool) Started(address string) {
	if e, ok := p.byAddress[address]; ok {
		e.inFlight++
	}
}

// Ended counts the end of a forwarded request and what it showed.
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
		e.succeeded()
	case Failed:
		if e.failed(now) && p.mayEject(now, e) {
			e.eject(now)
			p.byRegion[e.region].countedUntil = now
		}
	case Shed:
		e.shedUntil = now.Add(shedHold)
	}
}

// mayEject keeps more than half of a region's endpoints in use.
func (p *Pool) mayEject(now time.Time, candidate *Endpoint) bool {
	all := p.byRegion[candidate.region].endpoints
	staying := 0
	for _, e := range all {
		if e != candidate && p.usable(now, e) {
			staying++
		}
	}
	return 2*staying >= len(all)
}

// ReportLoad takes an endpoint's own count of requests in progress.
func (p *Pool) ReportLoad(now time.Time, address string, load int) {
	if e, ok := p.byAddress[address]; ok {
		// The report counts the request with whose answer it came.
		e.reports.add(load, e.inFlight+1, now)
	}
}

// ReportDrain takes an endpoint's own notice of a drain.
func (p *Pool) ReportDrain(now time.Time, address string, draining bool) {
	e, ok := p.byAddress[address]
	if !ok || !draining {
		return
	}
	e.toldUntil = now.Add(drainHold)
	p.ReportPeerDrain(now, address, draining)
}

// ReportPeerDrain takes a drain that an endpoint has told a peer of. What is heard
// isn't told on, so that peers don't keep it alive among themselves.
func (p *Pool) ReportPeerDrain(now time.Time, address string, draining bool) {
	e, ok := p.byAddress[address]
	if !ok || !draining {
		return
	}
	e.drainedUntil = now.Add(drainHold)
	p.byRegion[e.region].countedUntil = now
	e.warmUp(e.drainedUntil)
}

// ReportPeerLoad takes a peer's count of its requests in flight at an endpoint.
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

// Usable reports whether any endpoint of the region takes new requests.
func (p *Pool) Usable(now time.Time, region string) bool {
	return p.Capacity(now, region) > 0
}

// Capacity returns the slots of a region that may be used now. The figure may
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
	r.countedUntil = now.Add(scanHold)
	return r.capacity
}

// Visit calls visit with each endpoint that has requests in flight from this
// instance, or has told it of a drain.
func (p *Pool) Visit(now time.Time, visit func(address string, load int, draining bool)) {
	for _, e := range p.ordered {
		draining := now.Before(e.toldUntil)
		if e.inFlight > 0 || draining {
			visit(e.address, e.inFlight, draining)
		}
	}
}

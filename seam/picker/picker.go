// Package picker chooses the endpoint for a request.
//
// # Usage
//
//	pool := picker.NewPool(endpoints)
//	choice, ok := pool.Pick(rng, picker.Request{Region: "kolkata"})
//	pool.Started(choice.Address())
package picker

import (
	"math/rand/v2"
	"time"
)

// Endpoint is one upstream process as the picker sees it.
type Endpoint struct {
	address  string
	region   string
	slots    int
	draining bool
	inFlight int
	reported int
	seen     time.Time
}

// NewEndpoint returns an idle endpoint.
func NewEndpoint(address, region string, slots int, draining bool) Endpoint {
	return Endpoint{address: address, region: region, slots: slots, draining: draining}
}

// Address returns the endpoint's IP address and port.
func (e *Endpoint) Address() string { return e.address }

// Region returns the endpoint's region.
func (e *Endpoint) Region() string { return e.region }

// load is the greater of what was forwarded here and what was reported.
func (e *Endpoint) load() int { return max(e.inFlight, e.reported) }

// Request describes what to pick for.
type Request struct {
	Region string
	// Avoid is the endpoint of the attempt before, or "".
	Avoid string
}

// Pool holds the endpoints of one service. It is not safe for concurrent use.
type Pool struct {
	endpoints []*Endpoint
	byAddress map[string]*Endpoint
}

// NewPool returns a pool of the endpoints.
func NewPool(endpoints []Endpoint) *Pool {
	p := &Pool{byAddress: make(map[string]*Endpoint, len(endpoints))}
	for i := range endpoints {
		e := endpoints[i]
		p.endpoints = append(p.endpoints, &e)
		p.byAddress[e.address] = &e
	}
	return p
}

// Update replaces the set of endpoints and keeps the load of those that stay.
func (p *Pool) Update(endpoints []Endpoint) {
	old := p.byAddress
	*p = *NewPool(endpoints)
	for _, e := range p.endpoints {
		if before, ok := old[e.address]; ok {
			e.inFlight, e.reported, e.seen = before.inFlight, before.reported, before.seen
		}
	}
}

// Pick returns the less loaded of two random endpoints that have a free slot.
// It reports false if none has.
func (p *Pool) Pick(rng *rand.Rand, r Request) (*Endpoint, bool) {
	free := p.candidates(r)
	switch len(free) {
	case 0:
		return nil, false
	case 1:
		return free[0], true
	}
	i := rng.IntN(len(free))
	j := rng.IntN(len(free) - 1)
	if j >= i {
		j++
	}
	if free[j].load() < free[i].load() {
		i = j
	}
	return free[i], true
}

func (p *Pool) candidates(r Request) []*Endpoint {
	var free []*Endpoint
	for _, e := range p.endpoints {
		if e.draining || e.region != r.Region || e.address == r.Avoid {
			continue
		}
		if e.load() < e.slots {
			free = append(free, e)
		}
	}
	return free
}

// Started counts a request that is forwarded to the endpoint.
func (p *Pool) Started(address string) {
	if e, ok := p.byAddress[address]; ok {
		e.inFlight++
	}
}

// Ended counts the end of a forwarded request.
func (p *Pool) Ended(address string) {
	if e, ok := p.byAddress[address]; ok && e.inFlight > 0 {
		e.inFlight--
	}
}

// Reported takes an endpoint's own count of requests in progress.
func (p *Pool) Reported(address string, load int, now time.Time) {
	if e, ok := p.byAddress[address]; ok {
		e.reported = load
		e.seen = now
	}
}

// Usable reports whether any endpoint of the region takes new requests.
func (p *Pool) Usable(region string) bool {
	for _, e := range p.endpoints {
		if !e.draining && e.region == region {
			return true
		}
	}
	return false
}

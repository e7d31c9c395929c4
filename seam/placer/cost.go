package placer

import (
	"cmp"
	"slices"
	"time"
)

// Cost holds the terms of the cost of sending a request to an endpoint, in seconds.
type Cost struct {
	// Latency is the expected latency without the time to open a connection, whose cost is
	// Connection.
	Latency    float64 `json:"latency"`
	Locality   float64 `json:"locality"`
	Connection float64 `json:"connection"`
	Failures   float64 `json:"failures"`
	// Eviction is the cost of the object that the endpoint forgets for this one, and Placement
	// the place of the endpoint in the order in which the object becomes warm at endpoints.
	// Copies is that of a further copy of an object that is warm at enough endpoints.
	Eviction  float64 `json:"eviction"`
	Placement float64 `json:"placement"`
	// Bound is the cost of slots that requests need which only this region may serve.
	Bound   float64 `json:"bound"`
	Ejected float64 `json:"ejected"`
	Untried float64 `json:"untried"`
	Copies  float64 `json:"copies"`
}

// Total returns the sum of all terms.
func (c Cost) Total() float64 {
	return c.Latency + c.Locality + c.Connection + c.Failures + c.Eviction + c.Placement + c.Bound + c.Ejected + c.Untried + c.Copies
}

// estimateWithCopies is like estimate and includes the cost of further copies. enoughCopies means that
// the object is warm at enough endpoints.
func (b *Balancer) estimateWithCopies(now time.Time, r *Request, s *service, e *endpoint, enoughCopies bool, c *Candidate) {
	b.estimate(now, r, s, e, c)
	if enoughCopies && !c.Choice.ObjectWarm && !e.isUnderused() {
		c.Cost.Copies = extraCopyCost
	}
}

// Candidate is an endpoint that may receive a request, with the estimates for it and the terms of
// its cost.
type Candidate struct {
	Choice Choice
	Zone   string
	Cost   Cost
}

// Candidates returns the endpoints that may receive a request, the one with the lowest cost
// first. It changes nothing. [Balancer.Pick] returns the first one, unless the request makes a
// further copy of a busy object.
func (b *Balancer) Candidates(now time.Time, r Request) []Candidate {
	s, ok := b.services[r.Service]
	if !ok {
		return nil
	}
	enoughCopies := b.warmCopies(now, &r, s) >= copiesWithoutPenalty
	var candidates []Candidate
	for _, e := range s.endpoints {
		if !b.mayReceive(now, &r, e) {
			continue
		}
		var c Candidate
		b.estimateWithCopies(now, &r, s, e, enoughCopies, &c)
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(x, y Candidate) int { return cmp.Compare(x.Cost.Total(), y.Cost.Total()) })
	return candidates
}

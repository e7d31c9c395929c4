package placer

// boundCost is the highest cost, in cold runs, that is added for an endpoint in this instance's
// region if requests that only this region may serve need its slots. It is above the time that a
// warm run saves, less the round trip to another region, so that requests which may go elsewhere
// do so from the first one on.
const boundCost = 0.75

// SetBound sets the expected part of all requests that only a certain region may serve, for each
// region.
func (b *Balancer) SetBound(parts map[string]float64) {
	b.bound = parts[b.region]
	b.refreshExcess()
}

// refreshExcess computes for each service how far the part of the requests that only this
// instance's region may serve exceeds the region's part of the slots.
func (b *Balancer) refreshExcess() {
	for _, s := range b.services {
		total, here := 0, 0
		for _, e := range s.endpoints {
			total += e.spec.Slots
			if e.region == b.region {
				here += e.spec.Slots
			}
		}
		s.excess = 0
		if here > 0 {
			s.excess = min(max(b.bound*float64(total)/float64(here)-1, 0), 1)
		}
	}
}

// costOfBound returns the cost of an endpoint, in cold runs, for the slots that it takes from
// requests that only this instance's region may serve. It is 0 for these requests, for endpoints
// in other regions, and if the region has its part of the slots for them. It depends on the
// configuration and the list of endpoints alone, so all instances of the region have the same
// from the start, and no requests change their region later.
func (b *Balancer) costOfBound(r *Request, s *service, e *endpoint) float64 {
	if r.Restricted || e.region != b.region {
		return 0
	}
	return boundCost * s.excess
}

package picker

import "time"

// scanTTL is how long the result of a scan of all endpoints of a region is reused. When a
// request ends, its endpoint is recorded in freedEndpoints, so the free slot is found
// without a scan. Slots that become usable because a warm-up proceeds, or because an
// ejection or a drain ends, are found by the next scan, up to scanTTL later.
const scanTTL = 5 * time.Millisecond

// regionPool holds the endpoints of one region, and the cached results of scans of these
// endpoints.
type regionPool struct {
	endpoints []*Endpoint
	// freedEndpoints lists the endpoints where a request has ended since fullUntil was
	// set.
	freedEndpoints []*Endpoint
	// fullUntil is scanTTL after the last scan that found no free endpoint. Until then,
	// only freedEndpoints are tried.
	fullUntil time.Time
	// capacity is the number of slots at usable endpoints. It is counted again after
	// capacityValidUntil.
	capacity           int
	capacityValidUntil time.Time
}

// full reports whether a scan in the last scanTTL found no free endpoint.
func (r *regionPool) full(now time.Time) bool { return now.Before(r.fullUntil) }

// setFull records that a scan has found no free endpoint.
func (r *regionPool) setFull(now time.Time) {
	r.fullUntil = now.Add(scanTTL)
	r.freedEndpoints = r.freedEndpoints[:0]
}

// pickFreed returns the first free endpoint in region.freedEndpoints, or false if there is
// none. It removes the endpoints before it, which aren't free, from the list. The endpoint
// that the request avoids stays in the list.
func (p *Pool) pickFreed(now time.Time, region *regionPool, r Request) (*Endpoint, bool) {
	for i := 0; i < len(region.freedEndpoints); i++ {
		e := region.freedEndpoints[i]
		if p.free(now, e, r) {
			return e, true
		}
		if e.address != r.Avoid {
			region.freedEndpoints = append(region.freedEndpoints[:i], region.freedEndpoints[i+1:]...)
			i--
		}
	}
	return nil, false
}

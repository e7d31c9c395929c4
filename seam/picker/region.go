package picker

import "time"

// scanTTL is how long the result of a scan of all endpoints of a region is reused. An
// endpoint where a request ends is recorded at once, so it need not be found by a scan.
// But slots that become usable because a warm-up proceeds, or because an ejection or a
// drain ends, are found only by the next scan, up to scanTTL later.
const scanTTL = 5 * time.Millisecond

// regionPool holds the endpoints of one region, and the cached results of scans of these
// endpoints.
type regionPool struct {
	endpoints []*Endpoint
	// freedEndpoints lists the endpoints where a request has ended since fullUntil was
	// set.
	freedEndpoints []*Endpoint
	// fullUntil is until when the result of a scan that found no free endpoint is reused.
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

// pickFreed returns a free endpoint from region.freedEndpoints, or false if none of them
// is free. It removes endpoints that it finds not free from the list, except for the
// endpoint that the request avoids.
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

package picker

import "time"

// scanTTL is how long the result of a scan of all endpoints of a region is reused.
// Endpoints where a slot becomes free are recorded at once; scanTTL bounds how late
// slots are noticed that become usable as a warm-up, ejection or drain proceeds.
const scanTTL = 5 * time.Millisecond

// regionPool holds the endpoints of one region, and cached results of scanning them.
type regionPool struct {
	endpoints []*Endpoint
	// freed lists endpoints where a request has ended since fullUntil was set.
	freed        []*Endpoint
	fullUntil    time.Time
	capacity     int
	countedUntil time.Time
}

// full reports whether a recent scan found no free endpoint.
func (r *regionPool) full(now time.Time) bool { return now.Before(r.fullUntil) }

// setFull records that a scan has found no free endpoint.
func (r *regionPool) setFull(now time.Time) {
	r.fullUntil = now.Add(scanTTL)
	r.freed = r.freed[:0]
}

// pickFreed returns an endpoint where a request has ended since the region was found full.
// It drops those that have no free slot after all.
func (p *Pool) pickFreed(now time.Time, region *regionPool, r Request) (*Endpoint, bool) {
	for i := 0; i < len(region.freed); i++ {
		e := region.freed[i]
		if p.free(now, e, r) {
			return e, true
		}
		if e.address != r.Avoid {
			region.freed = append(region.freed[:i], region.freed[i+1:]...)
			i--
		}
	}
	return nil, false
}

package picker

import "time"

// scanHold is how long the result of a look at all endpoints of a region is
// used again. Endpoints whose slot becomes free are noted at once; this bounds
// how late ramps, ejections and drains are seen.
const scanHold = 5 * time.Millisecond

// regionPool holds the endpoints of one region.
type regionPool struct {
	endpoints []*Endpoint
	// freed lists endpoints where a request ended since fullUntil was set.
	freed        []*Endpoint
	fullUntil    time.Time
	capacity     int
	countedUntil time.Time
}

// full reports whether a recent look found no free endpoint.
func (r *regionPool) full(now time.Time) bool { return now.Before(r.fullUntil) }

func (r *regionPool) setFull(now time.Time) {
	r.fullUntil = now.Add(scanHold)
	r.freed = r.freed[:0]
}

// freed takes an endpoint where a request has ended, while the others are
// known to be full.
func (p *Pool) freed(now time.Time, region *regionPool, r Request) (*Endpoint, bool) {
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

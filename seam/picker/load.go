package picker

import "time"

// Load returns the number of this instance's requests in flight at the endpoints of a
// region, and an estimate of the number of free slots at these endpoints.
func (p *Pool) Load(now time.Time, region string) (inFlight, free int) {
	pool, ok := p.byRegion[region]
	if !ok {
		return 0, 0
	}
	for _, e := range pool.endpoints {
		inFlight += e.inFlight
		if p.usable(now, e) {
			free += max(0, e.Slots(now)-e.inFlight-e.otherInFlight(now))
		}
	}
	return inFlight, free
}

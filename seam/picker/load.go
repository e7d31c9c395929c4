package picker

import "time"

// Load returns this instance's requests in progress at the endpoints of a
// region, and the slots there that are free as far as it knows.
func (p *Pool) Load(now time.Time, region string) (inFlight, free int) {
	pool, ok := p.byRegion[region]
	if !ok {
		return 0, 0
	}
	for _, e := range pool.endpoints {
		inFlight += e.inFlight
		if p.usable(now, e) {
			free += max(0, e.Slots(now)-e.inFlight-e.elsewhere(now))
		}
	}
	return inFlight, free
}

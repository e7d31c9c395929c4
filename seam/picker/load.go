package picker

// Load returns this instance's requests in progress at the endpoints of a
// region, and the slots there that are free as far as it knows.
func (p *Pool) Load(region string) (inFlight, free int) {
	for _, e := range p.endpoints {
		if e.region != region {
			continue
		}
		inFlight += e.inFlight
		if !e.draining {
			free += max(0, e.slots-e.load())
		}
	}
	return inFlight, free
}

package placer

import "time"

const (
	// rankMemory is how long requests of a rank count as using a service after the last one that
	// this instance got.
	rankMemory = 30 * time.Second
	// reservedSlots is the number of slots of an endpoint that are kept for requests of a higher
	// rank. Callers that were refused before may use them, but not queue for them.
	reservedSlots = 1
	// reservedCost is the cost, in cold runs, of an endpoint whose free slots are kept for others.
	// With it, a request rather runs cold elsewhere.
	reservedCost = 1.0
	// shortageUse is the part of the slots of a service in a region from which on they are short.
	// Until then, slots are kept for nobody.
	shortageUse = 0.75
	// roomPeriod is how long a computed shortage holds.
	roomPeriod = 100 * time.Millisecond
)

// refreshShortage finds out in which regions the slots of a service are short.
func (s *service) refreshShortage(now time.Time) {
	if now.Sub(s.shortageAt) < roomPeriod {
		return
	}
	s.shortageAt = now
	clear(s.shortage)
	use := map[string]occupancy{}
	for _, e := range s.endpoints {
		o := use[e.region]
		o.add(e)
		use[e.region] = o
	}
	for region, o := range use {
		s.shortage[region] = float64(o.occupied) >= shortageUse*float64(o.slots)
	}
}

// recordRank records that a request of a rank uses the service.
func (s *service) recordRank(now time.Time, r Request) { s.ranks[r.Priority] = now }

// hasUrgent reports whether requests of a higher rank use the service.
func (s *service) hasUrgent(now time.Time, priority int) bool {
	for rank, seenAt := range s.ranks {
		if rank < priority && now.Sub(seenAt) < rankMemory {
			return true
		}
	}
	return false
}

// isReserved reports whether the free slots of the chosen endpoint are kept for requests of a
// higher rank. An endpoint with a single slot keeps none.
func (s *service) isReserved(now time.Time, r Request, c Choice) bool {
	usable := c.Slots
	if !r.CallerRetry {
		usable -= reservedSlots
	}
	return s.shortage[c.Region] && c.AttemptsInFlight >= max(usable, 1) && s.hasUrgent(now, r.Priority)
}

// pruneRanks deletes the ranks of which no request uses the service any more.
func (s *service) pruneRanks(now time.Time) {
	for rank, seenAt := range s.ranks {
		if now.Sub(seenAt) >= rankMemory {
			delete(s.ranks, rank)
		}
	}
}

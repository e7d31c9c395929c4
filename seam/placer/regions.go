package placer

import "time"

// SlotParts returns, for each region, its part of the slots of all endpoints that may get requests
// from this instance. It is empty if there are none.
func (b *Balancer) SlotParts(now time.Time) map[string]float64 {
	slots := map[string]int{}
	total := 0
	for _, e := range b.byID {
		if e.spec.Draining || e.withdrawal.active(now) || b.evacuatedZones[e.spec.Zone] || e.isEjected(now) || e.isUnreachable() {
			continue
		}
		slots[e.region] += e.spec.Slots
		total += e.spec.Slots
	}
	parts := make(map[string]float64, len(slots))
	for region, n := range slots {
		parts[region] = float64(n) / float64(max(total, 1))
	}
	return parts
}

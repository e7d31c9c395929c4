package conductor

import (
	"math"
	"time"

	"primroseseam.org/seam/placer"
)

const (
	// regionShiftPeriod is the period of [Bounds.RegionShift].
	regionShiftPeriod = 2 * time.Second
	// plannedShiftRatio is the fraction of [Bounds.RegionShift] by which the plan may change. The
	// rest allows for what is not planned: chance, and delays between instances.
	plannedShiftRatio = 0.5
	// assumedUse is the fraction of all slots that is taken to be in use before the load is known.
	assumedUse = 0.5
	// minSlotChange is the change of a region's part of the slots from which on endpoints count
	// as gone or back, so that requests may change their region at once.
	minSlotChange = 0.1
)

// shiftSpeed returns the part of a region's requests that may change their region in a second.
func (b Bounds) shiftSpeed() float64 {
	return plannedShiftRatio * b.RegionShift / regionShiftPeriod.Seconds()
}

// pick chooses the endpoint of a request's first attempt. If too many requests of this region
// would change the region in which they run, it chooses one in another region than the best one,
// unless the request would be late there and not at the best one, or late in a queue.
// preferred is the region of the best one, or empty if the request may not go elsewhere.
func (m *Model) pick(now time.Time, r placer.Request) (choice placer.Choice, preferred string, ok bool) {
	best, ok := m.balancer.Pick(now, r)
	if !ok || r.Restricted {
		return best, "", ok
	}
	region := m.regulator.Choose(now, best.Region, m.rng.Float64())
	if region == best.Region {
		return best, best.Region, true
	}
	r.Regions, r.Restricted = []string{region}, true
	other, ok := m.balancer.Pick(now, r)
	late := other.ExpectedLatency > r.TargetLatency
	if !ok || late && (best.ExpectedLatency <= r.TargetLatency || other.QueueTime > 0) {
		return best, best.Region, true
	}
	return other, best.Region, true
}

// refreshRegions informs the regulator of the slots in each region. Requests may change their
// region at once if endpoints are gone or back, and while some name rate limits: what is left
// there may be used at any moment.
func (m *Model) refreshRegions(now time.Time) {
	parts := m.balancer.SlotParts(now)
	changed := largestChange(m.slotParts, parts) >= minSlotChange
	if m.slotParts != nil && changed || m.balancer.LimitedCount() > 0 {
		m.regulator.Release(now)
	}
	if changed {
		m.slotParts = parts
	}
	m.regulator.SetInitial(m.initialParts())
}

// initialParts returns the parts of this region's requests that go to each region before the
// load is known: this region gets what its slots suffice for if callers are spread as the
// instances are, and other regions get the rest in proportion to their slots.
func (m *Model) initialParts() map[string]float64 {
	callers := float64(len(m.live[m.region])) / float64(max(m.liveCount, 1))
	slots := m.slotParts[m.region]
	here := min(slots/(assumedUse*callers), 1)
	parts := map[string]float64{m.region: here}
	for region, part := range m.slotParts {
		if region != m.region {
			parts[region] = (1 - here) * part / (1 - slots)
		}
	}
	return parts
}

// largestChange returns the largest difference between the parts of a region.
func largestChange(before, after map[string]float64) float64 {
	largest := 0.0
	for region, part := range before {
		largest = max(largest, math.Abs(after[region]-part))
	}
	for region, part := range after {
		largest = max(largest, math.Abs(before[region]-part))
	}
	return largest
}

package decider

import (
	"time"

	"primroseseam.org/seam/allocator"
	"primroseseam.org/seam/configurer"
)

// linkHold is a reservation of bytes on a link between two regions.
type linkHold struct {
	from, to string
	reserved int64
}

// slotHold is a slot of another region that a request occupies.
type slotHold struct {
	region string
	until  time.Time
}

// limits holds this instance's part of the links' bytes and regions' slots.
type limits struct {
	links map[string]*allocator.Bucket
	slots map[string]int
}

func linkName(from, to string) string { return from + ">" + to }

// takeLink reserves bytes on the link from one region to another. It reports
// false if the link's cap leaves no room now.
func (m *Model) takeLink(now time.Time, from, to string, bytes int64) (linkHold, bool) {
	hold := linkHold{from: from, to: to, reserved: bytes}
	b, ok := m.limits.links[linkName(from, to)]
	return hold, ok && b.Take(now, float64(bytes))
}

// settleLink replaces a reservation by the bytes that were carried.
func (m *Model) settleLink(now time.Time, hold linkHold, actual int64) {
	if b, ok := m.limits.links[linkName(hold.from, hold.to)]; ok {
		b.Adjust(now, float64(hold.reserved-actual))
	}
}

// takeSlot occupies one of the slots that a region offers to others, until a
// deadline at the latest. It reports false if none is free.
func (m *Model) takeSlot(_ time.Time, region string, until time.Time) (slotHold, bool) {
	if m.limits.slots[region] < 1 {
		return slotHold{}, false
	}
	m.limits.slots[region]--
	return slotHold{region: region, until: until}, true
}

// freeSlot gives an occupied slot back.
func (m *Model) freeSlot(_ time.Time, hold slotHold) { m.limits.slots[hold.region]++ }

// configureLimits gives this instance an equal part of links and slots.
func (m *Model) configureLimits(now time.Time, c *configurer.Config) {
	part := float64(c.FleetSize())
	for _, l := range c.Links() {
		rate := allocator.Rate(float64(l.CapBytesPerSecond) / part)
		burst := float64(l.BurstBytes) / part
		if b, ok := m.limits.links[linkName(l.From, l.To)]; ok {
			b.Resize(now, rate, burst)
			continue
		}
		m.limits.links[linkName(l.From, l.To)] = allocator.NewBucket(rate, burst, burst, now)
	}
	for _, r := range c.Regions() {
		if _, ok := m.limits.slots[r.Name]; !ok {
			m.limits.slots[r.Name] = r.SlotsForOthers / c.FleetSize()
		}
	}
}

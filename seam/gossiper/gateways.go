package gossiper

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// gatewayTo reports whether this instance speaks to a region for its own. The
// gateways rank highest by rendezvous hashing, so that one member's change
// moves one of them at most, and are of different failure domains if possible.
func (m *Model) gatewayTo(region string) bool {
	candidates := m.ranked("gateway/" + region)
	first := candidates[0]
	if first.ID == m.self.ID || len(candidates) == 1 {
		return first.ID == m.self.ID
	}
	i := slices.IndexFunc(candidates, func(c Member) bool { return c.FailureDomain != first.FailureDomain })
	if i < 0 {
		i = 1
	}
	return candidates[i].ID == m.self.ID
}

// SteeringInstance returns the id of the instance that steers the region's callers.
func (m *Model) SteeringInstance() string { return m.ranked("steer")[0].ID }

func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

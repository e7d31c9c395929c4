package gossiper

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// isGatewayTo reports whether this instance sends its region's regular heartbeats to
// another region. The two gateways rank highest by rendezvous hashing, so that a change
// of one member replaces at most one of them, and are in different failure domains if
// possible.
func (m *Model) isGatewayTo(region string) bool {
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

// SteeringInstance returns the id of the instance that decides which share of the local
// region's callers uses other regions.
func (m *Model) SteeringInstance() string { return m.ranked("steer")[0].ID }

// hashPair is the rendezvous hash of a key and an id, and the hash behind digests.
func hashPair(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

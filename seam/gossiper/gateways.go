package gossiper

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// isGatewayTo reports whether this instance is one of the two gateways of its region to
// another region. The first gateway is the first live member in the order of ranked. The
// second is the next member in another failure domain, or the next member if there is no
// other failure domain.
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

// hashPair returns the hash of a key and an id. It is used for rendezvous hashing and for
// digests.
func hashPair(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

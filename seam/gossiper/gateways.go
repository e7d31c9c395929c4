package gossiper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// gatewayTo reports whether this instance speaks to a region for its own. The
// gateways rank highest by rendezvous hashing, so that one member's change
// moves one of them at most, and are of different failure domains if possible.
func (m *Model) gatewayTo(region string) bool {
	candidates := []Member{m.self}
	for _, p := range m.members {
		if p.Region == m.self.Region && p.Status == Alive {
			candidates = append(candidates, p.Member)
		}
	}
	key := "gateway/" + region
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(key, b.ID), weight(key, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	first := candidates[0]
	if first.ID == m.self.ID {
		return true
	}
	i := slices.IndexFunc(candidates, func(c Member) bool { return c.FailureDomain != first.FailureDomain })
	if i < 0 {
		i = 1
	}
	return candidates[i].ID == m.self.ID
}

func weight(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

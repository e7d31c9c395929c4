package gossiper

import (
	"cmp"
	"maps"
	"slices"
)

// memberCache holds values derived from the member list. A change of a member clears the
// cache, and each value is computed again when it is next needed.
type memberCache struct {
	ids           []string
	peerIDs       []string
	remoteRegions []regionMembers
	digests       map[string]uint64
	ranks         map[string][]Member
}

// regionMembers is a region with the ids of its usable members.
type regionMembers struct {
	region string
	ids    []string
}

// invalidateCache clears the cache after a member has changed.
func (m *Model) invalidateCache() { m.memberCache = memberCache{} }

// ids returns the ids of all known members, sorted so that runs are reproducible. The
// caller must not modify the slice.
func (m *Model) ids() []string {
	if m.memberCache.ids == nil {
		m.memberCache.ids = slices.Sorted(maps.Keys(m.members))
	}
	return m.memberCache.ids
}

// regionPeers returns the sorted ids of the usable members of the local region.
func (m *Model) regionPeers() []string {
	if m.memberCache.peerIDs == nil {
		m.memberCache.peerIDs = []string{}
		for _, id := range m.ids() {
			if p := m.members[id]; p.Region == m.self.Region && p.Usable() {
				m.memberCache.peerIDs = append(m.memberCache.peerIDs, id)
			}
		}
	}
	return m.memberCache.peerIDs
}

// otherRegions returns the other regions with the sorted ids of their usable members.
func (m *Model) otherRegions() []regionMembers {
	if m.memberCache.remoteRegions != nil {
		return m.memberCache.remoteRegions
	}
	regions := []regionMembers{}
	for _, id := range m.ids() {
		p := m.members[id]
		if p.Region == m.self.Region || !p.Usable() {
			continue
		}
		i := slices.IndexFunc(regions, func(r regionMembers) bool { return r.region == p.Region })
		if i < 0 {
			i = len(regions)
			regions = append(regions, regionMembers{region: p.Region})
		}
		regions[i].ids = append(regions[i].ids, id)
	}
	m.memberCache.remoteRegions = regions
	return regions
}

// digest returns the digest of a region: the hashes of its usable members, combined by XOR
// so that their order doesn't matter.
func (m *Model) digest(region string) uint64 {
	if m.memberCache.digests == nil {
		m.memberCache.digests = map[string]uint64{}
		if m.self.Usable() {
			m.memberCache.digests[m.self.Region] = digestOf(m.self)
		}
		for _, p := range m.members {
			if p.Usable() {
				m.memberCache.digests[p.Region] ^= digestOf(p.Member)
			}
		}
	}
	return m.memberCache.digests[region]
}

// ranked returns the live members of the local region, this instance included, ordered by
// rendezvous hashing with purpose as the key. Adding or removing a member doesn't change
// the order of the other members. If no member is live, the list holds only this instance.
func (m *Model) ranked(purpose string) []Member {
	if ranks, ok := m.memberCache.ranks[purpose]; ok {
		return ranks
	}
	candidates := []Member{}
	if m.self.Status == Alive {
		candidates = append(candidates, m.self)
	}
	for _, id := range m.regionPeers() {
		if p := m.members[id]; p.Status == Alive {
			candidates = append(candidates, p.Member)
		}
	}
	if len(candidates) == 0 {
		candidates = append(candidates, m.self)
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashPair(purpose, b.ID), hashPair(purpose, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	if m.memberCache.ranks == nil {
		m.memberCache.ranks = map[string][]Member{}
	}
	m.memberCache.ranks[purpose] = candidates
	return candidates
}

package gossiper

import (
	"cmp"
	"maps"
	"slices"
)

// roster holds what follows from who the members are. It is dropped whenever a
// member changes and worked out again when it is asked for.
type roster struct {
	ids     []string
	near    []string
	far     []regionMembers
	digests map[string]uint64
	ranks   map[string][]Member
}

// regionMembers is a region with the usable members that are known there.
type regionMembers struct {
	region string
	ids    []string
}

// forget drops what was worked out from members that have changed.
func (m *Model) forget() { m.roster = roster{} }

// ids returns the known ids in order, so that runs repeat. The caller must not
// change the list.
func (m *Model) ids() []string {
	if m.roster.ids == nil {
		m.roster.ids = slices.Sorted(maps.Keys(m.members))
	}
	return m.roster.ids
}

// neighbours returns the usable members of the own region, in order.
func (m *Model) neighbours() []string {
	if m.roster.near == nil {
		m.roster.near = []string{}
		for _, id := range m.ids() {
			if p := m.members[id]; p.Region == m.self.Region && p.Usable() {
				m.roster.near = append(m.roster.near, id)
			}
		}
	}
	return m.roster.near
}

// otherRegions lists the usable members of each other region, in order.
func (m *Model) otherRegions() []regionMembers {
	if m.roster.far != nil {
		return m.roster.far
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
	m.roster.far = regions
	return regions
}

// digest sums up the usable members of a region, whatever their order.
func (m *Model) digest(region string) uint64 {
	if m.roster.digests == nil {
		m.roster.digests = map[string]uint64{}
		if m.self.Usable() {
			m.roster.digests[m.self.Region] = digestOf(m.self)
		}
		for _, p := range m.members {
			if p.Usable() {
				m.roster.digests[p.Region] ^= digestOf(p.Member)
			}
		}
	}
	return m.roster.digests[region]
}

// ranked orders the region's live members, this one included, for a purpose. A
// change of one member moves no other one past another.
func (m *Model) ranked(purpose string) []Member {
	if ranks, ok := m.roster.ranks[purpose]; ok {
		return ranks
	}
	candidates := []Member{}
	if m.self.Status == Alive {
		candidates = append(candidates, m.self)
	}
	for _, id := range m.neighbours() {
		if p := m.members[id]; p.Status == Alive {
			candidates = append(candidates, p.Member)
		}
	}
	if len(candidates) == 0 {
		candidates = append(candidates, m.self)
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(weight(purpose, b.ID), weight(purpose, a.ID)), cmp.Compare(a.ID, b.ID))
	})
	if m.roster.ranks == nil {
		m.roster.ranks = map[string][]Member{}
	}
	m.roster.ranks[purpose] = candidates
	return candidates
}

package gossiper

import (
	"slices"
	"time"
)

// takeLoads keeps the newest load of each instance of the own region.
func (m *Model) takeLoads(now time.Time, loads []MemberLoad) {
	for _, l := range loads {
		p, ok := m.members[l.ID]
		at := now.Add(-l.Age)
		if !ok || p.Incarnation != l.Incarnation || !at.After(p.loadAt) {
			continue
		}
		p.load = l.Load
		p.loadAt = at
	}
}

// heard reports whether the region itself has said anything yet.
func (s sum) heard() bool { return s.Instances > 0 }

// takeSums keeps the newest sum of each other region.
func (m *Model) takeSums(now time.Time, sums []RegionSum) {
	for _, s := range sums {
		at := now.Add(-s.Age)
		old, known := m.sums[s.Region]
		if s.Region == m.self.Region || known && old.heard() && !at.After(old.at) {
			continue
		}
		m.changed = m.changed || !known || now.Sub(old.alive) >= RegionSilence
		m.sums[s.Region] = sum{RegionSum: s, at: at, alive: latest(at, old.alive)}
	}
}

// takeAges notes how recently others heard each region.
func (m *Model) takeAges(now time.Time, ages []RegionAge) {
	for _, a := range ages {
		s, known := m.sums[a.Region]
		if at := now.Add(-a.Age); known && at.After(s.alive) {
			m.changed = m.changed || now.Sub(s.alive) >= RegionSilence
			s.alive = at
			m.sums[a.Region] = s
		}
	}
}

// ages tells how recently each other region was heard.
func (m *Model) ages(now time.Time) []RegionAge {
	var ages []RegionAge
	for _, s := range m.sums {
		if age := now.Sub(s.alive); s.heard() && age < RegionSilence {
			ages = append(ages, RegionAge{Region: s.Region, Age: age})
		}
	}
	slices.SortFunc(ages, func(a, b RegionAge) int { return compareStrings(a.Region, b.Region) })
	return ages
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ownSum adds up the loads of the own region.
func (m *Model) ownSum(now time.Time) RegionSum {
	total := RegionSum{Region: m.self.Region, Instances: 1, ConfigVersion: m.load.ConfigVersion}
	total.add(m.load)
	steering := m.SteeringInstance()
	if steering == m.self.ID {
		total.Shares = m.load.Shares
	}
	for _, id := range m.neighbours() {
		p := m.members[id]
		total.Instances++
		if now.Sub(p.loadAt) < loadFresh {
			total.add(p.load)
		}
		if id == steering {
			total.Shares = p.load.Shares
		}
	}
	return total
}

func (s *RegionSum) add(l Load) {
	s.ConfigVersion = max(s.ConfigVersion, l.ConfigVersion)
	for _, service := range l.Services {
		i := slices.IndexFunc(s.Services, func(o ServiceLoad) bool { return o.Service == service.Service })
		if i < 0 {
			s.Services = append(s.Services, service)
			continue
		}
		s.Services[i].InFlight += service.InFlight
		s.Services[i].Queued += service.Queued
		s.Services[i].FreeSlots = min(s.Services[i].FreeSlots, service.FreeSlots)
	}
}

// RegionSums returns the newest sum of every region that isn't silent, the own one
// included, with their ages at the time now.
func (m *Model) RegionSums(now time.Time) []RegionSum {
	sums := []RegionSum{m.ownSum(now)}
	for _, s := range m.sums {
		s.Age = now.Sub(s.at)
		if s.heard() && s.Age < loadFresh && now.Sub(s.alive) < RegionSilence {
			sums = append(sums, s.RegionSum)
		}
	}
	slices.SortFunc(sums, func(a, b RegionSum) int { return compareStrings(a.Region, b.Region) })
	return sums
}

// Loads returns the fresh loads of the own region's other instances.
func (m *Model) Loads(now time.Time) []MemberLoad {
	var loads []MemberLoad
	for _, id := range m.neighbours() {
		if p := m.members[id]; now.Sub(p.loadAt) < loadFresh {
			loads = append(loads, MemberLoad{ID: id, Incarnation: p.Incarnation, Age: now.Sub(p.loadAt), Load: p.load})
		}
	}
	return loads
}

// view lists the members for the daemon.
func (m *Model) view(now time.Time) MembersChanged {
	v := View{Members: []Member{m.self}, Isolated: m.alone(now)}
	for _, p := range m.members {
		v.Members = append(v.Members, p.Member)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return compareStrings(a.ID, b.ID) })
	for region, s := range m.sums {
		if now.Sub(s.alive) >= RegionSilence {
			v.SilentRegions = append(v.SilentRegions, region)
		}
	}
	slices.Sort(v.SilentRegions)
	return MembersChanged{View: v}
}

// alone reports whether peers are known but none was heard for long.
func (m *Model) alone(now time.Time) bool {
	return len(m.members) > 0 && now.Sub(m.lastHeard) >= RegionSilence
}

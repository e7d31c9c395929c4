package gossiper

import (
	"slices"
	"time"
)

// mergeLoads stores the received loads of known members. It ignores a load that isn't newer
// than the member's stored load, or that belongs to another incarnation than the member's
// current one.
func (m *Model) mergeLoads(now time.Time, loads []MemberLoad) {
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

// hasLoadSum reports whether a load sum of the region has been received yet.
func (s regionState) hasLoadSum() bool { return s.Instances > 0 }

// mergeSums stores the received load sums of other regions. It ignores a load sum that
// isn't newer than the region's stored load sum.
func (m *Model) mergeSums(now time.Time, sums []RegionSum) {
	for _, s := range sums {
		asOf := now.Add(-s.Age)
		old, known := m.sums[s.Region]
		if s.Region == m.self.Region || known && old.hasLoadSum() && !asOf.After(old.asOf) {
			continue
		}
		m.viewChanged = m.viewChanged || !known || now.Sub(old.aliveAt) >= RegionSilenceTimeout
		m.sums[s.Region] = regionState{RegionSum: s, asOf: asOf, aliveAt: latest(asOf, old.aliveAt)}
	}
}

// mergeAges moves the aliveAt time of each known region forward to the time that another
// instance of the local region reports, if that time is later.
func (m *Model) mergeAges(now time.Time, ages []RegionAge) {
	for _, a := range ages {
		s, known := m.sums[a.Region]
		if at := now.Add(-a.Age); known && at.After(s.aliveAt) {
			m.viewChanged = m.viewChanged || now.Sub(s.aliveAt) >= RegionSilenceTimeout
			s.aliveAt = at
			m.sums[a.Region] = s
		}
	}
}

// regionAges returns the time since each other region's aliveAt time. It omits silent
// regions and regions whose load sum hasn't been received yet.
func (m *Model) regionAges(now time.Time) []RegionAge {
	var regionAges []RegionAge
	for _, s := range m.sums {
		if age := now.Sub(s.aliveAt); s.hasLoadSum() && age < RegionSilenceTimeout {
			regionAges = append(regionAges, RegionAge{Region: s.Region, Age: age})
		}
	}
	slices.SortFunc(regionAges, func(a, b RegionAge) int { return compareStrings(a.Region, b.Region) })
	return regionAges
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ownSum returns the load sum of the local region. It leaves out the loads of peers that
// are loadMaxAge old or older. The shares are those that the steering instance reported last,
// however old that report is.
func (m *Model) ownSum(now time.Time) RegionSum {
	total := RegionSum{Region: m.self.Region, Instances: 1, ConfigVersion: m.load.ConfigVersion}
	total.add(m.load)
	steeringID := m.SteeringInstance()
	if steeringID == m.self.ID {
		total.Shares = m.load.Shares
	}
	for _, id := range m.regionPeers() {
		p := m.members[id]
		total.Instances++
		if now.Sub(p.loadAt) < loadMaxAge {
			total.add(p.load)
		}
		if id == steeringID {
			total.Shares = p.load.Shares
		}
	}
	return total
}

// add adds an instance's load to the sum. Every instance reports the free slots of the
// whole region, so add keeps the smallest reported number of free slots instead of adding
// them up.
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

// RegionSums returns the newest load sum of every region, the local region included. It
// sets the age of each sum as of now. It omits silent regions, regions whose load sum hasn't
// been received yet, and load sums that are loadMaxAge old or older.
func (m *Model) RegionSums(now time.Time) []RegionSum {
	sums := []RegionSum{m.ownSum(now)}
	for _, s := range m.sums {
		s.Age = now.Sub(s.asOf)
		if s.hasLoadSum() && s.Age < loadMaxAge && now.Sub(s.aliveAt) < RegionSilenceTimeout {
			sums = append(sums, s.RegionSum)
		}
	}
	slices.SortFunc(sums, func(a, b RegionSum) int { return compareStrings(a.Region, b.Region) })
	return sums
}

// Loads returns the loads of the local region's other instances that are younger than
// loadMaxAge.
func (m *Model) Loads(now time.Time) []MemberLoad {
	var loads []MemberLoad
	for _, id := range m.regionPeers() {
		if p := m.members[id]; now.Sub(p.loadAt) < loadMaxAge {
			loads = append(loads, MemberLoad{ID: id, Incarnation: p.Incarnation, Age: now.Sub(p.loadAt), Load: p.load})
		}
	}
	return loads
}

// membersChanged returns the command that hands the member list to the daemon.
func (m *Model) membersChanged(now time.Time) MembersChanged {
	v := View{Members: []Member{m.self}, Isolated: m.isolated(now)}
	for _, p := range m.members {
		v.Members = append(v.Members, p.Member)
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return compareStrings(a.ID, b.ID) })
	for region, s := range m.sums {
		if now.Sub(s.aliveAt) >= RegionSilenceTimeout {
			v.SilentRegions = append(v.SilentRegions, region)
		}
	}
	slices.Sort(v.SilentRegions)
	return MembersChanged{View: v}
}

// isolated reports whether other members are known but nothing was received from any of
// them for RegionSilenceTimeout.
func (m *Model) isolated(now time.Time) bool {
	return len(m.members) > 0 && now.Sub(m.lastReceived) >= RegionSilenceTimeout
}

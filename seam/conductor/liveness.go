package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

// Instances of a large fleet receive a heartbeat of each other instance only every few
// seconds, since heartbeats are sent in slices. In each interval some instances of each
// region receive one. These report such sightings to their region, so that all of its
// instances know within a second or two who is alive.

const (
	// sightingSpacing is the time for which an instance that was just reported isn't
	// reported again, in a region whose instances all receive each report. It keeps the
	// receivers of the same slice from all reporting its sender.
	sightingSpacing = 300 * time.Millisecond
	// maxReports is the largest number of slices within the region that repeat a sighting.
	maxReports = 4
	// maxSightings is the largest number of sightings in a heartbeat.
	maxSightings = 128
	// maxSightingAge is the largest age that a sighting can have.
	maxSightingAge = 25 * time.Second
)

// Sighting reports that the sender received a heartbeat of another instance. Instance is the
// hash of that instance's ID, AgeTenths how long ago that was, in tenths of a second.
type Sighting struct {
	Instance  uint32
	AgeTenths uint8
}

// pendingSighting is a sighting that is still to be reported the given number of times.
type pendingSighting struct {
	peer    *peer
	reports int
}

// slicesTo returns the number of slices in which instances of a fleet like this one send
// heartbeats to an audience.
func (m *Model) slicesTo(to Audience) int { return Slices(to, m.regionSize, m.fleet().KnownInstances) }

// audienceOf returns the audience to which this instance belongs for a peer.
func (m *Model) audienceOf(p *peer) Audience {
	if p.lastHeartbeat.Region == m.region {
		return SameRegion
	}
	return OtherRegions
}

// recordSighting notes a heartbeat for the next reports to this region. A heartbeat that
// isn't sent in slices needs no report, since all instances receive it themselves.
func (m *Model) recordSighting(p *peer) {
	if !p.lastHeartbeat.Leaving && m.slicesTo(m.audienceOf(p)) > 1 {
		m.sighted = append(m.sighted, pendingSighting{peer: p, reports: min(m.slicesTo(SameRegion), maxReports)})
	}
}

// takeSightings returns the sightings that are to be reported in the next slice within the
// region.
func (m *Model) takeSightings(now time.Time) []Sighting {
	var list []Sighting
	reachesAll := m.slicesTo(SameRegion) == 1
	left := m.sighted[:0]
	for _, s := range m.sighted {
		age := now.Sub(s.peer.lastHeartbeatAt)
		if len(list) == maxSightings || age > maxSightingAge || reachesAll && now.Sub(s.peer.reportedAt) < sightingSpacing {
			continue
		}
		s.peer.reportedAt = now
		list = append(list, Sighting{Instance: s.peer.hash, AgeTenths: uint8(age / (100 * time.Millisecond))})
		if s.reports--; s.reports > 0 {
			left = append(left, s)
		}
	}
	m.sighted = left
	return list
}

// applySightings applies the sightings that an instance of this region reported.
func (m *Model) applySightings(now time.Time, sightings []Sighting) {
	for _, s := range sightings {
		p, ok := m.peersByHash[s.Instance]
		at := now.Add(-time.Duration(s.AgeTenths) * 100 * time.Millisecond)
		if !ok || !at.After(p.seenAt) {
			continue
		}
		p.seenAt, p.reportedAt = at, now
		if p.silent && now.Sub(at) <= m.silentAfter(p) {
			m.revive(p)
			m.refreshLive()
		}
	}
}

// revive makes the demand of a silent instance count again.
func (m *Model) revive(p *peer) {
	p.silent = false
	m.demand.add(p.demandByTeam)
}

// silentAfter returns the time after the last sign of life of a peer after which the peer
// counts as silent. It covers the slices until one has receivers in this region, and the
// reports of the sighting.
func (m *Model) silentAfter(p *peer) time.Duration {
	from := m.audienceOf(p)
	slices := m.slicesTo(from)
	gap := min((receiversPerSlice*slices+m.liveInRegion()-1)/m.liveInRegion(), slices)
	intervals := HeartbeatInterval(from) * time.Duration(gap)
	if slices > 1 {
		intervals += HeartbeatInterval(SameRegion) * time.Duration(min(m.slicesTo(SameRegion), maxReports))
	}
	if slices == 1 && from == OtherRegions {
		return minSilence
	}
	return max(time.Duration(maxIntervalRatio*float64(intervals))+propagationMargin+silentMargin, minSilence)
}

// receiversPerSlice is the mean number of live receivers in a region from which on every
// slice is taken to reach one of them.
const receiversPerSlice = 4

// liveInRegion returns the number of live instances of this region, this one included.
func (m *Model) liveInRegion() int { return max(len(m.live[m.region]), 1) }

// forgetPeer removes an instance.
func (m *Model) forgetPeer(id string, p *peer) {
	delete(m.peers, id)
	delete(m.peersByHash, p.hash)
	m.countKnownInstances()
	m.reportedFleetSize = len(m.peers) + 1
}

// addPeer adds an instance that was unknown.
func (m *Model) addPeer(id string) *peer {
	p := &peer{hash: placer.Hash32(id)}
	m.peers[id] = p
	m.peersByHash[p.hash] = p
	m.countKnownInstances()
	return p
}

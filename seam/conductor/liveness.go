package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

// Instances of a large fleet receive a heartbeat of each instance of another region only
// every few seconds, since heartbeats to other regions are sent in slices. In each interval
// some instances of the region receive one. These report such sightings to their region, so
// that all of its instances know within about a second who is alive elsewhere.

const (
	// sightingSpacing is the time for which an instance that was just reported isn't
	// reported again. It keeps the receivers of the same slice from all reporting its
	// sender.
	sightingSpacing = 300 * time.Millisecond
	// maxSightings is the largest number of sightings in a heartbeat.
	maxSightings = 64
	// maxSightingAge is the largest age that a sighting can have.
	maxSightingAge = 25 * time.Second
)

// Sighting reports that the sender received a heartbeat of an instance of another region.
// Instance is the hash of that instance's ID, AgeTenths how long ago that was, in tenths of
// a second.
type Sighting struct {
	Instance  uint32
	AgeTenths uint8
}

// recordSighting notes a heartbeat of another region's instance for the next report to this
// region. In a fleet without slices all instances receive that heartbeat themselves.
func (m *Model) recordSighting(p *peer) {
	if p.lastHeartbeat.Region != m.region && Slices(m.fleet().KnownInstances) > 1 && !p.lastHeartbeat.Leaving {
		m.sighted = append(m.sighted, p)
	}
}

// takeSightings returns the sightings since the last call that no other instance has
// reported meanwhile.
func (m *Model) takeSightings(now time.Time) []Sighting {
	var list []Sighting
	for _, p := range m.sighted {
		age := now.Sub(p.lastHeartbeatAt)
		if len(list) == maxSightings || age > maxSightingAge || now.Sub(p.reportedAt) < sightingSpacing {
			continue
		}
		p.reportedAt = now
		list = append(list, Sighting{Instance: p.hash, AgeTenths: uint8(age / (100 * time.Millisecond))})
	}
	m.sighted = m.sighted[:0]
	return list
}

// applySightings applies the sightings that an instance of this region reported. Their ages
// count from madeAt.
func (m *Model) applySightings(now, madeAt time.Time, sightings []Sighting) {
	for _, s := range sightings {
		p, ok := m.peersByHash[s.Instance]
		at := madeAt.Add(-time.Duration(s.AgeTenths) * 100 * time.Millisecond)
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
// counts as silent. For instances of other regions in a fleet with slices it covers the
// slices until one with receivers in this region, and the report of a sighting.
func (m *Model) silentAfter(p *peer) time.Duration {
	longest := time.Duration(maxIntervalRatio * float64(HeartbeatInterval(SameRegion, m.regionSize)))
	if p.lastHeartbeat.Region != m.region {
		slices := Slices(m.fleet().KnownInstances)
		if slices == 1 {
			return minSilence
		}
		gap := min((receiversPerSlice*slices+m.liveInRegion()-1)/m.liveInRegion(), slices)
		longest += time.Duration(maxIntervalRatio*float64(otherRegionsInterval)) * time.Duration(gap)
	}
	return max(longest+propagationMargin+silentMargin, minSilence)
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
}

// addPeer adds an instance that was unknown.
func (m *Model) addPeer(now time.Time, id string) *peer {
	p := &peer{hash: placer.Hash32(id), knownSince: m.knownSince(now, id)}
	m.lastNewAt = later(m.lastNewAt, p.knownSince)
	m.noteReturn(now, id)
	m.peers[id] = p
	m.peersByHash[p.hash] = p
	m.countKnownInstances()
	return p
}

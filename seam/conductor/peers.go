package conductor

import (
	"slices"
	"time"

	"primroseseam.org/seam/placer"
)

const (
	// newInstanceHeartbeats is the sequence number up to which a heartbeat shows that
	// its sender has just started.
	newInstanceHeartbeats = 20
	// silentMargin is how much longer than the propagation time an instance may be
	// silent before its loads and demand no longer count. It allows for one lost
	// heartbeat.
	silentMargin = 400 * time.Millisecond
	// lookupTimeout is how long an instance may be silent before lookups no longer
	// return its address.
	lookupTimeout = 3 * time.Second
	// forgetAfter is how long a silent instance still counts as known: it may be
	// running but partitioned, and use its static share of a rate.
	forgetAfter = 60 * time.Second
)

// peer is another instance.
type peer struct {
	lastHeartbeat   Heartbeat
	lastHeartbeatAt time.Time
	silent          bool
	demand          map[uint32]float64
	admitted        map[uint32]uint64
	// knownFromStart means that the first heartbeat received from this lifetime of the
	// peer was one of its first newInstanceHeartbeats, or an earlier lifetime was known.
	// Everything that the peer admitted then counts against the teams' rates.
	knownFromStart bool
}

// instancesReceived sets the instances that are listed in the store.
func (m *Model) instancesReceived(ids []string) {
	m.storeInstances = map[string]bool{}
	m.reportedFleetSize = 1
	for _, id := range ids {
		m.storeInstances[id] = true
	}
	m.reportedFleetSize = m.fleet().KnownInstances
}

// heartbeatReceived applies a heartbeat unless a newer one of its sender was
// received before.
func (m *Model) heartbeatReceived(now time.Time, hb Heartbeat) []Cmd {
	if hb.ID == m.id {
		return nil
	}
	p, ok := m.peers[hb.ID]
	if ok && (hb.StartedAtMs < p.lastHeartbeat.StartedAtMs ||
		hb.StartedAtMs == p.lastHeartbeat.StartedAtMs && hb.SequenceNumber <= p.lastHeartbeat.SequenceNumber) {
		return nil
	}
	var cmds []Cmd
	if !ok || hb.StartedAtMs != p.lastHeartbeat.StartedAtMs {
		cmds = append(cmds, SendFullHeartbeat{PeerAddress: hb.PeerAddress})
	}
	changed := !ok || p.silent || p.lastHeartbeat.Leaving != hb.Leaving
	if !ok {
		p = &peer{}
		m.peers[hb.ID] = p
	}
	if hb.StartedAtMs != p.lastHeartbeat.StartedAtMs {
		p.admitted = map[uint32]uint64{}
		p.demand = nil
		p.knownFromStart = ok || hb.SequenceNumber <= newInstanceHeartbeats
	}
	m.reportedFleetSize = max(m.reportedFleetSize, int(hb.FleetSize))
	if now.Sub(m.firstUpdate) > assumedFleetPeriod {
		m.reportedFleetSize = m.fleet().KnownInstances
	}
	p.lastHeartbeat = hb
	p.lastHeartbeatAt = now
	p.silent = false
	m.recordDemand(now, p, hb)
	m.balancer.SetPeerLoads(hb.ID, hb.Loads)
	m.balancer.AddPeerWarmObjects(now, hb.WarmObjects)
	m.balancer.ApplyPeerReachability(now, hb.ReachabilityReports)
	m.balancer.MergePeerWarmCapacities(hb.WarmCapacities)
	if changed {
		m.refreshLive()
	}
	return cmds
}

// recordDemand applies the demand and the admissions reported by a peer. Unless the peer
// is known from its start, the first admission count that it reports for a team is only
// a starting point: it may date from before the peer's first heartbeat received here.
func (m *Model) recordDemand(now time.Time, p *peer, hb Heartbeat) {
	if hb.FullDemand || p.demand == nil {
		p.demand = make(map[uint32]float64, len(hb.Demand))
	}
	for _, d := range hb.Demand {
		p.demand[d.Team] = float64(d.TenthsPerSecond) / 10
		before, known := p.admitted[d.Team]
		p.admitted[d.Team] = d.Admitted
		if !known && !p.knownFromStart || d.Admitted <= before {
			continue
		}
		if t, ok := m.teamsByHash[d.Team]; ok {
			t.fleetBucket.Spend(now, float64(d.Admitted-before))
		}
	}
}

// expireSilentPeers drops the loads of silent instances, and the instances
// themselves after forgetAfter.
func (m *Model) expireSilentPeers(now time.Time) {
	silentAfter := propagationTime(len(m.peers)+1) + silentMargin
	changed := false
	for id, p := range m.peers {
		age := now.Sub(p.lastHeartbeatAt)
		if age > silentAfter && !p.silent {
			p.silent = true
			changed = true
			m.balancer.ForgetPeer(id)
		}
		if age > forgetAfter {
			delete(m.peers, id)
			m.reportedFleetSize = len(m.peers) + 1
		}
	}
	if changed {
		m.refreshLive()
	}
}

// refreshLive recomputes the list of live instances, this one included.
func (m *Model) refreshLive() {
	m.live = m.live[:0]
	m.live = append(m.live, m.id)
	for id, p := range m.peers {
		if !p.silent && !p.lastHeartbeat.Leaving {
			m.live = append(m.live, id)
		}
	}
	slices.Sort(m.live)
}

// Addresses returns the addresses that callers of a zone should connect to: the
// instances in their zone, else those in their region, else all. self is the
// address of this instance.
func (m *Model) Addresses(now time.Time, self string, region, zone string) []string {
	var inZone, inRegion, all []string
	add := func(address, r, z string) {
		all = append(all, address)
		if r == region {
			inRegion = append(inRegion, address)
		}
		if z == zone {
			inZone = append(inZone, address)
		}
	}
	if m.stopRequestedAt.IsZero() {
		add(self, m.region, m.zone)
	}
	for _, p := range m.peers {
		if !p.lastHeartbeat.Leaving && now.Sub(p.lastHeartbeatAt) < lookupTimeout {
			add(p.lastHeartbeat.CallerAddress, p.lastHeartbeat.Region, p.lastHeartbeat.Zone)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	case len(all) > 0:
		return all
	}
	return []string{self}
}

// StorePollRank returns this instance's rank among the live instances that can
// reach the store.
func (m *Model) StorePollRank() int {
	return m.rank(func(hb Heartbeat) bool { return !hb.StoreUnreachable })
}

// regionFetchers is the number of instances of a region that fetch changes from
// other regions on behalf of all of it.
const regionFetchers = 2

// FetchesFromOtherRegions reports whether this instance is one of the
// regionFetchers of its region.
func (m *Model) FetchesFromOtherRegions() bool {
	return m.rank(func(hb Heartbeat) bool { return hb.Region == m.region }) < regionFetchers
}

// rank returns this instance's rank among the eligible live instances, in an order
// that is the same on all instances.
func (m *Model) rank(eligible func(Heartbeat) bool) int {
	ownHash := placer.Hash32(m.id)
	rank := 0
	for _, p := range m.peers {
		if !p.silent && !p.lastHeartbeat.Leaving && eligible(p.lastHeartbeat) && placer.Hash32(p.lastHeartbeat.ID) < ownHash {
			rank++
		}
	}
	return rank
}

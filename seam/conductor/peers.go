package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

const (
	// newInstanceHeartbeats is a threshold: a sender is taken to have just started if the
	// sequence number of its heartbeat is at most this.
	newInstanceHeartbeats = 20
	// An instance counts as silent if its last sign of life is older than the longest time
	// until the next one is due, plus propagationMargin and silentMargin: its loads and
	// demand no longer apply. silentMargin allows for a heartbeat that got lost. minSilence
	// is the shortest time after which an instance counts as silent.
	silentMargin = 400 * time.Millisecond
	minSilence   = otherRegionsInterval + propagationMargin + silentMargin
	// forgetAfter is how long after its last sign of life an instance still counts as known if
	// it isn't registered in the store. A silent instance may be running but partitioned, and then
	// still uses its static share of each team's rate.
	forgetAfter = 60 * time.Second
)

// peer is what this instance knows of another instance. demandByTeam and admittedByTeam
// are keyed by the hash of the team's name. They hold the demand in tenths of a request
// per second and the number of admitted requests, as last reported.
type peer struct {
	lastHeartbeat   Heartbeat
	lastHeartbeatAt time.Time
	// firstHeartbeatAt is when the first heartbeat of the peer's current lifetime arrived.
	// knownSince is since when the peer has been known, in any lifetime.
	firstHeartbeatAt, knownSince time.Time
	// hash is the hash of the peer's ID. seenAt is when the peer last sent a heartbeat to
	// this instance or, by a reported sighting, to another one of the region. reportedAt is
	// when a sighting of the peer was last reported within the region.
	hash           uint32
	seenAt         time.Time
	reportedAt     time.Time
	silent         bool
	demandByTeam   map[uint32]uint32
	admittedByTeam map[uint32]uint64
	// knownFromStart means that this instance has followed the peer's current lifetime
	// from its start: the first heartbeat received was one of the lifetime's first
	// newInstanceHeartbeats, or an earlier lifetime of the peer was known. All admissions
	// that the peer reports then count against the teams' rates.
	knownFromStart bool
}

// heartbeatReceived applies a heartbeat, unless a newer heartbeat of the same sender
// was received before. It returns a SendFullHeartbeat command if the sender was
// unknown or has restarted.
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
		p = m.addPeer(now, hb.ID)
	}
	if p.silent {
		m.revive(p)
	}
	if hb.StartedAtMs != p.lastHeartbeat.StartedAtMs {
		p.admittedByTeam = map[uint32]uint64{}
		m.demand.subtract(p.demandByTeam)
		p.demandByTeam = nil
		p.knownFromStart = ok || hb.SequenceNumber <= newInstanceHeartbeats
		p.firstHeartbeatAt = now
	}
	p.lastHeartbeat = hb
	// What the sender states was true when it made the heartbeat.
	madeAt := now.Add(-hb.Delay)
	p.lastHeartbeatAt = later(p.lastHeartbeatAt, madeAt)
	p.seenAt = later(p.seenAt, madeAt)
	m.recordSighting(p)
	m.applySightings(now, madeAt, hb.Sightings)
	m.recordDemand(now, p, hb)
	m.balancer.SetPeerLoads(hb.ID, hb.Loads)
	m.balancer.AddPeerWarmObjects(now, hb.WarmObjects)
	m.balancer.ApplyPeerReachability(now, hb.ReachabilityReports)
	m.balancer.ApplyDepartures(hb.Departures)
	m.balancer.ApplyLimits(madeAt, hb.Limits)
	m.balancer.ApplyWorkTimeReports(madeAt, hb.WorkTimes)
	if hb.Region == m.region {
		m.regulator.Apply(now, hb.Regions)
	}
	m.recordLiveByRegion(madeAt, hb)
	m.quarantiner.Apply(madeAt, hb.Evidence)
	m.balancer.MergePeerWarmCapacities(hb.WarmCapacities)
	if changed {
		m.refreshLive()
	}
	return cmds
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordDemand applies the demand and the admission counts reported by a peer. If the
// peer is not known from its start, the first count that it reports for a team only
// serves as the base for later counts: those requests may have been admitted before
// this instance received its first heartbeat from the peer.
func (m *Model) recordDemand(now time.Time, p *peer, hb Heartbeat) {
	if hb.FullDemand || p.demandByTeam == nil {
		m.demand.subtract(p.demandByTeam)
		p.demandByTeam = make(map[uint32]uint32, len(hb.Demand))
	}
	for _, d := range hb.Demand {
		m.demand[d.Team] += int64(d.TenthsPerSecond) - int64(p.demandByTeam[d.Team])
		p.demandByTeam[d.Team] = d.TenthsPerSecond
		previousCount, hasPrevious := p.admittedByTeam[d.Team]
		p.admittedByTeam[d.Team] = d.Admitted
		if !hasPrevious && !p.knownFromStart || d.Admitted <= previousCount {
			continue
		}
		if t, ok := m.teamsByHash[d.Team]; ok {
			t.fleetBucket.Spend(now, float64(d.Admitted-previousCount))
		}
	}
}

// expireSilentPeers discards the loads of instances that have become silent.
// Instances that aren't registered and have given no sign of life for forgetAfter are forgotten
// altogether.
func (m *Model) expireSilentPeers(now time.Time) {
	changed := false
	for id, p := range m.peers {
		age := now.Sub(p.seenAt)
		if !p.silent && age > m.silentAfter(p) {
			p.silent = true
			changed = true
			m.demand.subtract(p.demandByTeam)
			m.balancer.ForgetPeer(id)
		}
		if age <= forgetAfter {
			continue
		}
		if _, listed := m.registrations[id]; !listed {
			m.forgetPeer(id, p)
			changed = true
		}
	}
	if changed {
		m.refreshLive()
	}
}

// refreshLive recomputes the lists of live instances, this one included, and the number of known ones.
func (m *Model) refreshLive() {
	m.countKnownInstances()
	m.liveCount, m.regionSize = 1, 1
	m.live = map[string][]string{m.region: {m.id}}
	m.disputed = map[string]bool{}
	for id, p := range m.peers {
		if p.lastHeartbeat.Region == m.region {
			m.regionSize++
		}
		if p.silent && !p.lastHeartbeat.Leaving {
			m.disputed[p.lastHeartbeat.Region] = true
		}
		if p.silent || p.lastHeartbeat.Leaving {
			continue
		}
		m.liveCount++
		m.live[p.lastHeartbeat.Region] = append(m.live[p.lastHeartbeat.Region], id)
	}
	m.rankings = map[string]*placer.Ranking{}
	m.newInstances = m.countNewInstances()
}

// standing returns this instance's standing for an endpoint. The order of the endpoint
// consists of the live instances of its region, which learn of each other's failures
// soonest. If there are none, it consists of all. An instance that is stopping leaves the
// order to the others.
func (m *Model) standing(region string, endpoint uint32) placer.Standing {
	others := len(m.live[region])
	if region == m.region {
		others--
	}
	if others > 0 && (region != m.region || !m.stopRequestedAt.IsZero()) {
		return placer.Standing{Rank: placer.NoRank, Candidates: others}
	}
	r, ok := m.rankings[region]
	if !ok {
		r = placer.NewRanking(m.id, m.candidates(region))
		m.rankings[region] = r
	}
	// An instance that has just started doesn't know the others yet.
	started := m.lastUpdate.Sub(m.firstUpdate) >= assumedFleetPeriod
	return placer.Standing{Rank: r.Rank(endpoint), Candidates: r.Candidates(), Disputed: m.disputed[region] || !started}
}

// candidates returns the IDs of the instances in the orders of a region's endpoints.
func (m *Model) candidates(region string) []string {
	if len(m.live[region]) > 0 {
		return m.live[region]
	}
	var all []string
	for _, ids := range m.live {
		all = append(all, ids...)
	}
	return all
}

// demandTotals maps the hash of a team's name to the sum of its demand at several peers,
// in tenths of a request per second.
type demandTotals map[uint32]int64

// add adds the demand at one peer.
func (t demandTotals) add(byTeam map[uint32]uint32) {
	for team, tenths := range byTeam {
		t[team] += int64(tenths)
	}
}

// subtract takes away the demand at one peer.
func (t demandTotals) subtract(byTeam map[uint32]uint32) {
	for team, tenths := range byTeam {
		t[team] -= int64(tenths)
	}
}

// perSecond returns a team's total in requests per second.
func (t demandTotals) perSecond(team uint32) float64 { return float64(t[team]) / 10 }

// StorePollRank returns this instance's rank among the live instances that can reach
// the store. The instance of rank 0 polls the store all the time.
func (m *Model) StorePollRank() int {
	return m.rank(func(hb Heartbeat) bool { return !hb.StoreUnreachable })
}

// regionFetchers is the number of instances in a region that fetch changes from other
// regions on behalf of the whole region.
const regionFetchers = 2

// FetchesFromOtherRegions reports whether this instance is one of the regionFetchers
// instances of its region that fetch changes from other regions.
func (m *Model) FetchesFromOtherRegions() bool {
	return m.rank(func(hb Heartbeat) bool { return hb.Region == m.region }) < regionFetchers
}

// rank returns how many of the eligible live peers come before this instance, in an
// order that is the same on all instances.
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

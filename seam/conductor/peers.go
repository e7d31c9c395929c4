package conductor

import (
	"slices"
	"time"

	"primroseseam.org/seam/placer"
)

const (
	// firstBeats is the number of heartbeats within which an instance counts as
	// one that has just started.
	firstBeats = 20
	// silentMargin is how much longer than news takes an instance may be silent
	// before its loads and demand no longer count. It may lose a heartbeat.
	silentMargin = 400 * time.Millisecond
	// goneAfter is how long an instance may be silent before look-ups no longer
	// name it and its rate is divided among the others.
	goneAfter = 3 * time.Second
	// forgottenAfter is how long a silent instance still counts as one that may
	// be running, out of touch, and use its static part of a rate.
	forgottenAfter = 60 * time.Second
)

// peer is another instance.
type peer struct {
	beat   Heartbeat
	heard  time.Time
	silent bool
	demand map[uint32]float64
	used   map[uint32]uint64
	// fromStart means that it was heard from its start on, so that all that it
	// used is news.
	fromStart bool
}

// instancesSeen takes the instances of which the store knows.
func (m *Model) instancesSeen(ids []string) {
	m.known = map[string]bool{}
	m.told = 1
	for _, id := range ids {
		m.known[id] = true
	}
	m.told = m.fleet().Known
}

// beatHeard takes a heartbeat unless it is older than the last one.
func (m *Model) beatHeard(now time.Time, b Heartbeat) []Cmd {
	if b.ID == m.id {
		return nil
	}
	p, ok := m.peers[b.ID]
	if ok && (b.Started < p.beat.Started || b.Started == p.beat.Started && b.Serial <= p.beat.Serial) {
		return nil
	}
	var cmds []Cmd
	if !ok || b.Started != p.beat.Started {
		cmds = append(cmds, Introduce{PeerAddress: b.PeerAddress})
	}
	changed := !ok || p.silent || p.beat.Leaving != b.Leaving
	if !ok {
		p = &peer{}
		m.peers[b.ID] = p
	}
	if b.Started != p.beat.Started {
		p.used = map[uint32]uint64{}
		p.demand = nil
		p.fromStart = ok || b.Serial <= firstBeats
	}
	m.told = max(m.told, int(b.FleetSize))
	if now.Sub(m.first) > unknownFor {
		m.told = m.fleet().Known
	}
	p.beat = b
	p.heard = now
	p.silent = false
	m.demandHeard(now, p, b)
	m.board.SetPeerLoads(b.ID, b.Loads)
	m.board.AddPeerWarmObjects(now, b.Touches)
	m.board.ApplyPeerReachability(now, b.Rests)
	m.board.MergePeerWarmCapacities(b.Keeps)
	if changed {
		m.refreshLive()
	}
	return cmds
}

// demandHeard takes what teams asked and used at another instance. What was used
// before this instance heard of the other is not counted.
func (m *Model) demandHeard(now time.Time, p *peer, b Heartbeat) {
	if b.Whole || p.demand == nil {
		p.demand = make(map[uint32]float64, len(b.Demand))
	}
	for _, d := range b.Demand {
		p.demand[d.Team] = float64(d.TenthsPerSecond) / 10
		before, known := p.used[d.Team]
		p.used[d.Team] = d.Admitted
		if !known && !p.fromStart || d.Admitted <= before {
			continue
		}
		if t, ok := m.byHash[d.Team]; ok {
			t.fleet.Spend(now, float64(d.Admitted-before))
		}
	}
}

// forgetSilent drops what silent instances said.
func (m *Model) forgetSilent(now time.Time) {
	silentAfter := newsTime(len(m.peers)+1) + silentMargin
	changed := false
	for id, p := range m.peers {
		age := now.Sub(p.heard)
		if age > silentAfter && !p.silent {
			p.silent = true
			changed = true
			m.board.ForgetPeer(id)
		}
		if age > forgottenAfter {
			delete(m.peers, id)
			m.told = len(m.peers) + 1
		}
	}
	if changed {
		m.refreshLive()
	}
}

// refreshLive lists the instances that are heard, this one included.
func (m *Model) refreshLive() {
	m.live = m.live[:0]
	m.live = append(m.live, m.id)
	for id, p := range m.peers {
		if !p.silent && !p.beat.Leaving {
			m.live = append(m.live, id)
		}
	}
	slices.Sort(m.live)
}

// Addresses returns where callers from a zone should connect: the instances of
// their zone, else those of their region, else all.
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
	if m.stopping.IsZero() {
		add(self, m.region, m.zone)
	}
	for _, p := range m.peers {
		if !p.beat.Leaving && now.Sub(p.heard) < goneAfter {
			add(p.beat.CallerAddress, p.beat.Region, p.beat.Zone)
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

// StorePollRank returns this instance's place among those that hear from the store.
func (m *Model) StorePollRank() int {
	return m.place(func(b Heartbeat) bool { return !b.StoreUnreachable })
}

// farFetchers is the number of instances of a region that fetch news from other
// regions for all of it.
const farFetchers = 2

// FetchesFromOtherRegions reports whether this instance is one of those that fetch news from
// other regions.
func (m *Model) FetchesFromOtherRegions() bool {
	return m.place(func(b Heartbeat) bool { return b.Region == m.region }) < farFetchers
}

// place returns this instance's place among the heard ones that count, in an
// order that all agree on.
func (m *Model) place(counts func(Heartbeat) bool) int {
	own := placer.Hash32(m.id)
	place := 0
	for _, p := range m.peers {
		if !p.silent && !p.beat.Leaving && counts(p.beat) && placer.Hash32(p.beat.ID) < own {
			place++
		}
	}
	return place
}

package conductor

import (
	"slices"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/rationer"
)

const (
	// silentAfter is how long an instance may be silent before its loads and
	// demand no longer count: several heartbeats.
	silentAfter = 1500 * time.Millisecond
	// goneAfter is how long an instance may be silent before look-ups no longer
	// name it and its rate is divided among the others.
	goneAfter = 3 * time.Second
	// forgottenAfter is how long a silent instance still counts as one that may
	// be running, out of touch, and use its static part of a rate.
	forgottenAfter = 60 * time.Second
)

// peer is another instance.
type peer struct {
	beat   Beat
	heard  time.Time
	silent bool
	demand map[uint32]float64
}

// teamState is what an instance knows of a team.
type teamState struct {
	hash   uint32
	demand rationer.Meter
	bucket rationer.Bucket
}

// retryState is an instance's part of a service's retry budget.
type retryState struct {
	bucket rationer.Bucket
}

// instancesSeen takes the instances of which the store knows.
func (m *Model) instancesSeen(ids []string) {
	m.known = map[string]bool{}
	for _, id := range ids {
		m.known[id] = true
	}
}

// beatHeard takes a heartbeat unless it is older than the last one.
func (m *Model) beatHeard(now time.Time, b Beat) {
	if b.ID == m.id {
		return
	}
	p, ok := m.peers[b.ID]
	if ok && (b.Started < p.beat.Started || b.Started == p.beat.Started && b.Serial <= p.beat.Serial) {
		return
	}
	if !ok {
		p = &peer{}
		m.peers[b.ID] = p
	}
	p.beat = b
	p.heard = now
	p.silent = false
	p.demand = make(map[uint32]float64, len(b.Demand))
	for _, d := range b.Demand {
		p.demand[d.Team] = d.Rate
	}
	m.board.PeerLoads(b.ID, b.Loads)
	m.board.PeerTouches(now, b.Touches)
	m.board.PeerDown(now, b.Down)
	m.refreshLive()
}

// forgetSilent drops what silent instances said.
func (m *Model) forgetSilent(now time.Time) {
	for id, p := range m.peers {
		age := now.Sub(p.heard)
		if age > silentAfter && !p.silent {
			p.silent = true
			m.board.ForgetPeer(id)
		}
		if age > forgottenAfter {
			delete(m.peers, id)
		}
	}
	m.refreshLive()
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

// refreshRates renews this instance's parts of the teams' rates and of the
// retry budgets.
func (m *Model) refreshRates(now time.Time) {
	if m.config == nil {
		return
	}
	fleet := m.fleet()
	for name, t := range m.teams {
		team, ok := m.config.Teams()[name]
		if !ok || team.Rate <= 0 {
			continue
		}
		others := 0.0
		for _, p := range m.peers {
			if !p.silent {
				others += p.demand[t.hash]
			}
		}
		part := rationer.Part(fleet, t.demand.Rate(now), others)
		t.bucket.SetRate(now, team.Rate*part, max(team.Burst*part, 1))
	}
}

// teamOf returns the state of a team.
func (m *Model) teamOf(now time.Time, name string) *teamState {
	t, ok := m.teams[name]
	if !ok {
		t = &teamState{hash: placer.Hash32(name)}
		m.teams[name] = t
		team := m.config.Teams()[name]
		part := 1 / float64(max(m.fleet().Known, 1))
		t.bucket.SetRate(now, team.Rate*part, max(team.Burst*part, 1))
	}
	return t
}

// retryOf returns this instance's part of a service's retry budget. It earns a
// part of each request and keeps an even part of the extra.
func (m *Model) retryOf(now time.Time, service string) *retryState {
	r, ok := m.retries[service]
	if !ok {
		r = &retryState{}
		extra := m.bounds.RetryExtra / float64(max(m.fleet().Known, minFleet))
		r.bucket.SetRate(now, 0, max(extra*extraUsed, 1))
		m.retries[service] = r
	}
	return r
}

const (
	// minFleet is the number of instances that is assumed until more are known.
	minFleet = 12
	// extraUsed is the part of the retry budget's extra that is used; the rest
	// covers instances that start anew within a window.
	extraUsed = 0.5
	// ratioUsed is the part of the retry budget's ratio that is used.
	ratioUsed = 0.85
)

// Beat returns what this instance tells the others.
func (m *Model) Beat(now time.Time) Beat {
	b := Beat{
		ID: m.id, Region: m.region, Zone: m.zone, Leaving: !m.stopping.IsZero(),
		Config: m.Version(), Loads: m.board.Loads(), Touches: m.board.TakeTouches(), Down: m.board.Down(now),
	}
	for _, t := range m.teams {
		if rate := t.demand.Rate(now); rate > leastDemand {
			b.Demand = append(b.Demand, Demand{Team: t.hash, Rate: rate})
		}
	}
	return b
}

// leastDemand is the least rate per second that is told to others.
const leastDemand = 0.05

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
			add(p.beat.Callers, p.beat.Region, p.beat.Zone)
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

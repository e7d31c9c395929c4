package decider

import (
	"slices"
	"strings"
	"time"

	"primroseseam.org/seam/picker"
)

const (
	// suspicionTime is how long a peer that failed gets no requests.
	suspicionTime = 2 * time.Second
	// minSilence is how long a peer with requests of ours may say nothing.
	minSilence = 400 * time.Millisecond
	// silenceFactor times the usual duration bounds the silence of a slow
	// service.
	silenceFactor = 3
)

// peerSet holds the other instances.
type peerSet struct {
	byID    map[string]*peer
	ordered []*peer
	// epoch grows with each change of who may be a keeper.
	epoch uint64
}

// peer is another instance as this one sees it.
type peer struct {
	Peer
	heard        time.Time
	suspectUntil time.Time
	suspected    bool
	left         bool
	passes       []startedAttempt
	loads        []EndpointLoad
}

// cachedKeeper is the keeper of a service's slots in this instance's region.
type cachedKeeper struct {
	id    string
	epoch uint64
}

func newPeerSet() *peerSet { return &peerSet{byID: map[string]*peer{}, epoch: 1} }

// peersChanged replaces the set of peers and keeps what is known of those that
// have not restarted.
func (m *Model) peersChanged(msg PeersChanged) []Cmd {
	old := m.peers.byID
	m.peers.byID = make(map[string]*peer, len(msg.Peers))
	m.peers.ordered = m.peers.ordered[:0]
	for _, told := range msg.Peers {
		if told.ID == m.self.id {
			continue
		}
		p := &peer{Peer: told}
		if before, ok := old[told.ID]; ok && before.Incarnation == told.Incarnation {
			p = before
			p.Peer = told
		}
		m.peers.byID[told.ID] = p
		m.peers.ordered = append(m.peers.ordered, p)
	}
	slices.SortFunc(m.peers.ordered, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	m.peers.epoch++
	return nil
}

// peerLoadHeard takes a peer's counts; it also shows that the peer lives.
func (m *Model) peerLoadHeard(now time.Time, msg PeerLoadsReported) []Cmd {
	p, ok := m.peers.byID[msg.Peer]
	if !ok {
		return nil
	}
	p.heard = now
	for _, before := range p.loads {
		if s, ok := m.services[before.Service]; ok {
			s.pool.ReportPeerLoad(now, msg.Peer, before.Endpoint, 0)
		}
	}
	p.loads = slices.Clone(msg.Loads)
	for _, l := range p.loads {
		if s, ok := m.services[l.Service]; ok {
			s.pool.ReportPeerLoad(now, msg.Peer, l.Endpoint, l.Load)
			s.pool.ReportPeerDrain(now, l.Endpoint, l.Draining)
		}
	}
	return nil
}

// Loads returns what peers should know of endpoints: this instance's own counts
// of requests in flight, and the drains that endpoints have told it of.
func (m *Model) Loads(now time.Time) []EndpointLoad {
	var loads []EndpointLoad
	for _, configured := range m.configuredServices() {
		m.services[configured.Name].pool.Visit(now, func(address string, load int, draining bool) {
			loads = append(loads, EndpointLoad{Service: configured.Name, Endpoint: address, Load: load, Draining: draining})
		})
	}
	return loads
}

// keeperOf returns the instance of this region that keeps the service's slots.
// Instances that disagree for a while only lose coordination: an endpoint that
// is sent too much sheds, and the request is tried elsewhere.
func (m *Model) keeperOf(s *service) string {
	if s.keeper.epoch != m.peers.epoch {
		// A service that the configuration has dropped stays here.
		s.keeper = cachedKeeper{id: m.self.id, epoch: m.peers.epoch}
		m.assignKeepers()
	}
	return s.keeper.id
}

// assignKeepers gives each service the instance with the highest rendezvous
// hash among those that don't yet keep their even part of the services, so that
// the bytes of all services never meet at one instance.
func (m *Model) assignKeepers() {
	candidates := m.keeperCandidates()
	services := m.configuredServices()
	most := (len(services) + len(candidates) - 1) / max(1, len(candidates))
	kept := make(map[string]int, len(candidates))
	for _, configured := range services {
		best, highest := m.self.id, uint64(0)
		key := configured.Name + "@" + m.self.region
		for _, id := range candidates {
			if score := picker.Score(id, key); kept[id] < most && score > highest {
				best, highest = id, score
			}
		}
		kept[best]++
		m.services[configured.Name].keeper = cachedKeeper{id: best, epoch: m.peers.epoch}
	}
}

// keeperCandidates lists the instances of this region that may keep slots.
func (m *Model) keeperCandidates() []string {
	var ids []string
	if !m.stopping {
		ids = append(ids, m.self.id)
	}
	for _, p := range m.peers.ordered {
		if p.Region == m.self.region && !p.Leaving && !p.left && !p.suspected {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// suspect stops passing requests to a peer for a while.
func (m *Model) suspect(now time.Time, p *peer) {
	p.suspected = true
	p.suspectUntil = now.Add(suspicionTime)
	m.peers.epoch++
}

// checkPeers suspects silent peers and forgives those whose time is over. It
// returns commands for requests that a silent peer holds.
func (m *Model) checkPeers(now time.Time) []Cmd {
	var cmds []Cmd
	for _, p := range m.peers.ordered {
		if p.suspected && !now.Before(p.suspectUntil) {
			p.suspected = false
			m.peers.epoch++
		}
		if m.silent(now, p) {
			m.suspect(now, p)
			cmds = append(cmds, m.retakePasses(now, p)...)
		}
	}
	return cmds
}

// silent reports whether a peer has said nothing for too long while it holds a
// request of ours.
func (m *Model) silent(now time.Time, p *peer) bool {
	for len(p.passes) > 0 && !m.holds(p.passes[0].id, p.ID) {
		p.passes = p.passes[1:]
	}
	if len(p.passes) == 0 || p.suspected {
		return false
	}
	oldest := p.passes[0]
	since := oldest.at
	if p.heard.After(since) {
		since = p.heard
	}
	s := m.services[m.requests[oldest.id].service]
	return now.Sub(since) > max(minSilence, silenceFactor*s.latency.Mean())
}

// holds reports whether a request is under way at a peer.
func (m *Model) holds(id uint64, peerID string) bool {
	r, ok := m.requests[id]
	return ok && !r.answered && r.leg(peerID) >= 0
}

// retakePasses hedges the idempotent requests that a silent peer holds.
func (m *Model) retakePasses(now time.Time, p *peer) []Cmd {
	var cmds []Cmd
	for _, started := range p.passes {
		r, ok := m.requests[started.id]
		if !ok || r.home != "" || !m.mayHedge(now, r) {
			continue
		}
		cmds = append(cmds, m.route(now, r, "")...)
	}
	return cmds
}

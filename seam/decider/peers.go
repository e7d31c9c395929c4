package decider

import (
	"slices"
	"strings"
	"time"

	"primroseseam.org/seam/picker"
)

const (
	// suspicionPeriod is how long no requests are passed to a suspected peer.
	suspicionPeriod = 2 * time.Second
	// minSilenceTimeout is the shortest silence after which a peer that holds
	// requests of this instance is suspected.
	minSilenceTimeout = 400 * time.Millisecond
	// silenceLatencyFactor extends the silence timeout for slow services to this
	// multiple of the mean duration of an attempt.
	silenceLatencyFactor = 3
)

// peerSet holds the other instances of the fleet.
type peerSet struct {
	byID map[string]*peer
	// ordered holds the peers sorted by ID.
	ordered []*peer
	// epoch is incremented to invalidate the cached slot owners, when the services
	// change or when a peer starts or stops being a candidate.
	epoch uint64
}

// peer is another instance as seen from this one.
type peer struct {
	Peer
	// lastContact is when a load report, answer or refusal last showed that the peer
	// is alive.
	lastContact  time.Time
	suspectUntil time.Time
	suspected    bool
	// shuttingDown means that the peer refused a request because it is stopping.
	shuttingDown bool
	// passes lists the attempts at the peer, oldest first. Ended ones are removed
	// once they are the oldest.
	passes []startedAttempt
	// loads is the peer's last report.
	loads []EndpointLoad
}

// cachedOwner caches the slot owner of a service. The slot owner is the one instance
// of a region that forwards all requests to the service's endpoints there, so that
// its count of the slots in use is exact; the others pass their requests to it.
type cachedOwner struct {
	id    string
	epoch uint64
}

func newPeerSet() *peerSet { return &peerSet{byID: map[string]*peer{}, epoch: 1} }

// peersChanged replaces the set of peers, and keeps the state of those that have not
// restarted.
func (m *Model) peersChanged(msg PeersChanged) []Cmd {
	old := m.peers.byID
	m.peers.byID = make(map[string]*peer, len(msg.Peers))
	m.peers.ordered = m.peers.ordered[:0]
	for _, latest := range msg.Peers {
		if latest.ID == m.self.id {
			continue
		}
		p := &peer{Peer: latest}
		if previous, ok := old[latest.ID]; ok && previous.Incarnation == latest.Incarnation {
			p = previous
			p.Peer = latest
		}
		m.peers.byID[latest.ID] = p
		m.peers.ordered = append(m.peers.ordered, p)
	}
	slices.SortFunc(m.peers.ordered, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	m.peers.epoch++
	return nil
}

// peerLoadsReported replaces a peer's load report, which also shows that the peer is
// alive.
func (m *Model) peerLoadsReported(now time.Time, msg PeerLoadsReported) []Cmd {
	p, ok := m.peers.byID[msg.Peer]
	if !ok {
		return nil
	}
	p.lastContact = now
	for _, previous := range p.loads {
		if s, ok := m.services[previous.Service]; ok {
			s.pool.ReportPeerLoad(now, msg.Peer, previous.Endpoint, 0)
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

// Loads returns the endpoint loads to report to peers: the requests that this
// instance itself has in flight, and the drains that endpoints announced to it.
func (m *Model) Loads(now time.Time) []EndpointLoad {
	var loads []EndpointLoad
	for _, configured := range m.configuredServices() {
		m.services[configured.Name].pool.Visit(now, func(address string, load int, draining bool) {
			loads = append(loads, EndpointLoad{Service: configured.Name, Endpoint: address, Load: load, Draining: draining})
		})
	}
	return loads
}

// ownerOf returns the service's slot owner. While instances disagree about the owner,
// an endpoint may get more requests than it has slots; it then sheds them and they are
// retried elsewhere.
func (m *Model) ownerOf(s *service) string {
	if s.owner.epoch != m.peers.epoch {
		// A service that is no longer configured is owned by each instance itself.
		s.owner = cachedOwner{id: m.self.id, epoch: m.peers.epoch}
		m.assignOwners()
	}
	return s.owner.id
}

// assignOwners assigns each service to the candidate with the highest rendezvous hash
// that doesn't yet own an even part of the services. The bound keeps the traffic of
// all services from going through one instance.
func (m *Model) assignOwners() {
	candidates := m.ownerCandidates()
	services := m.configuredServices()
	maxPerInstance := (len(services) + len(candidates) - 1) / max(1, len(candidates))
	owned := make(map[string]int, len(candidates))
	for _, configured := range services {
		best, highest := m.self.id, uint64(0)
		key := configured.Name + "@" + m.self.region
		for _, id := range candidates {
			if score := picker.Score(id, key); owned[id] < maxPerInstance && score > highest {
				best, highest = id, score
			}
		}
		owned[best]++
		m.services[configured.Name].owner = cachedOwner{id: best, epoch: m.peers.epoch}
	}
}

// ownerCandidates lists the instances of this region that may be slot owners.
func (m *Model) ownerCandidates() []string {
	var ids []string
	if !m.stopping {
		ids = append(ids, m.self.id)
	}
	for _, p := range m.peers.ordered {
		if p.Region == m.self.region && !p.Leaving && !p.shuttingDown && !p.suspected {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// suspect stops passes to a peer for suspicionPeriod.
func (m *Model) suspect(now time.Time, p *peer) {
	p.suspected = true
	p.suspectUntil = now.Add(suspicionPeriod)
	m.peers.epoch++
}

// checkPeers ends suspicions whose period is over and suspects silent peers. It
// returns commands that hedge the requests held by silent peers.
func (m *Model) checkPeers(now time.Time) []Cmd {
	var cmds []Cmd
	for _, p := range m.peers.ordered {
		if p.suspected && !now.Before(p.suspectUntil) {
			p.suspected = false
			m.peers.epoch++
		}
		if m.silent(now, p) {
			m.suspect(now, p)
			cmds = append(cmds, m.hedgePasses(now, p)...)
		}
	}
	return cmds
}

// silent reports whether no sign of life came from a peer for too long while it holds
// a request of this instance. It also removes ended attempts from the peer's passes.
func (m *Model) silent(now time.Time, p *peer) bool {
	for len(p.passes) > 0 && !m.awaitsPeer(p.passes[0].id, p.ID) {
		p.passes = p.passes[1:]
	}
	if len(p.passes) == 0 || p.suspected {
		return false
	}
	oldest := p.passes[0]
	since := oldest.startedAt
	if p.lastContact.After(since) {
		since = p.lastContact
	}
	s := m.services[m.requests[oldest.id].service]
	return now.Sub(since) > max(minSilenceTimeout, silenceLatencyFactor*s.latency.meanDuration())
}

// awaitsPeer reports whether a request waits for the answer of a peer.
func (m *Model) awaitsPeer(id uint64, peerID string) bool {
	r, ok := m.requests[id]
	return ok && !r.answered && r.attemptIndex(peerID) >= 0
}

// hedgePasses hedges the idempotent requests that were passed to a silent peer.
func (m *Model) hedgePasses(now time.Time, p *peer) []Cmd {
	var cmds []Cmd
	for _, started := range p.passes {
		r, ok := m.requests[started.id]
		if !ok || r.home != "" || !m.allowHedge(now, r) {
			continue
		}
		cmds = append(cmds, m.route(now, r, "")...)
	}
	return cmds
}

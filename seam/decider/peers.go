package decider

import (
	"slices"
	"strings"
	"time"

	"primroseseam.org/seam/picker"
)

const (
	// suspicionPeriod is how long a peer that seems to have failed can't be a slot owner.
	suspicionPeriod = 2 * time.Second
	// minSilenceTimeout is the shortest silence timeout. While a request that this
	// instance passed to a peer is in flight, the peer becomes suspected if it sends no
	// answer, refusal or load report for the silence timeout.
	minSilenceTimeout = 400 * time.Millisecond
	// silenceLatencyFactor sets the silence timeout of slow services. The timeout is
	// silenceLatencyFactor times the mean duration of an attempt, but at least
	// minSilenceTimeout.
	silenceLatencyFactor = 3
)

// peerSet holds the other instances of the fleet.
type peerSet struct {
	byID map[string]*peer
	// orderedPeers holds the peers sorted by ID.
	orderedPeers []*peer
	// epoch is incremented to invalidate the cached slot owners. This happens when the
	// configuration or the list of peers changes, when a peer becomes suspected or is no
	// longer suspected, and when a peer refuses a request because it is stopping.
	epoch uint64
}

// peer is the state that this instance keeps about another instance.
type peer struct {
	Peer
	// lastContact is when a load report, answer or refusal last showed that the peer
	// is alive.
	lastContact time.Time
	// suspectUntil is when the suspicion ends, if suspected is true. A suspected peer
	// seems to have failed, and can't be a slot owner.
	suspectUntil time.Time
	suspected    bool
	// shuttingDown means that the peer refused a request because it is stopping.
	shuttingDown bool
	// passes lists this instance's attempts at the peer, oldest first. It also contains
	// ended attempts: an ended attempt is removed once it is the first in the list.
	passes []startedAttempt
	// loads holds the peer's last report of its loads at endpoints.
	loads []EndpointLoad
}

// cachedOwner caches the ID of a service's slot owner, the instance through which all
// requests for the service in this region go. The ID is valid while epoch equals the
// epoch of the peerSet.
type cachedOwner struct {
	id    string
	epoch uint64
}

func newPeerSet() *peerSet { return &peerSet{byID: map[string]*peer{}, epoch: 1} }

// peersChanged replaces the set of peers. It keeps the state of each peer that was known
// before and has not restarted since.
func (m *Model) peersChanged(msg PeersChanged) []Cmd {
	old := m.peers.byID
	m.peers.byID = make(map[string]*peer, len(msg.Peers))
	m.peers.orderedPeers = m.peers.orderedPeers[:0]
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
		m.peers.orderedPeers = append(m.peers.orderedPeers, p)
	}
	slices.SortFunc(m.peers.orderedPeers, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	m.peers.epoch++
	return nil
}

// peerLoadsReported replaces the last load report of a peer by a new one and applies it
// to the pools. The report also shows that the peer is alive.
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

// Loads returns the load report that this instance sends to its peers. For each endpoint,
// it states the number of this instance's requests in flight, and whether the endpoint
// told this instance that it is draining. It contains nothing that peers reported.
func (m *Model) Loads(now time.Time) []EndpointLoad {
	var loads []EndpointLoad
	for _, configured := range m.configuredServices() {
		m.services[configured.Name].pool.Visit(now, func(address string, load int, draining bool) {
			loads = append(loads, EndpointLoad{Service: configured.Name, Endpoint: address, Load: load, Draining: draining})
		})
	}
	return loads
}

// ownerOf returns the ID of the service's slot owner. Instances may disagree about the
// slot owner for a while. An endpoint may then get more requests than it has slots. It
// rejects the excess requests, and they are retried at other endpoints.
func (m *Model) ownerOf(s *service) string {
	if s.owner.epoch != m.peers.epoch {
		// assignOwners assigns only configured services. For any other service, each
		// instance acts as the slot owner of its own requests.
		s.owner = cachedOwner{id: m.self.id, epoch: m.peers.epoch}
		m.assignOwners()
	}
	return s.owner.id
}

// assignOwners assigns a slot owner to each configured service: the instance with the
// highest rendezvous hash among the candidates that own fewer than maxPerInstance
// services so far. maxPerInstance is the number of services divided by the number of
// candidates, rounded up. It keeps the traffic of all services from going through one
// instance.
func (m *Model) assignOwners() {
	candidates := m.ownerCandidates()
	services := m.configuredServices()
	maxPerInstance := (len(services) + len(candidates) - 1) / max(1, len(candidates))
	ownedCounts := make(map[string]int, len(candidates))
	for _, configured := range services {
		best, highest := m.self.id, uint64(0)
		key := configured.Name + "@" + m.self.region
		for _, id := range candidates {
			if score := picker.Score(id, key); ownedCounts[id] < maxPerInstance && score > highest {
				best, highest = id, score
			}
		}
		ownedCounts[best]++
		m.services[configured.Name].owner = cachedOwner{id: best, epoch: m.peers.epoch}
	}
}

// ownerCandidates returns the IDs of the instances of this region that may be slot
// owners. Instances that are stopping or suspected may not.
func (m *Model) ownerCandidates() []string {
	var ids []string
	if !m.stopping {
		ids = append(ids, m.self.id)
	}
	for _, p := range m.peers.orderedPeers {
		if p.Region == m.self.region && !p.Leaving && !p.shuttingDown && !p.suspected {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// suspect excludes a peer from the slot owners for suspicionPeriod.
func (m *Model) suspect(now time.Time, p *peer) {
	p.suspected = true
	p.suspectUntil = now.Add(suspicionPeriod)
	m.peers.epoch++
}

// checkPeers ends the suspicion of a peer after suspicionPeriod, and makes silent peers
// suspected. It returns commands that hedge the requests that were passed to these silent
// peers.
func (m *Model) checkPeers(now time.Time) []Cmd {
	var cmds []Cmd
	for _, p := range m.peers.orderedPeers {
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

// silent reports whether an attempt at a peer is in flight and the silence timeout is
// over. The timeout runs from the start of the oldest attempt in flight, or from the
// peer's lastContact if that is later. silent returns false for a peer that is already
// suspected. It also removes ended attempts from the start of the peer's passes.
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

// awaitsPeer reports whether the request with the given ID has no answer yet and is in
// flight at the peer.
func (m *Model) awaitsPeer(id uint64, peerID string) bool {
	r, ok := m.requests[id]
	return ok && !r.callerAnswered && r.attemptIndex(peerID) >= 0
}

// hedgePasses hedges the idempotent requests that were passed to a silent peer, and
// returns the commands for that. Named requests are never hedged.
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

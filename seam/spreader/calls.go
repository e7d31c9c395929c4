package spreader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/storer"
)

// next returns the calls that are due.
func (m *Model) next(now time.Time) []Cmd {
	if m.Watching() {
		return append(m.watchStore(now), m.askOthers(now)...)
	}
	cmds := m.followWatcher(now)
	if m.abandoned() {
		cmds = append(cmds, m.watchStore(now)...)
	}
	return cmds
}

// abandoned reports whether every watcher of the region has failed in turn, so
// that the store has to be read directly.
func (m *Model) abandoned() bool { return m.follow.failures >= len(m.nearWatchers()) }

// nearWatchers returns the other watchers of this region, ordered by id.
func (m *Model) nearWatchers() []Watcher {
	var near []Watcher
	for _, w := range m.watchers {
		if w.Region == m.region && w.ID != m.self {
			near = append(near, w)
		}
	}
	slices.SortFunc(near, func(a, b Watcher) int { return cmp.Compare(a.ID, b.ID) })
	return near
}

// choose returns the watcher whose turn it is: first each one of this region,
// starting at this instance's rank, then the others.
func (m *Model) choose(list []Watcher) Watcher {
	near := len(m.nearWatchers())
	turn := m.follow.next % len(list)
	if turn < near {
		return list[(m.follow.rank+turn)%near]
	}
	return list[turn]
}

// candidates returns the watchers to follow, those of this region first.
func (m *Model) candidates() []Watcher {
	list := m.nearWatchers()
	for _, w := range m.watchers {
		if w.Region != m.region {
			list = append(list, w)
		}
	}
	return list
}

// watchStore reads every kind that is not being read.
func (m *Model) watchStore(now time.Time) []Cmd {
	var cmds []Cmd
	for _, kind := range kinds {
		c := m.store[kind]
		if c.busy || now.Before(c.notUntil) {
			continue
		}
		c.busy = true
		call := ReadStore{Kind: kind, Position: m.positions[kind], Wait: configWait}
		if kind == storer.KindKey {
			call.Wait = keyWait
		}
		if !m.Watching() {
			call.Wait = 0
		}
		cmds = append(cmds, call)
	}
	return cmds
}

func (m *Model) storeAnswered(now time.Time, msg StoreAnswered) []Cmd {
	c := m.store[msg.Call.Kind]
	c.busy = false
	c.failures = 0
	c.notUntil = time.Time{}
	if !m.Watching() {
		c.notUntil = now.Add(fallbackEvery + m.jitter(fallbackEvery))
	}
	if msg.Call.Kind == storer.KindKey {
		m.evidence.storeAnswered(now, msg)
	}
	cmds := m.take(msg.Events.Objects)
	m.advance(msg.Call.Kind, msg.Events.Position)
	return cmds
}

func (m *Model) storeFailed(now time.Time, msg StoreFailed) {
	c := m.store[msg.Call.Kind]
	c.busy = false
	if msg.Compacted {
		m.positions[msg.Call.Kind] = -1
		c.notUntil = now.Add(m.jitter(retryAfter))
		return
	}
	c.failures++
	c.notUntil = now.Add(m.backOff(c.failures))
	if !m.Watching() {
		c.notUntil = now.Add(fallbackEvery + m.jitter(fallbackEvery))
	}
	if msg.Call.Kind == storer.KindKey {
		m.evidence.storeFailed()
	}
}

// followWatcher keeps one call open at a watcher.
func (m *Model) followWatcher(now time.Time) []Cmd {
	list := m.candidates()
	if len(list) == 0 || m.follow.busy || now.Before(m.follow.notUntil) {
		return nil
	}
	m.follow.busy = true
	peer := m.choose(list)
	return []Cmd{Follow{Peer: peer, Request: m.request(peer, relayWait)}}
}

func (m *Model) request(peer Watcher, wait time.Duration) Request {
	last := m.follow.peers[peer.ID]
	return Request{
		Positions: maps.Clone(m.positions), Incarnation: last.incarnation, Serial: last.serial, Wait: wait,
	}
}

func (m *Model) peerAnswered(now time.Time, msg PeerAnswered) []Cmd {
	cmds := m.take(msg.Answer.Objects)
	for kind, position := range msg.Answer.Positions {
		m.advance(kind, position)
	}
	m.follow.peers[msg.Call.Peer.ID] = answered{incarnation: msg.Answer.Incarnation, serial: msg.Answer.Serial}
	m.evidence.peerAnswered(now, msg)
	if msg.Call.Ask {
		return cmds
	}
	m.follow.busy = false
	if msg.Answer.EvidenceAge > staleAfter && !msg.Answer.More {
		m.tryAnother(now)
		return cmds
	}
	m.follow.failures = 0
	m.follow.notUntil = time.Time{}
	return cmds
}

func (m *Model) peerFailed(now time.Time, msg PeerFailed) {
	delete(m.follow.peers, msg.Call.Peer.ID)
	if msg.Call.Ask {
		return
	}
	m.follow.busy = false
	m.tryAnother(now)
}

// tryAnother goes on to the next watcher, slower after each round.
func (m *Model) tryAnother(now time.Time) {
	m.follow.failures++
	m.follow.next++
	rounds := m.follow.failures / max(1, len(m.candidates()))
	wait := m.jitter(retryAfter)
	if rounds > 0 {
		wait = m.backOff(rounds)
	}
	m.follow.notUntil = now.Add(wait)
}

// backOff returns a wait that doubles with each failure, half of it jitter.
func (m *Model) backOff(failures int) time.Duration {
	longest := min(retryAfter<<min(failures, 8), maxRetryAfter)
	return longest/2 + m.jitter(longest/2)
}

// jitter returns a random part of d.
func (m *Model) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// Answer returns what this instance holds beyond a peer's request, up to a
// size. An answer that is cut there leaves the peer's positions as they are.
func (m *Model) Answer(now time.Time, r Request, waited time.Duration) Answer {
	answer := Answer{
		Positions:        maps.Clone(m.positions),
		Incarnation:      m.incarnation,
		Serial:           m.serial,
		Waited:           waited,
		EvidenceAge:      m.evidence.age(now),
		StoreUnreachable: m.Watching() && m.evidence.storeDown,
	}
	size := 0
	for _, e := range m.beyond(r) {
		if size > answerBytes {
			answer.Positions = nil
			answer.EvidenceAge = unknownAge
			answer.More = true
			return answer
		}
		size += len(e.object.Value)
		answer.Objects = append(answer.Objects, e.object)
		answer.Serial = e.serial
	}
	answer.Serial = m.serial
	return answer
}

// HasUpdates reports whether an answer to the request would carry an object.
func (m *Model) HasUpdates(r Request) bool {
	if r.Incarnation == m.incarnation {
		return m.serial > r.Serial
	}
	return len(m.beyond(r)) > 0
}

// beyond returns the entries that the sender of a request lacks, in the order
// of taking: those since its last answer, or else those after its positions.
func (m *Model) beyond(r Request) []entry {
	var entries []entry
	for _, kind := range kinds {
		for _, e := range m.objects[kind] {
			if r.Incarnation == m.incarnation && e.serial > r.Serial ||
				r.Incarnation != m.incarnation && e.object.Version > r.position(kind) {
				entries = append(entries, e)
			}
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.serial, b.serial) })
	return entries
}

func (r Request) position(kind storer.Kind) int64 {
	if position, ok := r.Positions[kind]; ok {
		return position
	}
	return -1
}

package spreader

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/storer"
)

// dueCalls returns the commands for the store reads and peer calls to start now. A
// watcher watches the store and may probe other watchers. A follower calls the
// watcher that it follows, and reads the store itself only while
// nearWatchersFailed is true.
func (m *Model) dueCalls(now time.Time) []Cmd {
	if m.Watching() {
		return append(m.readStore(now), m.probeWatchers(now)...)
	}
	cmds := m.followWatcher(now)
	if m.nearWatchersFailed() {
		cmds = append(cmds, m.readStore(now)...)
	}
	return cmds
}

// nearWatchersFailed reports whether the calls to followed watchers have failed at
// least as many times in a row as this region has watchers. An answer with stale
// key evidence counts as a failed call. nearWatchersFailed is always true in a region
// without watchers.
func (m *Model) nearWatchersFailed() bool { return m.follow.failures >= len(m.nearWatchers()) }

// nearWatchers returns the other watchers of this region, sorted by id.
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

// chooseWatcher returns the watcher to follow from list, which candidates returned.
// It goes through the list in rounds. In each round, the watchers of this region come
// first, starting at this instance's rank, and the watchers of other regions follow.
func (m *Model) chooseWatcher(list []Watcher) Watcher {
	near := len(m.nearWatchers())
	turn := m.follow.watchersTried % len(list)
	if turn < near {
		return list[(m.follow.rank+turn)%near]
	}
	return list[turn]
}

// candidates returns the watchers that this instance may follow: first the watchers
// of this region, sorted by id, then the watchers of other regions in random order.
func (m *Model) candidates() []Watcher {
	list := m.nearWatchers()
	for _, w := range m.watchers {
		if w.Region != m.region {
			list = append(list, w)
		}
	}
	return list
}

// readStore returns a command to read each kind of which no read is in flight and no
// retry is pending. Only a watcher's reads wait at the store for changes.
func (m *Model) readStore(now time.Time) []Cmd {
	var cmds []Cmd
	for _, kind := range kinds {
		c := m.storeCalls[kind]
		if c.inFlight || now.Before(c.notBefore) {
			continue
		}
		c.inFlight = true
		call := ReadStore{Kind: kind, Position: m.positions[kind], Wait: otherPollTimeout}
		if kind == storer.KindKey {
			call.Wait = keyPollTimeout
		}
		if !m.Watching() {
			call.Wait = 0
		}
		cmds = append(cmds, call)
	}
	return cmds
}

// storeAnswered merges the objects read and advances the position of their kind. A
// watcher may then read the kind again at once, a follower only after
// fallbackInterval and a random time.
func (m *Model) storeAnswered(now time.Time, msg StoreAnswered) []Cmd {
	c := m.storeCalls[msg.Call.Kind]
	c.inFlight = false
	c.failures = 0
	c.notBefore = time.Time{}
	if !m.Watching() {
		c.notBefore = now.Add(fallbackInterval + m.jitter(fallbackInterval))
	}
	if msg.Call.Kind == storer.KindKey {
		m.keyEvidence.storeAnswered(now, msg)
	}
	cmds := m.merge(msg.Events.Objects)
	m.advancePosition(msg.Call.Kind, msg.Events.Position)
	return cmds
}

// storeFailed schedules the next read of the kind. If the store no longer has the
// changes after the position, the next read lists all objects of the kind.
func (m *Model) storeFailed(now time.Time, msg StoreFailed) {
	c := m.storeCalls[msg.Call.Kind]
	c.inFlight = false
	if msg.Compacted {
		m.positions[msg.Call.Kind] = -1
		c.notBefore = now.Add(m.jitter(retryBase))
		return
	}
	c.failures++
	c.notBefore = now.Add(m.backOff(c.failures))
	if !m.Watching() {
		c.notBefore = now.Add(fallbackInterval + m.jitter(fallbackInterval))
	}
	if msg.Call.Kind == storer.KindKey {
		m.keyEvidence.storeFailed()
	}
}

// followWatcher returns the command to call the watcher to follow, unless such a call
// is in flight, a retry is pending or there are no watchers.
func (m *Model) followWatcher(now time.Time) []Cmd {
	list := m.candidates()
	if len(list) == 0 || m.follow.inFlight || now.Before(m.follow.notBefore) {
		return nil
	}
	m.follow.inFlight = true
	peer := m.chooseWatcher(list)
	return []Cmd{Follow{Peer: peer, Request: m.followRequest(peer, relayPollTimeout)}}
}

// followRequest returns a request for the objects that the peer has merged since its
// last answer to this instance. The peer may hold the request open for wait.
func (m *Model) followRequest(peer Watcher, wait time.Duration) Request {
	cursor := m.follow.cursors[peer.ID]
	return Request{
		Positions: maps.Clone(m.positions), Incarnation: cursor.incarnation, Serial: cursor.serial, Wait: wait,
	}
}

// peerAnswered merges the objects, positions and key evidence in a peer's answer. If
// the followed watcher's evidence is stale, the call counts as failed. A truncated
// answer carries no evidence and never counts as failed. The answer to a probe
// doesn't change which watcher is followed.
func (m *Model) peerAnswered(now time.Time, msg PeerAnswered) []Cmd {
	cmds := m.merge(msg.Answer.Objects)
	for kind, position := range msg.Answer.Positions {
		m.advancePosition(kind, position)
	}
	m.follow.cursors[msg.Call.Peer.ID] = peerCursor{incarnation: msg.Answer.Incarnation, serial: msg.Answer.Serial}
	m.keyEvidence.peerAnswered(now, msg)
	if msg.Call.Probe {
		return cmds
	}
	m.follow.inFlight = false
	if msg.Answer.EvidenceAge > staleEvidenceAge && !msg.Answer.More {
		m.tryNextWatcher(now)
		return cmds
	}
	m.follow.failures = 0
	m.follow.notBefore = time.Time{}
	return cmds
}

// peerFailed removes the cursor of a peer that didn't answer, so that the peer's next
// answer starts from the positions in the request. If the call wasn't a probe, the
// model switches to the next watcher.
func (m *Model) peerFailed(now time.Time, msg PeerFailed) {
	delete(m.follow.cursors, msg.Call.Peer.ID)
	if msg.Call.Probe {
		return
	}
	m.follow.inFlight = false
	m.tryNextWatcher(now)
}

// tryNextWatcher switches to the next watcher. It waits for up to retryBase before
// the call to that watcher. Once as many calls in a row have failed as there are
// candidates, the wait is an exponential back-off instead, which grows with each
// further round.
func (m *Model) tryNextWatcher(now time.Time) {
	m.follow.failures++
	m.follow.watchersTried++
	rounds := m.follow.failures / max(1, len(m.candidates()))
	wait := m.jitter(retryBase)
	if rounds > 0 {
		wait = m.backOff(rounds)
	}
	m.follow.notBefore = now.Add(wait)
}

// backOff returns a random wait between half of a limit and the limit. The limit
// doubles with each failure, up to maxBackOff.
func (m *Model) backOff(failures int) time.Duration {
	limit := min(retryBase<<min(failures, 8), maxBackOff)
	return limit/2 + m.jitter(limit/2)
}

// jitter returns a random duration from 0 up to, but not including, d.
func (m *Model) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}

// Answer returns the answer to request r, which was held open for waited. The answer
// carries the objects held here that the sender lacks. If their values are larger
// than answerByteLimit, the answer is truncated. A truncated answer has no positions
// and no key evidence, because the sender still lacks objects. The sender's next
// request repeats the answer's serial and gets the objects after it.
func (m *Model) Answer(now time.Time, r Request, waited time.Duration) Answer {
	answer := Answer{
		Positions:        maps.Clone(m.positions),
		Incarnation:      m.incarnation,
		Serial:           m.serial,
		Waited:           waited,
		EvidenceAge:      m.keyEvidence.age(now),
		StoreUnreachable: m.Watching() && m.keyEvidence.storeDown,
	}
	size := 0
	for _, e := range m.updatesFor(r) {
		if size > answerByteLimit {
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

// HasUpdates reports whether the answer to a request would contain any objects.
func (m *Model) HasUpdates(r Request) bool {
	if r.Incarnation == m.incarnation {
		return m.serial > r.Serial
	}
	return len(m.updatesFor(r)) > 0
}

// updatesFor returns the entries that the sender of a request lacks, in the order in
// which they were merged here. If the request has the incarnation of this instance,
// these are the entries after the request's serial. Otherwise they are the entries
// with versions after the request's positions.
func (m *Model) updatesFor(r Request) []entry {
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

// position returns the position for a kind, or -1 if the request has none.
func (r Request) position(kind storer.Kind) int64 {
	if position, ok := r.Positions[kind]; ok {
		return position
	}
	return -1
}

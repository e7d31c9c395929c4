package gossiper

import (
	"math/bits"
	"time"
)

// mergeHeartbeat merges the updates, loads and sums of a received heartbeat or answer.
func (m *Model) mergeHeartbeat(now time.Time, h Heartbeat) []Cmd {
	m.lastReceived = now
	cmds := m.mergeSender(now, h.Sender)
	if p, ok := m.members[h.Sender.ID]; ok && p.Incarnation == h.Sender.Incarnation {
		p.receivedAt = now
		p.load = h.Load
		p.loadAt = now
		if h.WantAddresses {
			p.hasAddresses = false
		}
	}
	for _, update := range h.Updates {
		cmds = append(cmds, m.mergeUpdate(now, update)...)
	}
	m.mergeLoads(now, h.Loads)
	m.mergeSums(now, h.Regions)
	m.mergeAges(now, h.RegionAges)
	return cmds
}

// mergeSender merges the member state that the sender of a heartbeat gives of itself. If
// the sender has this instance's id and started later, the sender has replaced this
// instance, and mergeSender returns a Superseded.
func (m *Model) mergeSender(now time.Time, update Member) []Cmd {
	if update.ID == m.self.ID && update.Incarnation > m.self.Incarnation && update.Usable() {
		return []Cmd{Superseded{By: update}}
	}
	return m.mergeUpdate(now, update)
}

// mergeUpdate merges one update. An update that is newer than the state held replaces that
// state and is queued for other peers. An older update means that some instances have an
// outdated state, so the state held is sent at least once more.
func (m *Model) mergeUpdate(now time.Time, update Member) []Cmd {
	if update.ID == m.self.ID {
		return m.mergeUpdateAboutSelf(now, update)
	}
	p, known := m.members[update.ID]
	if !known {
		m.addMember(now, update)
		return nil
	}
	if order := compareUpdates(update, p.Member); order <= 0 {
		if order < 0 {
			p.sendsLeft = max(p.sendsLeft, 1)
		}
		return nil
	}
	previous := p.Member
	p.Member = fillAddresses(update, previous)
	if update.Incarnation > previous.Incarnation {
		p.hasAddresses = false
		p.load = Load{}
		p.loadAt = time.Time{}
	}
	m.queueUpdate(now, p, previous.Status)
	return nil
}

// addMember adds an instance that isn't known yet. It ignores updates about leaving and
// dead instances. It also ignores updates without a peer address, because such an instance
// can't be called.
func (m *Model) addMember(now time.Time, update Member) {
	if !update.Usable() || update.PeerAddress == "" {
		return
	}
	p := &member{Member: update}
	m.members[update.ID] = p
	m.invalidateCache()
	if _, known := m.sums[update.Region]; !known && update.Region != m.self.Region {
		m.sums[update.Region] = regionState{RegionSum: RegionSum{Region: update.Region}, asOf: now, aliveAt: now}
	}
	m.queueUpdate(now, p, Dead)
}

// fillAddresses returns the update with the region, failure domain and addresses of the
// previous state if the update omits them.
func fillAddresses(update, previous Member) Member {
	if update.PeerAddress != "" {
		return update
	}
	update.Region, update.FailureDomain = previous.Region, previous.FailureDomain
	update.CallerAddress, update.LookupAddress, update.PeerAddress = previous.CallerAddress, previous.LookupAddress, previous.PeerAddress
	return update
}

// queueUpdate queues the update about a changed member for the next heartbeats. If the
// member's status differs from previous, some peers also get a heartbeat immediately.
func (m *Model) queueUpdate(now time.Time, p *member, previous Status) {
	m.viewChanged = true
	m.invalidateCache()
	p.sendsLeft = m.sendsPerUpdate()
	if p.Status == Suspect {
		p.suspectedAt = now
	}
	if p.Usable() {
		p.endedAt = time.Time{}
	} else if p.endedAt.IsZero() {
		p.endedAt = now
	}
	m.pushPending = m.pushPending || p.Status != previous
}

// sendsPerUpdate returns how many heartbeats and answers of this instance carry an update.
// The number grows with the logarithm of the number of members, as does the time in which
// gossip reaches all members.
func (m *Model) sendsPerUpdate() int { return 2 * bits.Len(uint(len(m.members)+1)) }

// mergeUpdateAboutSelf processes an update about this instance. It refutes a wrong status
// by a greater revision. If the update describes a later start at another address, this
// instance calls that address. An answer from the later start makes this instance stop
// (see mergeSender); if the call fails, this instance raises its incarnation. For any other
// update with a greater incarnation, this instance raises its incarnation at once.
func (m *Model) mergeUpdateAboutSelf(now time.Time, update Member) []Cmd {
	if update.Incarnation > m.self.Incarnation {
		if update.Usable() && update.PeerAddress != "" && update.PeerAddress != m.self.PeerAddress {
			return m.startCall(now, call{id: update.ID, address: update.PeerAddress, laterIncarnation: update.Incarnation}, Heartbeat{}, callTimeout)
		}
		m.raiseIncarnation(update.Incarnation)
		return nil
	}
	outdated := update.Incarnation < m.self.Incarnation || update.Revision < m.self.Revision
	if outdated || update.Status <= m.self.Status || m.self.Status == Leaving {
		return nil
	}
	m.self.Revision = update.Revision + 1
	m.stats.Refutations++
	m.viewChanged = true
	m.invalidateCache()
	m.pushPending = true
	return nil
}

// raiseIncarnation makes this instance's incarnation greater than seenIncarnation, which an
// update gave for this instance's id. That incarnation belongs to an earlier process, whose
// clock was ahead.
func (m *Model) raiseIncarnation(seenIncarnation uint64) {
	if seenIncarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = seenIncarnation + 1
	m.self.Revision = 0
	m.viewChanged = true
	m.invalidateCache()
	m.pushPending = true
}

// platformListed stores the platform's list of instances. This instance calls those that
// aren't members yet.
func (m *Model) platformListed(msg PlatformListed) {
	m.platformMembers = msg.Members
}

// expireMembers declares a suspect dead if it has sent nothing and hasn't refuted the
// suspicion for suspicionTimeout. It removes members that have been dead or leaving for
// tombstoneTTL.
func (m *Model) expireMembers(now time.Time) {
	for _, id := range m.ids() {
		p := m.members[id]
		switch {
		case p.Status == Suspect && p.receivedAt.After(p.suspectedAt):
			p.suspectedAt = p.receivedAt
		case p.Status == Suspect && now.Sub(p.suspectedAt) >= suspicionTimeout:
			p.Status = Dead
			m.stats.Deaths++
			m.queueUpdate(now, p, Suspect)
		case !p.Usable() && now.Sub(p.endedAt) >= tombstoneTTL:
			delete(m.members, id)
			m.invalidateCache()
			m.viewChanged = true
		}
	}
}

// resumeAfterPause handles a pause of this instance's own process. Answers were missed
// because of the pause, so pending calls are dropped without suspecting the callees, and
// each suspect gets the whole suspicionTimeout again.
func (m *Model) resumeAfterPause(now time.Time) {
	m.stats.Pauses++
	clear(m.calls)
	for _, p := range m.members {
		if p.Status == Suspect {
			p.suspectedAt = now
		}
	}
	m.viewChanged = true
}

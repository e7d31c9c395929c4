package gossiper

import (
	"math/bits"
	"time"
)

// hear takes the words and loads of a heartbeat that just came from a peer.
func (m *Model) hear(now time.Time, h Heartbeat) []Cmd {
	m.lastHeard = now
	cmds := m.takeSender(now, h.Sender)
	if p, ok := m.members[h.Sender.ID]; ok && p.Incarnation == h.Sender.Incarnation {
		p.heard = now
		p.load = h.Load
		p.loadAt = now
		if h.Introduce {
			p.introduced = false
		}
	}
	for _, w := range h.Words {
		cmds = append(cmds, m.takeWord(now, w)...)
	}
	m.takeLoads(now, h.Loads)
	m.takeSums(now, h.Regions)
	m.takeAges(now, h.Heard)
	return cmds
}

// takeSender merges the word of a peer about itself. One that bears this
// instance's name and started later has taken its place.
func (m *Model) takeSender(now time.Time, w Member) []Cmd {
	if w.ID == m.self.ID && w.Incarnation > m.self.Incarnation && w.Usable() {
		return []Cmd{Superseded{By: w}}
	}
	return m.takeWord(now, w)
}

// takeWord merges one word and spreads it if it is news.
func (m *Model) takeWord(now time.Time, w Member) []Cmd {
	if w.ID == m.self.ID {
		return m.takeWordAboutSelf(now, w)
	}
	p, known := m.members[w.ID]
	if !known {
		m.addMember(now, w)
		return nil
	}
	if order := compare(w, p.Member); order <= 0 {
		if order < 0 {
			p.sends = max(p.sends, 1)
		}
		return nil
	}
	before := p.Member
	p.Member = keepAddresses(w, before)
	if w.Incarnation > before.Incarnation {
		p.introduced = false
		p.load = Load{}
		p.loadAt = time.Time{}
	}
	m.spread(now, p, before.Status)
	return nil
}

// addMember takes the first word about an instance. Words about the dead bring
// nothing new, and a word without addresses is of no use.
func (m *Model) addMember(now time.Time, w Member) {
	if !w.Usable() || w.PeerAddress == "" {
		return
	}
	p := &member{Member: w}
	m.members[w.ID] = p
	m.forget()
	if _, heard := m.sums[w.Region]; !heard && w.Region != m.self.Region {
		m.sums[w.Region] = sum{RegionSum: RegionSum{Region: w.Region}, at: now, alive: now}
	}
	m.spread(now, p, Dead)
}

// keepAddresses fills in what a word without addresses leaves out.
func keepAddresses(w, before Member) Member {
	if w.PeerAddress != "" {
		return w
	}
	w.Region, w.FailureDomain = before.Region, before.FailureDomain
	w.CallerAddress, w.LookupAddress, w.PeerAddress = before.CallerAddress, before.LookupAddress, before.PeerAddress
	return w
}

// spread prepares a changed word for passing on. News that others should not
// wait for goes out at once.
func (m *Model) spread(now time.Time, p *member, before Status) {
	m.changed = true
	m.forget()
	p.sends = m.sendsPerWord()
	if p.Status == Suspect {
		p.suspected = now
	}
	if p.Usable() {
		p.ended = time.Time{}
	} else if p.ended.IsZero() {
		p.ended = now
	}
	m.urgent = m.urgent || p.Status != before
}

// sendsPerWord grows with the logarithm of the number of members.
func (m *Model) sendsPerWord() int { return 2 * bits.Len(uint(len(m.members)+1)) }

// takeWordAboutSelf refutes what others wrongly hold about this instance. A
// word about a later start is checked with whoever is said to have started.
func (m *Model) takeWordAboutSelf(now time.Time, w Member) []Cmd {
	if w.Incarnation > m.self.Incarnation {
		if w.Usable() && w.PeerAddress != "" && w.PeerAddress != m.self.PeerAddress {
			return m.startCall(now, call{id: w.ID, address: w.PeerAddress, later: w.Incarnation}, Heartbeat{}, callTimeout)
		}
		m.raiseIncarnation(w.Incarnation)
		return nil
	}
	outdated := w.Incarnation < m.self.Incarnation || w.Revision < m.self.Revision
	if outdated || w.Status <= m.self.Status || m.self.Status == Leaving {
		return nil
	}
	m.self.Revision = w.Revision + 1
	m.stats.Refutations++
	m.changed = true
	m.forget()
	m.urgent = true
	return nil
}

// raiseIncarnation overrules words about an earlier process whose clock ran
// ahead of this one's.
func (m *Model) raiseIncarnation(heard uint64) {
	if heard < m.self.Incarnation {
		return
	}
	m.self.Incarnation = heard + 1
	m.self.Revision = 0
	m.changed = true
	m.forget()
	m.urgent = true
}

// platformListed keeps the platform's list for calls to unknown instances.
func (m *Model) platformListed(msg PlatformListed) {
	m.listed = msg.Members
}

// expire declares silent suspects dead and forgets those long gone.
func (m *Model) expire(now time.Time) {
	for _, id := range m.ids() {
		p := m.members[id]
		switch {
		case p.Status == Suspect && p.heard.After(p.suspected):
			p.suspected = p.heard
		case p.Status == Suspect && now.Sub(p.suspected) >= suspicionTime:
			p.Status = Dead
			m.stats.Deaths++
			m.spread(now, p, Suspect)
		case !p.Usable() && now.Sub(p.ended) >= tombstoneTime:
			delete(m.members, id)
			m.forget()
			m.changed = true
		}
	}
}

// woke forgives everybody what was missed during a pause of this instance.
func (m *Model) woke(now time.Time) {
	m.stats.Pauses++
	clear(m.calls)
	for _, p := range m.members {
		if p.Status == Suspect {
			p.suspected = now
		}
	}
	m.changed = true
}

package gossiper

import "time"

// leavePeers bounds how many peers of the region a leaving instance calls.
const leavePeers = 12

// callPeer sends a heartbeat to a member if the budget of calls allows it.
func (m *Model) callPeer(now time.Time, p *member) []Cmd {
	if !m.callBudget.take(1) {
		return nil
	}
	return m.startCall(now, call{id: p.ID, address: p.PeerAddress}, m.compose(now, p), callTimeout)
}

// startCall sends a heartbeat to an address.
func (m *Model) startCall(now time.Time, c call, h Heartbeat, timeout time.Duration) []Cmd {
	if h.Sender.ID == "" {
		h.Sender = m.self
		h.Load = m.load
	}
	m.nextID++
	c.started = now
	m.calls[m.nextID] = c
	m.stats.Calls++
	m.budget.charge(float64(h.Size()))
	return []Cmd{Call{ID: m.nextID, Address: c.address, Timeout: timeout, Heartbeat: h}}
}

// heartbeatArrived answers a peer's heartbeat, at once unless the peer asks to
// reach a third one.
func (m *Model) heartbeatArrived(now time.Time, msg HeartbeatArrived) []Cmd {
	m.budget.charge(float64(msg.Heartbeat.Size()))
	cmds := m.hear(now, msg.Heartbeat)
	if msg.Heartbeat.Reach == "" {
		return append(cmds, m.answer(now, msg.Token, msg.Heartbeat, false))
	}
	p, ok := m.members[msg.Heartbeat.Reach]
	if !ok {
		return append(cmds, m.answer(now, msg.Token, msg.Heartbeat, false))
	}
	c := call{id: p.ID, address: p.PeerAddress, token: msg.Token}
	return append(cmds, m.startCall(now, c, m.compose(now, p), callTimeout)...)
}

// answer composes the answer to a heartbeat.
func (m *Model) answer(now time.Time, token uint64, to Heartbeat, reached bool) Cmd {
	p, known := m.members[to.Sender.ID]
	h := Heartbeat{Sender: m.self, Load: m.load}
	if known {
		h = m.compose(now, p)
	}
	h.Introduce = !known
	h.Reached = reached
	if to.Join {
		h.Words = m.allWords("")
	}
	h.Words = append(h.Words, m.correct(to.Sender)...)
	h.Words = append(h.Words, m.wordsFor(now, to.Digests)...)
	m.budget.charge(float64(h.Size()))
	return Answer{Token: token, Heartbeat: h}
}

// correct returns the word that overrules what a peer says about itself.
func (m *Model) correct(sender Member) []Member {
	p, ok := m.members[sender.ID]
	if !ok || compare(sender, p.Member) >= 0 {
		return nil
	}
	return []Member{p.Member}
}

// answerArrived ends a call.
func (m *Model) answerArrived(now time.Time, msg AnswerArrived) []Cmd {
	m.budget.charge(float64(msg.Heartbeat.Size()))
	c, ok := m.calls[msg.ID]
	if !ok {
		return nil
	}
	delete(m.calls, msg.ID)
	cmds := m.hear(now, msg.Heartbeat)
	if p, ok := m.members[c.id]; ok && p.ID == msg.Heartbeat.Sender.ID {
		p.introduced = !msg.Heartbeat.Introduce
	}
	if c.token != 0 {
		return append(cmds, m.answerReach(c, true))
	}
	if c.reach != nil {
		return append(cmds, m.reachEnded(now, c.reach, msg.Heartbeat.Reached)...)
	}
	return cmds
}

// answerReach tells whoever asked whether a third instance answered.
func (m *Model) answerReach(c call, reached bool) Cmd {
	return Answer{Token: c.token, Heartbeat: Heartbeat{Sender: m.self, Load: m.load, Reached: reached}}
}

// callFailed tries a silent peer of the region through others.
func (m *Model) callFailed(now time.Time, msg CallFailed) []Cmd {
	c, ok := m.calls[msg.ID]
	if !ok {
		return nil
	}
	delete(m.calls, msg.ID)
	m.stats.Failures++
	if c.later != 0 {
		m.raiseIncarnation(c.later)
		return nil
	}
	if c.token != 0 {
		return []Cmd{m.answerReach(c, false)}
	}
	if c.reach != nil {
		return m.reachEnded(now, c.reach, false)
	}
	p, ok := m.members[c.id]
	if !ok || p.Status != Alive || p.Region != m.self.Region || p.heard.After(c.started) {
		return nil
	}
	return m.reachThroughOthers(now, p, c.started)
}

// reachThroughOthers asks a few peers to call a silent one.
func (m *Model) reachThroughOthers(now time.Time, p *member, since time.Time) []Cmd {
	r := &reach{id: p.ID, started: since}
	var cmds []Cmd
	for _, id := range m.helpers(p.ID) {
		helper := m.members[id]
		h := m.compose(now, helper)
		h.Reach = p.ID
		r.pending++
		cmds = append(cmds, m.startCall(now, call{id: id, address: helper.PeerAddress, reach: r}, h, indirectTimeout)...)
	}
	if r.pending == 0 {
		r.pending = 1
		return m.reachEnded(now, r, false)
	}
	return cmds
}

// helpers picks peers of the region, or of others if there are none.
func (m *Model) helpers(silent string) []string {
	var near, far []string
	for _, id := range m.ids() {
		p := m.members[id]
		switch {
		case id == silent || p.Status != Alive:
		case p.Region == m.self.Region:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	m.shuffle(near)
	m.shuffle(far)
	near = append(near, far...)
	return near[:min(indirectPeers, len(near))]
}

// reachEnded suspects a peer once nobody could reach it.
func (m *Model) reachEnded(now time.Time, r *reach, reached bool) []Cmd {
	r.pending--
	p, ok := m.members[r.id]
	if !ok {
		return nil
	}
	if reached {
		p.heard = now
	}
	if r.pending > 0 || p.Status != Alive || p.heard.After(r.started) {
		return nil
	}
	p.Status = Suspect
	m.stats.Suspicions++
	m.spread(now, p, Alive)
	return m.callPeer(now, p)
}

package gossiper

import "time"

// maxLeaveCalls limits how many peers of its own region a leaving instance notifies.
const maxLeaveCalls = 12

// callPeer returns the command that sends a heartbeat to a member, or nil if the call
// budget is used up.
func (m *Model) callPeer(now time.Time, p *member) []Cmd {
	if !m.callBudget.spend(1) {
		return nil
	}
	return m.startCall(now, call{id: p.ID, address: p.PeerAddress}, m.compose(now, p), callTimeout)
}

// startCall returns the command that sends heartbeat h to the address of c, and keeps c
// until the answer arrives or the call fails. If h has no sender, startCall sets this
// instance and its load in h.
func (m *Model) startCall(now time.Time, c call, h Heartbeat, timeout time.Duration) []Cmd {
	if h.Sender.ID == "" {
		h.Sender = m.self
		h.Load = m.load
	}
	m.lastCallID++
	c.started = now
	m.calls[m.lastCallID] = c
	m.stats.Calls++
	m.budget.charge(float64(h.Size()))
	return []Cmd{Call{ID: m.lastCallID, Address: c.address, Timeout: timeout, Heartbeat: h}}
}

// heartbeatArrived merges and answers a peer's heartbeat. If the peer requests an indirect
// probe of a known member, that member is called first and the answer waits for the
// outcome.
func (m *Model) heartbeatArrived(now time.Time, msg HeartbeatArrived) []Cmd {
	m.budget.charge(float64(msg.Heartbeat.Size()))
	cmds := m.mergeHeartbeat(now, msg.Heartbeat)
	if msg.Heartbeat.ProbeTarget == "" {
		return append(cmds, m.composeAnswer(now, msg.Token, msg.Heartbeat, false))
	}
	p, ok := m.members[msg.Heartbeat.ProbeTarget]
	if !ok {
		return append(cmds, m.composeAnswer(now, msg.Token, msg.Heartbeat, false))
	}
	c := call{id: p.ID, address: p.PeerAddress, token: msg.Token}
	return append(cmds, m.startCall(now, c, m.compose(now, p), callTimeout)...)
}

// composeAnswer returns the answer to a heartbeat. The answer includes this instance's
// state of the sender if that is newer than the state in the heartbeat. If the sender
// joins, the answer includes all known members. If the digests of a region have differed
// for syncDelay, the answer includes all members of that region.
func (m *Model) composeAnswer(now time.Time, token uint64, request Heartbeat, probeAnswered bool) Cmd {
	p, senderKnown := m.members[request.Sender.ID]
	h := Heartbeat{Sender: m.self, Load: m.load}
	if senderKnown {
		h = m.compose(now, p)
	}
	h.WantAddresses = !senderKnown
	h.ProbeAnswered = probeAnswered
	if request.Join {
		h.Updates = m.knownMembers("")
	}
	h.Updates = append(h.Updates, m.correction(request.Sender)...)
	h.Updates = append(h.Updates, m.updatesForDigests(now, request.Digests)...)
	m.budget.charge(float64(h.Size()))
	return Answer{Token: token, Heartbeat: h}
}

// correction returns this instance's state of the sender of a heartbeat if that state is
// newer than the one in the heartbeat, and nil otherwise.
func (m *Model) correction(sender Member) []Member {
	p, ok := m.members[sender.ID]
	if !ok || compareUpdates(sender, p.Member) >= 0 {
		return nil
	}
	return []Member{p.Member}
}

// answerArrived processes the answer to a call. If this instance made the call because a
// peer requested an indirect probe, it answers that peer's request. If the call itself
// requested an indirect probe, it evaluates the reported result.
func (m *Model) answerArrived(now time.Time, msg AnswerArrived) []Cmd {
	m.budget.charge(float64(msg.Heartbeat.Size()))
	c, ok := m.calls[msg.ID]
	if !ok {
		return nil
	}
	delete(m.calls, msg.ID)
	cmds := m.mergeHeartbeat(now, msg.Heartbeat)
	if p, ok := m.members[c.id]; ok && p.ID == msg.Heartbeat.Sender.ID {
		p.hasAddresses = !msg.Heartbeat.WantAddresses
	}
	if c.token != 0 {
		return append(cmds, m.answerProbeRequest(c, true))
	}
	if c.indirectProbe != nil {
		return append(cmds, m.indirectProbeEnded(now, c.indirectProbe, msg.Heartbeat.ProbeAnswered)...)
	}
	return cmds
}

// answerProbeRequest returns the answer to the peer that requested an indirect probe. The
// answer reports whether the target of the probe answered.
func (m *Model) answerProbeRequest(c call, probeAnswered bool) Cmd {
	return Answer{Token: c.token, Heartbeat: Heartbeat{Sender: m.self, Load: m.load, ProbeAnswered: probeAnswered}}
}

// callFailed processes a call that got no answer. If the call checked for a later start of
// this instance, this instance raises its incarnation. If the call belongs to an indirect
// probe, the probe through this call has failed. After any other call, the callee is
// probed indirectly if it is alive, in the local region, and has sent nothing since the
// start of the call.
func (m *Model) callFailed(now time.Time, msg CallFailed) []Cmd {
	c, ok := m.calls[msg.ID]
	if !ok {
		return nil
	}
	delete(m.calls, msg.ID)
	m.stats.Failures++
	if c.laterIncarnation != 0 {
		m.raiseIncarnation(c.laterIncarnation)
		return nil
	}
	if c.token != 0 {
		return []Cmd{m.answerProbeRequest(c, false)}
	}
	if c.indirectProbe != nil {
		return m.indirectProbeEnded(now, c.indirectProbe, false)
	}
	p, ok := m.members[c.id]
	if !ok || p.Status != Alive || p.Region != m.self.Region || p.receivedAt.After(c.started) {
		return nil
	}
	return m.probeIndirectly(now, p, c.started)
}

// probeIndirectly requests up to indirectPeers other members to call a peer that didn't
// answer the heartbeat sent at calledAt. If there is no other live member, the probe
// fails at once.
func (m *Model) probeIndirectly(now time.Time, p *member, calledAt time.Time) []Cmd {
	probe := &indirectProbe{targetID: p.ID, callStarted: calledAt}
	var cmds []Cmd
	for _, id := range m.probeHelpers(p.ID) {
		helper := m.members[id]
		h := m.compose(now, helper)
		h.ProbeTarget = p.ID
		probe.pendingCalls++
		cmds = append(cmds, m.startCall(now, call{id: id, address: helper.PeerAddress, indirectProbe: probe}, h, indirectTimeout)...)
	}
	if probe.pendingCalls == 0 {
		probe.pendingCalls = 1
		return m.indirectProbeEnded(now, probe, false)
	}
	return cmds
}

// probeHelpers returns the ids of up to indirectPeers random live members that are to call
// the target of an indirect probe. It uses members of other regions only if the local
// region has too few.
func (m *Model) probeHelpers(target string) []string {
	var sameRegion, otherRegions []string
	for _, id := range m.ids() {
		p := m.members[id]
		switch {
		case id == target || p.Status != Alive:
		case p.Region == m.self.Region:
			sameRegion = append(sameRegion, id)
		default:
			otherRegions = append(otherRegions, id)
		}
	}
	m.shuffle(sameRegion)
	m.shuffle(otherRegions)
	sameRegion = append(sameRegion, otherRegions...)
	return sameRegion[:min(indirectPeers, len(sameRegion))]
}

// indirectProbeEnded processes the end of one call that requested an indirect probe. When
// all of these calls have ended without an answer from the target, and this instance has
// received nothing from the target since it sent the heartbeat that got no answer, the
// target becomes a suspect. The target is then called again if the call budget allows it,
// because the target can refute only a suspicion that it has received.
func (m *Model) indirectProbeEnded(now time.Time, probe *indirectProbe, targetAnswered bool) []Cmd {
	probe.pendingCalls--
	p, ok := m.members[probe.targetID]
	if !ok {
		return nil
	}
	if targetAnswered {
		p.receivedAt = now
	}
	if probe.pendingCalls > 0 || p.Status != Alive || p.receivedAt.After(probe.callStarted) {
		return nil
	}
	p.Status = Suspect
	m.stats.Suspicions++
	m.queueUpdate(now, p, Alive)
	return m.callPeer(now, p)
}

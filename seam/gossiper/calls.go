package gossiper

import "time"

// maxLeaveCalls limits how many peers of its own region a leaving instance notifies.
const maxLeaveCalls = 12

// callPeer sends a heartbeat to a member if the call budget allows it.
func (m *Model) callPeer(now time.Time, p *member) []Cmd {
	if !m.callBudget.spend(1) {
		return nil
	}
	return m.startCall(now, call{id: p.ID, address: p.PeerAddress}, m.compose(now, p), callTimeout)
}

// startCall sends a heartbeat to an address and records the call until it is answered or
// fails. A heartbeat without a sender gets this instance and its load.
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

// composeAnswer builds the answer to a heartbeat. It corrects what the sender holds about
// itself, and sends whole regions to a sender that joins or whose digests have differed
// for some time.
func (m *Model) composeAnswer(now time.Time, token uint64, request Heartbeat, probeAnswered bool) Cmd {
	p, known := m.members[request.Sender.ID]
	h := Heartbeat{Sender: m.self, Load: m.load}
	if known {
		h = m.compose(now, p)
	}
	h.WantAddresses = !known
	h.ProbeAnswered = probeAnswered
	if request.Join {
		h.Updates = m.knownMembers("")
	}
	h.Updates = append(h.Updates, m.correction(request.Sender)...)
	h.Updates = append(h.Updates, m.updatesForDigests(now, request.Digests)...)
	m.budget.charge(float64(h.Size()))
	return Answer{Token: token, Heartbeat: h}
}

// correction returns this instance's newer state of a peer, if the state in the peer's
// heartbeat is older.
func (m *Model) correction(sender Member) []Member {
	p, ok := m.members[sender.ID]
	if !ok || compareUpdates(sender, p.Member) >= 0 {
		return nil
	}
	return []Member{p.Member}
}

// answerArrived ends a call with an answer. If the call was an indirect probe, the outcome
// goes to the peer that requested it; if it requested one, the outcome is evaluated.
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

// answerProbeRequest reports to the peer that requested an indirect probe whether its
// target answered.
func (m *Model) answerProbeRequest(c call, probeAnswered bool) Cmd {
	return Answer{Token: c.token, Heartbeat: Heartbeat{Sender: m.self, Load: m.load, ProbeAnswered: probeAnswered}}
}

// callFailed ends a call without an answer. A live peer of the local region from which
// nothing was received since the call is then probed indirectly.
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

// probeIndirectly requests a few other members to call a peer that didn't answer. Without
// any other member the probe counts as failed.
func (m *Model) probeIndirectly(now time.Time, p *member, since time.Time) []Cmd {
	probe := &indirectProbe{id: p.ID, started: since}
	var cmds []Cmd
	for _, id := range m.probeHelpers(p.ID) {
		helper := m.members[id]
		h := m.compose(now, helper)
		h.ProbeTarget = p.ID
		probe.pending++
		cmds = append(cmds, m.startCall(now, call{id: id, address: helper.PeerAddress, indirectProbe: probe}, h, indirectTimeout)...)
	}
	if probe.pending == 0 {
		probe.pending = 1
		return m.indirectProbeEnded(now, probe, false)
	}
	return cmds
}

// probeHelpers picks random live members for an indirect probe: from the local region
// first, from other regions if those are too few.
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

// indirectProbeEnded evaluates one member's outcome of an indirect probe. Once all have
// failed and nothing was received from the target since, it is suspected, and called
// again so that it receives the suspicion and can refute it.
func (m *Model) indirectProbeEnded(now time.Time, probe *indirectProbe, answered bool) []Cmd {
	probe.pending--
	p, ok := m.members[probe.id]
	if !ok {
		return nil
	}
	if answered {
		p.receivedAt = now
	}
	if probe.pending > 0 || p.Status != Alive || p.receivedAt.After(probe.started) {
		return nil
	}
	p.Status = Suspect
	m.stats.Suspicions++
	m.queueUpdate(now, p, Alive)
	return m.callPeer(now, p)
}

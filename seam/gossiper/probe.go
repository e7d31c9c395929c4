package gossiper

import (
	"cmp"
	"slices"
	"time"
)

// pushPeers is how many peers of the local region a change is pushed to immediately.
const pushPeers = 3

// remotePushOdds sets the chance that a push also goes to an instance of another region.
// The chance is 1 in remotePushOdds for each of the other regions.
const remotePushOdds = 3

func compareStrings(a, b string) int { return cmp.Compare(a, b) }

// ticked detects a pause of this process, silent regions and expired suspicions, and
// returns the commands that send the heartbeats that are due.
func (m *Model) ticked(now time.Time) []Cmd {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) >= pauseThreshold {
		m.resumeAfterPause(now)
	}
	previousTick := m.lastTick
	m.lastTick = now
	m.checkSilence(previousTick, now)
	m.expireMembers(now)
	var cmds []Cmd
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.jitter(probeInterval))
		cmds = append(cmds, m.probeRegion(now)...)
	}
	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.jitter(reconnectInterval))
		cmds = append(cmds, m.reconnect(now)...)
	}
	return append(cmds, m.probeOtherRegions(now)...)
}

// checkSilence marks the view as changed if, since the previous tick, a region became
// silent or this instance became isolated.
func (m *Model) checkSilence(previousTick, now time.Time) {
	for _, s := range m.sums {
		if previousTick.Sub(s.aliveAt) < RegionSilenceTimeout && now.Sub(s.aliveAt) >= RegionSilenceTimeout {
			m.viewChanged = true
		}
	}
	if m.isolated(now) && previousTick.Sub(m.lastReceived) < RegionSilenceTimeout {
		m.viewChanged = true
	}
}

// jitter returns a random duration within 10% of d, so that instances don't send their
// heartbeats in step.
func (m *Model) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(m.rng.Int64N(int64(d)/5))
}

// probeRegion calls the next peer of the local region, or joins the fleet if no member is
// known. While the byte budget is in debt, it calls a peer only once per
// slowProbeInterval.
func (m *Model) probeRegion(now time.Time) []Cmd {
	if len(m.members) == 0 {
		return m.join(now)
	}
	if m.budget.tokens < 0 && now.Sub(m.lastProbe) < slowProbeInterval {
		return nil
	}
	m.lastProbe = now
	if len(m.probeQueue) == 0 {
		m.probeQueue = m.probeOrder()
	}
	for len(m.probeQueue) > 0 {
		id := m.probeQueue[0]
		m.probeQueue = m.probeQueue[1:]
		if p, ok := m.members[id]; ok && p.Usable() {
			return m.callPeer(now, p)
		}
	}
	return nil
}

// probeOrder returns the peers of the local region in random order. Those of the local
// failure domain occur twice, so that they are called twice as often.
func (m *Model) probeOrder() []string {
	var sameDomain, otherDomains []string
	for _, id := range m.regionPeers() {
		if m.members[id].FailureDomain == m.self.FailureDomain {
			sameDomain = append(sameDomain, id)
		} else {
			otherDomains = append(otherDomains, id)
		}
	}
	first := append(slices.Clone(sameDomain), otherDomains...)
	second := slices.Clone(sameDomain)
	m.shuffle(first)
	m.shuffle(second)
	return append(first, second...)
}

func (m *Model) shuffle(ids []string) {
	m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
}

// probeOtherRegions calls a random instance of each other region for which this
// instance is a gateway.
func (m *Model) probeOtherRegions(now time.Time) []Cmd {
	var cmds []Cmd
	for _, r := range m.otherRegions() {
		if now.Before(m.nextRemoteProbe[r.region]) || !m.isGatewayTo(r.region) {
			continue
		}
		m.nextRemoteProbe[r.region] = now.Add(m.jitter(gatewayInterval))
		cmds = append(cmds, m.callPeer(now, m.members[r.ids[m.rng.IntN(len(r.ids))]])...)
	}
	return cmds
}

// join sends a request for all members to a random address among the seeds and the
// instances on the platform's list.
func (m *Model) join(now time.Time) []Cmd {
	addresses := m.unknownAddresses()
	if len(addresses) == 0 {
		return nil
	}
	address := addresses[m.rng.IntN(len(addresses))]
	return m.startCall(now, call{address: address}, Heartbeat{Join: true}, callTimeout)
}

// unknownAddresses returns the addresses of seeds and of instances on the platform's list
// that belong to no known member.
func (m *Model) unknownAddresses() []string {
	knownAddresses := map[string]bool{m.self.PeerAddress: true, "": true}
	for _, p := range m.members {
		knownAddresses[p.PeerAddress] = true
	}
	var addresses []string
	for _, address := range m.seeds {
		if !knownAddresses[address] {
			addresses = append(addresses, address)
		}
	}
	for _, l := range m.platformMembers {
		if !knownAddresses[l.PeerAddress] && l.ID != m.self.ID {
			addresses = append(addresses, l.PeerAddress)
		}
	}
	return addresses
}

// reconnect calls a random instance that isn't a member or whose status is Dead. Such
// instances get no regular heartbeats, so without reconnect the two sides of a network
// partition would stay separate after the network works again.
func (m *Model) reconnect(now time.Time) []Cmd {
	var dead []string
	for _, id := range m.ids() {
		if m.members[id].Status == Dead {
			dead = append(dead, id)
		}
	}
	addresses := m.unknownAddresses()
	if len(dead)+len(addresses) == 0 {
		return nil
	}
	i := m.rng.IntN(len(dead) + len(addresses))
	if i < len(dead) {
		return m.callPeer(now, m.members[dead[i]])
	}
	h := Heartbeat{Join: len(m.members) == 0}
	return m.startCall(now, call{address: addresses[i-len(dead)]}, h, callTimeout)
}

// pushUpdates sends heartbeats immediately to pushPeers random peers of the local region.
// For each other region, it also sends one to a random instance of that region, with a
// chance of 1 in remotePushOdds.
func (m *Model) pushUpdates(now time.Time) []Cmd {
	peers := slices.Clone(m.regionPeers())
	m.shuffle(peers)
	targets := peers[:min(pushPeers, len(peers))]
	for _, r := range m.otherRegions() {
		if m.rng.IntN(remotePushOdds) == 0 {
			targets = append(targets, r.ids[m.rng.IntN(len(r.ids))])
		}
	}
	return m.callAll(now, targets)
}

func (m *Model) callAll(now time.Time, ids []string) []Cmd {
	var cmds []Cmd
	for _, id := range ids {
		cmds = append(cmds, m.callPeer(now, m.members[id])...)
	}
	return cmds
}

// leaveRequested notifies up to maxLeaveCalls peers of the local region and up to
// gatewaysPerRegion instances of each other region that this instance is leaving. The call
// budget doesn't limit these calls. All other instances are notified by gossip.
func (m *Model) leaveRequested(now time.Time) []Cmd {
	m.self.Status = Leaving
	m.invalidateCache()
	m.viewChanged = true
	targets := slices.Clone(m.regionPeers())
	m.shuffle(targets)
	targets = targets[:min(maxLeaveCalls, len(targets))]
	for _, r := range m.otherRegions() {
		ids := slices.Clone(r.ids)
		m.shuffle(ids)
		targets = append(targets, ids[:min(gatewaysPerRegion, len(ids))]...)
	}
	m.callBudget.tokens = float64(len(targets) + 1)
	return m.callAll(now, targets)
}

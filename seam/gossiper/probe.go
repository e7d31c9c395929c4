package gossiper

import (
	"cmp"
	"slices"
	"time"
)

// pushPeers is how many peers hear urgent news at once.
const pushPeers = 3

// remotePushOdds makes one push of so many go to each other region as well.
const remotePushOdds = 3

func compareStrings(a, b string) int { return cmp.Compare(a, b) }

// ticked starts the heartbeats that are due.
func (m *Model) ticked(now time.Time) []Cmd {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) >= pauseAfter {
		m.woke(now)
	}
	before := m.lastTick
	m.lastTick = now
	m.noteSilence(before, now)
	m.expire(now)
	var cmds []Cmd
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.jitter(probeEvery))
		cmds = append(cmds, m.probeRegion(now)...)
	}
	if !now.Before(m.nextReconnect) {
		m.nextReconnect = now.Add(m.jitter(reconnectEvery))
		cmds = append(cmds, m.reconnect(now)...)
	}
	return append(cmds, m.probeOtherRegions(now)...)
}

// noteSilence publishes a new view when a region or all peers fall silent.
func (m *Model) noteSilence(before, now time.Time) {
	for _, s := range m.sums {
		if before.Sub(s.alive) < RegionSilence && now.Sub(s.alive) >= RegionSilence {
			m.changed = true
		}
	}
	if m.alone(now) && before.Sub(m.lastHeard) < RegionSilence {
		m.changed = true
	}
}

// jitter returns a time within a tenth of d, so that instances don't beat in
// step.
func (m *Model) jitter(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(m.rng.Int64N(int64(d)/5))
}

// probeRegion calls the next peer of the own region, or joins.
func (m *Model) probeRegion(now time.Time) []Cmd {
	if len(m.members) == 0 {
		return m.join(now)
	}
	if m.budget.left < 0 && now.Sub(m.lastProbe) < slowestProbe {
		return nil
	}
	m.lastProbe = now
	if len(m.probes) == 0 {
		m.probes = m.probeOrder()
	}
	for len(m.probes) > 0 {
		id := m.probes[0]
		m.probes = m.probes[1:]
		if p, ok := m.members[id]; ok && p.Usable() {
			return m.callPeer(now, p)
		}
	}
	return nil
}

// probeOrder shuffles the region's peers. Those of the own failure domain come
// twice, so that they are called twice as often.
func (m *Model) probeOrder() []string {
	var near, far []string
	for _, id := range m.neighbours() {
		if m.members[id].FailureDomain == m.self.FailureDomain {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	first := append(slices.Clone(near), far...)
	second := slices.Clone(near)
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
		if now.Before(m.remote[r.region]) || !m.gatewayTo(r.region) {
			continue
		}
		m.remote[r.region] = now.Add(m.jitter(gatewayEvery))
		cmds = append(cmds, m.callPeer(now, m.members[r.ids[m.rng.IntN(len(r.ids))]])...)
	}
	return cmds
}

// join calls a seed or an instance of the platform's list.
func (m *Model) join(now time.Time) []Cmd {
	addresses := m.strangers()
	if len(addresses) == 0 {
		return nil
	}
	address := addresses[m.rng.IntN(len(addresses))]
	return m.startCall(now, call{address: address}, Heartbeat{Join: true}, callTimeout)
}

// strangers returns the addresses of seeds and listed instances that aren't
// members in use.
func (m *Model) strangers() []string {
	known := map[string]bool{m.self.PeerAddress: true, "": true}
	for _, p := range m.members {
		known[p.PeerAddress] = true
	}
	var addresses []string
	for _, address := range m.seeds {
		if !known[address] {
			addresses = append(addresses, address)
		}
	}
	for _, l := range m.listed {
		if !known[l.PeerAddress] && l.ID != m.self.ID {
			addresses = append(addresses, l.PeerAddress)
		}
	}
	return addresses
}

// reconnect calls a stranger or one that is held dead: after a partition
// nobody else would.
func (m *Model) reconnect(now time.Time) []Cmd {
	var dead []string
	for _, id := range m.ids() {
		if m.members[id].Status == Dead {
			dead = append(dead, id)
		}
	}
	addresses := m.strangers()
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

// push tells a few peers news at once: most in the region, one elsewhere.
func (m *Model) push(now time.Time) []Cmd {
	order := slices.Clone(m.neighbours())
	m.shuffle(order)
	targets := order[:min(pushPeers, len(order))]
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

// leaveRequested tells the whole region and some of each other one.
func (m *Model) leaveRequested(now time.Time) []Cmd {
	m.self.Status = Leaving
	m.forget()
	m.changed = true
	targets := slices.Clone(m.neighbours())
	m.shuffle(targets)
	targets = targets[:min(leavePeers, len(targets))]
	for _, r := range m.otherRegions() {
		ids := slices.Clone(r.ids)
		m.shuffle(ids)
		targets = append(targets, ids[:min(gatewaysPerRegion, len(ids))]...)
	}
	m.callBudget.left = float64(len(targets) + 1)
	return m.callAll(now, targets)
}

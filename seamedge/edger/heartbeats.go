package edger

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/conductor"
	"primroseseam.org/seamedge/heartbeater"
)

// maxKnownAddresses is the largest number of addresses of other instances in a full
// heartbeat.
const maxKnownAddresses = 12

// peerTable holds the addresses to which this instance sends heartbeats, that is, those of
// other instances. It is safe for concurrent use.
type peerTable struct {
	mu   sync.Mutex
	self string
	// byAddress maps an address, in the form host:port, to the entry of the instance that
	// listens there.
	byAddress map[string]*peerEntry
}

type peerEntry struct {
	address netip.AddrPort
	region  string
	// lastHeartbeatAt is when the last heartbeat from this address arrived. If none has
	// arrived yet, it is when the address was added.
	lastHeartbeatAt time.Time
	// fromSettings means that the settings list the address as a seed. Such an address
	// never expires.
	fromSettings bool
}

const (
	// Heartbeats are still sent to an address for a time after the last heartbeat from
	// there: minPeerAddressTTL or, if that is longer, ttlHeartbeats times the time between
	// two heartbeats from another region. Then the address is removed from the peer table.
	minPeerAddressTTL = 20 * time.Second
	ttlHeartbeats     = 4
)

// ttl returns how long an address stays in the table without a heartbeat from there. The
// lock must be held.
func (t *peerTable) ttl() time.Duration {
	betweenHeartbeats := conductor.HeartbeatInterval(conductor.OtherRegions, 0) * time.Duration(conductor.Slices(len(t.byAddress)+1))
	return max(minPeerAddressTTL, ttlHeartbeats*betweenHeartbeats)
}

func newPeerTable(seeds []string, self string) *peerTable {
	t := &peerTable{self: self, byAddress: map[string]*peerEntry{}}
	t.setSeeds(seeds)
	return t
}

// setSeeds replaces the addresses that the settings list as seeds. Earlier ones expire like any
// other address.
func (t *peerTable) setSeeds(seeds []string) {
	for _, address := range seeds {
		t.add(address, "", time.Time{})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, p := range t.byAddress {
		p.fromSettings = slices.Contains(seeds, address)
	}
}

// add adds an address or updates its entry. lastHeartbeatAt is when a heartbeat from the
// address arrived. It is zero if the address is known from another source: the settings,
// the store, or a heartbeat of another instance. region is used only with a heartbeat.
// Invalid addresses and this instance's own address are ignored.
func (t *peerTable) add(address, region string, lastHeartbeatAt time.Time) {
	if address == t.self {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.byAddress[address]
	if !ok {
		p = &peerEntry{address: parsed, lastHeartbeatAt: lastHeartbeatAt}
		if lastHeartbeatAt.IsZero() {
			p.lastHeartbeatAt = time.Now()
		}
		t.byAddress[address] = p
	}
	if !lastHeartbeatAt.IsZero() {
		p.lastHeartbeatAt = lastHeartbeatAt
		p.region = region
	}
}

// targetAddresses returns the addresses of an audience. region is the region of this
// instance. An address whose region isn't known yet counts as one of the same region.
// targetAddresses also removes expired addresses from the table.
func (t *peerTable) targetAddresses(now time.Time, region string, to conductor.Audience) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []netip.AddrPort
	ttl := t.ttl()
	for address, p := range t.byAddress {
		if now.Sub(p.lastHeartbeatAt) > ttl && !p.fromSettings {
			delete(t.byAddress, address)
			continue
		}
		otherRegion := p.region != region && p.region != ""
		if otherRegion == (to == conductor.OtherRegions) {
			list = append(list, p.address)
		}
	}
	return list
}

// countInstances returns the number of addresses of instances in the given region and the
// number of all addresses. An instance whose region isn't known yet counts as one of the
// given region.
func (t *peerTable) countInstances(region string) (inRegion, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byAddress {
		if p.region == region || p.region == "" {
			inRegion++
		}
	}
	return inRegion, len(t.byAddress)
}

// allAddresses returns all addresses in the table.
func (t *peerTable) allAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.byAddress))
	for address := range t.byAddress {
		list = append(list, address)
	}
	return list
}

// recentAddresses returns the addresses from which a heartbeat has arrived so recently that
// they don't expire yet. It also returns addresses that were added as recently and from
// which no heartbeat has arrived yet.
func (t *peerTable) recentAddresses(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	within := t.ttl()
	var list []string
	for address, p := range t.byAddress {
		if now.Sub(p.lastHeartbeatAt) < within {
			list = append(list, address)
		}
	}
	return list
}

// handleHeartbeat processes a heartbeat from another instance.
func (e *Edge) handleHeartbeat(hb conductor.Heartbeat) {
	now := time.Now()
	e.peers.add(hb.PeerAddress, hb.Region, now)
	for _, address := range hb.KnownAddresses {
		e.peers.add(address, "", time.Time{})
	}
	if !hb.CopyStatesOnly {
		for _, cmd := range e.update(conductor.HeartbeatReceived{Heartbeat: hb}) {
			if cmd, ok := cmd.(conductor.SendFullHeartbeat); ok {
				e.sendFullHeartbeat(cmd.PeerAddress)
			}
		}
	}
	e.handleCopyStates(hb, e.clock.Now())
}

// runHeartbeats sends periodic heartbeats to both audiences until ctx ends. After a call of
// announce, it also sends the positions of this instance's copies at once.
func (e *Edge) runHeartbeats(ctx context.Context) {
	var timers [2]*time.Timer
	for to := range timers {
		timers[to] = time.NewTimer(0)
		defer timers[to].Stop()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.announceAll:
			e.sendCopyStates(conductor.SameRegion)
			e.sendCopyStates(conductor.OtherRegions)
		case <-e.announceSameRegion:
			e.sendCopyStates(conductor.SameRegion)
		case <-timers[conductor.SameRegion].C:
			e.sendHeartbeat(conductor.SameRegion)
			timers[conductor.SameRegion].Reset(e.heartbeatDelay(conductor.SameRegion))
		case <-timers[conductor.OtherRegions].C:
			e.sendSlice()
			timers[conductor.OtherRegions].Reset(e.heartbeatDelay(conductor.OtherRegions))
		}
	}
}

// heartbeatDelay returns the time until the next periodic heartbeat to an audience, or slice
// of one. The interval depends on the number of instances. The delay is chosen at random
// between 0.5 and 1.5 times the interval, so that the instances don't send in step.
func (e *Edge) heartbeatDelay(to conductor.Audience) time.Duration {
	inRegion, _ := e.peers.countInstances(e.region())
	interval := conductor.HeartbeatInterval(to, inRegion+1)
	return interval/2 + rand.N(interval)
}

// sendHeartbeat sends all instances of an audience a periodic heartbeat, which holds this
// instance's state.
func (e *Edge) sendHeartbeat(to conductor.Audience) {
	now := time.Now()
	e.send(e.newHeartbeat(now, to), e.peers.targetAddresses(now, e.region(), to), to)
}

// newHeartbeat returns the next periodic heartbeat to an audience.
func (e *Edge) newHeartbeat(now time.Time, to conductor.Audience) conductor.Heartbeat {
	e.mu.Lock()
	hb := e.model.Heartbeat(now, to)
	e.sequenceNumber++
	hb.SequenceNumber = e.sequenceNumber
	e.mu.Unlock()
	e.addInstanceFields(&hb)
	if hb.FullDemand {
		knownAddresses := e.peers.recentAddresses(now)
		rand.Shuffle(len(knownAddresses), func(i, j int) { knownAddresses[i], knownAddresses[j] = knownAddresses[j], knownAddresses[i] })
		hb.KnownAddresses = knownAddresses[:min(len(knownAddresses), maxKnownAddresses)]
	}
	return hb
}

// slicing is the state of the heartbeats to other regions, which are sent in slices.
type slicing struct {
	// next is the number of the next slice. heartbeat is the heartbeat that is being sent.
	next      uint64
	heartbeat conductor.Heartbeat
}

// sendSlice sends a slice of the current heartbeat to other regions, or the first one of the
// next heartbeat. Only runHeartbeats calls it.
func (e *Edge) sendSlice() {
	now := time.Now()
	_, all := e.peers.countInstances(e.region())
	slices := conductor.Slices(all + 1)
	if e.slicing.next%uint64(slices) == 0 || e.slicing.heartbeat.ID == "" {
		e.slicing.heartbeat = e.newHeartbeat(now, conductor.OtherRegions)
	} else {
		e.slicing.heartbeat = e.refreshHeartbeat(now, e.slicing.heartbeat)
	}
	var targets []netip.AddrPort
	for _, t := range e.peers.targetAddresses(now, e.region(), conductor.OtherRegions) {
		if conductor.InSlice(e.settings.Listen.Peers, t.String(), e.slicing.next, slices) {
			targets = append(targets, t)
		}
	}
	e.slicing.next++
	e.send(e.slicing.heartbeat, targets, conductor.OtherRegions)
}

// refreshHeartbeat returns a heartbeat with the current state of this instance.
func (e *Edge) refreshHeartbeat(now time.Time, hb conductor.Heartbeat) conductor.Heartbeat {
	e.mu.Lock()
	next := e.model.RefreshHeartbeat(now, hb)
	e.mu.Unlock()
	next.SequenceNumber, next.KnownAddresses = hb.SequenceNumber, hb.KnownAddresses
	e.addInstanceFields(&next)
	return next
}

// sendFullHeartbeat sends a full heartbeat to an instance that was unknown or has
// restarted. The heartbeat repeats the sequence number of the last periodic heartbeat, so
// that the receiver takes the next periodic heartbeat as newer.
func (e *Edge) sendFullHeartbeat(peerAddress string) {
	to, err := netip.ParseAddrPort(peerAddress)
	if err != nil {
		e.log.Info("heartbeat: invalid peer address ignored", zap.String("peer", peerAddress), zap.Error(err))
		return
	}
	now := time.Now()
	e.mu.Lock()
	hb := e.model.FullHeartbeat(now)
	hb.SequenceNumber = e.sequenceNumber
	e.mu.Unlock()
	e.addInstanceFields(&hb)
	e.sendTo(hb, []netip.AddrPort{to})
}

// addInstanceFields sets the fields of a heartbeat for which the model has no data: the
// start time and addresses of this instance, the state of its copies and the time at which the
// heartbeat is made.
func (e *Edge) addInstanceFields(hb *conductor.Heartbeat) {
	hb.MadeAt = e.clock.Elapsed()
	hb.StartedAtMs = e.startedAtMs
	hb.CallerAddress = e.settings.Listen.Callers
	hb.PeerAddress = e.settings.Listen.Peers
	hb.CopyStates = e.copyStates(e.clock.Now())
	hb.StoreUnreachable = e.storeUnreachable()
}

// sendToAudience sends a heartbeat to all instances of an audience in the peer table.
func (e *Edge) sendToAudience(hb conductor.Heartbeat, to conductor.Audience) {
	e.send(hb, e.peers.targetAddresses(time.Now(), hb.Region, to), to)
}

// send sends a heartbeat to instances of an audience.
func (e *Edge) send(hb conductor.Heartbeat, targets []netip.AddrPort, to conductor.Audience) {
	e.metrics.heartbeatBytes[to].Add(e.sendTo(hb, targets).Bytes)
}

// sendTo sends a heartbeat to addresses, and keeps the sequence numbers of its parts from being used again.
func (e *Edge) sendTo(hb conductor.Heartbeat, targets []netip.AddrPort) heartbeater.Sent {
	sent, err := e.heartbeats.Send(hb, targets)
	if err != nil {
		e.metrics.heartbeatErrors.Inc()
		e.log.Debug("heartbeat: sending failed", zap.Error(err))
	}
	if sent.Parts > 1 {
		e.metrics.heartbeatParts.Add(sent.Parts - 1)
		e.mu.Lock()
		e.sequenceNumber = max(e.sequenceNumber, hb.SequenceNumber+uint64(sent.Parts)-1)
		e.mu.Unlock()
	}
	return sent
}

// region returns the region of this instance.
func (e *Edge) region() string { return e.settings.Zones[e.settings.Instance.Zone] }

package edger

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/seam/conductor"
)

// maxKnownAddresses bounds how many addresses of other instances a full heartbeat
// lists.
const maxKnownAddresses = 12

// peerTable holds the addresses of other instances. It is safe for concurrent use.
type peerTable struct {
	mu   sync.Mutex
	self string
	// byAddress maps an address to the entry of the instance there.
	byAddress map[string]*peerEntry
}

type peerEntry struct {
	address netip.AddrPort
	region  string
	// lastHeartbeatAt is when the last heartbeat came from the address, or when the
	// address was added if none has come yet.
	lastHeartbeatAt time.Time
	// configured means that the address comes from the seeds in the settings. It
	// never expires.
	configured bool
}

// peerAddressTTL is how long heartbeats are sent to an address from which none
// arrive.
const peerAddressTTL = 20 * time.Second

func newPeerTable(seeds []string, self string) *peerTable {
	t := &peerTable{self: self, byAddress: map[string]*peerEntry{}}
	for _, s := range seeds {
		t.add(s, "", time.Time{}, true)
	}
	return t
}

// add adds an address or updates its entry. lastHeartbeatAt is when a heartbeat came
// from it, or zero if the address comes from another source.
func (t *peerTable) add(address, region string, lastHeartbeatAt time.Time, configured bool) {
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
	p.configured = p.configured || configured
}

// targetAddresses returns the addresses to which an instance of a region sends a
// heartbeat for an audience, and removes expired addresses. An instance whose region
// isn't known yet counts as one of the same region.
func (t *peerTable) targetAddresses(now time.Time, region string, to conductor.Audience) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []netip.AddrPort
	for address, p := range t.byAddress {
		if now.Sub(p.lastHeartbeatAt) > peerAddressTTL && !p.configured {
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

// countInstances returns the number of known instances in a region and in total. An
// instance whose region isn't known yet counts as one of that region.
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

// allAddresses returns all known addresses.
func (t *peerTable) allAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.byAddress))
	for address := range t.byAddress {
		list = append(list, address)
	}
	return list
}

// recentAddresses returns the addresses that sent a heartbeat, or were added, within a
// time.
func (t *peerTable) recentAddresses(now time.Time, within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for address, p := range t.byAddress {
		if now.Sub(p.lastHeartbeatAt) < within {
			list = append(list, address)
		}
	}
	return list
}

// handleHeartbeat processes a heartbeat of another instance.
func (e *Edge) handleHeartbeat(hb conductor.Heartbeat) {
	now := time.Now()
	e.peers.add(hb.PeerAddress, hb.Region, now, false)
	for _, address := range hb.KnownAddresses {
		e.peers.add(address, "", time.Time{}, false)
	}
	if !hb.CopyStatesOnly {
		for _, cmd := range e.update(conductor.HeartbeatReceived{Heartbeat: hb}) {
			if cmd, ok := cmd.(conductor.SendFullHeartbeat); ok {
				e.sendFullHeartbeat(cmd.PeerAddress)
			}
		}
	}
	e.handleCopyStates(hb, now)
}

// runHeartbeats sends periodic heartbeats until ctx ends, and the positions of the
// copies whenever they are announced.
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
			e.sendHeartbeat(conductor.OtherRegions)
			timers[conductor.OtherRegions].Reset(e.heartbeatDelay(conductor.OtherRegions))
		}
	}
}

// heartbeatDelay returns the time until the next heartbeat to an audience, with
// jitter.
func (e *Edge) heartbeatDelay(to conductor.Audience) time.Duration {
	inRegion, all := e.peers.countInstances(e.region())
	interval := conductor.HeartbeatInterval(to, inRegion+1, all+1)
	return interval/2 + rand.N(interval)
}

// sendHeartbeat sends this instance's state to an audience.
func (e *Edge) sendHeartbeat(to conductor.Audience) {
	now := time.Now()
	e.mu.Lock()
	hb := e.model.Heartbeat(now, to)
	e.sequenceNumber++
	hb.SequenceNumber = e.sequenceNumber
	e.mu.Unlock()
	e.addInstanceFields(&hb, now)
	if hb.FullDemand {
		known := e.peers.recentAddresses(now, peerAddressTTL)
		rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		hb.KnownAddresses = known[:min(len(known), maxKnownAddresses)]
	}
	e.sendToAudience(hb, to)
}

// sendFullHeartbeat sends a full heartbeat to an instance that was unknown or has
// restarted. It carries the sequence number of the last regular heartbeat,
// so that the next one counts as newer.
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
	e.addInstanceFields(&hb, now)
	if _, err := e.heartbeats.Send(hb, []netip.AddrPort{to}); err != nil {
		e.metrics.heartbeatErrors.Inc()
		e.log.Debug("heartbeat: sending failed", zap.Error(err))
	}
}

// addInstanceFields sets the fields of a heartbeat that the model has no data for.
func (e *Edge) addInstanceFields(hb *conductor.Heartbeat, now time.Time) {
	hb.StartedAtMs = e.startedAtMs
	hb.CallerAddress = e.settings.Listen.Callers
	hb.PeerAddress = e.settings.Listen.Peers
	hb.CopyStates = e.copyStates(now)
	hb.StoreUnreachable = e.storeUnreachable()
}

// sendToAudience sends a heartbeat to all addresses of an audience.
func (e *Edge) sendToAudience(hb conductor.Heartbeat, to conductor.Audience) {
	sent, err := e.heartbeats.Send(hb, e.peers.targetAddresses(time.Now(), hb.Region, to))
	e.metrics.heartbeatBytes[to].Add(sent)
	if err != nil {
		e.metrics.heartbeatErrors.Inc()
		e.log.Debug("heartbeat: sending failed", zap.Error(err))
	}
}

// region returns the region of this instance.
func (e *Edge) region() string { return e.settings.Zones[e.settings.Instance.Zone] }

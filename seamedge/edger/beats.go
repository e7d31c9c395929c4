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
	// byAddress maps an address to what is known of the instance there.
	byAddress map[string]*peerEntry
}

type peerEntry struct {
	address netip.AddrPort
	region  string
	// heardAt is when the last heartbeat came from the address, or when the address
	// was added if none has come yet.
	heardAt time.Time
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

// add adds an address or updates its entry. heardAt is when a heartbeat came from it,
// or zero if another source named the address.
func (t *peerTable) add(address, region string, heardAt time.Time, configured bool) {
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
		p = &peerEntry{address: parsed, heardAt: heardAt}
		if heardAt.IsZero() {
			p.heardAt = time.Now()
		}
		t.byAddress[address] = p
	}
	if !heardAt.IsZero() {
		p.heardAt = heardAt
		p.region = region
	}
	p.configured = p.configured || configured
}

// targets returns the addresses to which a heartbeat for an audience goes, as seen
// from a region, and removes expired addresses. An instance whose region isn't known
// yet counts as near.
func (t *peerTable) targets(now time.Time, region string, to conductor.Audience) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []netip.AddrPort
	for address, p := range t.byAddress {
		if now.Sub(p.heardAt) > peerAddressTTL && !p.configured {
			delete(t.byAddress, address)
			continue
		}
		far := p.region != region && p.region != ""
		if far == (to == conductor.OtherRegions) {
			list = append(list, p.address)
		}
	}
	return list
}

// count returns the number of known instances in a region and in total. An instance
// whose region isn't known yet counts as near.
func (t *peerTable) count(region string) (near, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.byAddress {
		if p.region == region || p.region == "" {
			near++
		}
	}
	return near, len(t.byAddress)
}

// addresses returns all known addresses.
func (t *peerTable) addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.byAddress))
	for address := range t.byAddress {
		list = append(list, address)
	}
	return list
}

// recent returns the addresses that were heard from, or added, within a time.
func (t *peerTable) recent(now time.Time, within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for address, p := range t.byAddress {
		if now.Sub(p.heardAt) < within {
			list = append(list, address)
		}
	}
	return list
}

// handleHeartbeat processes a heartbeat of another instance.
func (e *Edge) handleHeartbeat(b conductor.Heartbeat) {
	now := time.Now()
	e.peers.add(b.PeerAddress, b.Region, now, false)
	for _, address := range b.KnownAddresses {
		e.peers.add(address, "", time.Time{}, false)
	}
	if !b.StatesOnly {
		for _, cmd := range e.update(conductor.HeartbeatReceived{Heartbeat: b}) {
			if cmd, ok := cmd.(conductor.Introduce); ok {
				e.introduce(cmd.PeerAddress)
			}
		}
	}
	e.handleStates(b, now)
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
			e.sendStates(conductor.SameRegion)
			e.sendStates(conductor.OtherRegions)
		case <-e.announceNear:
			e.sendStates(conductor.SameRegion)
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
	near, all := e.peers.count(e.region())
	interval := conductor.HeartbeatInterval(to, near+1, all+1)
	return interval/2 + rand.N(interval)
}

// sendHeartbeat sends this instance's state to an audience.
func (e *Edge) sendHeartbeat(to conductor.Audience) {
	now := time.Now()
	e.mu.Lock()
	b := e.model.Heartbeat(now, to)
	e.serial++
	b.Serial = e.serial
	e.mu.Unlock()
	e.addInstanceFields(&b, now)
	if b.Whole {
		known := e.peers.recent(now, peerAddressTTL)
		rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		b.KnownAddresses = known[:min(len(known), maxKnownAddresses)]
	}
	e.sendTo(b, to)
}

// introduce sends a full heartbeat to an instance that was heard for the first time.
// It carries the serial of the last regular heartbeat, so that the next one counts as
// newer.
func (e *Edge) introduce(peers string) {
	to, err := netip.ParseAddrPort(peers)
	if err != nil {
		e.log.Info("heartbeat: invalid peer address ignored", zap.String("peer", peers), zap.Error(err))
		return
	}
	now := time.Now()
	e.mu.Lock()
	b := e.model.Introduction(now)
	b.Serial = e.serial
	e.mu.Unlock()
	e.addInstanceFields(&b, now)
	if _, err := e.heartbeats.Send(b, []netip.AddrPort{to}); err != nil {
		e.metrics.heartbeatErrors.Inc()
		e.log.Debug("heartbeat: sending failed", zap.Error(err))
	}
}

// addInstanceFields sets the fields of a heartbeat that the model doesn't know.
func (e *Edge) addInstanceFields(b *conductor.Heartbeat, now time.Time) {
	b.Started = e.started
	b.CallerAddress = e.settings.Listen.Callers
	b.PeerAddress = e.settings.Listen.Peers
	b.States = e.states(now)
	b.StoreUnreachable = e.storeUnreachable()
}

// sendTo sends a heartbeat to all addresses of an audience.
func (e *Edge) sendTo(b conductor.Heartbeat, to conductor.Audience) {
	sent, err := e.heartbeats.Send(b, e.peers.targets(time.Now(), b.Region, to))
	e.metrics.heartbeatBytes[to].Add(sent)
	if err != nil {
		e.metrics.heartbeatErrors.Inc()
		e.log.Debug("heartbeat: sending failed", zap.Error(err))
	}
}

// region returns the region of this instance.
func (e *Edge) region() string { return e.settings.Zones[e.settings.Instance.Zone] }

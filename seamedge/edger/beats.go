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

// knownMost bounds the addresses of others in one whole heartbeat.
const knownMost = 12

// peerBook holds the addresses of other instances.
type peerBook struct {
	mu   sync.Mutex
	self string
	// at maps addresses to what is known of the instance there.
	at map[string]*peerEntry
}

type peerEntry struct {
	address netip.AddrPort
	region  string
	heard   time.Time
	// listed means that the settings or the store name it.
	listed bool
}

// addressKept is how long an address that nobody answers from is still tried.
const addressKept = 20 * time.Second

func newPeerBook(seeds []string, self string) *peerBook {
	b := &peerBook{self: self, at: map[string]*peerEntry{}}
	for _, s := range seeds {
		b.add(s, "", time.Time{}, true)
	}
	return b
}

// add notes an address and, if it was heard, when.
func (b *peerBook) add(address, region string, heard time.Time, listed bool) {
	if address == b.self {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.at[address]
	if !ok {
		p = &peerEntry{address: parsed, heard: heard}
		if heard.IsZero() {
			p.heard = time.Now()
		}
		b.at[address] = p
	}
	if !heard.IsZero() {
		p.heard = heard
		p.region = region
	}
	p.listed = p.listed || listed
}

// targets returns where to send a heartbeat for an audience, as seen from a
// region. An instance of which the region isn't known yet counts as near.
func (b *peerBook) targets(now time.Time, region string, to conductor.Audience) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []netip.AddrPort
	for address, p := range b.at {
		if now.Sub(p.heard) > addressKept && !p.listed {
			delete(b.at, address)
			continue
		}
		far := p.region != region && p.region != ""
		if far == (to == conductor.OtherRegions) {
			list = append(list, p.address)
		}
	}
	return list
}

// count returns how many instances are known in a region and in all. One whose
// region isn't known yet counts as near.
func (b *peerBook) count(region string) (near, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.at {
		if p.region == region || p.region == "" {
			near++
		}
	}
	return near, len(b.at)
}

// addresses returns the addresses that are known.
func (b *peerBook) addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]string, 0, len(b.at))
	for address := range b.at {
		list = append(list, address)
	}
	return list
}

// alive returns the addresses heard lately.
func (b *peerBook) alive(now time.Time, within time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []string
	for address, p := range b.at {
		if now.Sub(p.heard) < within {
			list = append(list, address)
		}
	}
	return list
}

// heard takes a heartbeat.
func (e *Edge) heard(b conductor.Heartbeat) {
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
	e.hearStates(b, now)
}

// beat sends heartbeats until ctx ends, and news as soon as there are some.
func (e *Edge) beat(ctx context.Context) {
	var timers [2]*time.Timer
	for to := range timers {
		timers[to] = time.NewTimer(0)
		defer timers[to].Stop()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.newsAll:
			e.sendNews(conductor.SameRegion)
			e.sendNews(conductor.OtherRegions)
		case <-e.newsNear:
			e.sendNews(conductor.SameRegion)
		case <-timers[conductor.SameRegion].C:
			e.sendBeat(conductor.SameRegion)
			timers[conductor.SameRegion].Reset(e.untilBeat(conductor.SameRegion))
		case <-timers[conductor.OtherRegions].C:
			e.sendBeat(conductor.OtherRegions)
			timers[conductor.OtherRegions].Reset(e.untilBeat(conductor.OtherRegions))
		}
	}
}

// untilBeat returns the time until the next heartbeat to an audience.
func (e *Edge) untilBeat(to conductor.Audience) time.Duration {
	near, all := e.peers.count(e.region())
	every := conductor.HeartbeatInterval(to, near+1, all+1)
	return every/2 + rand.N(every)
}

// sendBeat tells an audience how this instance is.
func (e *Edge) sendBeat(to conductor.Audience) {
	now := time.Now()
	e.mu.Lock()
	b := e.model.Heartbeat(now, to)
	e.serial++
	b.Serial = e.serial
	e.mu.Unlock()
	e.complete(&b, now)
	if b.Whole {
		known := e.peers.alive(now, addressKept)
		rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		b.KnownAddresses = known[:min(len(known), knownMost)]
	}
	e.sendTo(b, to)
}

// introduce tells an instance that is new here who this one is.
func (e *Edge) introduce(peers string) {
	to, err := netip.ParseAddrPort(peers)
	if err != nil {
		e.log.Info("heartbeat: address not used", zap.String("peer", peers), zap.Error(err))
		return
	}
	now := time.Now()
	e.mu.Lock()
	b := e.model.Introduction(now)
	b.Serial = e.serial
	e.mu.Unlock()
	e.complete(&b, now)
	if _, err := e.beats.Send(b, []netip.AddrPort{to}); err != nil {
		e.metrics.beatErrors.Inc()
		e.log.Debug("heartbeat: not sent", zap.Error(err))
	}
}

// complete adds to a heartbeat what the loop doesn't know.
func (e *Edge) complete(b *conductor.Heartbeat, now time.Time) {
	b.Started = e.started
	b.CallerAddress = e.settings.Listen.Callers
	b.PeerAddress = e.settings.Listen.Peers
	b.States = e.states(now)
	b.StoreUnreachable = e.blind()
}

// sendTo sends a heartbeat to an audience.
func (e *Edge) sendTo(b conductor.Heartbeat, to conductor.Audience) {
	sent, err := e.beats.Send(b, e.peers.targets(time.Now(), b.Region, to))
	e.metrics.beatBytes[to].Add(sent)
	if err != nil {
		e.metrics.beatErrors.Inc()
		e.log.Debug("heartbeat: not sent", zap.Error(err))
	}
}

// region returns the region of this instance.
func (e *Edge) region() string { return e.settings.Zones[e.settings.Instance.Zone] }

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

const (
	// knownEvery is how many heartbeats pass until the addresses of others are
	// told again.
	knownEvery = 8
	// knownMost bounds those addresses in one heartbeat.
	knownMost = 12
)

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
		if far == (to == conductor.Far) {
			list = append(list, p.address)
		}
	}
	return list
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
func (e *Edge) heard(b conductor.Beat) {
	now := time.Now()
	e.peers.add(b.Peers, b.Region, now, false)
	for _, address := range b.Known {
		e.peers.add(address, "", time.Time{}, false)
	}
	if !b.News {
		e.update(conductor.BeatHeard{Beat: b})
	}
	e.hearStates(b, now)
}

// beat sends heartbeats until ctx ends, and news as soon as there are some.
func (e *Edge) beat(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-e.newsAll:
			e.sendNews(conductor.Near)
			e.sendNews(conductor.Far)
		case <-e.newsNear:
			e.sendNews(conductor.Near)
		case <-timer.C:
			e.sendBeat(round)
			round++
			every := conductor.BeatEvery(len(e.peers.addresses()))
			timer.Reset(every/2 + rand.N(every))
		}
	}
}

// sendBeat tells the others how this instance is. Other regions hear each
// FarBeats-th time, and of a stop at once.
func (e *Edge) sendBeat(round int) {
	e.mu.Lock()
	e.serial++
	serial := e.serial
	e.mu.Unlock()
	e.sendBeatTo(conductor.Near, serial, round)
	if round%conductor.FarBeats == 0 || e.stopping.Load() {
		e.sendBeatTo(conductor.Far, serial, round)
	}
}

func (e *Edge) sendBeatTo(to conductor.Audience, serial uint64, round int) {
	now := time.Now()
	e.mu.Lock()
	b := e.model.Beat(now, to)
	e.mu.Unlock()
	b.Serial = serial
	b.Started = e.started
	b.Callers = e.settings.Listen.Callers
	b.Peers = e.settings.Listen.Peers
	b.States = e.states(now)
	b.Blind = e.blind()
	if round%knownEvery == 0 {
		known := e.peers.alive(now, addressKept)
		rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
		b.Known = known[:min(len(known), knownMost)]
	}
	e.sendTo(b, to)
}

// sendTo sends a heartbeat to an audience.
func (e *Edge) sendTo(b conductor.Beat, to conductor.Audience) {
	sent, err := e.beats.Send(b, e.peers.targets(time.Now(), b.Region, to))
	e.metrics.beatBytes[to].Add(sent)
	if err != nil {
		e.metrics.beatErrors.Inc()
		e.log.Debug("heartbeat: not sent", zap.Error(err))
	}
}

// region returns the region of this instance.
func (e *Edge) region() string { return e.settings.Zones[e.settings.Instance.Zone] }

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

// targets returns where to send a heartbeat.
func (b *peerBook) targets(now time.Time, region string, far bool) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []netip.AddrPort
	for address, p := range b.at {
		if now.Sub(p.heard) > addressKept && !p.listed {
			delete(b.at, address)
			continue
		}
		if far || p.region == region || p.region == "" {
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
	e.update(conductor.BeatHeard{Beat: b})
	e.hearStates(b, now)
}

// beat sends heartbeats until ctx ends.
func (e *Edge) beat(ctx context.Context) {
	for round := 0; ; round++ {
		e.sendBeat(round)
		every := conductor.BeatEvery(len(e.peers.addresses()))
		timer := time.NewTimer(every/2 + rand.N(every))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-e.news:
			// The others learn of a change at once, in all regions.
			timer.Stop()
			round -= round % conductor.FarBeats
			round--
		case <-timer.C:
		}
	}
}

// tellNews makes the next heartbeat leave at once.
func (e *Edge) tellNews() {
	select {
	case e.news <- struct{}{}:
	default:
	}
}

// sendBeat tells the others how this instance is.
func (e *Edge) sendBeat(round int) {
	now := time.Now()
	e.mu.Lock()
	e.serial++
	b := e.model.Beat(now)
	b.Serial = e.serial
	e.mu.Unlock()
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
	far := round%conductor.FarBeats == 0 || b.Leaving
	if err := e.beats.Send(b, e.peers.targets(now, b.Region, far)); err != nil {
		e.metrics.beatErrors.Inc()
		e.log.Debug("heartbeat: not sent", zap.Error(err))
	}
}

package conductor

import (
	"slices"
	"time"

	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/rationer"
	"primroseseam.org/seam/router"
)

const (
	// firstBeats is the number of heartbeats within which an instance counts as
	// one that has just started.
	firstBeats = 20
	// silentMargin is how much longer than news takes an instance may be silent
	// before its loads and demand no longer count. It may lose a heartbeat.
	silentMargin = 400 * time.Millisecond
	// goneAfter is how long an instance may be silent before look-ups no longer
	// name it and its rate is divided among the others.
	goneAfter = 3 * time.Second
	// forgottenAfter is how long a silent instance still counts as one that may
	// be running, out of touch, and use its static part of a rate.
	forgottenAfter = 60 * time.Second
)

// peer is another instance.
type peer struct {
	beat   Beat
	heard  time.Time
	silent bool
	demand map[uint32]float64
	used   map[uint32]uint64
	// fromStart means that it was heard from its start on, so that all that it
	// used is news.
	fromStart bool
}

// teamState is what an instance knows of a team.
//
// What the fleet used is counted from heartbeats, in a bucket that may go into
// debt. Each request is let through by chance, so that all that arrive until
// news reaches everybody take what the rate gives in that time and a part of what
// is left. Nothing is let through while there is a debt, so that what went faster
// than the news is made up for. Chance needs no shares, which would be less than
// a request where instances are many.
type teamState struct {
	hash   uint32
	demand rationer.Meter
	// others is the demand at the other instances, share the usual part of all
	// demand that comes here.
	others float64
	share  float64
	// used is the number of requests let through here, in this lifetime.
	used uint64
	// fleet is what the fleet as a whole has left, as far as is known here, and
	// part what this instance may use if it is cut off.
	fleet rationer.Bucket
	part  rationer.Bucket
	// whole means that more than half of the fleet is heard, news how long it
	// takes until all have heard of something.
	whole bool
	news  time.Duration
}

// retryState is an instance's part of a service's retry budget.
type retryState struct {
	bucket rationer.Bucket
}

// instancesSeen takes the instances of which the store knows.
func (m *Model) instancesSeen(ids []string) {
	m.known = map[string]bool{}
	m.told = 1
	for _, id := range ids {
		m.known[id] = true
	}
	m.told = m.fleet().Known
}

// beatHeard takes a heartbeat unless it is older than the last one.
func (m *Model) beatHeard(now time.Time, b Beat) {
	if b.ID == m.id {
		return
	}
	p, ok := m.peers[b.ID]
	if ok && (b.Started < p.beat.Started || b.Started == p.beat.Started && b.Serial <= p.beat.Serial) {
		return
	}
	if !ok {
		p = &peer{}
		m.peers[b.ID] = p
	}
	if b.Started != p.beat.Started {
		p.used = map[uint32]uint64{}
		p.fromStart = ok || b.Serial <= firstBeats
	}
	m.told = max(m.told, int(b.Fleet))
	if now.Sub(m.first) > unknownFor {
		m.told = m.fleet().Known
	}
	p.beat = b
	p.heard = now
	p.silent = false
	m.demandHeard(now, p, b.Demand)
	m.board.PeerLoads(b.ID, b.Loads)
	m.board.PeerTouches(now, b.Touches)
	m.board.PeerRests(now, b.Rests)
	m.board.PeerKeeps(b.Keeps)
	m.refreshLive()
}

// demandHeard takes what teams asked and used at another instance. What was used
// before this instance heard of the other is not counted.
func (m *Model) demandHeard(now time.Time, p *peer, demand []Demand) {
	p.demand = make(map[uint32]float64, len(demand))
	for _, d := range demand {
		p.demand[d.Team] = float64(d.TenthsPerSecond) / 10
		before, known := p.used[d.Team]
		p.used[d.Team] = d.Used
		if !known && !p.fromStart || d.Used <= before {
			continue
		}
		if t, ok := m.byHash[d.Team]; ok {
			t.fleet.Spend(now, float64(d.Used-before))
		}
	}
}

// forgetSilent drops what silent instances said.
func (m *Model) forgetSilent(now time.Time) {
	silentAfter := newsTime(len(m.peers)+1) + silentMargin
	for id, p := range m.peers {
		age := now.Sub(p.heard)
		if age > silentAfter && !p.silent {
			p.silent = true
			m.board.ForgetPeer(id)
		}
		if age > forgottenAfter {
			delete(m.peers, id)
			m.told = len(m.peers) + 1
		}
	}
	m.refreshLive()
}

// refreshLive lists the instances that are heard, this one included.
func (m *Model) refreshLive() {
	m.live = m.live[:0]
	m.live = append(m.live, m.id)
	for id, p := range m.peers {
		if !p.silent && !p.beat.Leaving {
			m.live = append(m.live, id)
		}
	}
	slices.Sort(m.live)
}

// refreshRates renews this instance's parts of the teams' rates and of the
// retry budgets.
func (m *Model) refreshRates(now time.Time) {
	if m.config == nil {
		return
	}
	fleet := m.fleet()
	for name, t := range m.teams {
		team, ok := m.config.Teams()[name]
		if !ok || team.Rate <= 0 {
			continue
		}
		others := 0.0
		for _, p := range m.peers {
			if !p.silent {
				others += p.demand[t.hash]
			}
		}
		t.setRate(now, team, fleet, others)
	}
}

// setRate takes a team's rate and burst, and the demand at other instances.
func (t *teamState) setRate(now time.Time, team *router.Team, fleet rationer.Fleet, others float64) {
	own := t.demand.Rate(now)
	part := rationer.Part(fleet, own, others)
	t.whole = fleet.Whole()
	t.news = newsTime(fleet.Heard)
	t.others = others
	if t.share == 0 {
		t.share = 1 / float64(fleet.Known)
	}
	if own+others > 0 {
		t.share += shareLearn * (own/(own+others) - t.share)
	}
	t.fleet.SetDebt(debtTime.Seconds() * team.Rate)
	t.fleet.SetRate(now, team.Rate, max(team.Burst, 1))
	t.part.SetRate(now, team.Rate*part, max(partBurst*team.Burst*part, 1))
}

// take lets a request through or refuses it. Chance is a random number from 0 to
// 1.
func (t *teamState) take(now time.Time, team *router.Team, chance float64) bool {
	own := t.part.Take(now)
	if !t.whole && !own || t.whole && chance >= t.chanceLeft(now, team) {
		return false
	}
	t.fleet.Spend(now, 1)
	t.used++
	return true
}

// chanceLeft returns the part of the requests that may be let through.
func (t *teamState) chanceLeft(now time.Time, team *router.Team) float64 {
	left := t.fleet.Tokens(now)
	if left < 0 {
		return 0
	}
	news := t.news.Seconds()
	give := team.Rate*news + leftGain*(left-leftAim*team.Burst)
	return give / max(t.expected(now)*news, 1)
}

// expected returns the demand over the fleet. A surge shows here before the
// others' heartbeats tell of it.
func (t *teamState) expected(now time.Time) float64 {
	own := t.demand.Rate(now)
	all := own + t.others
	if t.demand.Count(now) >= surgeCount {
		all = max(all, own/max(t.share, 1e-3))
	}
	return all
}

// giveBack returns the token of a request that did not run.
func (t *teamState) giveBack() {
	t.part.Put(1)
	t.fleet.Put(1)
	t.used--
}

const (
	// startPart is the part of a burst that an instance takes to be left when it
	// starts: others, or it itself before, may have used the rest.
	startPart = 0.25
	// leftAim is the part of a burst that is aimed to be left while a team asks
	// for more than its rate, leftGain the part of the difference that is given
	// out until news reaches all; a whole one would be given out twice.
	leftAim  = 0.3
	leftGain = 0.5
	// surgeCount is the number of requests within a meter's memory from which on
	// they tell of the demand at other instances too.
	surgeCount = 5
	// shareLearn weighs a new measurement of the share, five times a second.
	shareLearn = 0.02
	// partBurst is the part of its share of a burst that an instance may use
	// before others hear of it.
	partBurst = 0.4
	// debtTime is the time of a team's rate that is made up for at most.
	debtTime = 6 * time.Second
	// nearBeat is the time between two heartbeats to instances of the region,
	// while there are few instances.
	nearBeat = 200 * time.Millisecond
	// FarBeats is how many heartbeats other regions get one of.
	FarBeats = 2
	// manyInstances is the number of instances above which heartbeats become
	// rarer, so that the bytes of an instance stay bounded.
	manyInstances = 16
	// newsMargin covers the way of a heartbeat and its jitter.
	newsMargin = 150 * time.Millisecond
)

// BeatEvery returns the mean time between two heartbeats of an instance.
func BeatEvery(instances int) time.Duration {
	if instances <= manyInstances {
		return nearBeat
	}
	return nearBeat * time.Duration(instances) / manyInstances
}

// newsTime returns how long it takes until all instances have heard of what one
// did.
func newsTime(instances int) time.Duration {
	return FarBeats*BeatEvery(instances) + newsMargin
}

// teamOf returns the state of a team.
func (m *Model) teamOf(now time.Time, name string) *teamState {
	t, ok := m.teams[name]
	if !ok {
		t = &teamState{hash: placer.Hash32(name)}
		m.teams[name] = t
		m.byHash[t.hash] = t
		team := m.config.Teams()[name]
		t.fleet.Start(now, startPart*team.Burst)
		t.part.Start(now, startPart*team.Burst*rationer.Part(m.fleet(), 0, 0))
		t.setRate(now, team, m.fleet(), 0)
	}
	return t
}

// retryOf returns this instance's part of a service's retry budget. It earns a
// part of each request and keeps an even part of the extra.
func (m *Model) retryOf(now time.Time, service string) *retryState {
	r, ok := m.retries[service]
	if !ok {
		r = &retryState{}
		extra := m.bounds.RetryExtra / float64(max(m.fleet().Known, minFleet))
		r.bucket.SetRate(now, 0, max(extra*extraUsed, 1))
		m.retries[service] = r
	}
	return r
}

const (
	// minFleet is the number of instances that a retry budget is divided by at
	// least; some may be added.
	minFleet = 12
	// extraUsed is the part of the retry budget's extra that is used; the rest
	// covers instances that start anew within a window.
	extraUsed = 0.5
	// ratioUsed is the part of the retry budget's ratio that is used.
	ratioUsed = 0.85
)

// Beat returns what this instance tells the others.
func (m *Model) Beat(now time.Time) Beat {
	b := Beat{
		ID: m.id, Region: m.region, Zone: m.zone, Leaving: !m.stopping.IsZero(),
		Config: m.Version(), Fleet: uint32(m.told), Loads: m.board.Loads(), Touches: m.board.TakeTouches(), Rests: m.board.Rests(now), Keeps: m.board.Keeps(),
	}
	for _, t := range m.teams {
		if rate := t.demand.Rate(now); rate > leastDemand {
			b.Demand = append(b.Demand, Demand{Team: t.hash, TenthsPerSecond: uint32(rate * 10), Used: t.used})
		}
	}
	return b
}

// leastDemand is the least rate per second that is told to others.
const leastDemand = 0.05

// Addresses returns where callers from a zone should connect: the instances of
// their zone, else those of their region, else all.
func (m *Model) Addresses(now time.Time, self string, region, zone string) []string {
	var inZone, inRegion, all []string
	add := func(address, r, z string) {
		all = append(all, address)
		if r == region {
			inRegion = append(inRegion, address)
		}
		if z == zone {
			inZone = append(inZone, address)
		}
	}
	if m.stopping.IsZero() {
		add(self, m.region, m.zone)
	}
	for _, p := range m.peers {
		if !p.beat.Leaving && now.Sub(p.heard) < goneAfter {
			add(p.beat.Callers, p.beat.Region, p.beat.Zone)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone
	case len(inRegion) > 0:
		return inRegion
	case len(all) > 0:
		return all
	}
	return []string{self}
}

// Turn returns this instance's place among those that hear from the store, in an
// order that all agree on.
func (m *Model) Turn() int {
	own := placer.Hash32(m.id)
	place := 0
	for _, p := range m.peers {
		hears := !p.silent && !p.beat.Leaving && !p.beat.Blind
		if hears && placer.Hash32(p.beat.ID) < own {
			place++
		}
	}
	return place
}

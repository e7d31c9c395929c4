package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

const (
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

// Audience is to whom a heartbeat goes.
type Audience int

const (
	// Near are the instances of the region.
	Near Audience = iota
	// Far are those of other regions, which get one heartbeat of FarBeats.
	Far
	audiences
)

const (
	// wholeEvery is the number of heartbeats to an audience of which one tells of
	// all teams, for instances that are new or missed one.
	wholeEvery = 8
	// leastDemand is the least rate per second that is told to others.
	leastDemand = 0.05
	// fellTo is the part of a rate that was told below which it is told again
	// although nothing was let through since.
	fellTo = 0.5
)

// toldDemand is what an audience was last told of a team.
type toldDemand struct {
	used   uint64
	tenths uint32
}

// Beat returns what this instance tells an audience. Between whole heartbeats
// only the teams are told of which there is something new, since there are many
// teams and heartbeats and few requests between two.
func (m *Model) Beat(now time.Time, to Audience) Beat {
	whole := m.beats[to]%wholeEvery == 0
	m.beats[to]++
	b := Beat{
		ID: m.id, Region: m.region, Zone: m.zone, Leaving: !m.stopping.IsZero(),
		Config: m.Version(), Fleet: uint32(m.told), Loads: m.board.Loads(), Touches: m.touchesFor(to),
		Rests: m.board.Rests(now), Keeps: m.board.Keeps(), WholeDemand: whole,
	}
	for _, t := range m.teams {
		if d, ok := t.tell(now, to, whole); ok {
			b.Demand = append(b.Demand, d)
		}
	}
	return b
}

// touchesFor returns the news of warm objects that an audience doesn't have.
func (m *Model) touchesFor(to Audience) []placer.Touch {
	fresh := m.board.TakeTouches()
	for a := range m.touches {
		kept := append(m.touches[a], fresh...)
		m.touches[a] = kept[max(len(kept)-touchesMost, 0):]
	}
	touches := m.touches[to]
	m.touches[to] = nil
	return touches
}

// touchesMost bounds the news of warm objects that wait for a heartbeat, so that
// one fits a datagram.
const touchesMost = 128

// tell returns what an audience should hear of the team now, if anything.
func (t *teamState) tell(now time.Time, to Audience, whole bool) (Demand, bool) {
	rate := t.demand.Rate(now)
	d := Demand{Team: t.hash, TenthsPerSecond: uint32(rate * 10), Used: t.used}
	if rate <= leastDemand {
		d.TenthsPerSecond = 0
	}
	old := t.told[to]
	fell := float64(d.TenthsPerSecond) < fellTo*float64(old.tenths)
	if d.Used == old.used && !fell && (!whole || d.TenthsPerSecond == 0) {
		return Demand{}, false
	}
	t.told[to] = toldDemand{used: d.Used, tenths: d.TenthsPerSecond}
	return d, true
}

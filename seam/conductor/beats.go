package conductor

import (
	"time"

	"primroseseam.org/seam/placer"
)

const (
	// nearBeat is the time between two heartbeats to instances of the region.
	// Loads that are older than a run takes say little, and instances that spread
	// their requests by them meet at the same endpoints.
	nearBeat = 200 * time.Millisecond
	// farBeat is that to other regions, where few requests go.
	farBeat = 400 * time.Millisecond
	// manyNear and manyInstances are the numbers of instances, in the region and
	// in all, above which heartbeats become rarer, so that the bytes of an
	// instance stay bounded.
	manyNear      = 32
	manyInstances = 16
	// newsMargin covers the way of a heartbeat and its jitter.
	newsMargin = 150 * time.Millisecond
)

// HeartbeatInterval returns the mean time between two heartbeats to an audience, where
// there are a number of instances in the region and in all.
func HeartbeatInterval(to Audience, near, all int) time.Duration {
	if to == SameRegion {
		return stretch(nearBeat, near, manyNear)
	}
	return stretch(farBeat, all, manyInstances)
}

// stretch lengthens a time by how many times there are more than many.
func stretch(d time.Duration, count, many int) time.Duration {
	return d * time.Duration(max(count, many)) / time.Duration(many)
}

// newsTime returns how long it takes until all instances have heard of what one
// did.
func newsTime(instances int) time.Duration {
	return HeartbeatInterval(OtherRegions, 0, instances) + newsMargin
}

// Audience is to whom a heartbeat goes.
type Audience int

const (
	// SameRegion are the instances of the region.
	SameRegion Audience = iota
	// OtherRegions are those of other regions.
	OtherRegions
	audiences
)

const (
	// wholeEvery is the number of heartbeats to an audience of which one is whole,
	// for instances that missed one, and firstWhole how many are at the start.
	wholeEvery = 8
	firstWhole = 3
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

// Heartbeat returns what this instance tells an audience. Between whole heartbeats
// only the teams are told of which there is something new, since there are many
// teams and heartbeats and few requests between two.
func (m *Model) Heartbeat(now time.Time, to Audience) Heartbeat {
	leaving := !m.stopping.IsZero()
	b := m.common(now)
	b.Whole = m.beats[to]%wholeEvery == 0 || m.beats[to] < firstWhole || leaving
	b.Touches = m.touchesFor(to)
	m.beats[to]++
	for _, t := range m.teams {
		if d, ok := t.tell(now, to, b.Whole); ok {
			b.Demand = append(b.Demand, d)
		}
	}
	return b
}

// Introduction returns what this instance tells one that it heard for the first
// time.
func (m *Model) Introduction(now time.Time) Heartbeat {
	b := m.common(now)
	b.Whole = true
	for _, t := range m.teams {
		b.Demand = append(b.Demand, t.demandNow(now))
	}
	return b
}

// common returns what all heartbeats hold.
func (m *Model) common(now time.Time) Heartbeat {
	return Heartbeat{
		ID: m.id, Region: m.region, Zone: m.zone, Leaving: !m.stopping.IsZero(), FleetSize: uint32(m.told),
		Loads: m.board.Loads(), Rests: m.board.Rests(now), Keeps: m.board.Keeps(),
	}
}

// touchesFor returns the news of warm objects that an audience doesn't have.
func (m *Model) touchesFor(to Audience) []placer.WarmObject {
	fresh := m.board.TakeWarmObjects()
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
	d := t.demandNow(now)
	old := t.told[to]
	fell := float64(d.TenthsPerSecond) < fellTo*float64(old.tenths)
	if d.Admitted == old.used && !fell && (!whole || d.TenthsPerSecond == 0) {
		return Demand{}, false
	}
	t.told[to] = toldDemand{used: d.Admitted, tenths: d.TenthsPerSecond}
	return d, true
}

// demandNow returns the team's demand.
func (t *teamState) demandNow(now time.Time) Demand {
	d := Demand{Team: t.hash, Admitted: t.used}
	if rate := t.demand.Rate(now); rate > leastDemand {
		d.TenthsPerSecond = uint32(rate * 10)
	}
	return d
}

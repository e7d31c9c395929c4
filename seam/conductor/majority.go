package conductor

import (
	"maps"
	"time"

	"primroseseam.org/seam/rationer"
)

const (
	// storeContactLimit is how long after the store's last answer to any live instance the store
	// counts as lost. storeReturnDelay is how long it must then answer again: by then, others
	// that took this instance for absent have seen its entry change.
	storeContactLimit = 5 * time.Second
	storeReturnDelay  = 8 * time.Second
)

// refreshStoreContact notes how long ago the store last answered a live instance.
func (m *Model) refreshStoreContact(now time.Time, age time.Duration) {
	m.storeContactAt = later(m.storeContactAt, now.Add(-age))
	switch {
	case now.Sub(later(m.storeContactAt, m.firstUpdate)) > storeContactLimit:
		m.storeLostAt = now
	case now.Sub(m.storeLostAt) > storeReturnDelay:
		m.storeLostAt = time.Time{}
	}
}

// refreshReportedFleetSize counts the instances by what others report, as long as this instance has
// no list of its own. It has no count at first.
func (m *Model) refreshReportedFleetSize(now time.Time) {
	m.reportedFleetSize = 0
	if m.hasList || now.Sub(m.firstUpdate) > assumedFleetPeriod {
		m.reportedFleetSize = m.knownInstances
	}
	if m.hasList {
		return
	}
	for p := range maps.Values(m.peers) {
		m.reportedFleetSize = max(m.reportedFleetSize, int(p.lastHeartbeat.FleetSize))
	}
}

// settleTime is how long an instance must be known until it counts for a majority. By then the other
// instances know of it too, so that a cut doesn't leave two parts that both count it.
const settleTime = 8 * time.Second

// isYoung reports whether this instance started less than settleTime ago.
func (m *Model) isYoung() bool { return m.lastUpdate.Sub(m.firstUpdate) < settleTime }

// countNewInstances counts the live instances that don't count for a majority yet. A young instance
// doesn't know which ones are new: it has a majority if one of the older ones has.
func (m *Model) countNewInstances() int {
	if m.isYoung() {
		if m.olderAreApart() {
			return m.liveCount
		}
		return 0
	}
	count := 0
	if m.lastUpdate.Sub(m.lastNewAt) >= settleTime {
		return count
	}
	for _, p := range m.peers {
		if !p.silent && !p.lastHeartbeat.Leaving && m.lastUpdate.Sub(p.knownSince) < settleTime {
			count++
		}
	}
	return count
}

// olderAreApart reports whether there are live instances that are older than this one by settleTime
// or more, and all of them are without a majority.
func (m *Model) olderAreApart() bool {
	older := false
	for _, p := range m.peers {
		hb := p.lastHeartbeat
		if p.silent || hb.Leaving || hb.StartedAtMs+settleTime.Milliseconds() > m.startedAtMs {
			continue
		}
		if !hb.Apart {
			return false
		}
		older = true
	}
	return older
}

// knownSince returns since when an instance has been known that a heartbeat arrives from for the first
// time. A young instance doesn't know how old those are that it finds; they count as known from the start.
func (m *Model) knownSince(now time.Time, id string) time.Time {
	r, listed := m.registrations[id]
	switch {
	case listed:
		return r.firstSeenAt
	case m.isYoung():
		return time.Time{}
	}
	return now
}

// divided reports whether there are live instances which this one receives no heartbeats from.
func (m *Model) divided(now time.Time) bool {
	return !m.hiddenSince.IsZero() && now.Sub(m.hiddenSince) >= hiddenDelay
}

// fleet returns what is known of the fleet. After a start, the number of known instances is at
// least assumedFleetSize. This ends when the store or another instance has reported a number, or
// after assumedFleetPeriod.
func (m *Model) fleet() rationer.Fleet {
	knownInstances := max(m.knownInstances, m.reportedFleetSize)
	if m.reportedFleetSize == 0 && m.lastUpdate.Sub(m.firstUpdate) < assumedFleetPeriod {
		knownInstances = max(knownInstances, assumedFleetSize)
	}
	return rationer.Fleet{
		KnownInstances: knownInstances, LiveInstances: m.liveCount, NewInstances: m.newInstances, Divided: m.divided(m.lastUpdate),
		StoreLost: !m.storeLostAt.IsZero(), OthersAbsent: m.absentOthers,
	}
}

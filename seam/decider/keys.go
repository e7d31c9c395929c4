package decider

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
)

// withdrawnGrace is how long a request that was forwarded may go on after its
// key was withdrawn: long enough for an answer that is about to come, short
// enough to end streams within the promised time.
const withdrawnGrace = 2 * time.Second

// keysStale reports whether the keys are too old to be trusted.
func (m *Model) keysStale(now time.Time) bool {
	return !m.evidence.IsZero() && now.Sub(m.evidence) > m.config.KeyFreshness()
}

// keysChanged takes newer keys. Waiting requests of withdrawn keys are refused;
// forwarded ones are cut after a grace.
func (m *Model) keysChanged(now time.Time, msg KeysChanged) []Cmd {
	m.keys = msg.Keys
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if _, ok := m.keys.TeamAt(r.key, now); ok || !r.cutAt.IsZero() {
			continue
		}
		if r.queued {
			m.services[r.service].queue.Remove(r.team, r.id)
			cmds = append(cmds, m.giveUp(now, r, coder.KeyUnknown, coder.NotRun)...)
			continue
		}
		r.cutAt = now.Add(withdrawnGrace)
		m.cuts = append(m.cuts, cut{at: r.cutAt, id: id})
	}
	return cmds
}

// cut is a request that ends at a time because its key was withdrawn.
type cut struct {
	at time.Time
	id uint64
}

// cutWithdrawn cancels the requests whose grace is over.
func (m *Model) cutWithdrawn(now time.Time) []Cmd {
	var cmds []Cmd
	for len(m.cuts) > 0 && !now.Before(m.cuts[0].at) {
		if r, ok := m.requests[m.cuts[0].id]; ok && r.endpoint != "" {
			cmds = append(cmds, Cancel{ID: r.id, Endpoint: r.endpoint})
		}
		m.cuts = m.cuts[1:]
	}
	return cmds
}

// expireExceptions rebuilds what is in force when an exception expires.
func (m *Model) expireExceptions(now time.Time) {
	if m.config == nil || m.expiry.IsZero() || now.Before(m.expiry) {
		return
	}
	m.config = m.config.At(now)
	m.expiry, _ = m.config.NextExpiry(now)
	m.configureLimits(now)
	m.updatePools()
}

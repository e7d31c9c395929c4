package decider

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
)

// withdrawnKeyGrace is how long a forwarded request may continue after its key was
// withdrawn: long enough for an imminent answer to arrive, short enough to end
// streams within the promised time.
const withdrawnKeyGrace = 2 * time.Second

// keysStale reports whether the last KeyEvidence is older than the configured key
// freshness. Without any KeyEvidence, keys are never stale.
func (m *Model) keysStale(now time.Time) bool {
	return !m.keyEvidenceAt.IsZero() && now.Sub(m.keyEvidenceAt) > m.config.KeyFreshness()
}

// keysChanged replaces the keys. Queued requests whose key is no longer valid are
// refused; forwarded ones are cancelled after a grace period. Requests from peers
// are left alone, since the peer checks their keys.
func (m *Model) keysChanged(now time.Time, msg KeysChanged) []Cmd {
	m.keys = msg.Keys
	var cmds []Cmd
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if r.fromPeer {
			continue
		}
		if _, ok := m.keys.TeamAt(r.key, now); ok || !r.cancelAt.IsZero() {
			continue
		}
		if r.queued {
			m.services[r.service].queue.Remove(r.team, r.id)
			cmds = append(cmds, m.refuse(now, r, coder.KeyUnknown, r.ran, 0)...)
			continue
		}
		r.cancelAt = now.Add(withdrawnKeyGrace)
		m.cancellations = append(m.cancellations, scheduledCancel{at: r.cancelAt, id: id})
	}
	return cmds
}

// scheduledCancel is the time at which a request is cancelled because its key was
// withdrawn.
type scheduledCancel struct {
	at time.Time
	id uint64
}

// cancelWithdrawn cancels the requests whose grace period is over. It does so at
// every tick until they have ended, since an attempt may start after the first
// cancellation.
func (m *Model) cancelWithdrawn(now time.Time) []Cmd {
	var cmds []Cmd
	m.cancellations = slices.DeleteFunc(m.cancellations, func(scheduled scheduledCancel) bool {
		r, ok := m.requests[scheduled.id]
		if ok && !now.Before(scheduled.at) {
			cmds = append(cmds, r.cancelAttempts()...)
		}
		return !ok
	})
	return cmds
}

// expireExceptions rebuilds the configuration in force, the limits and the pools
// when a configuration exception expires.
func (m *Model) expireExceptions(now time.Time) {
	if m.config == nil || m.nextExpiry.IsZero() || now.Before(m.nextExpiry) {
		return
	}
	m.config = m.config.At(now)
	m.nextExpiry, _ = m.config.NextExpiry(now)
	m.configureLimits(now)
	m.updatePools(now)
}

package decider

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
)

// withdrawnKeyGrace is how long a forwarded request may continue after its key was
// withdrawn. It is long enough for an answer that is about to arrive. It is short enough
// to cut off streamed answers before the guaranteed time limit for a withdrawal to take
// effect.
const withdrawnKeyGrace = 2 * time.Second

// keysStale reports whether the keys may be out of date: the time in the last KeyEvidence
// message lies further back than the configured key freshness. Before the first
// KeyEvidence message, it returns false.
func (m *Model) keysStale(now time.Time) bool {
	return !m.keyEvidenceAt.IsZero() && now.Sub(m.keyEvidenceAt) > m.config.KeyFreshness()
}

// keysChanged replaces the keys and then checks the keys of the open requests. If the key
// of a queued request is no longer valid, the request is refused. If the key of a request
// that was forwarded or passed is no longer valid, the request is cancelled after
// withdrawnKeyGrace. Requests from peers are not checked, because the peer checks their
// keys. Requests that wait for a rate token are checked by processOldestWaiter.
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

// scheduledCancel is a request whose key was withdrawn, and the time at which the
// request is cancelled.
type scheduledCancel struct {
	at time.Time
	id uint64
}

// cancelWithdrawn returns commands that cancel requests whose key was withdrawn at least
// withdrawnKeyGrace ago. It runs at every Ticked message. It cancels such a request each
// time until the request has ended, because an attempt may start after a cancellation.
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

// expireExceptions does nothing until the time nextExpiry. Then it removes the expired
// exceptions from the configuration and updates the limits and the pools.
func (m *Model) expireExceptions(now time.Time) {
	if m.config == nil || m.nextExpiry.IsZero() || now.Before(m.nextExpiry) {
		return
	}
	m.config = m.config.At(now)
	m.nextExpiry, _ = m.config.NextExpiry(now)
	m.configureLimits(now)
	m.updatePools(now)
}

package decider

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/coder"
)

// withdrawnKeyGrace is how long a forwarded request may continue after its key was
// withdrawn. It is long enough for an answer that is about to arrive, and short enough
// to cut off streamed answers within the time that is guaranteed for a withdrawal.
const withdrawnKeyGrace = 2 * time.Second

// keysStale reports whether the time of the last key evidence is longer ago than the
// configured key freshness. Keys aren't stale before the first KeyEvidence message.
func (m *Model) keysStale(now time.Time) bool {
	return !m.keyEvidenceAt.IsZero() && now.Sub(m.keyEvidenceAt) > m.config.KeyFreshness()
}

// keysChanged replaces the keys. Of the requests whose key is no longer valid, it refuses
// those that are queued for a slot, and schedules the cancellation of those that were
// forwarded or passed, after withdrawnKeyGrace. Requests from peers are not checked,
// because the peer checks their keys. Requests that wait for a rate token are checked by
// processOldestWaiter.
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

// cancelWithdrawn returns commands that cancel the requests of withdrawn keys whose grace
// period is over. It runs at every Ticked message and cancels a request again until the
// request has ended, because an attempt may start after the first cancellation.
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

// expireExceptions applies the configuration without its expired exceptions to the
// limits and the pools, once the time nextExpiry is reached.
func (m *Model) expireExceptions(now time.Time) {
	if m.config == nil || m.nextExpiry.IsZero() || now.Before(m.nextExpiry) {
		return
	}
	m.config = m.config.At(now)
	m.nextExpiry, _ = m.config.NextExpiry(now)
	m.configureLimits(now)
	m.updatePools(now)
}

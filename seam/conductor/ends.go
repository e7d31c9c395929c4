package conductor

import (
	"fmt"
	"net/http"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/quarantiner"
)

const (
	// endConfirmation is how long after an attempt broke off the endpoint may turn out to have
	// ended. Then the break counts as an end of the endpoint.
	endConfirmation = 5 * time.Second
	// maxBrokenAttempts is the largest number of broken attempts that wait for that.
	maxBrokenAttempts = 256
	// checkInterval is the shortest time between two checks of an endpoint.
	checkInterval = time.Second
)

// EndpointCheck asks for a connection to an endpoint at which an attempt broke off, to find
// out whether the endpoint has ended. The result is an [EndpointChecked] message.
type EndpointCheck struct {
	Endpoint    string
	Address     string
	StartedAtMs int64
}

// TakeEndpointChecks returns the checks to make that have come up since the last call.
func (m *Model) TakeEndpointChecks() []EndpointCheck {
	checks := m.endpointChecks
	m.endpointChecks = nil
	return checks
}

// requestCheck asks for a check of an endpoint, unless it has been asked for a moment ago.
func (m *Model) requestCheck(now time.Time, choice placer.Choice, startedAtMs int64) {
	if now.Sub(m.checkedAt[choice.ID]) < checkInterval || m.balancer.HasEnded(now, choice.ID, startedAtMs) {
		return
	}
	m.checkedAt[choice.ID] = now
	m.endpointChecks = append(m.endpointChecks, EndpointCheck{Endpoint: choice.ID, Address: choice.Address, StartedAtMs: startedAtMs})
}

// endpointChecked applies the result of a check.
func (m *Model) endpointChecked(now time.Time, msg EndpointChecked) {
	if startedAtMs, ok := m.balancer.StartedAtMs(msg.Endpoint); ok && startedAtMs == msg.StartedAtMs && msg.Unreachable {
		m.balancer.RecordUnreachable(now, msg.Endpoint, msg.ConnectionRefused)
	}
	m.confirmEnds(now)
}

// pruneChecks forgets the checks that no longer delay others.
func (m *Model) pruneChecks(now time.Time) {
	for endpoint, at := range m.checkedAt {
		if now.Sub(at) >= checkInterval {
			delete(m.checkedAt, endpoint)
		}
	}
}

// brokenAttempt is an attempt that broke off, perhaps because the endpoint ended.
type brokenAttempt struct {
	endpoint    string
	startedAtMs int64
	end         quarantiner.End
}

// recordEvidence records the outcome of a request's attempt as evidence for or against the
// request's digest, if it is.
func (m *Model) recordEvidence(now time.Time, r *request, o Outcome) {
	if r.digest == 0 {
		return
	}
	if o.Answered && !o.NotRun {
		m.quarantiner.RecordAnswer(now, r.digest)
	}
	if startedAtMs, ok := m.balancer.StartedAtMs(r.choice.ID); ok && o.Broken && len(m.brokenAttempts) < maxBrokenAttempts {
		m.brokenAttempts = append(m.brokenAttempts, brokenAttempt{
			endpoint: r.choice.ID, startedAtMs: startedAtMs,
			end: quarantiner.End{Digest: r.digest, Endpoint: placer.Hash32(r.choice.ID), SentAt: r.sentAt, EndedAt: now},
		})
		m.requestCheck(now, r.choice, startedAtMs)
	}
	m.confirmEnds(now)
}

// confirmEnds passes on the broken attempts whose endpoint turns out to have ended, and drops
// those whose endpoint hasn't ended in time.
func (m *Model) confirmEnds(now time.Time) {
	waiting := m.brokenAttempts[:0]
	for _, a := range m.brokenAttempts {
		switch {
		case m.balancer.HasEnded(now, a.endpoint, a.startedAtMs):
			m.quarantiner.RecordEnd(now, a.end)
		case now.Sub(a.end.EndedAt) < endConfirmation:
			waiting = append(waiting, a)
		}
	}
	m.brokenAttempts = waiting
}

// checkQuarantine refuses a request that is in quarantine; it returns nil for all others.
func (m *Model) checkQuarantine(now time.Time, r *request) []Cmd {
	v, ok := m.quarantiner.Lookup(now, r.digest)
	if !ok {
		return nil
	}
	return []Cmd{Refuse{
		ID: r.id, Status: http.StatusServiceUnavailable, Code: coder.RequestQuarantined, RetryAfter: v.Until.Sub(now),
		Detail: fmt.Sprintf("team=%q route=%q ends=%d lastEnd=%v byPeer=%t version=%d",
			r.teamName(), r.route.Name, v.Ends, now.Sub(v.LastEndAt), v.ByPeer, m.config.Version()),
	}}
}

// TakeQuarantineChanges returns the quarantines that have begun or ended since the last call.
func (m *Model) TakeQuarantineChanges() []quarantiner.Change { return m.quarantiner.TakeChanges() }

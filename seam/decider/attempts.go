package decider

import (
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/picker"
)

// maxAttempts bounds the attempts of one request at endpoints and peers together.
const maxAttempts = 3

// route passes a request to the service's slot owner. It forwards the request to
// an endpoint itself if this instance is the owner, if the policy has no owners,
// if the request must not be passed on, or if an attempt at the owner is in
// flight. avoid is the target of the previous attempt, or ""; if it is an endpoint,
// another one is picked.
func (m *Model) route(now time.Time, r *request, avoid string) []Cmd {
	s := m.services[r.service]
	if _, ok := m.policy.(picker.SingleOwner); ok && !r.local {
		if owner := m.ownerOf(s); owner != m.self.id && r.attemptIndex(owner) < 0 {
			return []Cmd{m.pass(now, r, owner)}
		}
	}
	return m.forwardOrQueue(now, r, avoid)
}

// pass records an attempt at a peer and returns the command for it.
func (m *Model) pass(now time.Time, r *request, to string) Cmd {
	decision := m.decision(now, r)
	r.inFlight = append(r.inFlight, attempt{target: to, peer: true, startedAt: now})
	r.attempts++
	if p, ok := m.peers.byID[to]; ok {
		p.passes = append(p.passes, startedAttempt{id: r.id, startedAt: now})
	}
	return Pass{
		ID: r.id, Peer: to, Home: r.home != "", Team: r.team, Service: r.service,
		Idempotent: r.idempotent, Affinity: r.affinity, Deadline: r.deadline, Decision: decision,
	}
}

// forward picks an endpoint, records an attempt there and returns the command for
// it. It reports false if no endpoint is free.
func (m *Model) forward(now time.Time, r *request, avoid string) (Cmd, bool) {
	s := m.services[r.service]
	choice := picker.Request{Region: m.self.region, Avoid: avoid, Affinity: r.affinity}
	endpoint, ok := s.pool.Pick(now, m.rng, choice)
	if !ok {
		return nil, false
	}
	decision := m.decision(now, r)
	r.queued = false
	r.inFlight = append(r.inFlight, attempt{target: endpoint.Address(), startedAt: now})
	r.attempts++
	s.pool.Started(endpoint.Address())
	if r.idempotent && r.repeatable && r.attempts == 1 {
		s.hedgeCandidates = append(s.hedgeCandidates, startedAttempt{id: r.id, startedAt: now})
	}
	return Forward{
		ID:       r.id,
		Endpoint: endpoint.Address(),
		Deadline: r.deadline,
		Attempt:  r.attempts,
		Decision: decision,
	}, true
}

func (m *Model) forwardEnded(now time.Time, msg ForwardEnded) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return nil
	}
	i := r.attemptIndex(msg.Endpoint)
	if i < 0 {
		return nil
	}
	s := m.services[r.service]
	outcome := outcomeOf(msg)
	s.pool.Ended(now, msg.Endpoint, outcome)
	if outcome == picker.Succeeded {
		s.latency.add(now.Sub(r.inFlight[i].startedAt))
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	cmds := m.handleAttemptResult(now, r, attemptResult{
		target: msg.Endpoint, result: msg.Result, ran: msg.Ran, committed: msg.Committed,
	})
	return append(cmds, m.dispatch(now, s)...)
}

// outcomeOf returns what an attempt shows about its endpoint, for the picker.
func outcomeOf(msg ForwardEnded) picker.Outcome {
	switch {
	case msg.Shed:
		return picker.Shed
	case msg.Result == coder.CallerGone:
		return picker.Neutral
	case msg.Result != coder.OK || msg.Unhealthy:
		return picker.Failed
	}
	return picker.Succeeded
}

// passEnded handles the end of an attempt at a peer. A peer's own refusal is final,
// except that a request which was refused by a stopping slot owner may be retried.
func (m *Model) passEnded(now time.Time, msg PassEnded) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return nil
	}
	i := r.attemptIndex(msg.Peer)
	if i < 0 {
		return nil
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	m.updatePeerHealth(now, msg)
	end := attemptResult{target: msg.Peer, result: msg.Result, ran: msg.Ran, committed: msg.Committed, retryAfter: msg.RetryAfter}
	switch {
	case r.home != "" && !msg.Refused && !msg.Committed:
		// The home gave no answer. An earlier request with the same name may have
		// run there, so the outcome is unknown even if this attempt didn't run.
		end.result, end.ran, end.noRetry = coder.OutcomeUnknown, coder.MayHaveRun, true
	case msg.Refused && msg.Result != coder.Stopping:
		end.noRetry = true
	case msg.Refused:
		end.noRetry = r.home != ""
		end.freeRetry = true
	case msg.Ran == coder.NotRun:
		end.freeRetry = true
	}
	return m.handleAttemptResult(now, r, end)
}

// updatePeerHealth updates the state of a peer after an attempt there. A peer that is
// shutting down gets no more requests, a refusal or an answer shows that the peer is
// alive, and a failure makes it suspected. A timeout or a cancelled request shows
// nothing.
func (m *Model) updatePeerHealth(now time.Time, msg PassEnded) {
	p, ok := m.peers.byID[msg.Peer]
	if !ok {
		return
	}
	switch {
	case msg.Refused && msg.Result == coder.Stopping:
		p.shuttingDown = true
		m.peers.epoch++
	case msg.Refused || msg.Committed:
		p.lastContact = now
	case msg.Result != coder.CallerGone && msg.Result != coder.UpstreamTimeout:
		m.suspect(now, p)
	}
}

// attemptResult describes how one attempt of a request ended.
type attemptResult struct {
	target     string
	result     coder.Code
	ran        coder.Ran
	committed  bool
	retryAfter time.Duration
	// noRetry means that the request must not be retried.
	noRetry bool
	// freeRetry means that no upstream was tried, so a retry costs neither retry
	// budget nor a token of the team.
	freeRetry bool
}

// handleAttemptResult finishes a request and cancels its other attempts once an attempt
// has sent an answer, or a part of one, to the caller. After a failed attempt it waits
// for those still in flight; after the last it retries the request where that is safe,
// or refuses it.
func (m *Model) handleAttemptResult(now time.Time, r *request, e attemptResult) []Cmd {
	if r.answered {
		m.finish(r)
		return nil
	}
	if e.result == coder.OK || e.committed {
		m.finish(r)
		return r.cancelAttempts()
	}
	r.ran = max(r.ran, e.ran)
	if len(r.inFlight) > 0 {
		return nil
	}
	if !r.cancelAt.IsZero() {
		return m.refuse(now, r, coder.KeyUnknown, r.ran, 0)
	}
	if m.allowRetry(now, r, e) {
		return m.route(now, r, e.target)
	}
	return m.refuse(now, r, e.result, r.ran, e.retryAfter)
}

// allowRetry reports whether a request may be retried, and charges the retry unless
// it is free.
func (m *Model) allowRetry(now time.Time, r *request, e attemptResult) bool {
	safe := r.repeatable && (r.idempotent || r.ran == coder.NotRun)
	if e.noRetry || !safe || r.attempts >= maxAttempts || !now.Before(r.deadline) || e.result == coder.CallerGone {
		return false
	}
	return e.freeRetry || m.spendRetryBudget(now, r)
}

// spendRetryBudget charges a retry or hedge to the service's retry budget and to
// the team's rate. It reports false, without a charge, if either has no token.
func (m *Model) spendRetryBudget(now time.Time, r *request) bool {
	s := m.services[r.service]
	if s.budget.Tokens() < 1 || !m.spendTeamToken(now, r) {
		return false
	}
	return s.budget.Spend()
}

// allowHedge reports whether a second attempt may run in parallel to the first, and
// charges it. A request is hedged at most once.
func (m *Model) allowHedge(now time.Time, r *request) bool {
	if r.answered || r.hedged || r.queued || len(r.inFlight) != 1 || !r.idempotent || !r.repeatable {
		return false
	}
	if r.attempts >= maxAttempts || !m.spendRetryBudget(now, r) {
		return false
	}
	r.hedged = true
	return true
}

// hedge sends requests whose first attempt is unusually slow to a second endpoint. A
// request isn't hedged, now or later, if others are queued for the service when its
// first attempt becomes slow. A hedge is charged even if no endpoint is free for it.
func (m *Model) hedge(now time.Time, s *service) []Cmd {
	var cmds []Cmd
	limit := s.latency.hedgeDelay()
	for len(s.hedgeCandidates) > 0 && (s.latency.mean > 0 && now.Sub(s.hedgeCandidates[0].startedAt) > limit || m.requests[s.hedgeCandidates[0].id] == nil) {
		r := m.requests[s.hedgeCandidates[0].id]
		s.hedgeCandidates = s.hedgeCandidates[1:]
		if r == nil || s.queue.Len() > 0 || !m.allowHedge(now, r) {
			continue
		}
		if cmd, ok := m.forward(now, r, r.inFlight[0].target); ok {
			cmds = append(cmds, cmd)
		}
	}
	return cmds
}

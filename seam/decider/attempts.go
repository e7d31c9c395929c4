package decider

import (
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/picker"
)

// maxAttempts is the maximum number of attempts at one request. Attempts at endpoints and
// attempts at peers both count.
const maxAttempts = 3

// route passes a request to the service's slot owner and returns the command for that. In
// any of these cases, it calls forwardOrQueue instead, which forwards the request to an
// endpoint, queues it or refuses it:
//
//   - this instance is the slot owner;
//   - the policy has no slot owners;
//   - the request must not be passed on;
//   - an attempt at the slot owner is in flight.
//
// avoid is the endpoint or peer of the previous attempt, or "". If it is an endpoint, that
// endpoint isn't picked again. If it is a peer, it has no effect.
func (m *Model) route(now time.Time, r *request, avoid string) []Cmd {
	s := m.services[r.service]
	if _, ok := m.policy.(picker.SingleOwner); ok && !r.passForbidden {
		if owner := m.ownerOf(s); owner != m.self.id && r.attemptIndex(owner) < 0 {
			return []Cmd{m.pass(now, r, owner)}
		}
	}
	return m.forwardOrQueue(now, r, avoid)
}

// pass records an attempt at the peer to and returns the command that starts it.
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

// forward picks an endpoint other than avoid, records an attempt there and returns the
// command that starts the attempt. It returns false if no endpoint is free.
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

// forwardEnded handles the end of an attempt at an endpoint. Since that frees a slot, it
// also dispatches queued requests of the service.
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

// outcomeOf returns what the result of an attempt shows about the endpoint's health. The
// pool uses this to avoid failing endpoints.
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

// passEnded handles the end of an attempt at a peer. A request that the peer itself
// refused isn't retried, unless the peer is a slot owner that refused it because it is
// stopping.
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
		// The home neither answered nor refused the request. An earlier request with
		// the same name may have run there, so the outcome is unknown even if this
		// attempt didn't run.
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

// updatePeerHealth updates the state of a peer after an attempt there:
//
//   - A refusal because the peer is stopping marks the peer as shutting down, so that it
//     isn't a slot owner any more.
//   - Any other refusal, or an answer, shows that the peer is alive.
//   - An attempt that timed out or that the caller cancelled changes nothing.
//   - After any other result, the peer is suspected for suspicionPeriod.
func (m *Model) updatePeerHealth(now time.Time, msg PassEnded) {
	p, ok := m.peers.byID[msg.Peer]
	if !ok {
		return
	}
	switch {
	case msg.Refused && msg.Result == coder.Stopping:
		p.shuttingDown = true
		m.peers.epoch++
	case msg.Refused || msg.Committed || msg.Result == coder.OK:
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
	// freeRetry means that a retry costs neither a token of the service's retry budget
	// nor a token of the team's rate. It is set after an attempt at a peer if the peer
	// refused the request because it is stopping, or if no endpoint ran the request.
	freeRetry bool
}

// handleAttemptResult handles the end of an attempt and returns the commands that follow
// from it.
//
//   - If the caller already has an answer or a refusal, no command follows.
//   - If the attempt sent an answer, or part of an answer, to the caller, the request is
//     finished and its other attempts are cancelled.
//   - If the attempt was too late because another attempt is sending its answer to the
//     caller, that other attempt goes on. The request is finished when it ends.
//   - If the attempt failed and other attempts are still in flight, no command follows
//     until these have ended.
//   - If the attempt failed and no other attempt is in flight, the request is retried if
//     allowRetry returns true, and refused otherwise. A request whose key was withdrawn
//     is refused in any case.
func (m *Model) handleAttemptResult(now time.Time, r *request, e attemptResult) []Cmd {
	if r.callerAnswered {
		m.finish(r)
		return nil
	}
	if e.committed {
		m.finish(r)
		return r.cancelAttempts()
	}
	if e.result == coder.OK {
		if len(r.inFlight) == 0 {
			m.finish(r)
		}
		return nil
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

// allowRetry reports whether a request may be retried. A request that may have run is
// retried only if it is idempotent. Unless e.freeRetry is set, a retry costs a token of
// the service's retry budget and a token of the team's rate. allowRetry spends both, and
// returns false if either is missing.
func (m *Model) allowRetry(now time.Time, r *request, e attemptResult) bool {
	safe := r.repeatable && (r.idempotent || r.ran == coder.NotRun)
	if e.noRetry || !safe || r.attempts >= maxAttempts || !now.Before(r.deadline) || e.result == coder.CallerGone {
		return false
	}
	return e.freeRetry || m.spendRetryBudget(now, r)
}

// spendRetryBudget spends the tokens that a retry or hedge costs: one token of the
// service's retry budget and one token of the team's rate. If either is missing, it spends
// neither and returns false.
func (m *Model) spendRetryBudget(now time.Time, r *request) bool {
	s := m.services[r.service]
	if s.budget.Tokens() < 1 || !m.spendTeamToken(now, r) {
		return false
	}
	return s.budget.Spend()
}

// allowHedge reports whether a request may be hedged, which means that another attempt
// runs in parallel to the one in flight. A hedge costs a token of the service's retry
// budget and a token of the team's rate. allowHedge spends both, and returns false if
// either is missing. A request is hedged at most once.
func (m *Model) allowHedge(now time.Time, r *request) bool {
	if r.callerAnswered || r.hedged || r.queued || len(r.inFlight) != 1 || !r.idempotent || !r.repeatable {
		return false
	}
	if r.attempts >= maxAttempts || !m.spendRetryBudget(now, r) {
		return false
	}
	r.hedged = true
	return true
}

// hedge forwards each request whose first attempt is unusually slow to a second endpoint
// and returns the commands for that. A request is considered only once, when its first
// attempt becomes slow: if other requests are queued for the service at that time, hedge
// never hedges it. A hedge costs its tokens even if no second endpoint is free.
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

package decider

import (
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/picker"
)

// maxAttempts bounds how often one request is sent to an upstream or a peer.
const maxAttempts = 3

// route passes a request to the keeper of the service's slots, or forwards it
// from here. It avoids the endpoint of the attempt before.
func (m *Model) route(now time.Time, r *request, avoid string) []Cmd {
	s := m.services[r.service]
	if _, ok := m.policy.(picker.SingleOwner); ok && !r.local {
		if keeper := m.keeperOf(s); keeper != m.self.id && r.leg(keeper) < 0 {
			return []Cmd{m.pass(now, r, keeper)}
		}
	}
	return m.forwardOrQueue(now, r, avoid)
}

// pass hands a request to a peer.
func (m *Model) pass(now time.Time, r *request, to string) Cmd {
	decision := m.decision(now, r)
	r.legs = append(r.legs, leg{target: to, peer: true, at: now})
	r.attempts++
	if p, ok := m.peers.byID[to]; ok {
		p.passes = append(p.passes, startedAttempt{id: r.id, at: now})
	}
	return Pass{
		ID: r.id, Peer: to, Home: r.home != "", Team: r.team, Service: r.service,
		Idempotent: r.idempotent, Affinity: r.affinity, Deadline: r.deadline, Decision: decision,
	}
}

// forward picks an endpoint for a request; it reports false if none is free.
func (m *Model) forward(now time.Time, r *request, avoid string) (Cmd, bool) {
	s := m.services[r.service]
	choice := picker.Request{Region: m.self.region, Avoid: avoid, Affinity: r.affinity}
	endpoint, ok := s.pool.Pick(now, m.rng, choice)
	if !ok {
		return nil, false
	}
	decision := m.decision(now, r)
	r.queued = false
	r.legs = append(r.legs, leg{target: endpoint.Address(), at: now})
	r.attempts++
	s.pool.Started(endpoint.Address())
	if r.idempotent && r.repeatable && r.attempts == 1 {
		s.started = append(s.started, startedAttempt{id: r.id, at: now})
	}
	return Forward{
		ID:       r.id,
		Endpoint: endpoint.Address(),
		Deadline: r.deadline,
		Attempt:  r.attempts,
		Decision: decision,
	}, true
}

func (m *Model) answerEnded(now time.Time, msg ForwardEnded) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return nil
	}
	i := r.leg(msg.Endpoint)
	if i < 0 {
		return nil
	}
	s := m.services[r.service]
	outcome := outcomeOf(msg)
	s.pool.Ended(now, msg.Endpoint, outcome)
	if outcome == picker.Succeeded {
		s.latency.add(now.Sub(r.legs[i].at))
	}
	r.legs = slices.Delete(r.legs, i, i+1)
	cmds := m.settle(now, r, ending{
		target: msg.Endpoint, result: msg.Result, ran: msg.Ran, committed: msg.Committed,
	})
	return append(cmds, m.dispatch(now, s)...)
}

// outcomeOf says what an attempt showed of its endpoint.
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

func (m *Model) passEnded(now time.Time, msg PassEnded) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return nil
	}
	i := r.leg(msg.Peer)
	if i < 0 {
		return nil
	}
	r.legs = slices.Delete(r.legs, i, i+1)
	m.judgePeer(now, msg)
	end := ending{target: msg.Peer, result: msg.Result, ran: msg.Ran, committed: msg.Committed, wait: msg.RetryAfter}
	switch {
	case r.home != "" && !msg.Refused && !msg.Committed:
		// An earlier try of the name may have run at the home.
		end.result, end.ran, end.final = coder.OutcomeUnknown, coder.MayHaveRun, true
	case msg.Refused && msg.Result != coder.Stopping:
		end.final = true
	case msg.Refused:
		end.final = r.home != ""
		end.free = true
	case msg.Ran == coder.NotRun:
		end.free = true
	}
	return m.settle(now, r, end)
}

// judgePeer learns from how an attempt at a peer ended.
func (m *Model) judgePeer(now time.Time, msg PassEnded) {
	p, ok := m.peers.byID[msg.Peer]
	if !ok {
		return
	}
	switch {
	case msg.Refused && msg.Result == coder.Stopping:
		p.left = true
		m.peers.epoch++
	case msg.Refused || msg.Committed:
		p.heard = now
	case msg.Result != coder.CallerGone && msg.Result != coder.UpstreamTimeout:
		m.suspect(now, p)
	}
}

// ending is how one attempt of a request ended.
type ending struct {
	target    string
	result    coder.Code
	ran       coder.Ran
	committed bool
	wait      time.Duration
	// final means that the request isn't tried again.
	final bool
	// free means that no upstream was tried, so that another try costs none of
	// the budget.
	free bool
}

// settle ends a request after an attempt, or tries again where that is safe.
func (m *Model) settle(now time.Time, r *request, e ending) []Cmd {
	if r.answered {
		m.finish(r)
		return nil
	}
	if e.result == coder.OK || e.committed {
		m.finish(r)
		return r.cancelLegs()
	}
	r.ran = max(r.ran, e.ran)
	if len(r.legs) > 0 {
		return nil
	}
	if !r.cutAt.IsZero() {
		return m.giveUp(now, r, coder.KeyUnknown, r.ran, 0)
	}
	if m.mayRetry(now, r, e) {
		return m.route(now, r, e.target)
	}
	return m.giveUp(now, r, e.result, r.ran, e.wait)
}

// mayRetry reports whether a request may be sent again, and pays for it.
func (m *Model) mayRetry(now time.Time, r *request, e ending) bool {
	safe := r.repeatable && (r.idempotent || r.ran == coder.NotRun)
	if e.final || !safe || r.attempts >= maxAttempts || !now.Before(r.deadline) || e.result == coder.CallerGone {
		return false
	}
	return e.free || m.payForRepeat(now, r)
}

// payForRepeat takes the cost of a retry or hedge from the service's budget
// and from the team's tokens.
func (m *Model) payForRepeat(now time.Time, r *request) bool {
	s := m.services[r.service]
	if s.budget.Tokens() < 1 || !m.spendRetry(now, r) {
		return false
	}
	return s.budget.Spend()
}

// mayHedge reports whether a second attempt may run beside the first, and pays
// for it.
func (m *Model) mayHedge(now time.Time, r *request) bool {
	if r.answered || r.hedged || r.queued || len(r.legs) != 1 || !r.idempotent || !r.repeatable {
		return false
	}
	if r.attempts >= maxAttempts || !m.payForRepeat(now, r) {
		return false
	}
	r.hedged = true
	return true
}

// hedge sends unusually slow first attempts to a second endpoint, while no
// other request waits for it.
func (m *Model) hedge(now time.Time, s *service) []Cmd {
	var cmds []Cmd
	limit := s.latency.slow()
	for len(s.started) > 0 && (s.latency.mean > 0 && now.Sub(s.started[0].at) > limit || m.requests[s.started[0].id] == nil) {
		r := m.requests[s.started[0].id]
		s.started = s.started[1:]
		if r == nil || s.queue.Len() > 0 || !m.mayHedge(now, r) {
			continue
		}
		if cmd, ok := m.forward(now, r, r.legs[0].target); ok {
			cmds = append(cmds, cmd)
		}
	}
	return cmds
}

package decider

import (
	"slices"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
	"primroseseam.org/seam/picker"
	"primroseseam.org/seam/queuer"
)

// maxAttempts bounds how often one request is sent to an upstream.
const maxAttempts = 3

// refusalRetryAfter is the shortest time after which a caller should try again.
const refusalRetryAfter = 100 * time.Millisecond

func (m *Model) requestArrived(now time.Time, msg RequestArrived) []Cmd {
	r := &request{id: msg.ID, arrived: now}
	route, code := m.authenticate(r, msg)
	if code != coder.OK {
		return []Cmd{m.refusal(now, r, code, coder.NotRun, 0)}
	}
	svc, _ := m.config.Service(route.Service)
	r.service = svc.Name
	r.idempotent = route.Idempotent
	r.repeatable = msg.Repeatable
	r.deadline = now.Add(time.Duration(svc.Timeout))
	if !msg.Deadline.IsZero() && msg.Deadline.Before(r.deadline) {
		r.deadline = msg.Deadline
	}
	return m.limit(now, r)
}

// authenticate finds the team and the route of a request.
func (m *Model) authenticate(r *request, msg RequestArrived) (configurer.Route, coder.Code) {
	var none configurer.Route
	if m.stopping || m.config == nil {
		return none, coder.Stopping
	}
	if !msg.HasKey {
		return none, coder.KeyMissing
	}
	if m.keysStale(r.arrived) {
		return none, coder.KeyEvidenceStale
	}
	r.key = msg.Key
	name, ok := m.keys.TeamAt(msg.Key, r.arrived)
	if !ok {
		return none, coder.KeyUnknown
	}
	team, ok := m.config.Team(name)
	if !ok {
		return none, coder.KeyUnknown
	}
	route, ok := m.config.Route(msg.Path)
	if !ok {
		return none, coder.RouteUnknown
	}
	if !route.OpenToAll && !slices.Contains(route.Teams, name) {
		return none, coder.RouteUnknown
	}
	r.team = team.Name
	r.weight = team.Weight
	return route, coder.OK
}

// admit forwards a request at once or queues it.
func (m *Model) admit(now time.Time, r *request) []Cmd {
	s := m.services[r.service]
	if !s.pool.Usable(m.self.region) {
		return m.giveUp(now, r, coder.NoUpstream, coder.NotRun)
	}
	if s.queue.Len() == 0 {
		if cmd, ok := m.forward(now, r, ""); ok {
			return []Cmd{cmd}
		}
	}
	item := queuer.Item{ID: r.id, Team: r.team, Weight: r.weight, Deadline: r.deadline}
	if !s.queue.Push(item) {
		return m.giveUp(now, r, coder.QueueFull, coder.NotRun)
	}
	r.queued = true
	return nil
}

// forward picks an endpoint for a request; it reports false if none is free.
func (m *Model) forward(now time.Time, r *request, avoid string) (Cmd, bool) {
	s := m.services[r.service]
	endpoint, ok := s.pool.Pick(m.rng, picker.Request{Region: m.self.region, Avoid: avoid})
	if !ok {
		return nil, false
	}
	r.queued = false
	r.endpoint = endpoint.Address()
	r.attempts++
	s.pool.Started(r.endpoint)
	return Forward{
		ID:       r.id,
		Endpoint: r.endpoint,
		Deadline: r.deadline,
		Attempt:  r.attempts,
		Decision: m.decision(now, r),
	}, true
}

func (m *Model) answerEnded(now time.Time, msg AnswerEnded) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok || r.endpoint != msg.Endpoint {
		return nil
	}
	s := m.services[r.service]
	s.pool.Ended(msg.Endpoint)
	r.endpoint = ""
	cmds := m.settle(now, r, msg)
	return append(cmds, m.dispatch(now, s)...)
}

// settle ends a request after an attempt, or tries again where that is safe.
func (m *Model) settle(now time.Time, r *request, msg AnswerEnded) []Cmd {
	if msg.Result == coder.OK || msg.Committed {
		delete(m.requests, r.id)
		return nil
	}
	if !r.cutAt.IsZero() {
		return m.giveUp(now, r, coder.KeyUnknown, msg.Ran)
	}
	mayRepeat := r.repeatable && (r.idempotent || msg.Ran == coder.NotRun)
	if mayRepeat && r.attempts < maxAttempts && now.Before(r.deadline) {
		if cmd, ok := m.forward(now, r, msg.Endpoint); ok {
			return []Cmd{cmd}
		}
	}
	return m.giveUp(now, r, msg.Result, msg.Ran)
}

func (m *Model) callerLeft(now time.Time, msg CallerLeft) []Cmd {
	r, ok := m.requests[msg.ID]
	if !ok {
		return m.leaveWait(now, msg.ID)
	}
	if r.queued {
		m.services[r.service].queue.Remove(r.team, r.id)
		return m.giveUp(now, r, coder.CallerGone, coder.NotRun)
	}
	return []Cmd{Cancel{ID: r.id, Endpoint: r.endpoint}}
}

func (m *Model) loadReported(now time.Time, msg LoadReported) []Cmd {
	s, ok := m.services[msg.Service]
	if !ok {
		return nil
	}
	s.pool.Reported(msg.Endpoint, msg.Load, now)
	return m.dispatch(now, s)
}

// dispatch forwards waiting requests while endpoints are free.
func (m *Model) dispatch(now time.Time, s *service) []Cmd {
	var cmds []Cmd
	for s.queue.Len() > 0 {
		item, _ := s.queue.Pop()
		r := m.requests[item.ID]
		cmd, ok := m.forward(now, r, "")
		if !ok {
			s.queue.Push(item)
			break
		}
		cmds = append(cmds, cmd)
	}
	return cmds
}

func (m *Model) ticked(now time.Time) []Cmd {
	var cmds []Cmd
	for _, configured := range m.configuredServices() {
		s := m.services[configured.Name]
		for _, item := range s.queue.Expired(now) {
			cmds = append(cmds, m.giveUp(now, m.requests[item.ID], coder.DeadlineUnreachable, coder.NotRun)...)
		}
		cmds = append(cmds, m.dispatch(now, s)...)
	}
	return cmds
}

// giveUp ends a request with a refusal.
func (m *Model) giveUp(now time.Time, r *request, code coder.Code, ran coder.Ran) []Cmd {
	delete(m.requests, r.id)
	return []Cmd{m.refusal(now, r, code, ran, 0)}
}

// refusal spreads the callers' next tries over as long again as the wait.
func (m *Model) refusal(now time.Time, r *request, code coder.Code, ran coder.Ran, wait time.Duration) Refuse {
	wait = max(wait, refusalRetryAfter)
	wait += time.Duration(m.rng.Int64N(int64(wait)))
	return Refuse{ID: r.id, Code: code, Ran: ran, RetryAfter: wait, Decision: m.decision(now, r)}
}

func (m *Model) decision(now time.Time, r *request) Decision {
	return Decision{Team: r.team, Service: r.service, Waited: now.Sub(r.arrived)}
}

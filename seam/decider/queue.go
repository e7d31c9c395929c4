package decider

import (
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/queuer"
)

// waitMarginDivisor is the divisor that yields the safety margin of an estimated wait:
// the margin is the wait divided by waitMarginDivisor. It covers the estimate's error.
const waitMarginDivisor = 4

// forwardOrQueue forwards a request if an endpoint other than avoid is free and no other
// request is queued for the service. Otherwise it queues the request, or refuses it if
// the service has no usable endpoint or if enqueue refuses it. A hedge is neither queued
// nor refused: if it can't be forwarded, nothing happens.
func (m *Model) forwardOrQueue(now time.Time, r *request, avoid string) []Cmd {
	s := m.services[r.service]
	if !s.pool.Usable(now, m.self.region) {
		if len(r.inFlight) > 0 {
			return nil
		}
		return m.refuse(now, r, coder.NoUpstream, r.ran, 0)
	}
	if s.queue.Len() == 0 {
		if cmd, ok := m.forward(now, r, avoid); ok {
			return []Cmd{cmd}
		}
	}
	if len(r.inFlight) > 0 {
		// The request is a hedge. It isn't worth queueing, because the first attempt is
		// still in flight.
		return nil
	}
	return m.enqueue(now, r, s)
}

// enqueue queues a request until a slot is free. It refuses the request if the team's
// queue is full or if the time left until the request's deadline is too short: shorter
// than the estimated wait, plus the safety margin of the wait, plus half of the mean
// duration of an attempt.
func (m *Model) enqueue(now time.Time, r *request, s *service) []Cmd {
	wait := s.estimateWait(s.queue.Ahead(r.team, r.weight)+1, s.pool.Capacity(now, m.self.region))
	if now.Add(wait + wait/waitMarginDivisor + s.latency.meanDuration()/2).After(r.deadline) {
		return m.refuse(now, r, coder.DeadlineUnreachable, r.ran, wait)
	}
	item := queuer.Item{ID: r.id, Team: r.team, Weight: r.weight, Deadline: r.deadline}
	if !s.queue.Push(item) {
		return m.refuse(now, r, coder.QueueFull, r.ran, wait)
	}
	r.queued = true
	return nil
}

// dispatch takes requests of a service from its queue and forwards them, until no
// endpoint is free. It refuses the requests that can no longer meet their deadline.
func (m *Model) dispatch(now time.Time, s *service) []Cmd {
	var cmds []Cmd
	for s.queue.Len() > 0 {
		item, _ := s.queue.Pop()
		r := m.requests[item.ID]
		if m.deadlineUnreachable(now, r, s) {
			cmds = append(cmds, m.refuseUnreachable(now, r, s)...)
			continue
		}
		cmd, ok := m.forward(now, r, "")
		if !ok {
			s.queue.UndoPop(item)
			break
		}
		cmds = append(cmds, cmd)
	}
	return cmds
}

// deadlineUnreachable reports whether the time left until the request's deadline is at
// most half of the mean duration of an attempt.
func (m *Model) deadlineUnreachable(now time.Time, r *request, s *service) bool {
	return !now.Add(s.latency.meanDuration() / 2).Before(r.deadline)
}

// refuseUnreachable refuses a request that was taken from the queue and can't meet its
// deadline. The retry delay that the caller gets is at least the estimated time until the
// requests that are still queued have been served.
func (m *Model) refuseUnreachable(now time.Time, r *request, s *service) []Cmd {
	r.queued = false
	wait := s.estimateWait(s.queue.Len(), s.pool.Capacity(now, m.self.region))
	return m.refuse(now, r, coder.DeadlineUnreachable, r.ran, wait)
}

// loadReported applies an endpoint's report to its pool. Since that may show that slots
// are free, it also dispatches queued requests of the service.
func (m *Model) loadReported(now time.Time, msg LoadReported) []Cmd {
	s, ok := m.services[msg.Service]
	if !ok {
		return nil
	}
	s.pool.ReportLoad(now, msg.Endpoint, msg.Load)
	s.pool.ReportDrain(now, msg.Endpoint, msg.Draining)
	return m.dispatch(now, s)
}

// tickServices checks the peers. Then, for each service, it refuses the queued requests
// that can't meet their deadline, dispatches queued requests, refuses those that have no
// usable endpoint left, and hedges slow requests.
func (m *Model) tickServices(now time.Time) []Cmd {
	cmds := m.checkPeers(now)
	for _, s := range m.orderedServices() {
		for _, item := range s.queue.Expired(now.Add(s.latency.meanDuration() / 2)) {
			cmds = append(cmds, m.refuseUnreachable(now, m.requests[item.ID], s)...)
		}
		cmds = append(cmds, m.dispatch(now, s)...)
		cmds = append(cmds, m.refuseWithoutEndpoint(now, s)...)
		cmds = append(cmds, m.hedge(now, s)...)
	}
	return cmds
}

// refuseWithoutEndpoint refuses all queued requests of a service that has no usable
// endpoint left.
func (m *Model) refuseWithoutEndpoint(now time.Time, s *service) []Cmd {
	var cmds []Cmd
	for s.queue.Len() > 0 && !s.pool.Usable(now, m.self.region) {
		item, _ := s.queue.Pop()
		r := m.requests[item.ID]
		r.queued = false
		cmds = append(cmds, m.refuse(now, r, coder.NoUpstream, r.ran, 0)...)
	}
	return cmds
}

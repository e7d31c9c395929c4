package decider

import (
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/queuer"
)

// waitMarginDivisor sets the safety margin for the error of an estimated wait: the
// wait divided by this number.
const waitMarginDivisor = 4

// forwardOrQueue forwards a request if an endpoint is free, and queues it otherwise.
// It refuses the request if the service has no usable endpoint, or if enqueue does.
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
		// A hedge isn't worth queueing: the first attempt is still in flight.
		return nil
	}
	return m.enqueue(now, r, s)
}

// enqueue queues a request until a slot is free. It refuses the request if it would
// miss its deadline or if the team's queue is full.
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

// dispatch forwards queued requests while endpoints are free, and refuses those that
// can't meet their deadline any more.
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

// deadlineUnreachable reports whether at most half of the mean attempt duration is left
// until the deadline.
func (m *Model) deadlineUnreachable(now time.Time, r *request, s *service) bool {
	return !now.Add(s.latency.meanDuration() / 2).Before(r.deadline)
}

// refuseUnreachable refuses a request that was taken from the queue and can't meet its
// deadline. The retry delay is the estimated time to work off the rest of the queue.
func (m *Model) refuseUnreachable(now time.Time, r *request, s *service) []Cmd {
	r.queued = false
	wait := s.estimateWait(s.queue.Len(), s.pool.Capacity(now, m.self.region))
	return m.refuse(now, r, coder.DeadlineUnreachable, r.ran, wait)
}

func (m *Model) loadReported(now time.Time, msg LoadReported) []Cmd {
	s, ok := m.services[msg.Service]
	if !ok {
		return nil
	}
	s.pool.ReportLoad(now, msg.Endpoint, msg.Load)
	s.pool.ReportDrain(now, msg.Endpoint, msg.Draining)
	return m.dispatch(now, s)
}

// tickServices checks the peers, then refuses, dispatches and hedges the requests of
// each service.
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

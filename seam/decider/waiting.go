package decider

import (
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/queuer"
)

// waitMargin is the part of an estimated wait that is added for its error.
const waitMargin = 4

// forwardOrQueue forwards a request at once, lets it wait for a slot, or
// refuses it if it would wait beyond its deadline.
func (m *Model) forwardOrQueue(now time.Time, r *request, avoid string) []Cmd {
	s := m.services[r.service]
	if !s.pool.Usable(now, m.self.region) {
		if len(r.legs) > 0 {
			return nil
		}
		return m.giveUp(now, r, coder.NoUpstream, r.ran, 0)
	}
	if s.queue.Len() == 0 {
		if cmd, ok := m.forward(now, r, avoid); ok {
			return []Cmd{cmd}
		}
	}
	if len(r.legs) > 0 {
		// A hedge doesn't wait in the queue.
		return nil
	}
	return m.enqueue(now, r, s)
}

func (m *Model) enqueue(now time.Time, r *request, s *service) []Cmd {
	wait := s.estimate(s.queue.Ahead(r.team, r.weight)+1, s.pool.Capacity(now, m.self.region))
	if now.Add(wait + wait/waitMargin + s.latency.Mean()/2).After(r.deadline) {
		return m.giveUp(now, r, coder.DeadlineUnreachable, r.ran, wait)
	}
	item := queuer.Item{ID: r.id, Team: r.team, Weight: r.weight, Deadline: r.deadline}
	if !s.queue.Push(item) {
		return m.giveUp(now, r, coder.QueueFull, r.ran, wait)
	}
	r.queued = true
	return nil
}

// dispatch forwards waiting requests while endpoints are free.
func (m *Model) dispatch(now time.Time, s *service) []Cmd {
	var cmds []Cmd
	for s.queue.Len() > 0 {
		item, _ := s.queue.Pop()
		r := m.requests[item.ID]
		if m.hopeless(now, r, s) {
			cmds = append(cmds, m.abandon(now, r, s)...)
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

// hopeless reports whether a request has too little time left to be answered.
func (m *Model) hopeless(now time.Time, r *request, s *service) bool {
	return !now.Add(s.latency.Mean() / 2).Before(r.deadline)
}

// abandon refuses a request that has left the queue, at once and with the time
// after which the queue ahead of it should be gone.
func (m *Model) abandon(now time.Time, r *request, s *service) []Cmd {
	r.queued = false
	wait := s.estimate(s.queue.Len(), s.pool.Capacity(now, m.self.region))
	return m.giveUp(now, r, coder.DeadlineUnreachable, r.ran, wait)
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

func (m *Model) ticked(now time.Time) []Cmd {
	cmds := m.checkPeers(now)
	for _, s := range m.orderedServices() {
		for _, item := range s.queue.Expired(now.Add(s.latency.Mean() / 2)) {
			cmds = append(cmds, m.abandon(now, m.requests[item.ID], s)...)
		}
		cmds = append(cmds, m.dispatch(now, s)...)
		cmds = append(cmds, m.refuseStranded(now, s)...)
		cmds = append(cmds, m.hedge(now, s)...)
	}
	return cmds
}

// refuseStranded refuses all waiting requests of a service that has no usable
// endpoint left.
func (m *Model) refuseStranded(now time.Time, s *service) []Cmd {
	var cmds []Cmd
	for s.queue.Len() > 0 && !s.pool.Usable(now, m.self.region) {
		item, _ := s.queue.Pop()
		r := m.requests[item.ID]
		r.queued = false
		cmds = append(cmds, m.giveUp(now, r, coder.NoUpstream, r.ran, 0)...)
	}
	return cmds
}

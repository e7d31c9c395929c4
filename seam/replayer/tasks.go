package replayer

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
)

// task is a request at one instance, from a caller or passed on by a peer.
type task struct {
	id       uint64
	call     *call
	service  string
	answered bool
	legs     map[string]attemptKey
	// done, refused and broken tell whoever sent the request how it ended.
	done    func()
	refused func(decider.Refuse)
	broken  func()
}

// receive takes a request from a caller.
func (i *instance) receive(k *call) {
	callers := i.replay.callers
	back := func(tell func()) { i.replay.world.After("", i.replay.toClient(i, k), tell) }
	if !i.alive {
		back(func() { callers.sendElsewhere(k) })
		return
	}
	t := i.newTask(k)
	t.done = func() { i.replay.network.Send(i.info.ID, k.node, func() { callers.answered(k) }) }
	t.refused = func(c decider.Refuse) {
		i.replay.network.Send(i.info.ID, k.node, func() { callers.refused(k, c.Code, c.Ran) })
	}
	t.broken = func() { back(func() { callers.fail(k) }) }
	label := keyOf(k)
	msg := decider.RequestArrived{
		ID: t.id, HasKey: true, Key: authenticator.DigestOf(label), Path: routePath(k.request), Repeatable: true,
	}
	if k.request.Deadline > 0 {
		msg.Deadline = k.sent.Add(time.Duration(k.request.Deadline))
	}
	i.update(msg)
}

func (i *instance) newTask(k *call) *task {
	i.nextID++
	t := &task{id: i.nextID, call: k, legs: map[string]attemptKey{}}
	i.tasks[t.id] = t
	return t
}

// forward sends a request to an endpoint.
func (i *instance) forward(c decider.Forward) {
	t, ok := i.tasks[c.ID]
	if !ok {
		return
	}
	key := attemptKey{instance: i.info.ID, request: c.ID, target: c.Endpoint, attempt: c.Attempt}
	t.legs[c.Endpoint] = key
	t.service = c.Decision.Service
	i.replay.recorder.granted(c.Decision.Team)
	j := &job{key: key, call: t.call, team: c.Decision.Team}
	e := i.replay.endpoints[c.Endpoint]
	i.replay.recorder.moved(i.info.Region, e.config.Region, t.call.request.Bytes)
	i.replay.network.Send(i.info.ID, c.Endpoint, func() {
		e.receive(j, func(answer reply) {
			i.replay.recorder.moved(e.config.Region, i.info.Region, answer.bytes)
			i.replay.network.Send(c.Endpoint, i.info.ID, func() { i.attemptEnded(key, answer) })
		})
	})
	i.atDeadline(c.Deadline, func() { i.attemptTimedOut(key) })
}

func (i *instance) atDeadline(deadline time.Time, run func()) {
	i.replay.world.After(i.info.ID, deadline.Sub(i.replay.world.Now()), run)
}

// leg returns the task of an attempt that is still under way, and ends it.
func (i *instance) leg(key attemptKey) (*task, bool) {
	t, ok := i.tasks[key.request]
	if !ok || t.legs[key.target] != key {
		return nil, false
	}
	delete(t.legs, key.target)
	return t, true
}

// attemptEnded takes an endpoint's answer, unless it was given up before.
func (i *instance) attemptEnded(key attemptKey, answer reply) {
	t, ok := i.leg(key)
	if !ok {
		return
	}
	whole := answer.result == coder.OK && !t.answered
	if whole {
		i.answer(t)
	}
	service := t.service
	i.update(decider.ForwardEnded{
		ID: key.request, Endpoint: key.target, Result: answer.result, Ran: answer.ran,
		Committed: whole, Shed: answer.shed,
	})
	i.forget(t)
	if answer.load < 0 {
		return
	}
	report := decider.LoadReported{Service: service, Endpoint: key.target, Load: answer.load, Draining: answer.draining && i.replay.broken != BreakDrain}
	i.replay.world.After(i.info.ID, i.reportLag(service), func() { i.update(report) })
}

// answer gives the sender its answer and stops the other attempts.
func (i *instance) answer(t *task) {
	t.answered = true
	t.done()
}

// forget drops a task that is answered and has no attempts under way.
func (i *instance) forget(t *task) {
	if t.answered && len(t.legs) == 0 {
		delete(i.tasks, t.id)
	}
}

// attemptTimedOut gives an attempt at an endpoint up at its deadline.
func (i *instance) attemptTimedOut(key attemptKey) {
	if _, ok := i.tasks[key.request]; ok && i.tasks[key.request].legs[key.target] == key {
		i.endAttempt(key, coder.UpstreamTimeout)
	}
}

// endAttempt stops an attempt at an endpoint from this side.
func (i *instance) endAttempt(key attemptKey, result coder.Code) {
	t, ok := i.leg(key)
	if !ok {
		return
	}
	e := i.replay.endpoints[key.target]
	i.replay.network.Send(i.info.ID, key.target, func() { e.cancel(key) })
	i.update(decider.ForwardEnded{ID: key.request, Endpoint: key.target, Result: result, Ran: coder.MayHaveRun})
	i.forget(t)
}

// cancel stops one attempt, as the core says.
func (i *instance) cancel(c decider.Cancel) {
	t, ok := i.tasks[c.ID]
	if !ok {
		return
	}
	key, ok := t.legs[c.Endpoint+c.Peer]
	if !ok {
		return
	}
	// The core gets the end of the attempt as a message of its own.
	i.replay.world.After(i.info.ID, 0, func() {
		if c.Peer != "" {
			i.endPass(key, decider.PassEnded{Result: coder.CallerGone, Ran: coder.MayHaveRun})
			return
		}
		i.endAttempt(key, coder.CallerGone)
	})
}

// refuse ends a request with the core's refusal.
func (i *instance) refuse(c decider.Refuse) {
	t, ok := i.tasks[c.ID]
	if !ok || t.answered {
		return
	}
	if i.replay.broken == BreakNotRun {
		c.Ran = coder.NotRun
	}
	t.answered = true
	t.refused(c)
	i.forget(t)
}

func (i *instance) reportLag(service string) time.Duration {
	for _, u := range i.replay.trace.Header().Upstreams {
		if u.Service == service && u.ReportLag > 0 {
			return time.Duration(u.ReportLag)
		}
	}
	return defaultReportLag
}

func sortedKeys[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}

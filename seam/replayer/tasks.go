package replayer

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
)

// task is an instance's state of a request, from a caller or passed on by a peer.
type task struct {
	id      uint64
	call    *call
	service string
	// answered is also set by a refusal.
	answered bool
	// attempts holds the attempts in flight by endpoint address or peer ID.
	attempts map[string]attemptKey
	// done, refused and connectionLost tell the sender how the request ended.
	done           func()
	refused        func(decider.Refuse)
	connectionLost func()
}

// receive handles a request from a caller.
func (i *instance) receive(k *call) {
	callers := i.replay.callers
	afterLatency := func(deliver func()) { i.replay.world.After("", i.replay.latencyToCaller(i, k), deliver) }
	if !i.alive {
		afterLatency(func() { callers.sendToNext(k) })
		return
	}
	t := i.newTask(k)
	t.done = func() { i.replay.network.Send(i.info.ID, k.node, func() { callers.answered(k) }) }
	t.refused = func(c decider.Refuse) {
		i.replay.network.Send(i.info.ID, k.node, func() { callers.refused(k, c.Code, c.Ran) })
	}
	t.connectionLost = func() { afterLatency(func() { callers.fail(k) }) }
	label := keyLabel(k)
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
	t := &task{id: i.nextID, call: k, attempts: map[string]attemptKey{}}
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
	t.attempts[c.Endpoint] = key
	t.service = c.Decision.Service
	i.replay.recorder.forwarded(c.Decision.Team)
	a := &endpointAttempt{key: key, call: t.call, team: c.Decision.Team}
	e := i.replay.endpoints[c.Endpoint]
	i.replay.recorder.bytesMoved(i.info.Region, e.config.Region, t.call.request.Bytes)
	i.replay.network.Send(i.info.ID, c.Endpoint, func() {
		e.receive(a, func(answer reply) {
			i.replay.recorder.bytesMoved(e.config.Region, i.info.Region, answer.bytes)
			i.replay.network.Send(c.Endpoint, i.info.ID, func() { i.attemptEnded(key, answer) })
		})
	})
	i.atDeadline(c.Deadline, func() { i.attemptTimedOut(key) })
}

// atDeadline runs a function at a deadline, unless the instance crashes before.
func (i *instance) atDeadline(deadline time.Time, run func()) {
	i.replay.world.After(i.info.ID, deadline.Sub(i.replay.world.Now()), run)
}

// takeAttempt removes an attempt in flight from its task and returns the task. It
// returns false if the attempt has already ended.
func (i *instance) takeAttempt(key attemptKey) (*task, bool) {
	t, ok := i.tasks[key.request]
	if !ok || t.attempts[key.target] != key {
		return nil, false
	}
	delete(t.attempts, key.target)
	return t, true
}

// attemptEnded handles an endpoint's answer, unless the attempt has already ended.
// The answer's load report reaches the core after the service's report lag.
func (i *instance) attemptEnded(key attemptKey, answer reply) {
	t, ok := i.takeAttempt(key)
	if !ok {
		return
	}
	committed := answer.result == coder.OK && !t.answered
	if committed {
		i.answer(t)
	}
	service := t.service
	i.update(decider.ForwardEnded{
		ID: key.request, Endpoint: key.target, Result: answer.result, Ran: answer.ran,
		Committed: committed, Shed: answer.shed,
	})
	i.removeIfDone(t)
	if answer.load < 0 {
		return
	}
	report := decider.LoadReported{Service: service, Endpoint: key.target, Load: answer.load, Draining: answer.draining && i.replay.disabled != BreakDrain}
	i.replay.world.After(i.info.ID, i.reportLag(service), func() { i.update(report) })
}

// answer sends the answer to the sender of the request. The core cancels the other
// attempts when it learns of the answer.
func (i *instance) answer(t *task) {
	t.answered = true
	t.done()
}

// removeIfDone removes a task that is answered and has no attempts in flight.
func (i *instance) removeIfDone(t *task) {
	if t.answered && len(t.attempts) == 0 {
		delete(i.tasks, t.id)
	}
}

// attemptTimedOut aborts an attempt at an endpoint if it is still in flight at its
// deadline.
func (i *instance) attemptTimedOut(key attemptKey) {
	if _, ok := i.tasks[key.request]; ok && i.tasks[key.request].attempts[key.target] == key {
		i.abortAttempt(key, coder.UpstreamTimeout)
	}
}

// abortAttempt ends an attempt without waiting for the endpoint's answer, and tells
// the endpoint to cancel it.
func (i *instance) abortAttempt(key attemptKey, result coder.Code) {
	t, ok := i.takeAttempt(key)
	if !ok {
		return
	}
	e := i.replay.endpoints[key.target]
	i.replay.network.Send(i.info.ID, key.target, func() { e.cancel(key) })
	i.update(decider.ForwardEnded{ID: key.request, Endpoint: key.target, Result: result, Ran: coder.MayHaveRun})
	i.removeIfDone(t)
}

// cancel runs the core's command to stop one attempt.
func (i *instance) cancel(c decider.Cancel) {
	t, ok := i.tasks[c.ID]
	if !ok {
		return
	}
	key, ok := t.attempts[c.Endpoint+c.Peer]
	if !ok {
		return
	}
	// The core gets the end of the attempt in a message of its own, after the other
	// commands of this update have run.
	i.replay.world.After(i.info.ID, 0, func() {
		if c.Peer != "" {
			i.endPass(key, decider.PassEnded{Result: coder.CallerGone, Ran: coder.MayHaveRun})
			return
		}
		i.abortAttempt(key, coder.CallerGone)
	})
}

// refuse runs the core's command to refuse a request.
func (i *instance) refuse(c decider.Refuse) {
	t, ok := i.tasks[c.ID]
	if !ok || t.answered {
		return
	}
	if i.replay.disabled == BreakNotRun {
		c.Ran = coder.NotRun
	}
	t.answered = true
	t.refused(c)
	i.removeIfDone(t)
}

// reportLag returns the age at which load reports of a service reach the core.
func (i *instance) reportLag(service string) time.Duration {
	for _, u := range i.replay.trace.Header().Upstreams {
		if u.Service == service && u.ReportLag > 0 {
			return time.Duration(u.ReportLag)
		}
	}
	return defaultReportLag
}

// sortedKeys returns the keys in order, because the order of a map would make
// results differ.
func sortedKeys[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}

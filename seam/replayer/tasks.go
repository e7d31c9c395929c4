package replayer

import (
	"maps"
	"slices"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
)

// task is the state of an open request at an instance. The sender of the request is a
// caller or, if a peer passed the request, this peer.
type task struct {
	id      uint64
	call    *call
	service string
	// responded means that the instance has sent an answer or a refusal to the sender.
	responded bool
	// attempts holds the attempts that haven't ended, by endpoint address or peer ID.
	attempts map[string]attemptKey
	// One of these functions sends the end of the request to the sender: done after an
	// answer, requestRefused after a refusal, and connectionLost after a crash of the
	// instance.
	done           func()
	requestRefused func(decider.Refuse)
	connectionLost func()
}

// receive handles a request that arrives from a caller. If the instance isn't running,
// the caller sends the request to the next instance.
func (i *instance) receive(k *call) {
	callers := i.replay.callers
	afterLatency := func(deliver func()) { i.replay.world.After("", i.replay.latencyToCaller(i, k), deliver) }
	if !i.alive {
		afterLatency(func() { callers.sendToNext(k) })
		return
	}
	t := i.newTask(k)
	t.done = func() { i.replay.network.Send(i.info.ID, k.node, func() { callers.requestAnswered(k) }) }
	t.requestRefused = func(c decider.Refuse) {
		i.replay.network.Send(i.info.ID, k.node, func() { callers.requestRefused(k, c.Code, c.Ran) })
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

// forward runs the core's command to send a request to an endpoint. It also schedules
// the timeout of the attempt at the command's deadline.
func (i *instance) forward(c decider.Forward) {
	t, ok := i.tasks[c.ID]
	if !ok {
		return
	}
	key := attemptKey{instance: i.info.ID, request: c.ID, target: c.Endpoint, attempt: c.Attempt}
	t.attempts[c.Endpoint] = key
	t.service = c.Decision.Service
	i.replay.recorder.requestForwarded(c.Decision.Team)
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

// atDeadline runs a function at a deadline, unless the instance crashes before then.
func (i *instance) atDeadline(deadline time.Time, run func()) {
	i.replay.world.After(i.info.ID, deadline.Sub(i.replay.world.Now()), run)
}

// takeAttempt removes an attempt from its task and returns the task. It returns false if
// the attempt has already ended.
func (i *instance) takeAttempt(key attemptKey) (*task, bool) {
	t, ok := i.tasks[key.request]
	if !ok || t.attempts[key.target] != key {
		return nil, false
	}
	delete(t.attempts, key.target)
	return t, true
}

// attemptEnded handles an endpoint's answer to an attempt. It does nothing if the attempt
// has already ended. The core gets the load report in the answer after a further delay,
// the report lag of the service.
func (i *instance) attemptEnded(key attemptKey, answer reply) {
	t, ok := i.takeAttempt(key)
	if !ok {
		return
	}
	committed := answer.result == coder.OK && !t.responded
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
	report := decider.LoadReported{Service: service, Endpoint: key.target, Load: answer.load, Draining: answer.draining && i.replay.disabledMechanism != BreakDrain}
	i.replay.world.After(i.info.ID, i.reportLag(service), func() { i.update(report) })
}

// answer sends the answer to the sender of the request. Other attempts of the request
// may still be running; the core cancels them once it gets the end of this attempt.
func (i *instance) answer(t *task) {
	t.responded = true
	t.done()
}

// removeIfDone removes a task whose sender has got a response and whose attempts have
// all ended.
func (i *instance) removeIfDone(t *task) {
	if t.responded && len(t.attempts) == 0 {
		delete(i.tasks, t.id)
	}
}

// attemptTimedOut aborts an attempt at an endpoint that hasn't ended by its deadline.
func (i *instance) attemptTimedOut(key attemptKey) {
	if _, ok := i.tasks[key.request]; ok && i.tasks[key.request].attempts[key.target] == key {
		i.abortAttempt(key, coder.UpstreamTimeout)
	}
}

// abortAttempt ends an attempt without waiting for the endpoint's answer, sends a cancel
// to the endpoint and gives the core the result.
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

// cancel runs the core's command to cancel one attempt, at an endpoint or at a peer.
// Exactly one of the command's fields Endpoint and Peer is set.
func (i *instance) cancel(c decider.Cancel) {
	t, ok := i.tasks[c.ID]
	if !ok {
		return
	}
	key, ok := t.attempts[c.Endpoint+c.Peer]
	if !ok {
		return
	}
	// The end of the attempt is a new message to the core. It is scheduled, so that the
	// core's other commands run before the core gets it.
	i.replay.world.After(i.info.ID, 0, func() {
		if c.Peer != "" {
			i.endPass(key, decider.PassEnded{Result: coder.CallerGone, Ran: coder.MayHaveRun})
			return
		}
		i.abortAttempt(key, coder.CallerGone)
	})
}

// refuse runs the core's command to refuse a request. It does nothing if the sender has
// already got a response.
func (i *instance) refuse(c decider.Refuse) {
	t, ok := i.tasks[c.ID]
	if !ok || t.responded {
		return
	}
	if i.replay.disabledMechanism == BreakNotRun {
		c.Ran = coder.NotRun
	}
	t.responded = true
	t.requestRefused(c)
	i.removeIfDone(t)
}

// reportLag returns the delay after which the core gets a load report from an endpoint
// of the service.
func (i *instance) reportLag(service string) time.Duration {
	for _, u := range i.replay.trace.Header().Upstreams {
		if u.Service == service && u.ReportLag > 0 {
			return time.Duration(u.ReportLag)
		}
	}
	return defaultReportLag
}

// sortedKeys returns the keys of a map in ascending order. Loops in the random order of
// the map would make results differ.
func sortedKeys[V any](m map[uint64]V) []uint64 {
	return slices.Sorted(maps.Keys(m))
}

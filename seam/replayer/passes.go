package replayer

import (
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
)

// pass hands a request to another instance.
func (i *instance) pass(c decider.Pass) {
	t, ok := i.tasks[c.ID]
	if !ok {
		return
	}
	i.passes++
	key := attemptKey{instance: i.info.ID, request: c.ID, target: c.Peer, attempt: i.passes}
	t.legs[c.Peer] = key
	to := i.replay.instances[c.Peer]
	i.replay.recorder.moved(i.info.Region, to.info.Region, t.call.request.Bytes)
	i.replay.network.Send(i.info.ID, c.Peer, func() { to.receivePass(i, key, t.call, c) })
	i.atDeadline(c.Deadline, func() {
		i.endPass(key, decider.PassEnded{Result: coder.UpstreamTimeout, Ran: coder.MayHaveRun})
	})
}

// receivePass takes a request that a peer passed on.
func (i *instance) receivePass(from *instance, key attemptKey, k *call, c decider.Pass) {
	back := func(end decider.PassEnded) {
		i.replay.network.Send(i.info.ID, from.info.ID, func() { from.endPass(key, end) })
	}
	if !i.alive {
		back(decider.PassEnded{Result: coder.UpstreamFailed, Ran: coder.NotRun})
		return
	}
	t := i.newTask(k)
	t.done = func() {
		i.replay.recorder.moved(i.info.Region, from.info.Region, k.answerBytes)
		back(decider.PassEnded{Result: coder.OK, Ran: coder.HasRun, Committed: true})
	}
	t.refused = func(c decider.Refuse) {
		back(decider.PassEnded{Result: c.Code, Ran: c.Ran, Refused: true, RetryAfter: c.RetryAfter})
	}
	t.broken = func() { back(decider.PassEnded{Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}) }
	from.passedTo(key, i.info.ID, t.id)
	i.update(decider.PassedRequestArrived{
		ID: t.id, From: from.info.ID, Team: c.Team, Service: c.Service, Idempotent: c.Idempotent,
		Repeatable: true, Affinity: c.Affinity, Deadline: c.Deadline, MayPass: c.Home,
	})
}

// passedTo remembers under which id a peer works on an attempt.
func (i *instance) passedTo(key attemptKey, peer string, id uint64) {
	i.remote[key] = remoteTask{peer: peer, id: id}
}

// remoteTask is a task at another instance.
type remoteTask struct {
	peer string
	id   uint64
}

// endPass takes the end of an attempt at a peer, unless it ended before.
func (i *instance) endPass(key attemptKey, end decider.PassEnded) {
	t, ok := i.leg(key)
	if !ok || !i.alive {
		return
	}
	remote, known := i.remote[key]
	delete(i.remote, key)
	if known && !end.Committed && !end.Refused {
		i.leavePeer(remote)
	}
	end.Committed = end.Committed && !t.answered
	if end.Committed {
		i.answer(t)
	}
	end.ID, end.Peer = key.request, key.target
	i.update(end)
	i.forget(t)
}

// leavePeer tells a peer that nobody waits for its answer.
func (i *instance) leavePeer(r remoteTask) {
	to := i.replay.instances[r.peer]
	i.replay.network.Send(i.info.ID, r.peer, func() {
		if to.alive {
			to.update(decider.CallerLeft{ID: r.id})
		}
	})
}

package replayer

import (
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
)

// pass sends a request to a peer.
func (i *instance) pass(c decider.Pass) {
	t, ok := i.tasks[c.ID]
	if !ok {
		return
	}
	i.passCount++
	key := attemptKey{instance: i.info.ID, request: c.ID, target: c.Peer, attempt: i.passCount}
	t.attempts[c.Peer] = key
	to := i.replay.instances[c.Peer]
	i.replay.recorder.bytesMoved(i.info.Region, to.info.Region, t.call.request.Bytes)
	i.replay.network.Send(i.info.ID, c.Peer, func() { to.receivePass(i, key, t.call, c) })
	i.atDeadline(c.Deadline, func() {
		i.endPass(key, decider.PassEnded{Result: coder.UpstreamTimeout, Ran: coder.MayHaveRun})
	})
}

// receivePass handles a request that a peer passed on.
func (i *instance) receivePass(from *instance, key attemptKey, k *call, c decider.Pass) {
	sendBack := func(end decider.PassEnded) {
		i.replay.network.Send(i.info.ID, from.info.ID, func() { from.endPass(key, end) })
	}
	if !i.alive {
		sendBack(decider.PassEnded{Result: coder.UpstreamFailed, Ran: coder.NotRun})
		return
	}
	t := i.newTask(k)
	t.done = func() {
		i.replay.recorder.bytesMoved(i.info.Region, from.info.Region, k.answerBytes)
		sendBack(decider.PassEnded{Result: coder.OK, Ran: coder.HasRun, Committed: true})
	}
	t.refused = func(c decider.Refuse) {
		sendBack(decider.PassEnded{Result: c.Code, Ran: c.Ran, Refused: true, RetryAfter: c.RetryAfter})
	}
	t.connectionLost = func() { sendBack(decider.PassEnded{Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}) }
	from.recordPeerTask(key, i.info.ID, t.id)
	i.update(decider.PassedRequestArrived{
		ID: t.id, From: from.info.ID, Team: c.Team, Service: c.Service, Idempotent: c.Idempotent,
		Repeatable: true, Affinity: c.Affinity, Deadline: c.Deadline, MayPass: c.Home,
	})
}

// recordPeerTask records the peer's ID of an attempt, for a later cancel.
func (i *instance) recordPeerTask(key attemptKey, peer string, id uint64) {
	i.remote[key] = remoteTask{peer: peer, id: id}
}

// remoteTask identifies a task at a peer.
type remoteTask struct {
	peer string
	id   uint64
}

// endPass ends an attempt at a peer and tells the core, unless the attempt has
// already ended. If the peer has neither answered nor refused, it is told to stop.
func (i *instance) endPass(key attemptKey, end decider.PassEnded) {
	t, ok := i.takeAttempt(key)
	if !ok || !i.alive {
		return
	}
	remote, known := i.remote[key]
	delete(i.remote, key)
	if known && !end.Committed && !end.Refused {
		i.cancelAtPeer(remote)
	}
	end.Committed = end.Committed && !t.answered
	if end.Committed {
		i.answer(t)
	}
	end.ID, end.Peer = key.request, key.target
	i.update(end)
	i.removeIfDone(t)
}

// cancelAtPeer tells a peer that its answer is no longer needed.
func (i *instance) cancelAtPeer(r remoteTask) {
	to := i.replay.instances[r.peer]
	i.replay.network.Send(i.info.ID, r.peer, func() {
		if to.alive {
			to.update(decider.CallerLeft{ID: r.id})
		}
	})
}

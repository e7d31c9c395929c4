package replayer

import (
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
)

// pass runs the core's command to pass a request to a peer, which is another instance.
// The attempt ends with a timeout if the peer has not responded by the deadline.
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

// receivePass handles a request that another instance, from, passed to this one. It
// sends the result back to from over the simulated network.
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
	t.requestRefused = func(c decider.Refuse) {
		sendBack(decider.PassEnded{Result: c.Code, Ran: c.Ran, Refused: true, RetryAfter: c.RetryAfter})
	}
	t.connectionLost = func() { sendBack(decider.PassEnded{Result: coder.UpstreamFailed, Ran: coder.MayHaveRun}) }
	from.recordPeerTask(key, i.info.ID, t.id)
	i.update(decider.PassedRequestArrived{
		ID: t.id, From: from.info.ID, Team: c.Team, Service: c.Service, Idempotent: c.Idempotent,
		Repeatable: true, Affinity: c.Affinity, Deadline: c.Deadline, MayPass: c.Home,
	})
}

// recordPeerTask records which task at the peer handles an attempt, so that the attempt
// can be cancelled later.
func (i *instance) recordPeerTask(key attemptKey, peer string, id uint64) {
	i.remote[key] = remoteTask{peer: peer, id: id}
}

// remoteTask identifies a task at a peer by the peer's ID and the task's ID there.
type remoteTask struct {
	peer string
	id   uint64
}

// endPass ends an attempt at a peer and gives the core the result. It does nothing if
// the attempt has already ended. If the peer has neither answered nor refused the
// request, endPass also cancels the request at the peer.
func (i *instance) endPass(key attemptKey, end decider.PassEnded) {
	t, ok := i.takeAttempt(key)
	if !ok || !i.alive {
		return
	}
	remote, remoteFound := i.remote[key]
	delete(i.remote, key)
	if remoteFound && !end.Committed && !end.Refused {
		i.cancelAtPeer(remote)
	}
	end.Committed = end.Committed && !t.responded
	if end.Committed {
		i.answer(t)
	}
	end.ID, end.Peer = key.request, key.target
	i.update(end)
	i.removeIfDone(t)
}

// cancelAtPeer tells a peer that the result of its task is no longer needed. The
// message has no effect if the peer is down.
func (i *instance) cancelAtPeer(r remoteTask) {
	to := i.replay.instances[r.peer]
	i.replay.network.Send(i.info.ID, r.peer, func() {
		if to.alive {
			to.update(decider.CallerLeft{ID: r.id})
		}
	})
}

package daemon

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/forwarder"
)

// exchange is one request from its arrival to its answer. It carries out the
// loop's commands; several attempts may be under way, and one of them answers.
type exchange struct {
	daemon  *Daemon
	id      uint64
	w       http.ResponseWriter
	out     forwarder.OutgoingRequest
	gate    forwarder.ResponseClaim
	cancels map[string]context.CancelFunc
	ended   chan attemptEnd
	running int
	team    string
	refused bool
	// broken means that the answer failed after a part of it was sent.
	broken bool
}

// attemptEnd is the end of an attempt at an endpoint or a peer.
type attemptEnd struct {
	target string
	result forwarder.Result
}

// attemptsPerRequest is the greatest number of attempts under way at once.
const attemptsPerRequest = 4

// answer gives the loop a new request and follows its commands until the
// caller has its answer. It panics with http.ErrAbortHandler if a part of an
// answer has been sent and the rest can't be, so that the caller never takes a
// part for the whole.
func (d *Daemon) answer(ctx context.Context, w http.ResponseWriter, id uint64, msg decider.Msg, out forwarder.OutgoingRequest) {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{
		daemon: d, id: id, w: w, out: out,
		cancels: map[string]context.CancelFunc{}, ended: make(chan attemptEnd, attemptsPerRequest),
	}
	cmds := d.loop.request(id, msg)
	if _, ok := msg.(decider.RequestArrived); ok {
		d.intake.leave()
	}
	defer d.loop.forget(id)
	started := d.clock.Now()
	x.follow(ctx, cmds)
	if x.team != "" && x.gate.Acquired() && !x.refused {
		d.meters.answered(x.team, d.clock.Since(started))
	}
	cancel()
	for x.running > 0 {
		x.finished(<-x.ended)
	}
	if x.broken {
		panic(http.ErrAbortHandler)
	}
}

// follow carries out commands until the request has its final answer.
func (x *exchange) follow(ctx context.Context, cmds <-chan decider.Cmd) {
	left := ctx.Done()
	for {
		select {
		case <-x.daemon.loop.done:
			x.refuse(decider.Refuse{Code: coder.Stopping, Ran: coder.MayHaveRun})
			return
		case <-left:
			left = nil
			x.daemon.loop.send(decider.CallerLeft{ID: x.id})
		case end := <-x.ended:
			if x.finished(end) {
				return
			}
		case cmd := <-cmds:
			if x.carryOut(ctx, cmd) {
				return
			}
		}
	}
}

// carryOut starts or stops an attempt; it reports true after a refusal.
func (x *exchange) carryOut(ctx context.Context, cmd decider.Cmd) bool {
	switch c := cmd.(type) {
	case decider.Refuse:
		x.refuse(c)
		return true
	case decider.Cancel:
		if cancel, ok := x.cancels[c.Endpoint+c.Peer]; ok {
			cancel()
		}
	case decider.Forward:
		x.team = c.Decision.Team
		out := x.out
		out.Team = c.Decision.Team
		out.ID = fmt.Sprintf("%s-%d-%d", x.daemon.settings.Instance.ID, c.ID, c.Attempt)
		x.start(ctx, c.Endpoint, c.Deadline, func(ctx context.Context) forwarder.Result {
			result := x.daemon.forwarder.Attempt(ctx, &x.gate, x.w, out, c.Endpoint)
			x.daemon.tellAttempt(c, result)
			return result
		})
	case decider.Pass:
		x.team = c.Team
		x.start(ctx, c.Peer, c.Deadline, func(ctx context.Context) forwarder.Result {
			result := x.daemon.passTo(ctx, x, c)
			x.daemon.tellPass(c, result)
			return result
		})
	}
	return false
}

// start runs an attempt beside the others.
func (x *exchange) start(ctx context.Context, target string, deadline time.Time, run func(context.Context) forwarder.Result) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	x.cancels[target] = cancel
	x.running++
	go func() {
		defer cancel()
		x.ended <- attemptEnd{target: target, result: run(ctx)}
	}()
}

// finished notes the end of an attempt; it reports true if that one answered.
func (x *exchange) finished(end attemptEnd) bool {
	x.running--
	delete(x.cancels, end.target)
	if end.result.Committed && end.result.Code != coder.OK {
		x.broken = true
	}
	return end.result.Committed
}

// refuse answers with a refusal, unless an attempt has begun to answer.
func (x *exchange) refuse(c decider.Refuse) {
	x.refused = true
	if x.gate.TryAcquire() {
		refuse(x.w, c)
	}
}

// tellAttempt tells the loop how an attempt at an endpoint ended.
func (d *Daemon) tellAttempt(c decider.Forward, result forwarder.Result) {
	d.meters.attempted(result)
	d.loop.send(decider.ForwardEnded{
		ID:        c.ID,
		Endpoint:  c.Endpoint,
		Result:    result.Code,
		Ran:       result.Ran,
		Committed: result.Committed,
		Shed:      result.Shed,
		Unhealthy: result.Unhealthy,
	})
	if result.Load >= 0 {
		d.loop.send(decider.LoadReported{
			Service: c.Decision.Service, Endpoint: c.Endpoint, Load: result.Load,
			Draining: result.Draining && d.without != UpstreamDrain,
		})
	}
}

// tellPass tells the loop how an attempt at a peer ended.
func (d *Daemon) tellPass(c decider.Pass, result forwarder.Result) {
	d.loop.send(decider.PassEnded{
		ID:         c.ID,
		Peer:       c.Peer,
		Result:     result.Code,
		Ran:        result.Ran,
		Refused:    result.Refused,
		RetryAfter: result.RetryAfter,
		Committed:  result.Committed,
	})
}

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

// exchange handles one request from its arrival to the end of its answer. It executes the
// commands that the decision loop issues for the request. Several attempts (sendings of
// the request to an endpoint or a peer) may run at once. The attempt that acquires the
// claim first answers the caller.
type exchange struct {
	daemon *Daemon
	id     uint64
	w      http.ResponseWriter
	out    forwarder.OutgoingRequest
	claim  forwarder.ResponseClaim
	// cancels holds the functions that cancel the running attempts, by target.
	cancels         map[string]context.CancelFunc
	results         chan attemptResult
	runningAttempts int
	// team is the team that the loop found for the request, or "" until then.
	team    string
	refused bool
	// truncated means that the answer broke off after a part of it was sent to the
	// caller.
	truncated bool
}

// attemptResult is the result of an attempt at target: an endpoint's address or a peer's
// id.
type attemptResult struct {
	target string
	result forwarder.Result
}

// maxConcurrentAttempts is the capacity of the channel for the results of a request's
// attempts. The loop starts fewer attempts per request, so an attempt never blocks when
// it sends its result.
const maxConcurrentAttempts = 4

// answer sends a new request to the loop and executes its commands until the caller has
// an answer and all attempts have ended. If the answer broke off after a part of it was
// sent, it panics with http.ErrAbortHandler. The HTTP server then closes the connection,
// so that the caller doesn't take the truncated answer for a complete one.
func (d *Daemon) answer(ctx context.Context, w http.ResponseWriter, id uint64, msg decider.Msg, out forwarder.OutgoingRequest) {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{
		daemon: d, id: id, w: w, out: out,
		cancels: map[string]context.CancelFunc{}, results: make(chan attemptResult, maxConcurrentAttempts),
	}
	cmds := d.loop.request(id, msg)
	if _, ok := msg.(decider.RequestArrived); ok {
		d.arrivals.end()
	}
	defer d.loop.endDelivery(id)
	started := d.clock.Now()
	x.executeUntilAnswered(ctx, cmds)
	if x.team != "" && x.claim.Acquired() && !x.refused {
		d.meters.observeLatency(x.team, d.clock.Since(started))
	}
	cancel()
	for x.runningAttempts > 0 {
		x.attemptEnded(<-x.results)
	}
	if x.truncated {
		panic(http.ErrAbortHandler)
	}
}

// executeUntilAnswered executes commands until an attempt has answered the caller or the
// request was refused. If the caller disconnects, it reports this to the loop and goes
// on. If the loop has ended, it refuses the request.
func (x *exchange) executeUntilAnswered(ctx context.Context, cmds <-chan decider.Cmd) {
	disconnected := ctx.Done()
	for {
		select {
		case <-x.daemon.loop.done:
			x.refuse(decider.Refuse{Code: coder.Stopping, Ran: coder.MayHaveRun})
			return
		case <-disconnected:
			disconnected = nil
			x.daemon.loop.send(decider.CallerLeft{ID: x.id})
		case attempt := <-x.results:
			if x.attemptEnded(attempt) {
				return
			}
		case cmd := <-cmds:
			if x.execute(ctx, cmd) {
				return
			}
		}
	}
}

// execute executes a command: it starts an attempt, cancels one, or refuses the request.
// It reports whether it refused the request.
func (x *exchange) execute(ctx context.Context, cmd decider.Cmd) bool {
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
		x.startAttempt(ctx, c.Endpoint, c.Deadline, func(ctx context.Context) forwarder.Result {
			result := x.daemon.forwarder.Attempt(ctx, &x.claim, x.w, out, c.Endpoint)
			x.daemon.reportAttempt(c, result)
			return result
		})
	case decider.Pass:
		x.team = c.Team
		x.startAttempt(ctx, c.Peer, c.Deadline, func(ctx context.Context) forwarder.Result {
			result := x.daemon.passTo(ctx, x, c)
			x.daemon.reportPass(c, result)
			return result
		})
	}
	return false
}

// startAttempt calls run in a goroutine, with a context that ends at the deadline, and
// sends the result to x.results.
func (x *exchange) startAttempt(ctx context.Context, target string, deadline time.Time, run func(context.Context) forwarder.Result) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	x.cancels[target] = cancel
	x.runningAttempts++
	go func() {
		defer cancel()
		x.results <- attemptResult{target: target, result: run(ctx)}
	}()
}

// attemptEnded records the end of an attempt. It reports whether this attempt wrote the
// answer to the caller.
func (x *exchange) attemptEnded(attempt attemptResult) bool {
	x.runningAttempts--
	delete(x.cancels, attempt.target)
	if attempt.result.Committed && attempt.result.Code != coder.OK {
		x.truncated = true
	}
	return attempt.result.Committed
}

// refuse answers the caller with a refusal, unless an attempt has already acquired the
// claim.
func (x *exchange) refuse(c decider.Refuse) {
	x.refused = true
	if x.claim.TryAcquire() {
		refuse(x.w, c)
	}
}

// reportAttempt sends the loop the result of an attempt at an endpoint. If the response
// contained the endpoint's load, it sends that too.
func (d *Daemon) reportAttempt(c decider.Forward, result forwarder.Result) {
	d.meters.countAttempt(result)
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
			Draining: result.Draining && d.disabledMechanism != UpstreamDrain,
		})
	}
}

// reportPass sends the loop the result of passing a request to a peer.
func (d *Daemon) reportPass(c decider.Pass, result forwarder.Result) {
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

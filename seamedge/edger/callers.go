package edger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/accepter"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
	"primroseseam.org/seamedge/bufferer"
	"primroseseam.org/seamedge/exchanger"
	"primroseseam.org/seamedge/limiter"
)

// Requests that take slowRequestThreshold or longer are always logged when they are
// answered. They don't count against the limit on routine log lines.
const slowRequestThreshold = time.Second

// callerRequest is the state of a request from a caller.
type callerRequest struct {
	// id identifies the request in messages to the model. requestID is the ID that the
	// caller sent.
	id        uint64
	requestID string
	request   *http.Request
	// ctx ends when the server notices that the caller has disconnected.
	ctx       context.Context
	arrivedAt time.Time
	header    http.Header
	// body is the buffered part of the body; a request whose whole body is buffered can be
	// sent again in another attempt. bodyRemainder reads the part that is streamed; it is
	// nil if the whole body is buffered. bodyLength is the size of both parts together, or
	// -1 if it isn't known.
	body          bufferer.Start
	bodyRemainder io.Reader
	bodyLength    int64
	// account is the account of the caller's connection, and limits are those of the
	// configuration when the request was read.
	account *limiter.Account
	limits  router.Limits
	// digest is the same for all requests that are alike; see digestOf. It is 0 until the
	// request has been read.
	digest uint64
	// lastAnswer is the last valid answer of an endpoint that ran the request, or nil. It
	// is sent to the caller when the model returns a Deliver command.
	lastAnswer *exchanger.Result
	team       string
	// lastSend is the model's command for the last attempt.
	lastSend conductor.Send
	progress answerProgress
}

// answerProgress is how much of the answer to a caller has been written.
type answerProgress int

const (
	answerPending answerProgress = iota
	answerBegun
	answerWritten
)

// serveCaller handles a request from a caller: it reads the request, passes it to the
// model and executes the model's commands until the caller has an answer.
func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.openRequests.Add(1)
	defer e.openRequests.Add(-1)
	ctx, cancel := accepter.WithDisconnectCancel(r.Context())
	defer cancel()
	req := &callerRequest{
		id: e.lastRequestID.Add(1), requestID: r.Header.Get(platform.HeaderRequestID), request: r, ctx: ctx, arrivedAt: time.Now(),
		bodyLength: r.ContentLength, account: accountOf(r),
	}
	defer func() { e.handlePanic(w, req, recover()) }()
	defer func() {
		req.body.Release()
		closeAnswer(req.lastAnswer)
	}()
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if req.account.AwaitTurn(ctx) != nil {
		e.abandon(req, disconnectedBeforeSend)
	}
	if refused := e.readRequest(w, req); refused {
		return
	}
	req.digest = digestOf(req, r.Header.Get(platform.HeaderKey))
	msg := conductor.RequestArrived{
		ID: req.id, Host: r.Host, Path: r.URL.EscapedPath(), Key: r.Header.Get(platform.HeaderKey),
		CallerTimeLeft: callerTimeout(r), ReadAt: req.arrivedAt, BodyStreamed: req.bodyRemainder != nil, Digest: req.digest,
	}
	if affinity := r.Header.Get(platform.HeaderAffinity); affinity != "" {
		msg.Object = placer.Hash32(affinity)
	}
	req.header = forwardHeader(r.Header)
	if accepter.CallerDisconnected(ctx) {
		e.abandon(req, disconnectedBeforeSend)
	}
	cmds := e.update(msg)
	// The message must reach the model even if the handler panics, as it does to abort
	// the connection.
	defer e.update(conductor.RequestEnded{ID: req.id})
	if e.execute(w, req, cmds) {
		return
	}
	if reason, slow := tooSlow(req.account); slow {
		e.refuse(w, req, refuseSlowUpload(reason))
		return
	}
	e.abandon(req, disconnectedBeforeAnswer)
}

// tooSlow reports whether the limiter has given up a request because its caller was too slow to
// send the body, and for which reason.
func tooSlow(a *limiter.Account) (limiter.Reason, bool) {
	reason, leaving := a.Leaving()
	return reason, leaving && (reason == limiter.BodyTimeout || reason == limiter.Stalled)
}

// abandon ends a request whose caller has disconnected before the given stage. It panics
// to abort the connection. Otherwise net/http would send an empty 200 response, which a
// caller that closed only its sending side would take for an answer.
func (e *Edge) abandon(req *callerRequest, before string) {
	e.metrics.recordDisconnect(before)
	e.log.Info("request: caller disconnected", zap.String("request", req.requestID), zap.String("before", before),
		zap.Int("attempts", req.lastSend.Attempt), zap.Duration("took", time.Since(req.arrivedAt)))
	panic(http.ErrAbortHandler)
}

// readRequest checks a request against the limits of the configuration and buffers the start
// of its body. It refuses the request if it is invalid or exceeds a limit, if there is no room
// for it, or if the instance refuses all requests because it is stopping. If the length of the
// body isn't known, the limit on body bytes is checked while the body is read. readRequest
// reports whether it has refused the request.
func (e *Edge) readRequest(w http.ResponseWriter, req *callerRequest) bool {
	refused, ok := e.checkHead(req)
	if ok && req.bodyLength != 0 {
		refused, ok = e.readBody(w, req)
	}
	if ok {
		refused, ok = e.checkRoom(req)
	}
	if !ok {
		e.refuse(w, req, refused)
	}
	return !ok
}

// checkHead checks the head of a request. If the request is to be refused, it returns the
// refusal and false.
func (e *Edge) checkHead(req *callerRequest) (conductor.Refuse, bool) {
	if e.refusingRequests.Load() {
		return conductor.Refuse{Status: http.StatusServiceUnavailable, Code: coder.Stopping, RetryAfter: conductor.StoppingRetryAfter}, false
	}
	if req.requestID == "" {
		return conductor.Refuse{Status: http.StatusBadRequest, Code: coder.RequestMalformed}, false
	}
	e.mu.Lock()
	req.limits = e.model.Limits()
	e.mu.Unlock()
	fields, bytes := headSize(req.request)
	switch {
	case req.limits.HeaderBytes > 0 && bytes > req.limits.HeaderBytes:
		return conductor.Refuse{Status: http.StatusRequestHeaderFieldsTooLarge, Code: coder.RequestMalformed}, false
	case req.limits.BodyBytes > 0 && req.bodyLength > req.limits.BodyBytes:
		return refuseLargeBody(), false
	case !req.account.Begin(fields, bytes, req.arrivedAt.Add(bodyTimeout(req.request))):
		return refuseForRoom(limiter.NoRoom), false
	}
	return conductor.Refuse{}, true
}

// readBody buffers the start of a request's body. A request whose route or key is unknown is
// refused before its body is read. If the request is to be refused, readBody returns the
// refusal and false.
func (e *Edge) readBody(w http.ResponseWriter, req *callerRequest) (conductor.Refuse, bool) {
	e.mu.Lock()
	timeout, refused, ok := e.model.CheckAccess(req.request.Host, req.request.URL.EscapedPath(), req.request.Header.Get(platform.HeaderKey))
	e.mu.Unlock()
	if !ok {
		return refused, false
	}
	if timeout > 0 {
		req.account.LimitBody(req.arrivedAt.Add(timeout))
	}
	body, err := bufferer.Read(req.account, req.request.Body, req.bodyLength)
	if reason, leaving := req.account.Leaving(); leaving {
		body.Release()
		return refuseForRoom(reason), false
	}
	if err != nil {
		// The caller closed the connection early, or the body's framing is invalid.
		return conductor.Refuse{Status: http.StatusBadRequest, Code: coder.RequestMalformed, Detail: err.Error()}, false
	}
	req.body = body
	buffered := int64(len(body.Data))
	switch {
	case req.limits.BodyBytes > 0 && buffered > req.limits.BodyBytes:
		return refuseLargeBody(), false
	case body.NoRoom:
		// Without a buffer, a body that isn't finished would hold an endpoint.
		return refuseForRoom(limiter.NoRoom), false
	case body.More:
		remainder := req.request.Body
		if req.bodyLength < 0 && req.limits.BodyBytes > 0 {
			remainder = http.MaxBytesReader(w, remainder, max(req.limits.BodyBytes-buffered, 0))
		}
		req.bodyRemainder = req.account.Body(remainder)
	default:
		req.bodyLength = buffered
	}
	return conductor.Refuse{}, true
}

// checkRoom marks the request as about to be sent to an endpoint. If the request must make
// room for others instead, checkRoom returns the refusal and false.
func (e *Edge) checkRoom(req *callerRequest) (conductor.Refuse, bool) {
	phase := limiter.AtEndpoint
	if req.bodyRemainder != nil {
		phase = limiter.Streaming
	}
	if reason, ok := req.account.SetPhase(phase); !ok {
		return refuseForRoom(reason), false
	}
	return conductor.Refuse{}, true
}

// noRoomRetryAfter is how long a caller should wait before it retries after a request for
// which there was no room.
const noRoomRetryAfter = 500 * time.Millisecond

// refuseForRoom returns the refusal of a request that the limiter has given up. It has not run.
func refuseForRoom(r limiter.Reason) conductor.Refuse {
	if r == limiter.BodyTimeout || r == limiter.Stalled {
		return conductor.Refuse{Status: http.StatusRequestTimeout, Code: coder.CallerTooSlow, Detail: r.String()}
	}
	return conductor.Refuse{Status: http.StatusServiceUnavailable, Code: coder.NoRoom, RetryAfter: noRoomRetryAfter, Detail: r.String()}
}

// refuseSlowUpload returns the refusal of a request whose caller stopped sending the body after a
// part of it had been sent to an endpoint. Its status doesn't state that the request has not run:
// an endpoint may begin to run a request before it has read the whole body.
func refuseSlowUpload(r limiter.Reason) conductor.Refuse {
	return conductor.Refuse{Status: http.StatusGatewayTimeout, Code: coder.CallerTooSlow, Detail: r.String()}
}

// refuseLargeBody returns the refusal of a request whose body exceeds the limit.
func refuseLargeBody() conductor.Refuse {
	return conductor.Refuse{Status: http.StatusRequestEntityTooLarge, Code: coder.RequestMalformed}
}

// execute executes the model's commands for a request. It returns true when the caller has
// been answered. It returns false if the model returns no more commands before that,
// because the caller has disconnected.
func (e *Edge) execute(w http.ResponseWriter, req *callerRequest, cmds []conductor.Cmd) bool {
	for len(cmds) > 0 {
		if mayUseRoute(cmds[0]) {
			req.account.MarkServed()
		}
		switch cmd := cmds[0].(type) {
		case conductor.Send:
			cmds = e.sendAttempt(w, req, cmd)
		case conductor.Refuse:
			e.refuse(w, req, cmd)
			return true
		case conductor.Deliver:
			e.deliver(w, req, req.lastAnswer)
			return true
		}
	}
	return false
}

// mayUseRoute reports whether the model's command for a request shows that its caller may use
// the route, even if the request is refused.
func mayUseRoute(cmd conductor.Cmd) bool {
	refused, ok := cmd.(conductor.Refuse)
	return !ok || refused.Code != coder.RouteUnknown && refused.Code != coder.KeyUnknown && refused.Code != coder.NoConfiguration
}

// sendAttempt sends the request to the endpoint in cmd, waits for the answer and passes
// the outcome to the model. It returns the model's next commands.
func (e *Edge) sendAttempt(w http.ResponseWriter, req *callerRequest, cmd conductor.Send) []conductor.Cmd {
	req.team = cmd.Team
	req.lastSend = cmd
	req.header.Set(platform.HeaderDeadline, strconv.FormatInt(max(cmd.Budget.Milliseconds(), 1), 10))
	req.header.Set(platform.HeaderExpectInstance, cmd.Endpoint)
	if cmd.HasTeam {
		req.header.Set(platform.HeaderTeam, cmd.Team)
	}
	start := time.Now()
	e.logSend(req, cmd, start)
	if cmd.Attempt > 1 {
		e.metrics.retries.Inc()
	}
	if cmd.Choice.Limited {
		e.metrics.limitedAttempts.Inc()
	}
	if cmd.Attempt == 1 && cmd.Preferred != "" {
		e.metrics.movedRequests.Inc()
	}
	answer := e.exchanger.Do(req.ctx, exchanger.Call{
		Address: cmd.Address, Method: req.request.Method, URI: req.request.RequestURI, Host: req.request.Host,
		Header: req.header, Body: req.body.Data, BodyRemainder: req.bodyRemainder, BodyLength: req.bodyLength,
		RequestID: req.requestID, IDHeader: platform.HeaderRequestID,
		NonIdempotent: !cmd.Idempotent, Deadline: cmd.Deadline, Room: req.account.Spare(),
	})
	outcome := e.classify(req, answer)
	// If the outcome is acceptable, the answer is delivered, so the caller's connection
	// needs no extra check. Otherwise the check avoids a retry for a caller that has
	// disconnected.
	outcome.CallerDisconnected = req.ctx.Err() != nil || !outcome.Acceptable() && accepter.CallerDisconnected(req.ctx)
	e.metrics.recordAttempt(outcome.Answered, time.Since(start).Seconds())
	if invalid := (*exchanger.ResponseError)(nil); errors.As(answer.Err, &invalid) {
		e.metrics.invalidResponses[invalid.Fault()].Inc()
	}
	e.logAttempt(req, cmd, answer, outcome, time.Since(start))
	if outcome.CallerDisconnected {
		e.metrics.closeAfter.Update(answer.CloseAfter.Seconds())
	}
	if answer.DialTime > 0 {
		e.metrics.endpointConnections.Inc()
	}
	if outcome.Leaving || outcome.Pause > 0 {
		e.log.Info("endpoint: no further requests", zap.String("endpoint", cmd.Endpoint), zap.Bool("leaving", outcome.Leaving),
			zap.Duration("pause", outcome.Pause), zap.String("request", req.requestID))
	}
	if answer.SkippedResponses > 0 {
		e.metrics.skippedResponses.Add(answer.SkippedResponses)
		e.log.Warn("endpoint: skipped responses to other requests", zap.String("endpoint", cmd.Endpoint),
			zap.String("request", req.requestID), zap.Uint64("connection", answer.ConnectionID), zap.Int("count", answer.SkippedResponses))
	}
	e.metrics.expectedWait.Update(cmd.Choice.QueueTime.Seconds())
	if cmd.Choice.Region != e.region() {
		e.metrics.otherRegionBodyBytes.Add(len(req.body.Data) + len(answer.Body))
	}
	if outcome.Answered && !outcome.NotRun {
		req.setLastAnswer(&answer)
	} else {
		closeAnswer(&answer)
	}
	cmds := e.update(conductor.AttemptEnded{ID: req.id, Outcome: outcome})
	if outcome.Broken {
		e.startChecks()
	}
	return cmds
}

// setLastAnswer sets the last answer and closes the previous one.
func (req *callerRequest) setLastAnswer(answer *exchanger.Result) {
	closeAnswer(req.lastAnswer)
	req.lastAnswer = answer
}

// closeAnswer closes an answer if that is needed. answer may be nil.
func closeAnswer(answer *exchanger.Result) {
	if answer != nil && answer.Close != nil {
		answer.Close()
	}
}

// isBroken reports whether an error of a call means that the endpoint's side closed or reset
// the connection.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// classify converts the result of an attempt to an outcome for the model.
func (e *Edge) classify(req *callerRequest, answer exchanger.Result) conductor.Outcome {
	outcome := conductor.Outcome{DialTime: answer.DialTime}
	if answer.Err != nil {
		outcome.Unreachable = !answer.MaybeSent && !errors.Is(answer.Err, exchanger.ErrInvalidCall)
		outcome.ConnectionRefused = errors.Is(answer.Err, syscall.ECONNREFUSED)
		outcome.NotRun = !answer.MaybeSent
		outcome.TimedOut = req.ctx.Err() == nil && !time.Now().Before(req.lastSend.Deadline)
		outcome.Broken = answer.MaybeSent && req.ctx.Err() == nil && isBroken(answer.Err)
		return outcome
	}
	outcome.Status = answer.Status
	outcome.Leaving = platform.IsLeaving(answer.Header)
	outcome.Pause = platform.PauseOf(answer.Status, answer.Header, time.Now())
	outcome.Limit = platform.LimitOf(answer.Header)
	outcome.Load = e.loadOf(answer)
	outcome.NotRun = answer.Status == http.StatusMisdirectedRequest || answer.Header.Get(platform.HeaderNotRun) != ""
	// A 2xx answer without the endpoint's signature is not accepted.
	outcome.Answered = answer.Status/100 != 2 || answer.Header.Get(platform.HeaderSignature) != ""
	return outcome
}

// loadOf returns what an answer states of the load of its endpoint. Another endpoint may send a
// 421 response.
func (e *Edge) loadOf(answer exchanger.Result) router.ReportedLoad {
	if answer.Status == http.StatusMisdirectedRequest {
		return router.ReportedLoad{}
	}
	load, valid := platform.LoadOf(answer.Header)
	if !valid {
		e.metrics.invalidLoads.Inc()
	}
	return load
}

// logSend logs to which endpoint a request is sent and the estimates behind the choice.
// First attempts count against the limit on routine log lines and are omitted above it.
// Retries are always logged.
func (e *Edge) logSend(req *callerRequest, cmd conductor.Send, now time.Time) {
	if cmd.Attempt == 1 && !e.logs.AllowRoutine(now) {
		return
	}
	choice := cmd.Choice
	e.log.Info("request: sent", zap.String("request", req.requestID), zap.String("team", cmd.Team),
		zap.String("endpoint", cmd.Endpoint), zap.String("region", choice.Region), zap.String("preferred", cmd.Preferred), zap.Int("attempt", cmd.Attempt),
		zap.Duration("expected", choice.ExpectedLatency), zap.Duration("wait", choice.QueueTime), zap.Bool("warm", choice.ObjectWarm),
		zap.Int("load", choice.AttemptsInFlight), zap.Int("slots", choice.Slots), zap.Float64("slow", choice.Slowdown),
		zap.Bool("limited", choice.Limited), zap.Duration("budget", cmd.Budget),
		zap.Uint64("version", cmd.ConfigVersion), zap.String("digest", formatDigest(req.digest)))
}

// logAttempt logs an attempt if its outcome isn't acceptable, that is, if the model may
// have to retry the request.
func (e *Edge) logAttempt(req *callerRequest, cmd conductor.Send, answer exchanger.Result, outcome conductor.Outcome, took time.Duration) {
	if outcome.Acceptable() {
		return
	}
	e.log.Warn("request: attempt failed", zap.String("request", req.requestID), zap.String("team", cmd.Team),
		zap.String("endpoint", cmd.Endpoint), zap.Int("attempt", cmd.Attempt), zap.Int("status", outcome.Status),
		zap.Bool("notRun", outcome.NotRun), zap.Bool("left", outcome.CallerDisconnected), zap.Bool("timedOut", outcome.TimedOut),
		zap.Bool("broken", outcome.Broken), zap.String("digest", formatDigest(req.digest)), zap.Bool("reused", answer.ConnectionReused), zap.Uint64("connection", answer.ConnectionID), zap.Duration("took", took),
		zap.Duration("closeAfter", answer.CloseAfter), zap.NamedError("error", answer.Err))
}

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
	"primroseseam.org/seamedge/exchanger"
)

const (
	// maxBufferedBody is how many bytes of a caller's body are buffered. A request
	// whose body fits can be sent again; a longer body is streamed.
	maxBufferedBody = 256 << 10
	// stoppingRetryAfter is the Retry-After of a refusal by a stopping instance. It
	// is short because other instances can serve the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// slowRequestThreshold is the duration from which a successful request is always
	// logged.
	slowRequestThreshold = time.Second
)

// callerRequest is the state of a request from a caller.
type callerRequest struct {
	// id identifies the request to the model, requestID is the ID that the caller
	// sent.
	id        uint64
	requestID string
	request   *http.Request
	// ctx ends when the caller disconnects.
	ctx     context.Context
	arrived time.Time
	header  http.Header
	// body is the buffered part of the body, bodyRemainder the part that is streamed, or
	// nil, and bodyLength the size of both, or -1 if it isn't known.
	body          []byte
	bodyRemainder io.Reader
	bodyLength    int64
	// fallback is the last complete answer of an endpoint. It is delivered if no
	// later attempt gets a better one.
	fallback *exchanger.Result
	team     string
	// lastSend is the command of the last attempt.
	lastSend conductor.Send
}

// serveCaller handles a request from a caller.
func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.openRequests.Add(1)
	defer e.openRequests.Add(-1)
	ctx, cancel := accepter.WithDisconnectCancel(r.Context())
	defer cancel()
	req := &callerRequest{
		id: e.lastRequestID.Add(1), requestID: r.Header.Get(platform.HeaderRequestID), request: r, ctx: ctx, arrived: time.Now(),
		bodyLength: r.ContentLength,
	}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := e.readRequest(w, req); refused {
		return
	}
	msg := conductor.RequestArrived{
		ID: req.id, Host: hostWithoutPort(r.Host), Path: r.URL.EscapedPath(), Key: r.Header.Get(platform.HeaderKey),
		CallerTimeLeft: callerTimeout(r), ReadAt: req.arrived, BodyStreamed: req.bodyRemainder != nil,
	}
	if affinity := r.Header.Get(platform.HeaderAffinity); affinity != "" {
		msg.Object = placer.Hash32(affinity)
	}
	req.header = forwardHeader(r.Header)
	if accepter.CallerDisconnected(ctx) {
		e.abandon(req, disconnectedBeforeSend)
	}
	defer func() { closeAnswer(req.fallback) }()
	cmds := e.update(msg)
	// Deferred, since an answer that is cut off ends the handler by a panic.
	defer e.update(conductor.RequestEnded{ID: req.id})
	if !e.execute(w, req, cmds) {
		e.abandon(req, disconnectedBeforeAnswer)
	}
}

// abandon ends a request whose caller has disconnected. It aborts the connection, so
// that a caller that closed only its sending side doesn't take an empty response for
// an answer.
func (e *Edge) abandon(req *callerRequest, before string) {
	e.metrics.recordDisconnect(before)
	e.log.Info("request: caller disconnected", zap.String("request", req.requestID), zap.String("before", before),
		zap.Int("attempts", req.lastSend.Attempt), zap.Duration("took", time.Since(req.arrived)))
	panic(http.ErrAbortHandler)
}

// readRequest checks a request against the limits and buffers its body. It reports
// whether it has refused the request.
func (e *Edge) readRequest(w http.ResponseWriter, req *callerRequest) bool {
	if e.refusing.Load() {
		e.refuse(w, req, conductor.Refuse{Status: http.StatusServiceUnavailable, Code: coder.Stopping, RetryAfter: stoppingRetryAfter})
		return true
	}
	if req.requestID == "" {
		e.refuse(w, req, conductor.Refuse{Status: http.StatusBadRequest, Code: coder.RequestMalformed})
		return true
	}
	e.mu.Lock()
	limits := e.model.Limits()
	e.mu.Unlock()
	if limits.HeaderBytes > 0 && headerBytes(req.request) > limits.HeaderBytes {
		e.refuse(w, req, conductor.Refuse{Status: http.StatusRequestHeaderFieldsTooLarge, Code: coder.RequestMalformed})
		return true
	}
	if limits.BodyBytes > 0 && req.bodyLength > limits.BodyBytes {
		e.refuse(w, req, conductor.Refuse{Status: http.StatusRequestEntityTooLarge, Code: coder.RequestMalformed})
		return true
	}
	if req.bodyLength == 0 {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(req.request.Body, maxBufferedBody))
	if err != nil {
		// The caller closed the connection early, or the body's framing is invalid.
		e.refuse(w, req, conductor.Refuse{Status: http.StatusBadRequest, Code: coder.RequestMalformed, Detail: err.Error()})
		return true
	}
	req.body = body
	switch {
	case len(body) == maxBufferedBody && req.bodyLength != maxBufferedBody:
		req.bodyRemainder = req.request.Body
		if req.bodyLength < 0 && limits.BodyBytes > 0 {
			req.bodyRemainder = http.MaxBytesReader(w, req.request.Body, limits.BodyBytes-maxBufferedBody)
		}
	default:
		req.bodyLength = int64(len(body))
	}
	return false
}

// execute runs the model's commands for a request until the caller has its answer. It
// reports false if the caller disconnected before.
func (e *Edge) execute(w http.ResponseWriter, req *callerRequest, cmds []conductor.Cmd) bool {
	for len(cmds) > 0 {
		switch cmd := cmds[0].(type) {
		case conductor.Send:
			cmds = e.sendAttempt(w, req, cmd)
		case conductor.Refuse:
			e.refuse(w, req, cmd)
			return true
		case conductor.Deliver:
			e.deliver(w, req, req.fallback)
			return true
		}
	}
	return false
}

// sendAttempt makes an attempt at an endpoint and reports its outcome to the model. It
// returns the model's next commands.
func (e *Edge) sendAttempt(w http.ResponseWriter, req *callerRequest, cmd conductor.Send) []conductor.Cmd {
	req.team = cmd.Team
	req.lastSend = cmd
	req.header.Set(platform.HeaderDeadline, strconv.FormatInt(max(cmd.Budget.Milliseconds(), 1), 10))
	req.header.Set(platform.HeaderExpectInstance, cmd.Endpoint)
	if cmd.Team != "" {
		req.header.Set(platform.HeaderTeam, cmd.Team)
	}
	start := time.Now()
	e.logSend(req, cmd, start)
	if cmd.Attempt > 1 {
		e.metrics.retries.Inc()
	}
	answer := e.exchanger.Do(req.ctx, exchanger.Call{
		Address: cmd.Address, Method: req.request.Method, URI: req.request.RequestURI, Host: req.request.Host,
		Header: req.header, Body: req.body, BodyRemainder: req.bodyRemainder, BodyLength: req.bodyLength,
		RequestID: req.requestID, IDHeader: platform.HeaderRequestID,
		NonIdempotent: !cmd.Idempotent, Deadline: cmd.Deadline,
	})
	outcome := e.classify(req, answer)
	// The connection is checked only if there is no answer to deliver.
	outcome.CallerDisconnected = req.ctx.Err() != nil || !outcome.Acceptable() && accepter.CallerDisconnected(req.ctx)
	e.metrics.recordAttempt(outcome.Answered, time.Since(start).Seconds())
	e.logAttempt(req, cmd, answer, outcome, time.Since(start))
	if outcome.CallerDisconnected {
		e.metrics.closeAfter.Update(answer.CloseAfter.Seconds())
	}
	if answer.DialTime > 0 {
		e.metrics.endpointConnections.Inc()
	}
	e.metrics.expectedWait.Update(cmd.Choice.QueueTime.Seconds())
	if cmd.Choice.Region != e.region() {
		e.metrics.otherRegionBodyBytes.Add(len(req.body) + len(answer.Body))
	}
	if outcome.Answered && !outcome.NotRun {
		req.setFallback(&answer)
	} else {
		closeAnswer(&answer)
	}
	return e.update(conductor.AttemptEnded{ID: req.id, Outcome: outcome})
}

// setFallback replaces the fallback answer and closes the previous one.
func (req *callerRequest) setFallback(answer *exchanger.Result) {
	closeAnswer(req.fallback)
	req.fallback = answer
}

// closeAnswer closes an answer whose streamed body will not be read. answer may be
// nil.
func closeAnswer(answer *exchanger.Result) {
	if answer != nil && answer.Close != nil {
		answer.Close()
	}
}

// classify converts an endpoint's answer to an outcome for the model.
func (e *Edge) classify(req *callerRequest, answer exchanger.Result) conductor.Outcome {
	outcome := conductor.Outcome{DialTime: answer.DialTime}
	if answer.Err != nil {
		outcome.Unreachable = !answer.MaybeSent
		outcome.ConnectionRefused = errors.Is(answer.Err, syscall.ECONNREFUSED)
		outcome.NotRun = !answer.MaybeSent
		outcome.TimedOut = req.ctx.Err() == nil && !time.Now().Before(req.lastSend.Deadline)
		return outcome
	}
	outcome.Status = answer.Status
	outcome.NotRun = answer.Status == http.StatusMisdirectedRequest || answer.Header.Get(platform.HeaderNotRun) != ""
	// A 2xx answer without the endpoint's signature is not accepted.
	outcome.Answered = answer.Status/100 != 2 || answer.Header.Get(platform.HeaderSignature) != ""
	return outcome
}

// deliver passes an endpoint's answer on to the caller.
func (e *Edge) deliver(w http.ResponseWriter, req *callerRequest, answer *exchanger.Result) {
	header := w.Header()
	for name, values := range endToEndHeader(answer.Header) {
		header[name] = values
	}
	header.Del(platform.HeaderLoad)
	if answer.BodyRemainder == nil {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	_, err := w.Write(answer.Body)
	if answer.BodyRemainder != nil && err == nil {
		_, err = io.Copy(w, answer.BodyRemainder)
	}
	took := time.Since(req.arrived)
	e.metrics.recordAnswer(coder.OK.String(), answer.Status, req.team, took.Seconds())
	if err != nil {
		e.log.Warn("request: answer was cut off", zap.String("request", req.requestID), zap.Error(err))
		// Abort the connection, so that the caller notices that the answer is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	if answer.Status < http.StatusInternalServerError && took < slowRequestThreshold && !e.logs.AllowRoutine(now) {
		return
	}
	e.log.Info("request: answered", zap.String("request", req.requestID), zap.String("team", req.team), zap.Int("status", answer.Status),
		zap.String("endpoint", req.lastSend.Endpoint), zap.Int("attempts", req.lastSend.Attempt), zap.Duration("took", took))
}

// refuse answers the caller with an error of this instance.
func (e *Edge) refuse(w http.ResponseWriter, req *callerRequest, cmd conductor.Refuse) {
	header := w.Header()
	if cmd.RetryAfter > 0 {
		header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(cmd.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set(platform.HeaderRequestID, req.requestID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := strconv.Itoa(int(cmd.Code)) + " " + cmd.Code.String() + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(cmd.Status)
	// A write error means that the caller has disconnected and needs no answer.
	_, _ = io.WriteString(w, body)
	took := time.Since(req.arrived)
	e.metrics.recordAnswer(cmd.Code.String(), cmd.Status, req.team, took.Seconds())
	e.log.Warn("request: refused", zap.String("request", req.requestID), zap.Int("status", cmd.Status),
		zap.Int("code", int(cmd.Code)), zap.String("reason", cmd.Code.String()), zap.Duration("retryAfter", cmd.RetryAfter),
		zap.String("route", req.request.RequestURI), zap.String("detail", cmd.Detail), zap.Duration("took", took),
		zap.Int("attempts", req.lastSend.Attempt))
}

// logSend logs to which endpoint a request is sent and why. First attempts count
// against the limit on routine lines, retries are always logged.
func (e *Edge) logSend(req *callerRequest, cmd conductor.Send, now time.Time) {
	if cmd.Attempt == 1 && !e.logs.AllowRoutine(now) {
		return
	}
	choice := cmd.Choice
	e.log.Info("request: sent", zap.String("request", req.requestID), zap.String("team", cmd.Team),
		zap.String("endpoint", cmd.Endpoint), zap.String("region", choice.Region), zap.Int("attempt", cmd.Attempt),
		zap.Duration("expected", choice.ExpectedLatency), zap.Duration("wait", choice.QueueTime), zap.Bool("warm", choice.ObjectWarm),
		zap.Int("load", choice.AttemptsInFlight), zap.Int("slots", choice.Slots), zap.Float64("slow", choice.Slowdown), zap.Duration("budget", cmd.Budget),
		zap.Uint64("version", cmd.ConfigVersion))
}

// logAttempt logs an attempt that got no acceptable answer.
func (e *Edge) logAttempt(req *callerRequest, cmd conductor.Send, answer exchanger.Result, outcome conductor.Outcome, took time.Duration) {
	if outcome.Acceptable() {
		return
	}
	e.log.Warn("request: attempt failed", zap.String("request", req.requestID), zap.String("team", cmd.Team),
		zap.String("endpoint", cmd.Endpoint), zap.Int("attempt", cmd.Attempt), zap.Int("status", outcome.Status),
		zap.Bool("notRun", outcome.NotRun), zap.Bool("left", outcome.CallerDisconnected), zap.Bool("timedOut", outcome.TimedOut),
		zap.Bool("reused", answer.ConnectionReused), zap.Duration("took", took),
		zap.Duration("closeAfter", answer.CloseAfter), zap.NamedError("error", answer.Err))
}

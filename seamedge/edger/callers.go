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
	// bodyHeld is the size in bytes up to which a caller's body is kept, so that
	// the request can be sent again.
	bodyHeld = 256 << 10
	// stoppingRetry is when to come back after a refusal by an instance that
	// stops; other instances serve at once.
	stoppingRetry = 50 * time.Millisecond
	// slowLine is the part of a target beyond which a success is always logged.
	slowLine = time.Second
)

// exchange is a caller's request under way.
type exchange struct {
	id      uint64
	name    string
	request *http.Request
	// ctx ends when the caller leaves.
	ctx     context.Context
	arrived time.Time
	header  http.Header
	body    []byte
	rest    io.Reader
	length  int64
	// held is the last proper answer of an endpoint, given if nothing better
	// comes.
	held *exchanger.Result
	team string
	last conductor.Send
}

// serveCaller answers a caller.
func (e *Edge) serveCaller(w http.ResponseWriter, r *http.Request) {
	e.serving.Add(1)
	defer e.serving.Add(-1)
	ctx, cancel := accepter.WithDisconnectCancel(r.Context())
	defer cancel()
	x := &exchange{
		id: e.ids.Add(1), name: r.Header.Get(platform.HeaderRequestID), request: r, ctx: ctx, arrived: time.Now(), length: r.ContentLength,
	}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused := e.checkFrame(w, x); refused {
		return
	}
	msg := conductor.RequestArrived{
		ID: x.id, Host: hostOf(r.Host), Path: r.URL.EscapedPath(), Key: r.Header.Get(platform.HeaderKey),
		CallerTimeLeft: callerLeft(r), Read: x.arrived, BodyStreamed: x.rest != nil,
	}
	if affinity := r.Header.Get(platform.HeaderAffinity); affinity != "" {
		msg.Object = placer.Hash32(affinity)
	}
	x.header = forwardHeader(r.Header)
	if accepter.CallerDisconnected(ctx) {
		e.abandon(x, leftBeforeSend)
	}
	defer func() { closeTail(x.held) }()
	cmds := e.update(msg)
	// An answer that breaks off ends the handler by a panic.
	defer e.update(conductor.RequestEnded{ID: x.id})
	if !e.carry(w, x, cmds) {
		e.abandon(x, leftBeforeAnswer)
	}
}

// abandon ends a request whose caller has left. Its connection breaks, so that
// a caller who still reads takes nothing for an answer.
func (e *Edge) abandon(x *exchange, before string) {
	e.metrics.left(before)
	e.log.Info("request: caller left", zap.String("request", x.name), zap.String("before", before),
		zap.Int("attempts", x.last.Attempt), zap.Duration("took", time.Since(x.arrived)))
	panic(http.ErrAbortHandler)
}

// checkFrame reads the body and refuses what can't be read or is too large.
func (e *Edge) checkFrame(w http.ResponseWriter, x *exchange) bool {
	if e.closing.Load() {
		e.refuse(w, x, conductor.Refuse{Status: http.StatusServiceUnavailable, Code: coder.Stopping, RetryAfter: stoppingRetry})
		return true
	}
	if x.name == "" {
		e.refuse(w, x, conductor.Refuse{Status: http.StatusBadRequest, Code: coder.RequestMalformed})
		return true
	}
	e.mu.Lock()
	limits := e.model.Limits()
	e.mu.Unlock()
	if limits.HeaderBytes > 0 && headerBytes(x.request) > limits.HeaderBytes {
		e.refuse(w, x, conductor.Refuse{Status: http.StatusRequestHeaderFieldsTooLarge, Code: coder.RequestMalformed})
		return true
	}
	if limits.BodyBytes > 0 && x.length > limits.BodyBytes {
		e.refuse(w, x, conductor.Refuse{Status: http.StatusRequestEntityTooLarge, Code: coder.RequestMalformed})
		return true
	}
	if x.length == 0 {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(x.request.Body, bodyHeld))
	if err != nil {
		// The caller broke off, or sent a body that isn't framed properly.
		e.refuse(w, x, conductor.Refuse{Status: http.StatusBadRequest, Code: coder.RequestMalformed, Detail: err.Error()})
		return true
	}
	x.body = body
	switch {
	case len(body) == bodyHeld && x.length != bodyHeld:
		x.rest = x.request.Body
		if x.length < 0 && limits.BodyBytes > 0 {
			x.rest = http.MaxBytesReader(w, x.request.Body, limits.BodyBytes-bodyHeld)
		}
	default:
		x.length = int64(len(body))
	}
	return false
}

// carry carries out the loop's commands about a request until it has an answer,
// and reports whether it has one. It has none if the caller left.
func (e *Edge) carry(w http.ResponseWriter, x *exchange, cmds []conductor.Cmd) bool {
	for len(cmds) > 0 {
		switch cmd := cmds[0].(type) {
		case conductor.Send:
			cmds = e.send(w, x, cmd)
		case conductor.Refuse:
			e.refuse(w, x, cmd)
			return true
		case conductor.Deliver:
			e.deliver(w, x, x.held)
			return true
		}
	}
	return false
}

// send makes an attempt and tells the loop how it ended.
func (e *Edge) send(w http.ResponseWriter, x *exchange, cmd conductor.Send) []conductor.Cmd {
	x.team = cmd.Team
	x.last = cmd
	x.header.Set(platform.HeaderDeadline, strconv.FormatInt(max(cmd.Budget.Milliseconds(), 1), 10))
	x.header.Set(platform.HeaderExpectInstance, cmd.Endpoint)
	if cmd.Team != "" {
		x.header.Set(platform.HeaderTeam, cmd.Team)
	}
	start := time.Now()
	e.logSend(x, cmd, start)
	if cmd.Attempt > 1 {
		e.metrics.retries.Inc()
	}
	answer := e.exchanger.Do(x.ctx, exchanger.Call{
		Address: cmd.Address, Method: x.request.Method, URI: x.request.RequestURI, Host: x.request.Host,
		Header: x.header, Body: x.body, Rest: x.rest, Length: x.length, RequestID: x.name, IDHeader: platform.HeaderRequestID,
		NonIdempotent: !cmd.Repeatable, Deadline: cmd.Deadline,
	})
	outcome := e.judge(x, answer)
	// An answer that can be delivered needs no look at the connection.
	outcome.CallerGone = x.ctx.Err() != nil || !outcome.Good() && accepter.CallerDisconnected(x.ctx)
	e.metrics.exchanged(outcome.Answered, time.Since(start).Seconds())
	e.logAttempt(x, cmd, answer, outcome, time.Since(start))
	if outcome.CallerGone {
		e.metrics.closeAfter.Update(answer.CloseAfter.Seconds())
	}
	if answer.Connect > 0 {
		e.metrics.connections.Inc()
	}
	e.metrics.wait.Update(cmd.Choice.Wait.Seconds())
	if cmd.Choice.Region != e.region() {
		e.metrics.farBytes.Add(len(x.body) + len(answer.Body))
	}
	if outcome.Answered && !outcome.NotRun {
		x.hold(&answer)
	} else {
		closeTail(&answer)
	}
	return e.update(conductor.AttemptEnded{ID: x.id, Outcome: outcome})
}

// hold keeps an answer in place of the one before.
func (x *exchange) hold(a *exchanger.Result) {
	closeTail(x.held)
	x.held = a
}

// closeTail ends what follows an answer that nobody will read. a may be nil.
func closeTail(a *exchanger.Result) {
	if a != nil && a.Close != nil {
		a.Close()
	}
}

// judge says what an answer means.
func (e *Edge) judge(x *exchange, a exchanger.Result) conductor.Outcome {
	o := conductor.Outcome{Connect: a.Connect}
	if a.Err != nil {
		o.Unreachable = !a.MaybeSent
		o.Refused = errors.Is(a.Err, syscall.ECONNREFUSED)
		o.NotRun = !a.MaybeSent
		o.TimedOut = x.ctx.Err() == nil && !time.Now().Before(x.last.Deadline)
		return o
	}
	o.Status = a.Status
	o.NotRun = a.Status == http.StatusMisdirectedRequest || a.Header.Get(platform.HeaderNotRun) != ""
	// A success without the endpoint's signature is none.
	o.Answered = a.Status/100 != 2 || a.Header.Get(platform.HeaderSignature) != ""
	return o
}

// deliver gives the caller an endpoint's answer.
func (e *Edge) deliver(w http.ResponseWriter, x *exchange, a *exchanger.Result) {
	header := w.Header()
	for name, values := range passable(a.Header) {
		header[name] = values
	}
	header.Del(platform.HeaderLoad)
	if a.Tail == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, err := w.Write(a.Body)
	if a.Tail != nil && err == nil {
		_, err = io.Copy(w, a.Tail)
	}
	took := time.Since(x.arrived)
	e.metrics.answered(coder.OK.String(), a.Status, x.team, took.Seconds())
	if err != nil {
		e.log.Warn("request: answer broke off", zap.String("request", x.name), zap.Error(err))
		// The connection must break, so that the answer doesn't look whole.
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	if a.Status < http.StatusInternalServerError && took < slowLine && !e.logs.Ordinary(now) {
		return
	}
	e.log.Info("request: answered", zap.String("request", x.name), zap.String("team", x.team), zap.Int("status", a.Status),
		zap.String("endpoint", x.last.Endpoint), zap.Int("attempts", x.last.Attempt), zap.Duration("took", took))
}

// refuse gives the caller an answer of this instance's own.
func (e *Edge) refuse(w http.ResponseWriter, x *exchange, cmd conductor.Refuse) {
	header := w.Header()
	if cmd.RetryAfter > 0 {
		header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(cmd.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set(platform.HeaderRequestID, x.name)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := strconv.Itoa(int(cmd.Code)) + " " + cmd.Code.String() + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(cmd.Status)
	// A caller that is gone needs no answer.
	_, _ = io.WriteString(w, body)
	took := time.Since(x.arrived)
	e.metrics.answered(cmd.Code.String(), cmd.Status, x.team, took.Seconds())
	e.log.Warn("request: refused", zap.String("request", x.name), zap.Int("status", cmd.Status),
		zap.Int("code", int(cmd.Code)), zap.String("reason", cmd.Code.String()), zap.Duration("retryAfter", cmd.RetryAfter),
		zap.String("route", x.request.RequestURI), zap.String("detail", cmd.Detail), zap.Duration("took", took),
		zap.Int("attempts", x.last.Attempt))
}

// logSend writes where a request is sent and why.
func (e *Edge) logSend(x *exchange, cmd conductor.Send, now time.Time) {
	if cmd.Attempt == 1 && !e.logs.Ordinary(now) {
		return
	}
	c := cmd.Choice
	e.log.Info("request: sent", zap.String("request", x.name), zap.String("team", cmd.Team),
		zap.String("endpoint", cmd.Endpoint), zap.String("region", c.Region), zap.Int("attempt", cmd.Attempt),
		zap.Duration("expected", c.Expect), zap.Duration("wait", c.Wait), zap.Bool("warm", c.Warm),
		zap.Int("load", c.Load), zap.Int("slots", c.Slots), zap.Float64("slow", c.Slowdown), zap.Duration("budget", cmd.Budget),
		zap.Uint64("version", cmd.Version))
}

// logAttempt writes how an attempt ended that brought no proper answer.
func (e *Edge) logAttempt(x *exchange, cmd conductor.Send, a exchanger.Result, o conductor.Outcome, took time.Duration) {
	if o.Good() {
		return
	}
	e.log.Warn("request: attempt failed", zap.String("request", x.name), zap.String("team", cmd.Team),
		zap.String("endpoint", cmd.Endpoint), zap.Int("attempt", cmd.Attempt), zap.Int("status", o.Status),
		zap.Bool("notRun", o.NotRun), zap.Bool("left", o.CallerGone), zap.Bool("timedOut", o.TimedOut),
		zap.Bool("reused", a.Reused), zap.Duration("took", took),
		zap.Duration("closeAfter", a.CloseAfter), zap.NamedError("error", a.Err))
}

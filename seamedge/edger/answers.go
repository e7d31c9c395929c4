package edger

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"primroseseam.org/platform"
	"primroseseam.org/seam/accepter"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
	"primroseseam.org/seamedge/exchanger"
	"primroseseam.org/seamedge/limiter"
)

// deliver sends an endpoint's answer to the caller. It panics to abort the connection if
// the answer can't be sent completely.
func (e *Edge) deliver(w http.ResponseWriter, req *callerRequest, answer *exchanger.Result) {
	req.account.SetPhase(limiter.Responding)
	header := w.Header()
	for name, values := range endToEndHeader(answer.Header) {
		header[name] = values
	}
	header.Del(platform.HeaderLoad)
	switch {
	case answer.BodyRemainder == nil:
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	case answer.BodyLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(answer.BodyLength, 10))
	}
	switch {
	case answer.AwaitUpload != nil:
		// Otherwise net/http discards the rest of the request's body.
		_ = http.NewResponseController(w).EnableFullDuplex()
	case answer.UploadRefused:
		discardBriefly(w)
	}
	req.progress = answerBegun
	w.WriteHeader(answer.Status)
	err := e.writeBody(w, answer)
	if err == nil {
		req.progress = answerWritten
	}
	took := time.Since(req.arrivedAt)
	e.metrics.recordAnswer(coder.OK.String(), answer.Status, req.team, took.Seconds())
	if err != nil {
		e.log.Warn("request: answer was cut off", zap.String("request", req.requestID), zap.Error(err))
		// Abort the connection, so that the caller notices that the answer is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
	e.logAnswer(req, answer, took)
	if answer.AwaitUpload != nil {
		e.finishUpload(w, req, answer)
	}
}

// finishUpload passes the rest of a request's body to an endpoint that has answered before it had read
// all of it, until the endpoint ends that, the body breaks off or the request's deadline passes. The caller
// has the answer already, and may close its connection once it has sent the whole body.
func (e *Edge) finishUpload(w http.ResponseWriter, req *callerRequest, answer *exchanger.Result) {
	_ = http.NewResponseController(w).Flush()
	if _, ok := req.account.SetPhase(limiter.Streaming); !ok {
		accepter.EndReading(req.ctx)
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.ctx), req.lastSend.Deadline)
	defer cancel()
	err := answer.AwaitUpload(ctx)
	e.metrics.earlyAnswers.Inc()
	if err != nil {
		req.account.SetPhase(limiter.ReceivingBody)
		e.log.Info("request: upload ended early after the answer", zap.String("request", req.requestID),
			zap.String("endpoint", req.lastSend.Endpoint), zap.Error(err))
		discardRest(w, req)
	}
}

// logAnswer logs an answer. Routine ones count against the limit on such log lines.
func (e *Edge) logAnswer(req *callerRequest, answer *exchanger.Result, took time.Duration) {
	now := time.Now()
	if answer.Status < http.StatusInternalServerError && took < slowRequestThreshold && !e.logs.AllowRoutine(now) {
		return
	}
	e.log.Info("request: answered", zap.String("request", req.requestID), zap.String("team", req.team), zap.Int("status", answer.Status),
		zap.String("endpoint", req.lastSend.Endpoint), zap.Int("attempts", req.lastSend.Attempt), zap.Duration("took", took))
}

// refuse answers the caller with an error of this instance instead of an endpoint's
// answer. What is left of the body is discarded, for a limited time.
func (e *Edge) refuse(w http.ResponseWriter, req *callerRequest, cmd conductor.Refuse) {
	req.account.SetPhase(limiter.Responding)
	header := w.Header()
	if endsConnection(cmd) {
		header.Set("Connection", "close")
	} else if req.bodyLength != 0 {
		discardBriefly(w)
	}
	if cmd.RetryAfter > 0 {
		header.Set(platform.HeaderRetryAfter, strconv.FormatFloat(cmd.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set(platform.HeaderRequestID, req.requestID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := strconv.Itoa(int(cmd.Code)) + " " + cmd.Code.String() + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	req.progress = answerBegun
	w.WriteHeader(cmd.Status)
	// A write error means that the caller has disconnected and needs no answer.
	_, _ = io.WriteString(w, body)
	if endsConnection(cmd) {
		// net/http waits a moment before it closes the connection, and keeps the request.
		req.request.Header = nil
	}
	req.progress = answerWritten
	took := time.Since(req.arrivedAt)
	e.metrics.recordAnswer(cmd.Code.String(), cmd.Status, req.team, took.Seconds())
	e.log.Warn("request: refused", zap.String("request", req.requestID), zap.Int("status", cmd.Status),
		zap.Int("code", int(cmd.Code)), zap.String("reason", cmd.Code.String()), zap.Duration("retryAfter", cmd.RetryAfter),
		zap.String("route", req.request.RequestURI), zap.String("detail", cmd.Detail), zap.Duration("took", took),
		zap.Int("attempts", req.lastSend.Attempt), zap.String("digest", formatDigest(req.digest)))
}

const (
	// discardTimeout is how long the answer to a request that is not read to its end waits for the rest of
	// the body. If that arrives, the connection can carry another request; otherwise it is closed.
	discardTimeout = 100 * time.Millisecond
	// discardAfter limits the time to discard the rest of a body after the answer, and maxDiscardBytes the
	// size of that rest.
	discardAfter    = time.Second
	maxDiscardBytes = 256 << 10
)

// discardBriefly limits the time in which net/http discards the rest of a request's body. It does so before
// it writes the answer, and announces the end of the connection if the body hasn't ended then: what follows
// must not be taken for another request.
func discardBriefly(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

// discardRest discards the rest of the body of a request whose answer has been sent. If the body doesn't end
// soon, the connection ends: what follows must not be taken for another request.
func discardRest(w http.ResponseWriter, req *callerRequest) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardAfter))
	if _, err := io.CopyN(io.Discard, req.request.Body, maxDiscardBytes); !errors.Is(err, io.EOF) {
		accepter.EndReading(req.ctx)
	}
}

// endsConnection reports whether the connection is closed after a refusal, without reading the
// rest of the request: it was refused for what it sends, or for lack of room.
func endsConnection(cmd conductor.Refuse) bool {
	return cmd.Code == coder.NoRoom || cmd.Code == coder.CallerTooSlow || cmd.Status == http.StatusRequestEntityTooLarge
}

package edger

import (
	"errors"
	"net/http"

	"go.uber.org/zap"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/conductor"
)

// handlePanic ends a request whose handler panicked with cause; it does nothing if cause is
// nil. The caller of net/http's server would get a closed connection in place of its answer.
// Here, an answer that was written stays whole, and a caller that was sent nothing gets an
// error that states truthfully whether its request may have run. An answer that was written
// in part can't be completed, so its connection is closed.
func (e *Edge) handlePanic(w http.ResponseWriter, req *callerRequest, cause any) {
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	e.metrics.panics.Inc()
	e.log.Error("request: handler failed", zap.String("request", req.requestID), zap.Any("cause", cause),
		zap.Int("attempts", req.lastSend.Attempt), zap.Stack("stack"))
	switch req.progress {
	case answerWritten:
	case answerBegun:
		panic(http.ErrAbortHandler)
	case answerPending:
		clear(w.Header())
		refusal := conductor.Refuse{Status: http.StatusServiceUnavailable, Code: coder.InternalError, RetryAfter: conductor.StoppingRetryAfter}
		if req.lastSend.Attempt > 0 {
			refusal = conductor.Refuse{Status: http.StatusBadGateway, Code: coder.InternalError}
		}
		e.refuse(w, req, refusal)
	}
}

package daemon

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/deduplicator"
	"primroseseam.org/seamd/forwarder"
)

const (
	// maxRecordedBytes is the maximum size of the body of a recorded answer to a
	// named request. A larger answer is sent to the first caller, but not recorded:
	// repeats are refused with an unknown outcome.
	maxRecordedBytes = 64 << 10
	// defaultNamedTimeout is the timeout of a named request that has no deadline.
	defaultNamedTimeout = time.Minute
)

// recorder is a response writer for named requests. It sends the answer to the caller and
// records it for repeats. If sending fails, it goes on recording, so that the request is
// completed although its caller has disconnected. If the answer is a refusal, it only
// records it: the caller gets the refusal from the instance that received the request.
type recorder struct {
	w      http.ResponseWriter
	claim  *forwarder.ResponseClaim
	header http.Header
	status int
	body   bytes.Buffer
	length int
	// sending means that this attempt has acquired the claim and no write to the
	// caller has failed.
	sending   bool
	truncated bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if r.isRefusal() {
		return
	}
	if r.sending = r.claim.TryAcquire(); r.sending {
		for field, values := range r.header {
			r.w.Header()[field] = values
		}
		r.w.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.length += len(p)
	if r.length <= maxRecordedBytes {
		r.body.Write(p)
	}
	if r.sending {
		if _, err := r.w.Write(p); err != nil {
			r.sending = false
		}
	}
	return len(p), nil
}

// isRefusal reports whether the answer is a refusal by this system, not an upstream's
// answer.
func (r *recorder) isRefusal() bool { return r.header.Get(forwarder.HeaderCode) != "" }

// answer returns the answer to record under the request's name. If the request may have
// run and there is no complete answer of at most maxRecordedBytes, this is an unknown
// outcome.
func (r *recorder) answer() deduplicator.Answer {
	switch {
	case r.isRefusal():
		refused := r.result()
		if refused.Ran != coder.NotRun {
			return deduplicator.Answer{Code: coder.OutcomeUnknown, Ran: refused.Ran}
		}
		return deduplicator.Answer{Code: refused.Code, Ran: coder.NotRun}
	case r.truncated || r.status == 0 || r.length > maxRecordedBytes:
		return deduplicator.Answer{Code: coder.OutcomeUnknown, Ran: coder.MayHaveRun}
	}
	return deduplicator.Answer{Status: r.status, Header: r.header, Body: r.body.Bytes(), Ran: coder.HasRun}
}

// result returns the result of the request for the caller that sent it, which may get an
// answer that is too large to be recorded.
func (r *recorder) result() forwarder.Result {
	result := forwarder.Result{Load: -1, Status: r.status}
	switch {
	case r.isRefusal():
		code, _ := strconv.Atoi(r.header.Get(forwarder.HeaderCode))
		ms, _ := strconv.ParseInt(r.header.Get(forwarder.HeaderRetryMS), 10, 64)
		result.Code, result.Refused = coder.Code(code), true
		result.Ran = forwarder.ParseRan(r.header.Get(forwarder.HeaderNotRun))
		result.RetryAfter = time.Duration(ms) * time.Millisecond
	case r.truncated || r.status == 0:
		result.Code, result.Ran = coder.UpstreamFailed, coder.MayHaveRun
		result.Committed = r.status != 0
	default:
		result.Ran, result.Committed = coder.HasRun, true
		if !r.sending {
			result.Code = coder.CallerGone
		}
	}
	return result
}

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
	// maxRecordedBytes bounds the answer that is kept of one named request. A
	// longer one goes to its caller once; repeats learn only that it ran.
	maxRecordedBytes = 64 << 10
	// defaultNamedTimeout bounds a named request that came without a deadline.
	defaultNamedTimeout = time.Minute
)

// recorder sends an answer to the caller and keeps a copy. A caller that has
// left doesn't end the request. Refusals are kept but not sent: the instance
// that took the request from its caller sends them.
type recorder struct {
	w      http.ResponseWriter
	gate   *forwarder.ResponseClaim
	header http.Header
	status int
	body   bytes.Buffer
	length int
	sends  bool
	broken bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	if r.refusal() {
		return
	}
	if r.sends = r.gate.TryAcquire(); r.sends {
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
	if r.sends {
		if _, err := r.w.Write(p); err != nil {
			r.sends = false
		}
	}
	return len(p), nil
}

func (r *recorder) refusal() bool { return r.header.Get(forwarder.HeaderCode) != "" }

// answer returns what is kept under the request's name.
func (r *recorder) answer() deduplicator.Answer {
	switch {
	case r.refusal():
		refused := r.result()
		if refused.Ran != coder.NotRun {
			return deduplicator.Answer{Code: coder.OutcomeUnknown, Ran: refused.Ran}
		}
		return deduplicator.Answer{Code: refused.Code, Ran: coder.NotRun}
	case r.broken || r.status == 0 || r.length > maxRecordedBytes:
		return deduplicator.Answer{Code: coder.OutcomeUnknown, Ran: coder.MayHaveRun}
	}
	return deduplicator.Answer{Status: r.status, Header: r.header, Body: r.body.Bytes(), Ran: coder.HasRun}
}

// result returns how the request ended for its caller.
func (r *recorder) result() forwarder.Result {
	result := forwarder.Result{Load: -1, Status: r.status}
	switch {
	case r.refusal():
		code, _ := strconv.Atoi(r.header.Get(forwarder.HeaderCode))
		ms, _ := strconv.ParseInt(r.header.Get(forwarder.HeaderRetryMS), 10, 64)
		result.Code, result.Refused = coder.Code(code), true
		result.Ran = forwarder.ParseRan(r.header.Get(forwarder.HeaderNotRun))
		result.RetryAfter = time.Duration(ms) * time.Millisecond
	case r.broken || r.status == 0:
		result.Code, result.Ran = coder.UpstreamFailed, coder.MayHaveRun
		result.Committed = r.status != 0
	default:
		result.Ran, result.Committed = coder.HasRun, true
		if !r.sends {
			result.Code = coder.CallerGone
		}
	}
	return result
}

// Package forwarder sends a request to an endpoint of an upstream, or to another instance
// of the fleet, and writes the response to the caller. The fleet daemon seamd uses it.
// The demonstrations and measurements of seamctl use its header names.
//
// Each sending of a request is called an attempt. Several attempts at one request may run
// at once; the attempt that first acquires the request's [ResponseClaim] writes the
// response.
//
// # Usage
//
//	f := forwarder.New()
//	claim := &forwarder.ResponseClaim{}
//	result := f.Attempt(ctx, claim, w, outgoing, "10.0.0.7:9000")
//	if result.Code == coder.OK { ... }
package forwarder

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/prover"
	"primroseseam.org/seam/validator"
)

// maxBufferedResponseBytes is the maximum number of bytes of a response's body that are
// read before the first byte is sent to the caller. If a response that was read
// completely turns out to be truncated, nothing has been sent, and another attempt can
// still answer the caller. A response of unknown length is sent earlier, after
// streamBufferTimeout.
const maxBufferedResponseBytes = 64 << 10

// OutgoingRequest is a caller's request as it is sent to an endpoint or another instance.
// Header contains neither the caller's API key nor headers that only the system sets; see
// [SanitizeRequestHeader].
type OutgoingRequest struct {
	// ID identifies the attempt at an endpoint. The endpoint must return it in the
	// HeaderRequestID of its response.
	ID   string
	Team string
	// Name identifies a request that must run at most once, or is empty.
	Name        string
	Method      string
	URI         string
	Header      http.Header
	RequestBody RequestBody
	// Authorization is the caller's Authorization header. Only [WithoutKeyStripping]
	// uses it.
	Authorization []string
}

// Result is the outcome of an attempt. Code is coder.OK if a complete response was
// received and, unless another attempt had acquired the claim, sent. Ran states whether
// the request ran.
type Result struct {
	Code coder.Code
	Ran  coder.Ran
	// Committed means that this attempt started to write the response to the caller.
	Committed bool
	// Load is the number of requests in flight that the endpoint reported in its
	// response, or -1 if it reported none.
	Load int
	// Draining means that the endpoint reported that it is draining.
	Draining bool
	// Shed means that the endpoint rejected the request without running it, because it
	// had no free slot or is draining.
	Shed bool
	// Unhealthy means that the response's status shows a failing endpoint: 500, 502 or
	// 503. It is set before the body is read, whether or not the body turns out to be
	// complete.
	Unhealthy bool
	// Refused means that another instance, to which the request was passed, refused
	// it. In that case nothing was written to the caller.
	Refused bool
	// RetryAfter is the delay before a retry that the refusing instance gave.
	RetryAfter time.Duration
	Status     int
	// Bytes counts the bytes of the response's body that were sent to the caller.
	Bytes int64
}

// Forwarder sends requests to endpoints and instances and keeps the connections to them.
// It is safe for concurrent use.
type Forwarder struct {
	endpoints     *endpointTransports
	peers         *http.Transport
	prover        *prover.Prover
	forwardKeys   bool
	skipEchoCheck bool
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithPeerTLS sets the TLS configuration for connections to other instances.
func WithPeerTLS(c *tls.Config) Option {
	return func(f *Forwarder) { f.peers.TLSClientConfig = c }
}

// WithProver signs requests to other instances, and verifies their responses, with the
// shared secret of the instances.
func WithProver(p *prover.Prover) Option {
	return func(f *Forwarder) { f.prover = p }
}

// WithPeerDial sets the dial function for connections to other instances.
func WithPeerDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(f *Forwarder) { f.peers.DialContext = countingDial(dial) }
}

// WithoutKeyStripping makes the Forwarder send callers' API keys to upstreams. It is
// unsafe, and meant only for tests which show that a check detects the leaked keys.
func WithoutKeyStripping() Option { return func(f *Forwarder) { f.forwardKeys = true } }

// WithoutEchoCheck makes the Forwarder accept a response whose request ID differs from
// that of the request. It is unsafe, and meant only for tests which show that a check
// detects such responses.
func WithoutEchoCheck() Option { return func(f *Forwarder) { f.skipEchoCheck = true } }

// New returns a Forwarder. It opens connections when they are needed.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{endpoints: newEndpointTransports(), peers: newTransport()}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// SetConnectionLimits sets the maximum number of connections to each endpoint. It closes
// the idle connections to endpoints that are missing from limits or whose limit changed.
func (f *Forwarder) SetConnectionLimits(limits map[string]int) { f.endpoints.setLimits(limits) }

// Close closes all idle connections.
func (f *Forwarder) Close() {
	f.endpoints.close()
	f.peers.CloseIdleConnections()
}

// Attempt sends the request to the endpoint. If the response is valid and no other
// attempt has acquired the claim, it writes the response to w and sets Result.Committed.
// If Result.Committed is false, it wrote nothing to w.
func (f *Forwarder) Attempt(ctx context.Context, claim *ResponseClaim, w http.ResponseWriter, out OutgoingRequest, endpoint string) (result Result) {
	var s sendTracker
	defer func() { s.end(result.Code == coder.OK) }()
	req, err := newRequest(s.withTrace(ctx, out.RequestBody.Length()), out, "http://"+endpoint+out.URI, out.Method)
	if err != nil {
		return Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Load: -1}
	}
	req.Header.Set(HeaderRequestID, out.ID)
	req.Header.Set(HeaderTeam, out.Team)
	if out.Name != "" {
		req.Header.Set(HeaderName, out.Name)
	}
	if f.forwardKeys {
		req.Header["Authorization"] = out.Authorization
	}
	resp, err := f.endpoints.transport(endpoint).RoundTrip(req)
	if err != nil {
		f.endpoints.closeIdle(endpoint)
		return classifyFailure(ctx, err, &s)
	}
	defer func() { _ = resp.Body.Close() }()
	result = Result{
		Load: reportedLoad(resp), Draining: resp.Header.Get(headerUpstreamDraining) == "true",
		Status: resp.StatusCode, Unhealthy: isUnhealthyStatus(resp.StatusCode),
	}
	switch {
	case validator.FinalStatus(resp.StatusCode) != nil:
		f.endpoints.closeIdle(endpoint)
		result.Code, result.Ran, result.Unhealthy = coder.UpstreamFailed, coder.MayHaveRun, true
		return result
	// A refusal counts only if it answers this request. It may be a late copy of an earlier
	// one.
	case resp.Header.Get(HeaderRequestID) != out.ID && !f.skipEchoCheck:
		f.endpoints.closeIdle(endpoint)
		result.Code, result.Ran = coder.AnswerMismatched, coder.MayHaveRun
		return result
	case resp.Header.Get(headerUpstreamNotRun) == "true":
		result.Code, result.Ran, result.Shed = coder.UpstreamFailed, coder.NotRun, true
		return result
	}
	return writeResponse(ctx, claim, w, resp, result)
}

// isUnhealthyStatus reports whether a response with this status counts as a failure of
// the endpoint.
func isUnhealthyStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// newRequest creates the HTTP request of an attempt. It hides the body's type from
// net/http, which then sets no GetBody. Without GetBody, the transport can't send the
// request again by itself. If ctx has a deadline, the request carries the time left in
// HeaderDeadline.
func newRequest(ctx context.Context, out OutgoingRequest, target, method string) (*http.Request, error) {
	body := struct{ io.Reader }{out.RequestBody.Reader()}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = out.RequestBody.Length()
	req.Header = out.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, time.Until(deadline).Round(time.Millisecond).String())
	}
	return req, nil
}

// classifyFailure returns the result of an attempt that failed with err before the head
// of a response arrived.
func classifyFailure(ctx context.Context, err error, s *sendTracker) Result {
	result := Result{Code: coder.UpstreamFailed, Ran: coder.MayHaveRun, Load: -1}
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		result.Ran = coder.NotRun
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		result.Code = coder.UpstreamTimeout
	case ctx.Err() != nil:
		result.Code = coder.CallerGone
	}
	if !s.maybeSent() {
		result.Ran = coder.NotRun
	}
	return result
}

// writeResponse reads the start of the response's body, up to maxBufferedResponseBytes.
// Then, if no other attempt has acquired the claim, it writes the whole response to the
// caller. If the start can't be read, it writes nothing.
func writeResponse(ctx context.Context, claim *ResponseClaim, w http.ResponseWriter, resp *http.Response, result Result) Result {
	result.Ran = coder.MayHaveRun
	if validator.FinalStatus(resp.StatusCode) != nil || !hasDelimitedBody(resp) {
		result.Code = coder.UpstreamFailed
		return result
	}
	done := make(chan struct{})
	defer close(done)
	buffered, rest, err := bufferStart(resp.Body, resp.ContentLength, done)
	if err != nil {
		result.Code = coder.UpstreamFailed
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			result.Code = coder.UpstreamTimeout
		} else if ctx.Err() != nil {
			result.Code = coder.CallerGone
		}
		return result
	}
	result.Ran = coder.HasRun
	if !claim.TryAcquire() {
		// Another attempt writes the response.
		return result
	}
	copyResponseHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	result.Committed = true
	result.Bytes, err = io.Copy(writerFor(w, resp), io.MultiReader(bytes.NewReader(buffered), rest))
	if err != nil {
		result.Code = coder.UpstreamFailed
	}
	return result
}

// writerFor returns the writer for the body of a response. If the length of the body is
// unknown, the writer sends each part to the caller as soon as it arrives.
func writerFor(w http.ResponseWriter, resp *http.Response) io.Writer {
	if resp.ContentLength >= 0 {
		return w
	}
	return &flushWriter{w: w, control: http.NewResponseController(w)}
}

// flushWriter is a writer that flushes the response after every write, if the response
// writer supports flushing.
type flushWriter struct {
	w       io.Writer
	control *http.ResponseController
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		err = f.control.Flush()
		if errors.Is(err, http.ErrNotSupported) {
			err = nil
		}
	}
	return n, err
}

// reportedLoad returns the number of requests in flight that the response reports, or
// -1 if it reports no valid number.
func reportedLoad(resp *http.Response) int {
	load, err := strconv.Atoi(resp.Header.Get(headerUpstreamLoad))
	if err != nil || load < 0 {
		return -1
	}
	return load
}

// Package forwarder carries a request to an endpoint, or to another instance,
// and the answer back.
//
// # Usage
//
//	f := forwarder.New()
//	gate := &forwarder.ResponseClaim{}
//	result := f.Attempt(ctx, gate, w, outgoing, "10.0.0.7:9000")
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
)

// maxHeldAnswerBytes is the size up to which an answer is read whole before it
// is passed on, so that a truncated one can be replaced.
const maxHeldAnswerBytes = 64 << 10

// OutgoingRequest is a request to an upstream. Its headers are clean: no key, and
// none that the system sets itself.
type OutgoingRequest struct {
	ID          string
	Team        string
	Name        string
	Method      string
	URI         string
	Header      http.Header
	RequestBody RequestBody
	// Authorization is the caller's, for WithKeysPassedOn alone.
	Authorization []string
}

// Result says how an attempt ended.
type Result struct {
	Code coder.Code
	Ran  coder.Ran
	// Committed means that a part of the answer has gone to the caller.
	Committed bool
	// Load is the endpoint's report of requests in progress, or -1.
	Load     int
	Draining bool
	// Shed means that the endpoint had no free slot or drains.
	Shed bool
	// Unhealthy means that a whole answer said that the endpoint is broken.
	Unhealthy bool
	// Refused means that another instance answered with a refusal.
	Refused    bool
	RetryAfter time.Duration
	Status     int
	Bytes      int64
}

// Forwarder keeps connections to endpoints and instances. It is safe for
// concurrent use.
type Forwarder struct {
	endpoints *connections
	peers     *http.Transport
	prover    *prover.Prover
	passKeys  bool
	skipEcho  bool
}

// Option changes a forwarder at its creation.
type Option func(*Forwarder)

// WithPeerTLS sets how connections to other instances are secured.
func WithPeerTLS(c *tls.Config) Option {
	return func(f *Forwarder) { f.peers.TLSClientConfig = c }
}

// WithProver proves passed requests by the instances' shared secret.
func WithProver(p *prover.Prover) Option {
	return func(f *Forwarder) { f.prover = p }
}

// WithPeerDial sets how connections to other instances are opened.
func WithPeerDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(f *Forwarder) { f.peers.DialContext = countingDial(dial) }
}

// WithoutKeyStripping leaves callers' keys in requests to upstreams. It breaks a
// promise and is for tests of the checks alone.
func WithoutKeyStripping() Option { return func(f *Forwarder) { f.passKeys = true } }

// WithoutEchoCheck passes on answers to other requests. It breaks a promise
// and is for tests of the checks alone.
func WithoutEchoCheck() Option { return func(f *Forwarder) { f.skipEcho = true } }

// New returns a forwarder without connections.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{endpoints: newConnections(), peers: newTransport()}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// SetConnectionLimits sets the greatest number of connections to each
// endpoint. Idle connections to endpoints that are left out are closed.
func (f *Forwarder) SetConnectionLimits(limits map[string]int) { f.endpoints.setLimits(limits) }

// Close closes idle connections.
func (f *Forwarder) Close() {
	f.endpoints.close()
	f.peers.CloseIdleConnections()
}

// Attempt sends the request to the endpoint and a proper answer to w, if no
// other attempt holds the gate. On any other result w is untouched, unless
// Result.Committed says otherwise.
func (f *Forwarder) Attempt(ctx context.Context, gate *ResponseClaim, w http.ResponseWriter, out OutgoingRequest, endpoint string) Result {
	var s sending
	req, err := newRequest(s.trace(ctx), out, "http://"+endpoint+out.URI, out.Method)
	if err != nil {
		return Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Load: -1}
	}
	req.Header.Set(HeaderRequestID, out.ID)
	req.Header.Set(HeaderTeam, out.Team)
	if out.Name != "" {
		req.Header.Set(HeaderName, out.Name)
	}
	if f.passKeys {
		req.Header["Authorization"] = out.Authorization
	}
	resp, err := f.endpoints.transport(endpoint).RoundTrip(req)
	if err != nil {
		f.endpoints.suspect(endpoint)
		return failure(ctx, err, &s)
	}
	defer func() { _ = resp.Body.Close() }()
	result := Result{
		Load: reportedLoad(resp), Draining: resp.Header.Get(headerUpstreamDraining) == "true",
		Status: resp.StatusCode, Unhealthy: broken(resp.StatusCode),
	}
	switch {
	case resp.Header.Get(headerUpstreamNotRun) == "true":
		result.Code, result.Ran, result.Shed = coder.UpstreamFailed, coder.NotRun, true
		return result
	case resp.Header.Get(HeaderRequestID) != out.ID && !f.skipEcho:
		f.endpoints.suspect(endpoint)
		result.Code, result.Ran = coder.AnswerMismatched, coder.MayHaveRun
		return result
	}
	return pass(ctx, gate, w, resp, result)
}

// broken reports whether a status says that the endpoint doesn't work.
func broken(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// newRequest builds a request. Its body has no GetBody, so that the transport
// never sends it twice by itself.
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

// failure classifies an attempt without an answer.
func failure(ctx context.Context, err error, s *sending) Result {
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
	if !s.left() {
		result.Ran = coder.NotRun
	}
	return result
}

// pass sends the answer to the caller. A short answer is read whole first.
func pass(ctx context.Context, gate *ResponseClaim, w http.ResponseWriter, resp *http.Response, result Result) Result {
	result.Ran = coder.MayHaveRun
	if !delimited(resp) {
		result.Code = coder.UpstreamFailed
		return result
	}
	done := make(chan struct{})
	defer close(done)
	held, rest, err := readHeld(resp.Body, resp.ContentLength, done)
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
	if !gate.TryAcquire() {
		// Another attempt answers the caller.
		return result
	}
	copyAnswer(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	result.Committed = true
	result.Bytes, err = io.Copy(flushing(w, resp), io.MultiReader(bytes.NewReader(held), rest))
	if err != nil {
		result.Code = coder.UpstreamFailed
	}
	return result
}

// flushing passes the parts of an answer of unknown length on as they come.
func flushing(w http.ResponseWriter, resp *http.Response) io.Writer {
	if resp.ContentLength >= 0 {
		return w
	}
	return &flushWriter{w: w, control: http.NewResponseController(w)}
}

// flushWriter flushes after every write.
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

func reportedLoad(resp *http.Response) int {
	load, err := strconv.Atoi(resp.Header.Get(headerUpstreamLoad))
	if err != nil || load < 0 {
		return -1
	}
	return load
}

// Package forwarder carries a request to an endpoint and the answer back.
//
// # Usage
//
//	f := forwarder.New()
//	result := f.Attempt(ctx, w, outgoing, "10.0.0.7:9000")
//	if result.Code == coder.OK { ... }
package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"primroseseam.org/seam/coder"
)

// Headers between the system, its callers and upstreams.
const (
	HeaderRequestID = "Seam-Request-Id"
	HeaderTeam      = "Seam-Team"
	HeaderCode      = "Seam-Code"
	HeaderNotRun    = "Seam-Not-Run"
	HeaderDeadline  = "Seam-Deadline"

	headerUpstreamLoad     = "Upstream-Load"
	headerUpstreamNotRun   = "Upstream-Not-Run"
	headerUpstreamDraining = "Upstream-Draining"
)

const (
	// dialTimeout bounds a new connection to an endpoint.
	dialTimeout = time.Second
	// idleConnTimeout closes connections before they are forgotten on the way.
	idleConnTimeout = 10 * time.Second
	// maxHeldAnswerBytes is the size up to which an answer is read whole
	// before it is passed on, so that a truncated one can be replaced.
	maxHeldAnswerBytes = 64 << 10
	// maxIdlePerEndpoint bounds the kept connections to one endpoint.
	maxIdlePerEndpoint = 16
)

// hopHeaders are headers that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerHeaders are headers that a caller's request must not pass on.
var callerHeaders = []string{
	"Authorization", HeaderRequestID, HeaderTeam, HeaderDeadline,
}

// Outgoing is a request to an upstream. It holds no key.
type Outgoing struct {
	ID      string
	Team    string
	Method  string
	URI     string
	Header  http.Header
	Content Content
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
	Bytes    int64
}

// Forwarder keeps connections to endpoints. It is safe for concurrent use.
type Forwarder struct {
	transport *http.Transport
	passKeys  bool
	skipEcho  bool
}

// Option changes a forwarder at its creation.
type Option func(*Forwarder)

// WithKeysPassedOn leaves callers' keys in requests to upstreams. It breaks a
// promise and is for tests of the checks alone.
func WithKeysPassedOn() Option { return func(f *Forwarder) { f.passKeys = true } }

// WithoutEchoCheck passes on answers to other requests. It breaks a promise
// and is for tests of the checks alone.
func WithoutEchoCheck() Option { return func(f *Forwarder) { f.skipEcho = true } }

// New returns a forwarder without connections.
func New(opts ...Option) *Forwarder {
	f := &Forwarder{transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Close closes idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Attempt sends the request to the endpoint and a proper answer to w. On any
// other result w is untouched, unless Result.Committed says otherwise.
func (f *Forwarder) Attempt(ctx context.Context, w http.ResponseWriter, out Outgoing, endpoint string) Result {
	req, err := newRequest(ctx, out, endpoint)
	if err != nil {
		return Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Load: -1}
	}
	if f.passKeys {
		req.Header["Authorization"] = out.Header["Authorization"]
	}
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	result := Result{Load: reportedLoad(resp), Draining: resp.Header.Get(headerUpstreamDraining) == "true"}
	switch {
	case resp.Header.Get(headerUpstreamNotRun) == "true":
		result.Code, result.Ran = coder.UpstreamFailed, coder.NotRun
		return result
	case resp.Header.Get(HeaderRequestID) != out.ID && !f.skipEcho:
		result.Code, result.Ran = coder.AnswerMismatched, coder.MayHaveRun
		return result
	}
	return pass(ctx, w, resp, result)
}

// newRequest builds the upstream request. Its body has no GetBody, so that the
// transport never sends it twice by itself.
func newRequest(ctx context.Context, out Outgoing, endpoint string) (*http.Request, error) {
	body := struct{ io.Reader }{out.Content.Reader()}
	req, err := http.NewRequestWithContext(ctx, out.Method, "http://"+endpoint+out.URI, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = out.Content.Length()
	req.Header = out.Header.Clone()
	for _, name := range hopHeaders {
		req.Header.Del(name)
	}
	for _, name := range callerHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(HeaderRequestID, out.ID)
	req.Header.Set(HeaderTeam, out.Team)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadline, time.Until(deadline).Round(time.Millisecond).String())
	}
	return req, nil
}

// failure classifies an attempt without an answer.
func failure(ctx context.Context, err error) Result {
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
	return result
}

// pass sends the answer to the caller. A short answer is read whole first.
func pass(ctx context.Context, w http.ResponseWriter, resp *http.Response, result Result) Result {
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldAnswerBytes))
	if err != nil {
		broken := failure(ctx, err)
		broken.Load = result.Load
		return broken
	}
	copyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	result.Committed = true
	result.Ran = coder.HasRun
	result.Bytes, err = io.Copy(w, io.MultiReader(bytes.NewReader(held), resp.Body))
	if err != nil {
		result.Code = coder.UpstreamFailed
	}
	return result
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}

func reportedLoad(resp *http.Response) int {
	load, err := strconv.Atoi(resp.Header.Get(headerUpstreamLoad))
	if err != nil || load < 0 {
		return -1
	}
	return load
}

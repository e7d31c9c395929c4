package forwarder

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"primroseseam.org/seam/coder"
)

// PassPath is the path at which an instance accepts requests that other instances pass to
// it.
const PassPath = "/peer/v1/pass"

// Envelope describes a request that one instance passes to another. The sending instance
// has already authenticated the caller and counted the request against its team's rate.
type Envelope struct {
	From       string `json:"from"`
	Method     string `json:"method"`
	URI        string `json:"uri"`
	Team       string `json:"team"`
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Affinity   string `json:"affinity,omitempty"`
	// Home means that the request has a name, and that the receiver is the home of
	// this name or its successor: the instance that ensures that the request runs at
	// most once.
	Home bool   `json:"home,omitempty"`
	Name string `json:"name,omitempty"`
}

// Pass sends a request to the instance at a base URL, such as "http://10.0.0.1:7300". If
// that instance refuses the request, Pass writes nothing to w and returns the refusal.
// Otherwise, if no other attempt has acquired the claim, Pass writes the response to w.
func (f *Forwarder) Pass(ctx context.Context, claim *ResponseClaim, w http.ResponseWriter, out OutgoingRequest, e Envelope, base string) (result Result) {
	var s sendTracker
	defer func() { s.end(result.Code == coder.OK) }()
	envelope, err := json.Marshal(e)
	if err != nil {
		return Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Load: -1}
	}
	req, err := newRequest(s.withTrace(ctx, out.RequestBody.Length()), out, base+PassPath, http.MethodPost)
	if err != nil {
		return Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Load: -1}
	}
	req.Header.Set(HeaderPass, string(envelope))
	if f.prover != nil {
		f.prover.SignStream(req, string(envelope))
	}
	resp, err := f.peers.RoundTrip(req)
	if err != nil {
		return classifyFailure(ctx, err, &s)
	}
	defer func() { _ = resp.Body.Close() }()
	if f.prover != nil && f.prover.CheckAnswer(req, resp.Header) != nil {
		return Result{Code: coder.UpstreamFailed, Ran: coder.MayHaveRun, Load: -1}
	}
	if refusal, ok := parseRefusal(resp); ok {
		return refusal
	}
	return writeResponse(ctx, claim, w, resp, Result{Load: -1, Status: resp.StatusCode})
}

// ParseEnvelope decodes the envelope of a request from another instance.
func ParseEnvelope(h http.Header) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal([]byte(h.Get(HeaderPass)), &e); err != nil {
		return e, fmt.Errorf("decode Seam-Pass header: %w", err)
	}
	if e.Team == "" || e.Service == "" || e.URI == "" || e.Method == "" {
		return e, fmt.Errorf("invalid Seam-Pass header: team, service, uri or method is missing")
	}
	return e, nil
}

// parseRefusal decodes the refusal in another instance's response. It reports false if
// the response isn't a refusal. An upstream can't forge a refusal, because the other
// instance removes the system's headers from the upstream's response.
func parseRefusal(resp *http.Response) (Result, bool) {
	code, err := strconv.Atoi(resp.Header.Get(HeaderCode))
	if err != nil {
		return Result{}, false
	}
	ms, _ := strconv.ParseInt(resp.Header.Get(HeaderRetryMS), 10, 64)
	return Result{
		Code: coder.Code(code), Ran: ParseRan(resp.Header.Get(HeaderNotRun)), Load: -1,
		Refused: true, RetryAfter: time.Duration(ms) * time.Millisecond,
	}, true
}

// FormatRan returns the value of HeaderNotRun: "true" if the request certainly did not
// run, "false" if it ran, or "unknown".
func FormatRan(ran coder.Ran) string {
	switch ran {
	case coder.NotRun:
		return "true"
	case coder.HasRun:
		return "false"
	}
	return "unknown"
}

// ParseRan is the inverse of FormatRan. It returns coder.MayHaveRun for "unknown" and any
// other text.
func ParseRan(text string) coder.Ran {
	switch text {
	case "true":
		return coder.NotRun
	case "false":
		return coder.HasRun
	}
	return coder.MayHaveRun
}

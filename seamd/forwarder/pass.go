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

// PassPath is where instances take requests from each other.
const PassPath = "/peer/v1/pass"

// Envelope describes a request that one instance passes to another. The caller
// has been authenticated and counted by the first.
type Envelope struct {
	From       string `json:"from"`
	Method     string `json:"method"`
	URI        string `json:"uri"`
	Team       string `json:"team"`
	Service    string `json:"service"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Affinity   string `json:"affinity,omitempty"`
	// Home means that the receiver is the home of the request's name.
	Home bool   `json:"home,omitempty"`
	Name string `json:"name,omitempty"`
}

// Pass sends a request to another instance, at a base address such as
// "http://10.0.0.1:7300", and its answer to w, if no other attempt holds the
// gate.
func (f *Forwarder) Pass(ctx context.Context, gate *ResponseClaim, w http.ResponseWriter, out OutgoingRequest, e Envelope, base string) Result {
	var s sending
	header, err := json.Marshal(e)
	if err != nil {
		return Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Load: -1}
	}
	req, err := newRequest(s.trace(ctx), out, base+PassPath, http.MethodPost)
	if err != nil {
		return Result{Code: coder.RequestMalformed, Ran: coder.NotRun, Load: -1}
	}
	req.Header.Set(HeaderPass, string(header))
	if f.prover != nil {
		f.prover.SignStream(req, string(header))
	}
	resp, err := f.peers.RoundTrip(req)
	if err != nil {
		return failure(ctx, err, &s)
	}
	defer func() { _ = resp.Body.Close() }()
	if f.prover != nil && f.prover.CheckAnswer(req, resp.Header) != nil {
		return Result{Code: coder.UpstreamFailed, Ran: coder.MayHaveRun, Load: -1}
	}
	if refusal, ok := refusalOf(resp); ok {
		return refusal
	}
	return pass(ctx, gate, w, resp, Result{Load: -1, Status: resp.StatusCode})
}

// ParseEnvelope reads the envelope of a passed request.
func ParseEnvelope(h http.Header) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal([]byte(h.Get(HeaderPass)), &e); err != nil {
		return e, fmt.Errorf("decode pass header: %w", err)
	}
	if e.Team == "" || e.Service == "" || e.URI == "" || e.Method == "" {
		return e, fmt.Errorf("pass header lacks a field")
	}
	return e, nil
}

// refusalOf reads another instance's refusal. Upstreams can't forge one: their
// answers lose the system's headers on the way.
func refusalOf(resp *http.Response) (Result, bool) {
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

// FormatRan is how a refusal says whether the request ran.
func FormatRan(ran coder.Ran) string {
	switch ran {
	case coder.NotRun:
		return "true"
	case coder.HasRun:
		return "false"
	}
	return "unknown"
}

// ParseRan reads what RanText wrote.
func ParseRan(text string) coder.Ran {
	switch text {
	case "true":
		return coder.NotRun
	case "false":
		return coder.HasRun
	}
	return coder.MayHaveRun
}

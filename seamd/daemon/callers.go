package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"primroseseam.org/seam/accepter"
	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/forwarder"
)

// maxHeaderBytes is the maximum size of the headers of a caller's request.
const maxHeaderBytes = 32 << 10

// Refusal is the JSON body of the response to a request that this system refused: the
// code and its name, when to retry (in milliseconds), and whether the request certainly
// didn't run ("true", "false" or "unknown"; see [forwarder.FormatRan]).
type Refusal struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	NotRun  string `json:"notRun"`
	RetryMS int64  `json:"retryAfterMs"`
}

// callerServer returns the HTTP server for callers' requests.
func (d *Daemon) callerServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(d.serveCaller),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState: func(c net.Conn, state http.ConnState) {
			d.meters.connState(c, state)
			if head, ok := c.(*headConn); ok && state == http.StateIdle {
				head.reset()
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(accepter.Context(ctx, c), connKey{}, c)
		},
	}
}

// serveCaller validates a caller's request and has the decision loop route it. From its
// start until the request is sent to the loop, the request is counted in d.arrivals, and
// a shutdown waits until that count is zero. [Daemon.answer] ends the count when it sends
// the request to the loop. If serveCaller returns before it calls answer, the deferred
// function ends the count.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if !d.arrivals.begin() {
		refuse(w, decider.Refuse{Code: coder.Stopping})
		return
	}
	handedOff := false
	defer func() {
		if !handedOff {
			d.arrivals.end()
		}
	}()
	d.meters.requests.Add(1)
	defer d.meters.requests.Add(-1)
	id := d.nextID.Add(1)
	w.Header().Set(forwarder.HeaderRequestID, fmt.Sprintf("%s-%d", d.settings.Instance.ID, id))
	secret, hasKey := forwarder.BearerToken(r.Header)
	header, ok := forwarder.SanitizeRequestHeader(r.Header)
	if !wellFramed(r) {
		w.Header().Set("Connection", "close")
		ok = false
	}
	if !ok || forwarder.ContainsKey(r.URL.RequestURI(), secret) {
		refuse(w, decider.Refuse{Code: coder.RequestMalformed})
		return
	}
	body, err := forwarder.ReadRequestBody(r.Body, r.ContentLength)
	if err != nil {
		refuse(w, decider.Refuse{Code: coder.RequestMalformed})
		return
	}
	if accepter.CallerDisconnected(r.Context()) {
		refuse(w, decider.Refuse{Code: coder.CallerGone})
		return
	}
	name := r.Header.Get(forwarder.HeaderName)
	home, err := d.homeOf(name)
	if err != nil {
		refuse(w, decider.Refuse{Code: coder.CodeOf(err)})
		return
	}
	msg := decider.RequestArrived{
		ID: id, Path: r.URL.Path, Repeatable: body.Repeatable(), Deadline: callerDeadline(r, d.clock.Now()),
		Home: home,
	}
	msg.Key, msg.HasKey = authenticator.DigestOf(secret), hasKey
	out := forwarder.OutgoingRequest{
		Name: name, Method: r.Method, URI: r.URL.RequestURI(), Header: header, RequestBody: body,
		Authorization: r.Header["Authorization"],
	}
	handedOff = true
	d.answer(r.Context(), w, msg.ID, msg, out)
}

// callerDeadline converts the duration in the request's deadline header to a time.
// It returns the zero time if the header is missing or invalid.
func callerDeadline(r *http.Request, now time.Time) time.Time {
	d, err := time.ParseDuration(r.Header.Get(forwarder.HeaderDeadline))
	if err != nil || d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// refuse writes the response to a refused request. Its headers and its JSON body contain
// the refusal's code, whether the request may have run, and when to retry.
func refuse(w http.ResponseWriter, c decider.Refuse) {
	seconds := int(math.Ceil(c.RetryAfter.Seconds()))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Retry-After", strconv.Itoa(seconds))
	h.Set(forwarder.HeaderCode, strconv.Itoa(int(c.Code)))
	h.Set(forwarder.HeaderNotRun, forwarder.FormatRan(c.Ran))
	h.Set(forwarder.HeaderRetryMS, strconv.FormatInt(c.RetryAfter.Milliseconds(), 10))
	w.WriteHeader(refusalStatus(c.Code))
	_ = json.NewEncoder(w).Encode(Refusal{
		Code:    int(c.Code),
		Name:    c.Code.String(),
		NotRun:  forwarder.FormatRan(c.Ran),
		RetryMS: c.RetryAfter.Milliseconds(),
	})
}

// refusalStatus returns the HTTP status for a refusal code.
func refusalStatus(code coder.Code) int {
	switch code {
	case coder.KeyMissing, coder.KeyUnknown:
		return http.StatusUnauthorized
	case coder.RouteUnknown:
		return http.StatusNotFound
	case coder.RequestMalformed:
		return http.StatusBadRequest
	case coder.TeamOverRate, coder.QueueFull:
		return http.StatusTooManyRequests
	case coder.UpstreamFailed, coder.AnswerMismatched, coder.OutcomeUnknown:
		return http.StatusBadGateway
	case coder.UpstreamTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

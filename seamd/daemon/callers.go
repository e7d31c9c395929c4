package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/forwarder"
)

// maxHeaderBytes bounds the headers of a caller's request.
const maxHeaderBytes = 32 << 10

// Refusal is the body of a refused request.
type Refusal struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	NotRun  string `json:"notRun"`
	RetryMS int64  `json:"retryAfterMs"`
}

// callerServer serves callers' requests.
func (d *Daemon) callerServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(d.serveCaller),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         d.meters.connState,
	}
}

func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if !d.intake.enter() {
		refuse(w, decider.Refuse{Code: coder.Stopping})
		return
	}
	d.meters.requests.Add(1)
	defer d.meters.requests.Add(-1)
	id := d.nextID.Add(1)
	name := fmt.Sprintf("%s-%d", d.settings.Instance.ID, id)
	w.Header().Set(forwarder.HeaderRequestID, name)
	content, err := forwarder.ReadContent(r.Body, r.ContentLength)
	if err != nil {
		d.intake.leave()
		refuse(w, decider.Refuse{Code: coder.RequestMalformed})
		return
	}
	msg := decider.RequestArrived{ID: id, Path: r.URL.Path, Repeatable: content.Repeatable(), Deadline: callerDeadline(r, d.clock.Now())}
	msg.Key, msg.HasKey = callerKey(r)
	out := forwarder.Outgoing{
		ID:      name,
		Method:  r.Method,
		URI:     r.URL.RequestURI(),
		Header:  r.Header,
		Content: content,
	}
	d.answer(r.Context(), w, msg, out)
}

// answer follows the loop's commands until the request has its final answer.
func (d *Daemon) answer(ctx context.Context, w http.ResponseWriter, msg decider.RequestArrived, out forwarder.Outgoing) {
	started := d.clock.Now()
	cmds := d.loop.request(msg)
	d.intake.leave()
	defer d.loop.forget(msg.ID)
	left := ctx.Done()
	for {
		select {
		case <-d.loop.done:
			refuse(w, decider.Refuse{Code: coder.Stopping})
			return
		case <-left:
			left = nil
			d.loop.send(decider.CallerLeft{ID: msg.ID})
		case cmd := <-cmds:
			switch c := cmd.(type) {
			case decider.Refuse:
				refuse(w, c)
				return
			case decider.Forward:
				out.Team = c.Decision.Team
				if result := d.attempt(ctx, w, c, out); final(result) {
					d.meters.answered(out.Team, d.clock.Since(started))
					return
				}
			}
		}
	}
}

// final reports whether the caller has its answer. A broken one ends the
// connection, so that the caller never takes a part for the whole.
func final(result forwarder.Result) bool {
	if result.Committed && result.Code != coder.OK {
		panic(http.ErrAbortHandler)
	}
	return result.Committed
}

func (d *Daemon) attempt(ctx context.Context, w http.ResponseWriter, c decider.Forward, out forwarder.Outgoing) forwarder.Result {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	defer d.cancels.add(c.ID, c.Endpoint, cancel)()
	result := d.forwarder.Attempt(ctx, w, out, c.Endpoint)
	d.meters.attempted(result)
	d.loop.send(decider.AnswerEnded{
		ID:        c.ID,
		Endpoint:  c.Endpoint,
		Result:    result.Code,
		Ran:       result.Ran,
		Committed: result.Committed,
	})
	if result.Load >= 0 {
		d.loop.send(decider.LoadReported{Service: c.Decision.Service, Endpoint: c.Endpoint, Load: result.Load, Draining: result.Draining && d.without != UpstreamDrain})
	}
	return result
}

// callerKey returns the digest of the request's key.
func callerKey(r *http.Request) (authenticator.Digest, bool) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return authenticator.Digest{}, false
	}
	return authenticator.DigestOf(secret), true
}

// callerDeadline returns the deadline that the caller gave as a duration.
func callerDeadline(r *http.Request, now time.Time) time.Time {
	d, err := time.ParseDuration(r.Header.Get(forwarder.HeaderDeadline))
	if err != nil || d <= 0 {
		return time.Time{}
	}
	return now.Add(d)
}

// refuse answers with a numbered refusal.
func refuse(w http.ResponseWriter, c decider.Refuse) {
	seconds := int(math.Ceil(c.RetryAfter.Seconds()))
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Retry-After", strconv.Itoa(seconds))
	h.Set(forwarder.HeaderCode, strconv.Itoa(int(c.Code)))
	h.Set(forwarder.HeaderNotRun, notRun(c.Ran))
	w.WriteHeader(refusalStatus(c.Code))
	_ = json.NewEncoder(w).Encode(Refusal{
		Code:    int(c.Code),
		Name:    c.Code.String(),
		NotRun:  notRun(c.Ran),
		RetryMS: c.RetryAfter.Milliseconds(),
	})
}

func notRun(ran coder.Ran) string {
	switch ran {
	case coder.NotRun:
		return "true"
	case coder.HasRun:
		return "false"
	}
	return "unknown"
}

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

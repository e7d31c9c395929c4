package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"primroseseam.org/standin/disruptor"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext returns a context that holds the connection c. Set it as the ConnContext of
// the http.Server that serves the upstream: FaultDuplicated takes the connection from the
// context of the request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP implements http.Handler. If no slot is free or the upstream is draining, it
// sheds the request: it responds with status 503 and doesn't run it. Otherwise it runs the
// request and responds, with the fault that was chosen for the request, if any.
func (u *FakeUpstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	fault, ok := u.acquireSlot()
	observed := u.observed(req, string(body), ok)
	u.observer(observed)
	defer func() { u.observer(u.completed(req, observed)) }()
	u.setHeaders(w, req)
	if !ok {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer u.releaseSlot()
	if !u.simulateWork(req, fault) {
		return
	}
	answer := Answer{
		RequestID: req.Header.Get(HeaderRequestID),
		Path:      req.URL.Path,
		Echo:      string(body),
		Padding:   u.padding,
	}
	u.answer(w, req, u.selectAnswer(answer, fault), fault)
}

// observed returns the argument of the observer's first call for a request, when the request
// has arrived.
func (u *FakeUpstream) observed(req *http.Request, body string, ran bool) ObservedRequest {
	deadline, err := time.ParseDuration(req.Header.Get(HeaderDeadline))
	if err != nil {
		deadline = 0
	}
	return ObservedRequest{
		Team:      req.Header.Get(HeaderTeam),
		RequestID: req.Header.Get(HeaderRequestID),
		Path:      req.URL.Path,
		Query:     req.URL.RawQuery,
		Name:      req.Header.Get(HeaderName),
		Headers:   req.Header.Clone(),
		Body:      body,
		Deadline:  deadline,
		At:        u.clock.Now(),
		Ran:       ran,
	}
}

// completed returns the argument of the observer's second call for a request, when the
// request has ended. The parameter observed is the argument of the first call.
func (u *FakeUpstream) completed(req *http.Request, observed ObservedRequest) ObservedRequest {
	observed.Ended = true
	observed.Cancelled = req.Context().Err() != nil
	observed.Bytes = int64(2*len(observed.Body) + len(u.padding))
	observed.At = u.clock.Now()
	return observed
}

// setHeaders sets the headers that every response of the upstream has.
func (u *FakeUpstream) setHeaders(w http.ResponseWriter, req *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w.Header().Set(HeaderLoad, fmt.Sprint(u.reportedLoad(u.clock.Now())))
	w.Header().Set(HeaderRequestID, req.Header.Get(HeaderRequestID))
	if u.draining {
		w.Header().Set(HeaderDraining, "true")
	}
}

// simulateWork waits as long as the request takes. It returns false if no response must be
// sent, because the fault is FaultSilent or the request was cancelled.
func (u *FakeUpstream) simulateWork(req *http.Request, fault Fault) bool {
	if fault == FaultSilent {
		<-req.Context().Done()
		return false
	}
	u.mu.Lock()
	work := u.cold.workAt(u.clock.Now(), u.work)
	u.mu.Unlock()
	if fault == FaultLate {
		work += lateDelay
	}
	if work <= 0 {
		return true
	}
	select {
	case <-u.clock.After(work):
		return true
	case <-req.Context().Done():
		return false
	}
}

// answer sends the response to a request that ran. The fault is the one that was chosen for
// the request.
func (u *FakeUpstream) answer(w http.ResponseWriter, req *http.Request, answer Answer, fault Fault) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	switch fault {
	case FaultLost:
		panic(http.ErrAbortHandler)
	case FaultError:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case FaultCrossed:
		w.Header().Set(HeaderRequestID, answer.RequestID)
	case FaultTruncated:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultDuplicated:
		if c, ok := req.Context().Value(connKey{}).(*disruptor.Conn); ok {
			c.DuplicateNext()
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

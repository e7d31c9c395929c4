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

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext gives requests their connection; set it as the server's
// ConnContext where answers are to be duplicated.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ServeHTTP implements http.Handler.
func (r *FakeUpstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	fault, ok := r.enter()
	seen := r.seen(req, string(body), ok)
	r.observer(seen)
	defer func() { r.observer(r.ended(req, seen)) }()
	r.describe(w, req)
	if !ok {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	if !r.pause(req, fault) {
		return
	}
	answer := Answer{
		RequestID: req.Header.Get(HeaderRequestID),
		Path:      req.URL.Path,
		Echo:      string(body),
		Padding:   r.padding,
	}
	r.answer(w, req, r.remember(answer, fault), fault)
}

func (r *FakeUpstream) seen(req *http.Request, body string, ran bool) ObservedRequest {
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
		At:        r.clock.Now(),
		Ran:       ran,
	}
}

func (r *FakeUpstream) ended(req *http.Request, seen ObservedRequest) ObservedRequest {
	seen.Ended = true
	seen.Cancelled = req.Context().Err() != nil
	seen.Bytes = int64(2*len(seen.Body) + len(r.padding))
	seen.At = r.clock.Now()
	return seen
}

func (r *FakeUpstream) describe(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(HeaderLoad, fmt.Sprint(r.reportedLoad(r.clock.Now())))
	w.Header().Set(HeaderRequestID, req.Header.Get(HeaderRequestID))
	if r.draining {
		w.Header().Set(HeaderDraining, "true")
	}
}

// pause does the work; it reports false if the answer is never sent.
func (r *FakeUpstream) pause(req *http.Request, fault Fault) bool {
	if fault == FaultSilent {
		<-req.Context().Done()
		return false
	}
	r.mu.Lock()
	work := r.cold.workAt(r.clock.Now(), r.work)
	r.mu.Unlock()
	if fault == FaultLate {
		work += lateBy
	}
	if work <= 0 {
		return true
	}
	select {
	case <-r.clock.After(work):
		return true
	case <-req.Context().Done():
		return false
	}
}

func (r *FakeUpstream) answer(w http.ResponseWriter, req *http.Request, answer Answer, fault Fault) {
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

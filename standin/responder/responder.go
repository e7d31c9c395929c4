// Package responder stands in for an upstream: a few slots, cold starts,
// shedding, drains, reports of its load, and answers that fail in many ways.
//
// # Usage
//
//	u := responder.New(responder.WithSlots(3), responder.WithWork(20*time.Millisecond))
//	server := httptest.NewServer(u)
//	u.SetFault(responder.FaultCrossed, 0.01)
package responder

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

//go:generate stringer -type=Fault -output=responder_string.go

// Headers that an upstream and the system exchange.
const (
	// HeaderRequestID names the request; an upstream repeats it in its answer.
	HeaderRequestID = "Seam-Request-Id"
	// HeaderTeam names the team for which the request runs.
	HeaderTeam = "Seam-Team"
	// HeaderLoad is the number of requests that the upstream works on.
	HeaderLoad = "Upstream-Load"
	// HeaderNotRun marks an answer to a request that did not run.
	HeaderNotRun = "Upstream-Not-Run"
	// HeaderDraining marks an upstream that takes no new work.
	HeaderDraining = "Upstream-Draining"
)

// Fault is a way in which an answer fails.
type Fault int

const (
	// FaultNone answers properly.
	FaultNone Fault = iota
	// FaultCrossed answers with the header and body of another request.
	FaultCrossed
	// FaultTruncated ends the answer in the middle of its body.
	FaultTruncated
	// FaultSilent never answers.
	FaultSilent
	// FaultError answers with status 500 after running.
	FaultError
	// FaultLost runs the request and drops the connection.
	FaultLost
)

// Seen is a request as the upstream received it.
type Seen struct {
	Team      string
	RequestID string
	Path      string
	Name      string
	Headers   http.Header
	At        time.Time
	Ran       bool
}

// Observer is told of every request that reaches the upstream.
type Observer func(Seen)

// Answer is the body of a proper answer. It repeats what identifies the
// request, so that a caller can check that the answer is its own.
type Answer struct {
	RequestID string `json:"requestId"`
	Path      string `json:"path"`
	Echo      string `json:"echo"`
	Padding   string `json:"padding,omitempty"`
}

// Responder is the stand-in. It is safe for concurrent use and implements
// http.Handler.
type Responder struct {
	clock    clockwork.Clock
	slots    int
	work     time.Duration
	padding  string
	observer Observer

	mu       sync.Mutex
	rng      *rand.Rand
	inUse    int
	draining bool
	fault    Fault
	chance   float64
	last     Answer
}

// Option changes a responder at its creation.
type Option func(*Responder)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(r *Responder) { r.clock = c } }

// WithSlots sets how many requests run at once; more are shed.
func WithSlots(n int) Option { return func(r *Responder) { r.slots = n } }

// WithWork sets how long a request takes.
func WithWork(d time.Duration) Option { return func(r *Responder) { r.work = d } }

// WithPadding sets the number of filler bytes in every answer.
func WithPadding(n int) Option {
	return func(r *Responder) { r.padding = strings.Repeat("x", n) }
}

// WithObserver sets who is told of every request.
func WithObserver(o Observer) Option { return func(r *Responder) { r.observer = o } }

// WithSeed seeds the choice of requests that fail.
func WithSeed(seed uint64) Option {
	return func(r *Responder) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an idle responder.
func New(opts ...Option) *Responder {
	r := &Responder{
		clock:    clockwork.NewRealClock(),
		slots:    1,
		observer: func(Seen) {},
		rng:      rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetFault makes a part of the requests, 0 to 1, fail in one way.
func (r *Responder) SetFault(f Fault, chance float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.chance = f, chance
}

// SetDraining starts or ends a drain: new requests are shed while it lasts.
func (r *Responder) SetDraining(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = on
}

// InUse returns the number of requests in progress.
func (r *Responder) InUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse
}

// ServeHTTP implements http.Handler.
func (r *Responder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	fault, ok := r.enter()
	r.observe(req, ok)
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
	r.answer(w, r.remember(answer, fault), fault)
}

// enter takes a slot; it reports false if the request is shed.
func (r *Responder) enter() (Fault, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining || r.inUse >= r.slots {
		return FaultNone, false
	}
	r.inUse++
	if r.rng.Float64() < r.chance {
		return r.fault, true
	}
	return FaultNone, true
}

func (r *Responder) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inUse--
}

func (r *Responder) observe(req *http.Request, ran bool) {
	r.observer(Seen{
		Team:      req.Header.Get(HeaderTeam),
		RequestID: req.Header.Get(HeaderRequestID),
		Path:      req.URL.Path,
		Name:      req.Header.Get("Seam-Name"),
		Headers:   req.Header.Clone(),
		At:        r.clock.Now(),
		Ran:       ran,
	})
}

func (r *Responder) describe(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set(HeaderLoad, fmt.Sprint(r.inUse))
	w.Header().Set(HeaderRequestID, req.Header.Get(HeaderRequestID))
	if r.draining {
		w.Header().Set(HeaderDraining, "true")
	}
}

// pause does the work; it reports false if the answer is never sent.
func (r *Responder) pause(req *http.Request, fault Fault) bool {
	if fault == FaultSilent {
		<-req.Context().Done()
		return false
	}
	select {
	case <-r.clock.After(r.work):
		return true
	case <-req.Context().Done():
		return false
	}
}

// remember returns the answer to send: the previous request's if crossed.
func (r *Responder) remember(answer Answer, fault Fault) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.last
	r.last = answer
	if fault == FaultCrossed {
		return previous
	}
	return answer
}

func (r *Responder) answer(w http.ResponseWriter, answer Answer, fault Fault) {
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
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
}

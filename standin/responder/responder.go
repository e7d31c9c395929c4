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
	// HeaderName is a caller's name for a non-idempotent request.
	HeaderName = "Seam-Name"
	// HeaderDeadline is the time that a request may still take.
	HeaderDeadline = "Seam-Deadline"
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
	// FaultLate answers long after the work is done.
	FaultLate
	// FaultDuplicated sends the answer twice. It needs a connection of package
	// disruptor; on others it answers properly.
	FaultDuplicated
)

// lateBy is how long a late answer is held back.
const lateBy = 3 * time.Second

// ObservedRequest is a request as the upstream received it.
type ObservedRequest struct {
	Team      string
	RequestID string
	Path      string
	Query     string
	Name      string
	Headers   http.Header
	Body      string
	// Deadline is the time that the request may still take, or 0 if not given.
	Deadline time.Duration
	At       time.Time
	Ran      bool
	// Ended marks the second call of the observer, when the request is over.
	Ended bool
	// Cancelled means that the connection or the request was ended by its
	// sender before the answer.
	Cancelled bool
	// Bytes is the size of the request's and the answer's body.
	Bytes int64
}

// Observer is told of every request twice: when it arrives and when it ends.
type Observer func(ObservedRequest)

// Answer is the body of a proper answer. It repeats what identifies the
// request, so that a caller can check that the answer is its own.
type Answer struct {
	RequestID string `json:"requestId"`
	Path      string `json:"path"`
	Echo      string `json:"echo"`
	Padding   string `json:"padding,omitempty"`
}

// FakeUpstream is the stand-in. It is safe for concurrent use and implements
// http.Handler.
type FakeUpstream struct {
	clock    clockwork.Clock
	slots    int
	work     time.Duration
	padding  string
	observer Observer
	cold     coldStart
	report   Report

	mu       sync.Mutex
	rng      *rand.Rand
	inUse    int
	draining bool
	fault    Fault
	chance   float64
	last     Answer
	loads    []loadAt
}

// Option changes a responder at its creation.
type Option func(*FakeUpstream)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(r *FakeUpstream) { r.clock = c } }

// WithSlots sets how many requests run at once; more are shed.
func WithSlots(n int) Option { return func(r *FakeUpstream) { r.slots = n } }

// WithWork sets how long a request takes.
func WithWork(d time.Duration) Option { return func(r *FakeUpstream) { r.work = d } }

// WithColdStart makes requests take factor times as long at first and less and
// less for the time that warming takes.
func WithColdStart(factor float64, warming time.Duration) Option {
	return func(r *FakeUpstream) { r.cold = coldStart{factor: factor, warming: warming} }
}

// WithReport sets how far the reported load can be trusted.
func WithReport(report Report) Option { return func(r *FakeUpstream) { r.report = report } }

// WithPadding sets the number of filler bytes in every answer.
func WithPadding(n int) Option {
	return func(r *FakeUpstream) { r.padding = strings.Repeat("x", n) }
}

// WithObserver sets who is told of every request.
func WithObserver(o Observer) Option { return func(r *FakeUpstream) { r.observer = o } }

// WithSeed seeds the choice of requests that fail.
func WithSeed(seed uint64) Option {
	return func(r *FakeUpstream) { r.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns an idle responder.
func New(opts ...Option) *FakeUpstream {
	r := &FakeUpstream{
		clock:    clockwork.NewRealClock(),
		slots:    1,
		observer: func(ObservedRequest) {},
		rng:      rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.cold.began = r.clock.Now()
	return r
}

// SetFault makes a part of the requests, 0 to 1, fail in one way.
func (r *FakeUpstream) SetFault(f Fault, chance float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault, r.chance = f, chance
}

// SetDraining starts or ends a drain: new requests are shed while it lasts.
func (r *FakeUpstream) SetDraining(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = on
}

// Cool makes the responder cold again, as after a restart.
func (r *FakeUpstream) Cool() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cold.began = r.clock.Now()
}

// InUse returns the number of requests in progress.
func (r *FakeUpstream) InUse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse
}

// enter takes a slot; it reports false if the request is shed.
func (r *FakeUpstream) enter() (Fault, bool) {
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

func (r *FakeUpstream) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inUse--
}

// remember returns the answer to send: the previous request's if crossed.
func (r *FakeUpstream) remember(answer Answer, fault Fault) Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.last
	r.last = answer
	if fault == FaultCrossed {
		return previous
	}
	return answer
}

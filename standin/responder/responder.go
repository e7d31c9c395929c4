// Package responder is a stand-in for an upstream of seamd. The tests of seamd, the commands
// "seamctl demo" and "seamctl measure", and the command "standin upstream" use it.
//
// The upstream has a number of slots. Each running request takes one; a request that finds
// none free is shed, which means that it is rejected with status 503 and doesn't run. After
// its start the upstream can be cold, which means that requests take longer until it is
// warm. It can drain, which means that it sheds every new request. It reports its load in
// a header of each response, and can return faulty responses.
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

// Headers of the requests to an upstream and of its responses.
const (
	// HeaderRequestID identifies the request; an upstream repeats it in its response.
	HeaderRequestID = "Seam-Request-Id"
	// HeaderTeam is the team for which the request runs.
	HeaderTeam = "Seam-Team"
	// HeaderName identifies a non-idempotent request, so that it runs at most once.
	HeaderName = "Seam-Name"
	// HeaderDeadline is the time that the request may still take, as a Go duration.
	HeaderDeadline = "Seam-Deadline"
	// HeaderLoad is the load that the upstream reports, as a number of requests in
	// progress. Report selects how it relates to the actual number.
	HeaderLoad = "Upstream-Load"
	// HeaderNotRun marks the response to a request that did not run.
	HeaderNotRun = "Upstream-Not-Run"
	// HeaderDraining marks the responses of an upstream that accepts no new requests.
	HeaderDraining = "Upstream-Draining"
)

// Fault is a fault of a response.
type Fault int

const (
	// FaultNone sends the correct response.
	FaultNone Fault = iota
	// FaultCrossed sends the response to the previous request, with its request id and its
	// body. If there was no previous request, the request id and the body's values are
	// empty.
	FaultCrossed
	// FaultTruncated closes the connection after half of the response's body.
	FaultTruncated
	// FaultSilent never responds.
	FaultSilent
	// FaultError runs the request and responds with status 500.
	FaultError
	// FaultLost runs the request and closes the connection without a response.
	FaultLost
	// FaultLate sends the correct response lateDelay later than usual.
	FaultLate
	// FaultDuplicated sends the correct response twice. The server must have ConnContext
	// as its http.Server.ConnContext and must accept connections from a
	// disruptor.Listener. Otherwise the response is sent once.
	FaultDuplicated
)

// lateDelay is the delay of a response with FaultLate.
const lateDelay = 3 * time.Second

// ObservedRequest is the argument of an Observer: a request as the upstream received it and,
// in the second call for the request, its result.
type ObservedRequest struct {
	Team      string
	RequestID string
	Path      string
	Query     string
	Name      string
	Headers   http.Header
	Body      string
	// Deadline is the time that the request may still take, from HeaderDeadline, or 0 if the
	// header is missing or invalid.
	Deadline time.Duration
	// At is the time of the call of the observer.
	At time.Time
	// Ran is false if the request was shed.
	Ran bool
	// Ended marks the second call of the observer, when the request has ended.
	Ended bool
	// Cancelled is true if the sender closed the connection or cancelled the request
	// before the request ended. It is set in the second call.
	Cancelled bool
	// Bytes is twice the size of the request's body, since a response repeats the body,
	// plus the size of the padding. This is about the size of the request's body and the
	// body of its correct response together. It is set in the second call.
	Bytes int64
}

// Observer is called twice for each request: when its body has arrived and when it has
// ended.
type Observer func(ObservedRequest)

// Answer is the body of a correct response. It repeats the id, the path and the body of the
// request, so that the caller can check that the response is that to its own request.
type Answer struct {
	RequestID string `json:"requestId"`
	Path      string `json:"path"`
	Echo      string `json:"echo"`
	Padding   string `json:"padding,omitempty"`
}

// FakeUpstream is the stand-in for an upstream. It is safe for concurrent use and
// implements http.Handler.
type FakeUpstream struct {
	clock    clockwork.Clock
	slots    int
	work     time.Duration
	padding  string
	observer Observer
	cold     coldStart
	report   Report

	mu               sync.Mutex
	rng              *rand.Rand
	inUse            int
	draining         bool
	fault            Fault
	faultProbability float64
	lastAnswer       Answer
	loadSamples      []loadSample
}

// Option configures a FakeUpstream.
type Option func(*FakeUpstream)

// WithClock replaces the real clock.
func WithClock(c clockwork.Clock) Option { return func(u *FakeUpstream) { u.clock = c } }

// WithSlots sets how many requests can run at the same time. The default is 1.
func WithSlots(n int) Option { return func(u *FakeUpstream) { u.slots = n } }

// WithWork sets how long a request takes on a warm upstream.
func WithWork(d time.Duration) Option { return func(u *FakeUpstream) { u.work = d } }

// WithColdStart makes the upstream cold at its start: requests then take factor times as
// long as WithWork sets. This factor falls linearly to 1 over the time warming, after which
// the upstream is warm.
func WithColdStart(factor float64, warming time.Duration) Option {
	return func(u *FakeUpstream) { u.cold = coldStart{factor: factor, warming: warming} }
}

// WithReport sets which load the upstream reports. The default is ReportHonest.
func WithReport(report Report) Option { return func(u *FakeUpstream) { u.report = report } }

// WithPadding sets the number of padding bytes in every response.
func WithPadding(n int) Option {
	return func(u *FakeUpstream) { u.padding = strings.Repeat("x", n) }
}

// WithObserver sets a function that is called for every request.
func WithObserver(o Observer) Option { return func(u *FakeUpstream) { u.observer = o } }

// WithSeed seeds the random choice of requests that get a fault.
func WithSeed(seed uint64) Option {
	return func(u *FakeUpstream) { u.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a FakeUpstream without requests in progress. It is warm unless WithColdStart
// is given.
func New(opts ...Option) *FakeUpstream {
	u := &FakeUpstream{
		clock:    clockwork.NewRealClock(),
		slots:    1,
		observer: func(ObservedRequest) {},
		rng:      rand.New(rand.NewPCG(1, 1)),
	}
	for _, opt := range opts {
		opt(u)
	}
	u.cold.startedAt = u.clock.Now()
	return u
}

// SetFault sets a fault and the probability, from 0 to 1, with which a request gets it. It
// replaces the fault that was set before.
func (u *FakeUpstream) SetFault(f Fault, faultProbability float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault, u.faultProbability = f, faultProbability
}

// SetDraining sets whether the upstream is draining. It then sheds every new request.
func (u *FakeUpstream) SetDraining(on bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = on
}

// RestartColdStart makes an upstream with WithColdStart cold again, as after a restart.
func (u *FakeUpstream) RestartColdStart() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cold.startedAt = u.clock.Now()
}

// InUse returns the number of requests in progress.
func (u *FakeUpstream) InUse() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inUse
}

// acquireSlot takes a slot for a request and returns the fault that the request gets. It
// returns false if the request must be shed.
func (u *FakeUpstream) acquireSlot() (Fault, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining || u.inUse >= u.slots {
		return FaultNone, false
	}
	u.inUse++
	if u.rng.Float64() < u.faultProbability {
		return u.fault, true
	}
	return FaultNone, true
}

func (u *FakeUpstream) releaseSlot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse--
}

// selectAnswer stores the correct answer to a request and returns the answer to send. For
// FaultCrossed this is the stored answer to the previous request, otherwise the correct
// one.
func (u *FakeUpstream) selectAnswer(answer Answer, fault Fault) Answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.lastAnswer
	u.lastAnswer = answer
	if fault == FaultCrossed {
		return previous
	}
	return answer
}

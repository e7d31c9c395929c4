// Package deduplicator keeps a home's records of named requests, so that each
// name runs at most once.
//
// A name that is new runs. A repeat waits for the first or gets its recorded
// answer. A name that may have run and has no answer is "unknown" for good.
// Only a request that surely didn't run gives its name free again.
//
// # Usage
//
//	home := deduplicator.New("seamd-3", incarnation)
//	switch verdict, answer := home.Begin(now, name, notify); verdict {
//	case deduplicator.Run: // run it, then home.End(name, answer)
//	case deduplicator.Wait: // notify is called with the answer
//	case deduplicator.Replay: // send answer
//	}
package deduplicator

import (
	"sync"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/ticketer"
)

//go:generate stringer -type=Verdict -output=deduplicator_string.go

const (
	// defaultMaxRecords bounds the names that are kept.
	defaultMaxRecords = 200_000
	// defaultMaxBytes bounds the recorded answers; a name whose answer is
	// dropped still never runs again.
	defaultMaxBytes = 32 << 20
)

// Verdict is what a home does with a named request.
type Verdict int

const (
	// Run means that the request is the first of its name.
	Run Verdict = iota
	// Wait means that the first is still running.
	Wait
	// Replay means that the answer is recorded.
	Replay
	// NotHome means that the name's home is gone, as far as this instance can
	// tell: whether the request ran is unknown.
	NotHome
	// Expired means that the ticket has ended; the name may have run before.
	Expired
	// Full means that no more names are taken now; the request didn't run.
	Full
	// Closed means that the home is stopping and has no record of the name;
	// the request didn't run here and won't.
	Closed
	// Reused means that the name stood for another request.
	Reused
)

// Name identifies a request.
type Name struct {
	Ticket ticketer.Ticket
	// Team and Text together are the key of the record.
	Team string
	Text string
	// Request tells requests apart that wrongly share a name.
	Request string
}

func (n Name) key() string { return n.Team + "\x00" + n.Text }

// Answer is a recorded answer.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	Code   coder.Code          `json:"code"`
	Ran    coder.Ran           `json:"ran"`
}

// unknown is the answer of a name that may have run and has no other.
var unknown = Answer{Code: coder.OutcomeUnknown, Ran: coder.MayHaveRun}

// owner is one start of one instance.
type owner struct {
	id          string
	incarnation uint64
}

// record is what a home knows of a name.
type record struct {
	key     string
	request string
	answer  Answer
	done    bool
	forget  time.Time
	waiting []func(Answer)
}

// Home keeps records. It is safe for concurrent use.
type Home struct {
	mu      sync.Mutex
	self    owner
	adopted map[owner]bool
	records map[string]*record
	order   []*record
	bytes   int
	running int
	closed  bool
	// handed means that a successor may run names of this home.
	handed     bool
	maxRecords int
	maxBytes   int
}

// Option changes a home at its creation.
type Option func(*Home)

// WithMaxRecords bounds the names that are kept.
func WithMaxRecords(n int) Option { return func(h *Home) { h.maxRecords = n } }

// WithMaxBytes bounds the recorded answers.
func WithMaxBytes(n int) Option { return func(h *Home) { h.maxBytes = n } }

// New returns the home that one start of an instance is.
func New(id string, incarnation uint64, opts ...Option) *Home {
	h := &Home{
		self: owner{id, incarnation}, adopted: map[owner]bool{}, records: map[string]*record{},
		maxRecords: defaultMaxRecords, maxBytes: defaultMaxBytes,
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Begin decides about a named request. If it waits, notify is called once with
// the answer, from the goroutine that ends the first.
func (h *Home) Begin(now time.Time, n Name, notify func(Answer)) (Verdict, Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	from := owner{n.Ticket.Home, n.Ticket.Incarnation}
	if from != h.self && !h.adopted[from] {
		return NotHome, unknown
	}
	h.forget(now)
	r, ok := h.records[n.key()]
	switch {
	case ok && r.request != n.Request:
		return Reused, Answer{Code: coder.RequestMalformed, Ran: coder.NotRun}
	case ok && r.done:
		return Replay, r.answer
	case ok:
		r.waiting = append(r.waiting, notify)
		return Wait, Answer{}
	case !now.Before(n.Ticket.Expires()):
		return Expired, unknown
	case h.handed:
		return NotHome, unknown
	case h.closed:
		return Closed, Answer{Code: coder.Stopping, Ran: coder.NotRun}
	case len(h.records) >= h.maxRecords:
		return Full, Answer{Code: coder.QueueFull, Ran: coder.NotRun}
	}
	r = &record{key: n.key(), request: n.Request, forget: n.Ticket.Expires().Add(ticketer.Grace)}
	h.records[r.key] = r
	h.order = append(h.order, r)
	h.running++
	return Run, Answer{}
}

// End records the answer of a request that Begin let run, and tells those that
// wait. A request that didn't run gives its name free.
func (h *Home) End(n Name, a Answer) {
	h.mu.Lock()
	r, ok := h.records[n.key()]
	if !ok || r.done {
		h.mu.Unlock()
		return
	}
	h.running--
	waiting := r.waiting
	r.waiting = nil
	if a.Ran == coder.NotRun {
		delete(h.records, r.key)
		r.done = true
	} else {
		h.keep(r, a)
	}
	h.mu.Unlock()
	for _, notify := range waiting {
		notify(a)
	}
}

// keep stores an answer, or the fact that there is no room for it.
func (h *Home) keep(r *record, a Answer) {
	if h.bytes+len(a.Body) > h.maxBytes {
		a = Answer{Code: coder.OutcomeUnknown, Ran: a.Ran}
	}
	h.bytes += len(a.Body)
	r.answer = a
	r.done = true
}

// forget drops records whose tickets ended long ago, oldest first.
func (h *Home) forget(now time.Time) {
	for len(h.order) > 0 {
		r := h.order[0]
		if h.records[r.key] == r {
			if !r.done || now.Before(r.forget) {
				return
			}
			delete(h.records, r.key)
			h.bytes -= len(r.answer.Body)
		}
		h.order = h.order[1:]
	}
}

// Len returns the number of names that are kept.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

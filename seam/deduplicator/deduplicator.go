// Package deduplicator runs each named request at most once.
//
// A name is the idempotency key that a caller gives a non-idempotent request. It starts
// with a ticket, a signed token that identifies its issuer: an instance and the
// incarnation, that is, the run, of that instance. The issuer is the home of the name.
// The home runs the name's requests and records their answers. When a home stops, it
// hands its records to another instance, its successor, which then answers in its
// place. No other instance runs requests of the name.
//
// The first request of a name runs. A repeated request waits until the first request
// ends, or gets the recorded answer. If the first request may have run and no answer is
// recorded, every repeated request gets "outcome unknown", even after the record was
// dropped. A name runs again only if its request certainly didn't run.
//
// The fleet daemon seamd uses this package.
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
	// defaultMaxRecords is the default maximum number of records.
	defaultMaxRecords = 200_000
	// defaultMaxBytes is the default maximum size of all recorded response bodies
	// together. If an answer doesn't fit, its name is recorded without the answer and
	// never runs again.
	defaultMaxBytes = 32 << 20
)

// Verdict is what the caller of Begin must do with a named request.
type Verdict int

const (
	// Run means that the request is the first of its name and must be run.
	Run Verdict = iota
	// Wait means that the first request of the name is still running. Its answer is
	// passed to notify.
	Wait
	// Replay means that the recorded answer must be sent.
	Replay
	// NotHome means that this instance isn't the name's home, for instance because it
	// has restarted since it issued the ticket, or that it has handed its records to a
	// successor. Whether the request ran is unknown.
	NotHome
	// Expired means that the ticket has expired. The name may have run before,
	// and its record may have been dropped.
	Expired
	// Full means that the maximum number of records is reached; the request
	// didn't run.
	Full
	// Closed means that the home is stopping and has no record of the name. The request
	// didn't run at this home and won't.
	Closed
	// Reused means that the name was used before for a different request.
	Reused
)

// Name is the idempotency key of a request.
type Name struct {
	Ticket ticketer.Ticket
	// Team is the team of the caller, and Text is the name as the caller sent it. Both
	// together are the key of the name's record.
	Team string
	Text string
	// Request describes the request, such as its method and URI. It detects
	// a name that is used for two different requests.
	Request string
}

func (n Name) key() string { return n.Team + "\x00" + n.Text }

// Answer is the response to a request, or the reason why there is none.
type Answer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	Code   coder.Code          `json:"code"`
	Ran    coder.Ran           `json:"ran"`
}

// outcomeUnknown is the answer to a request whose name may have run and has no recorded
// answer.
var outcomeUnknown = Answer{Code: coder.OutcomeUnknown, Ran: coder.MayHaveRun}

// homeID identifies a home: one incarnation of one instance.
type homeID struct {
	id          string
	incarnation uint64
}

// record is a home's entry for a name.
type record struct {
	key     string
	request string
	// answer is valid once requestEnded is set.
	answer       Answer
	requestEnded bool
	// keepUntil is the time until which the record must be kept.
	keepUntil time.Time
	// waiters are called with the answer when the request ends.
	waiters []func(Answer)
}

// Home holds the records of one instance's named requests and decides about
// each of them. It is safe for concurrent use.
type Home struct {
	mu   sync.Mutex
	self homeID
	// adoptedHomes holds the stopped homes whose names and records this home has taken
	// over.
	adoptedHomes map[homeID]bool
	records      map[string]*record
	// order lists the records in the order in which they were added. It may still list
	// some that were deleted from records.
	order []*record
	// bytes is the size of all recorded response bodies together.
	bytes           int
	runningRequests int
	closed          bool
	// handedOver means that this home's records were handed over, so a successor may
	// run its names.
	handedOver bool
	maxRecords int
	maxBytes   int
}

// Option configures a new home.
type Option func(*Home)

// WithMaxRecords sets the maximum number of records.
func WithMaxRecords(n int) Option { return func(h *Home) { h.maxRecords = n } }

// WithMaxBytes sets the maximum size of all recorded response bodies together.
func WithMaxBytes(n int) Option { return func(h *Home) { h.maxBytes = n } }

// New returns an empty home for the given incarnation of an instance.
func New(id string, incarnation uint64, opts ...Option) *Home {
	h := &Home{
		self: homeID{id, incarnation}, adoptedHomes: map[homeID]bool{}, records: map[string]*record{},
		maxRecords: defaultMaxRecords, maxBytes: defaultMaxBytes,
	}
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// Begin returns what to do with a named request. If the verdict is Run, the caller must
// run the request and then call End. If it is Wait, notify is called once with the
// answer, on the goroutine that calls End for the first request of the name. For all
// other verdicts, the returned answer must be sent to the requester.
func (h *Home) Begin(now time.Time, n Name, notify func(Answer)) (Verdict, Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	issuer := homeID{n.Ticket.Home, n.Ticket.Incarnation}
	if issuer != h.self && !h.adoptedHomes[issuer] {
		return NotHome, outcomeUnknown
	}
	h.dropExpired(now)
	r, ok := h.records[n.key()]
	switch {
	case ok && r.request != n.Request:
		return Reused, Answer{Code: coder.RequestMalformed, Ran: coder.NotRun}
	case ok && r.requestEnded:
		return Replay, r.answer
	case ok:
		r.waiters = append(r.waiters, notify)
		return Wait, Answer{}
	case !now.Before(n.Ticket.Expires()):
		return Expired, outcomeUnknown
	case h.handedOver:
		return NotHome, outcomeUnknown
	case h.closed:
		return Closed, Answer{Code: coder.Stopping, Ran: coder.NotRun}
	case len(h.records) >= h.maxRecords:
		return Full, Answer{Code: coder.QueueFull, Ran: coder.NotRun}
	}
	r = &record{key: n.key(), request: n.Request, keepUntil: n.Ticket.Expires().Add(ticketer.Grace)}
	h.records[r.key] = r
	h.order = append(h.order, r)
	h.runningRequests++
	return Run, Answer{}
}

// End records the answer to a request for which Begin returned Run, and passes the
// answer to the repeated requests that wait for it. If the request didn't run, its
// record is deleted, so the next request of the name runs.
func (h *Home) End(n Name, a Answer) {
	h.mu.Lock()
	r, ok := h.records[n.key()]
	if !ok || r.requestEnded {
		h.mu.Unlock()
		return
	}
	h.runningRequests--
	waiters := r.waiters
	r.waiters = nil
	if a.Ran == coder.NotRun {
		delete(h.records, r.key)
		r.requestEnded = true
	} else {
		h.setAnswer(r, a)
	}
	h.mu.Unlock()
	for _, notify := range waiters {
		notify(a)
	}
}

// setAnswer stores the answer in a record. If the answer's body doesn't fit, setAnswer
// stores only the code OutcomeUnknown and whether the request ran. The caller holds the
// lock.
func (h *Home) setAnswer(r *record, a Answer) {
	if h.bytes+len(a.Body) > h.maxBytes {
		a = Answer{Code: coder.OutcomeUnknown, Ran: a.Ran}
	}
	h.bytes += len(a.Body)
	r.answer = a
	r.requestEnded = true
}

// dropExpired drops records whose request has ended and whose keepUntil has passed. It
// goes through the records in the order in which they were added and stops at the first
// record that must stay. The caller holds the lock.
func (h *Home) dropExpired(now time.Time) {
	for len(h.order) > 0 {
		r := h.order[0]
		if h.records[r.key] == r {
			if !r.requestEnded || now.Before(r.keepUntil) {
				return
			}
			delete(h.records, r.key)
			h.bytes -= len(r.answer.Body)
		}
		h.order = h.order[1:]
	}
}

// Len returns the number of records.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.records)
}

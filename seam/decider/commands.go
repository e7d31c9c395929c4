package decider

import (
	"time"

	"primroseseam.org/seam/coder"
)

// Cmd is a command that the caller of [Model.Update] must carry out. Only this package
// defines commands.
type Cmd interface{ isCmd() }

// Forward sends a request to an endpoint.
type Forward struct {
	ID       uint64
	Endpoint string
	Deadline time.Time
	// Attempt is the number of this attempt, counted from 1 over all attempts at the
	// request, at endpoints and at peers.
	Attempt  int
	Decision Decision
}

// Pass sends a request to another instance: to the service's slot owner, or to the home
// of a named request.
type Pass struct {
	ID   uint64
	Peer string
	// Home means that Peer is the home of a named request.
	Home       bool
	Team       string
	Service    string
	Idempotent bool
	Affinity   string
	Deadline   time.Time
	Decision   Decision
}

// Refuse answers a request with an error code.
type Refuse struct {
	ID   uint64
	Code coder.Code
	// Ran states whether an endpoint ran the request in any attempt.
	Ran coder.Ran
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	Decision   Decision
}

// Cancel stops an attempt at a request. Either Endpoint or Peer is set, and states where
// the attempt is in flight.
type Cancel struct {
	ID       uint64
	Endpoint string
	Peer     string
}

// Decision describes the decision behind a command, for logs and diagnostics.
type Decision struct {
	Team    string
	Service string
	// Candidates is always 0: this package doesn't set it.
	Candidates int
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Hedge means that an earlier attempt at the request is still in flight.
	Hedge bool
}

func (Forward) isCmd() {}
func (Pass) isCmd()    {}
func (Refuse) isCmd()  {}
func (Cancel) isCmd()  {}

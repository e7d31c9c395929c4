package decider

import (
	"time"

	"primroseseam.org/seam/coder"
)

// Cmd is a command that the loop asks its owner to carry out. The set of
// commands is closed.
type Cmd interface{ isCmd() }

// Forward sends a request to an endpoint.
type Forward struct {
	ID       uint64
	Endpoint string
	Deadline time.Time
	// Attempt counts from 1.
	Attempt  int
	Decision Decision
}

// Pass hands a request to another instance: to the keeper of the service's
// slots, or to the home of the request's name.
type Pass struct {
	ID         uint64
	Peer       string
	Home       bool
	Team       string
	Service    string
	Idempotent bool
	Affinity   string
	Deadline   time.Time
	Decision   Decision
}

// Refuse ends a request with a numbered refusal.
type Refuse struct {
	ID         uint64
	Code       coder.Code
	Ran        coder.Ran
	RetryAfter time.Duration
	Decision   Decision
}

// Cancel stops one attempt for a request, at an endpoint or at a peer.
type Cancel struct {
	ID       uint64
	Endpoint string
	Peer     string
}

// Decision says why a request went where it did; it becomes a log line.
type Decision struct {
	Team       string
	Service    string
	Candidates int
	Waited     time.Duration
	// Hedge means that an earlier attempt is still under way.
	Hedge bool
}

func (Forward) isCmd() {}
func (Pass) isCmd()    {}
func (Refuse) isCmd()  {}
func (Cancel) isCmd()  {}

package decider

import (
	"time"

	"primroseseam.org/seam/coder"
)

// Cmd is a command for the owner of the model to carry out. Only this package defines
// commands.
type Cmd interface{ isCmd() }

// Forward sends a request to an endpoint.
type Forward struct {
	ID       uint64
	Endpoint string
	Deadline time.Time
	// Attempt counts the request's attempts at endpoints and peers, from 1.
	Attempt  int
	Decision Decision
}

// Pass hands a request to another instance: to the service's slot owner, or to the
// home of a named request.
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
	ID         uint64
	Code       coder.Code
	Ran        coder.Ran
	RetryAfter time.Duration
	Decision   Decision
}

// Cancel stops one attempt of a request. Either Endpoint or Peer is set.
type Cancel struct {
	ID       uint64
	Endpoint string
	Peer     string
}

// Decision describes a routing decision for logs and diagnostics.
type Decision struct {
	Team    string
	Service string
	// Candidates is not set by this package.
	Candidates int
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Hedge means that an earlier attempt is still in flight.
	Hedge bool
}

func (Forward) isCmd() {}
func (Pass) isCmd()    {}
func (Refuse) isCmd()  {}
func (Cancel) isCmd()  {}

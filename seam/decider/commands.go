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

// Refuse ends a request with a numbered refusal.
type Refuse struct {
	ID         uint64
	Code       coder.Code
	Ran        coder.Ran
	RetryAfter time.Duration
	Decision   Decision
}

// Cancel stops the attempt that is under way for a request.
type Cancel struct {
	ID       uint64
	Endpoint string
}

// Decision says why a request went where it did; it becomes a log line.
type Decision struct {
	Team       string
	Service    string
	Candidates int
	Waited     time.Duration
}

func (Forward) isCmd() {}
func (Refuse) isCmd()  {}
func (Cancel) isCmd()  {}

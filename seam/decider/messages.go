package decider

import (
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// Msg is a message to the loop. The set of messages is closed.
type Msg interface{ isMsg() }

// RequestArrived says that a caller's request has been read up to its body.
type RequestArrived struct {
	ID uint64
	// HasKey is false if the request carried no key.
	HasKey bool
	Key    authenticator.Digest
	Path   string
	// Repeatable is false if the body is streamed and can't be sent again.
	Repeatable bool
	// Deadline is the caller's own, or zero.
	Deadline time.Time
}

// AnswerEnded says that an attempt at an endpoint is over.
type AnswerEnded struct {
	ID       uint64
	Endpoint string
	// Result is OK if the whole answer went to the caller.
	Result coder.Code
	Ran    coder.Ran
	// Committed means that a part of the answer has gone to the caller.
	Committed bool
}

// CallerLeft says that the caller cancelled or disconnected.
type CallerLeft struct{ ID uint64 }

// LoadReported carries an endpoint's own count of requests in progress.
type LoadReported struct {
	Service  string
	Endpoint string
	Load     int
	Draining bool
}

// ConfigChanged brings a newer configuration.
type ConfigChanged struct{ Config *configurer.Config }

// KeysChanged brings newer keys.
type KeysChanged struct{ Keys *authenticator.Keyring }

// KeyEvidence says that at a time the keys held were all that had been
// accepted. Without such a message the age of keys isn't checked.
type KeyEvidence struct{ At time.Time }

// Ticked says that time has passed.
type Ticked struct{}

// StopRequested starts a graceful shutdown: requests in progress go on and new
// ones are refused.
type StopRequested struct{}

func (RequestArrived) isMsg() {}
func (AnswerEnded) isMsg()    {}
func (CallerLeft) isMsg()     {}
func (LoadReported) isMsg()   {}
func (ConfigChanged) isMsg()  {}
func (KeysChanged) isMsg()    {}
func (KeyEvidence) isMsg()    {}
func (Ticked) isMsg()         {}
func (StopRequested) isMsg()  {}

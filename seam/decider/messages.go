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
	// Home is the instance that runs a named request, or "".
	Home string
}

// PassedRequestArrived says that a peer passed a request on, which it has checked and
// counted against its team's rate.
type PassedRequestArrived struct {
	ID         uint64
	From       string
	Team       string
	Service    string
	Idempotent bool
	Repeatable bool
	Affinity   string
	Deadline   time.Time
	// MayPass means that the request may be passed once more, to the keeper of
	// the service's slots.
	MayPass bool
}

// PassEnded says that an attempt at a peer is over.
type PassEnded struct {
	ID   uint64
	Peer string
	// Result is OK if the whole answer went to the caller.
	Result coder.Code
	Ran    coder.Ran
	// Refused means that the peer answered with a refusal of its own.
	Refused    bool
	RetryAfter time.Duration
	Committed  bool
}

// PeersChanged brings the instances that are known, this one left out.
type PeersChanged struct{ Peers []Peer }

// Peer is another instance.
type Peer struct {
	ID          string
	Region      string
	Incarnation uint64
	Leaving     bool
}

// PeerLoadsReported brings a peer's own counts of requests in flight. Endpoints
// that are left out have none.
type PeerLoadsReported struct {
	Peer  string
	Loads []EndpointLoad
}

// EndpointLoad is a number of requests in flight at an endpoint.
type EndpointLoad struct {
	Service  string
	Endpoint string
	Load     int
	// Draining means that the endpoint itself has told the peer so.
	Draining bool
}

// ForwardEnded says that an attempt at an endpoint is over.
type ForwardEnded struct {
	ID       uint64
	Endpoint string
	// Result is OK if the whole answer went to the caller.
	Result coder.Code
	Ran    coder.Ran
	// Committed means that a part of the answer has gone to the caller.
	Committed bool
	// Shed means that the endpoint had no free slot or drains.
	Shed bool
	// Unhealthy means that a whole answer said that the endpoint is broken.
	Unhealthy bool
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

// LeaveRequested says that a graceful shutdown is near: the instance passes its
// seats on and still serves, with what it borrows.
type LeaveRequested struct{}

// StopRequested starts a graceful shutdown: requests in progress go on and new
// ones are refused.
type StopRequested struct{}

func (RequestArrived) isMsg()       {}
func (PassedRequestArrived) isMsg() {}
func (PassEnded) isMsg()            {}
func (PeersChanged) isMsg()         {}
func (PeerLoadsReported) isMsg()    {}
func (ForwardEnded) isMsg()         {}
func (CallerLeft) isMsg()           {}
func (LoadReported) isMsg()         {}
func (ConfigChanged) isMsg()        {}
func (KeysChanged) isMsg()          {}
func (KeyEvidence) isMsg()          {}
func (Ticked) isMsg()               {}
func (LeaveRequested) isMsg()       {}
func (StopRequested) isMsg()        {}

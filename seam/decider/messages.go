package decider

import (
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// Msg is a message to the model. Only this package defines messages.
type Msg interface{ isMsg() }

// RequestArrived reports a request from a caller, read up to its body.
type RequestArrived struct {
	ID uint64
	// HasKey is false if the request carried no key.
	HasKey bool
	Key    authenticator.Digest
	Path   string
	// Repeatable is false if the body is streamed and can't be sent again.
	Repeatable bool
	// Deadline is the one that the caller set, or zero.
	Deadline time.Time
	// Home is the instance that is responsible for a named request, or "" if the
	// request has no name. A named request runs at most once.
	Home string
}

// PassedRequestArrived reports a request that a peer passed on. The peer has
// authenticated it and charged it to its team's rate.
type PassedRequestArrived struct {
	ID         uint64
	From       string
	Team       string
	Service    string
	Idempotent bool
	Repeatable bool
	Affinity   string
	Deadline   time.Time
	// MayPass means that the request may be passed once more, to the service's
	// slot owner.
	MayPass bool
}

// PassEnded reports the end of an attempt at a peer.
type PassEnded struct {
	ID   uint64
	Peer string
	// Result is OK if the whole answer went to the caller. It is also OK, and Committed
	// is false, if another attempt had already started to answer.
	Result coder.Code
	Ran    coder.Ran
	// Refused means that the peer itself refused the request.
	Refused    bool
	RetryAfter time.Duration
	// Committed means that part of the answer has gone to the caller.
	Committed bool
}

// PeersChanged carries all known instances of the fleet. An entry for this instance is
// ignored.
type PeersChanged struct{ Peers []Peer }

// Peer is another instance of the fleet.
type Peer struct {
	ID          string
	Region      string
	Incarnation uint64
	Leaving     bool
}

// PeerLoadsReported carries the number of requests that a peer has in flight at
// each endpoint. Endpoints that are missing have none.
type PeerLoadsReported struct {
	Peer  string
	Loads []EndpointLoad
}

// EndpointLoad is the number of requests that one instance has in flight at an
// endpoint.
type EndpointLoad struct {
	Service  string
	Endpoint string
	Load     int
	// Draining means that the endpoint reported to that instance that it is draining.
	Draining bool
}

// ForwardEnded reports the end of an attempt at an endpoint.
type ForwardEnded struct {
	ID       uint64
	Endpoint string
	// Result is OK if the whole answer went to the caller. It is also OK, and Committed
	// is false, if another attempt had already started to answer.
	Result coder.Code
	Ran    coder.Ran
	// Committed means that part of the answer has gone to the caller.
	Committed bool
	// Shed means that the endpoint rejected the request because it had no free
	// slot or was draining.
	Shed bool
	// Unhealthy means that the status of the answer shows that the endpoint is
	// failing. It is set before the body is read, so the attempt may still have
	// failed.
	Unhealthy bool
}

// CallerLeft reports that a caller cancelled its request or disconnected.
type CallerLeft struct{ ID uint64 }

// LoadReported carries an endpoint's own count of the requests that it has in flight.
type LoadReported struct {
	Service  string
	Endpoint string
	Load     int
	Draining bool
}

// ConfigChanged carries a configuration, which is ignored unless it is newer than
// the current one.
type ConfigChanged struct{ Config *configurer.Config }

// KeysChanged carries all current keys.
type KeysChanged struct{ Keys *authenticator.Keyring }

// KeyEvidence reports that the instance's keys were up to date at the time At. Until
// the first such message, the age of keys isn't checked.
type KeyEvidence struct{ At time.Time }

// Ticked triggers periodic work, such as timeouts.
type Ticked struct{}

// LeaveRequested announces a graceful shutdown: the instance releases its seats of
// the fleet-wide limits, but still serves requests with tokens that it borrows.
type LeaveRequested struct{}

// StopRequested starts a graceful shutdown: open requests continue and new ones are
// refused.
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

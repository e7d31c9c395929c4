package decider

import (
	"time"

	"primroseseam.org/seam/authenticator"
	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// Msg is a message to the model. Only this package defines messages.
type Msg interface{ isMsg() }

// RequestArrived reports a request from a caller. Its body has not been read yet.
type RequestArrived struct {
	ID uint64
	// HasKey is false if the request carried no key.
	HasKey bool
	Key    authenticator.Digest
	Path   string
	// Repeatable is false if the body is streamed and can't be sent again.
	Repeatable bool
	// Deadline is the deadline that the caller set, or zero if there is none.
	Deadline time.Time
	// Home is the home of a named request, which is the instance to pass the request
	// to, or "" if the request has no name. A named request runs at most once.
	Home string
}

// PassedRequestArrived reports a request that a peer passed to this instance. The peer
// has authenticated the request and charged it to the rate of its team.
type PassedRequestArrived struct {
	ID         uint64
	From       string
	Team       string
	Service    string
	Idempotent bool
	Repeatable bool
	Affinity   string
	Deadline   time.Time
	// MayPass means that this instance may pass the request on to the service's slot
	// owner.
	MayPass bool
}

// PassEnded reports the end of an attempt at a peer.
type PassEnded struct {
	ID   uint64
	Peer string
	// Result is OK if the whole answer went to the caller. It is also OK, with Committed
	// false, if another attempt at the request had already started to answer the caller.
	Result coder.Code
	Ran    coder.Ran
	// Refused means that the refusal came from the peer itself and not from an endpoint.
	Refused    bool
	RetryAfter time.Duration
	// Committed means that at least part of the answer has gone to the caller.
	Committed bool
}

// PeersChanged carries the list of all known instances of the fleet. If this instance is
// in the list, its entry is ignored.
type PeersChanged struct{ Peers []Peer }

// Peer is another instance of the fleet.
type Peer struct {
	ID     string
	Region string
	// Incarnation grows with each start of the peer.
	Incarnation uint64
	// Leaving means that the peer is about to stop.
	Leaving bool
}

// PeerLoadsReported carries the number of requests that a peer has in flight at each
// endpoint. The peer has no request in flight at an endpoint that is not in the list.
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
	// Draining means that the endpoint is draining and told this to the reporting instance
	// directly. It is false if the instance knows it only from another instance.
	Draining bool
}

// ForwardEnded reports the end of an attempt at an endpoint.
type ForwardEnded struct {
	ID       uint64
	Endpoint string
	// Result is OK if the whole answer went to the caller. It is also OK, with Committed
	// false, if another attempt at the request had already started to answer the caller.
	Result coder.Code
	Ran    coder.Ran
	// Committed means that at least part of the answer has gone to the caller.
	Committed bool
	// Shed means that the endpoint rejected the request because it had no free
	// slot or was draining.
	Shed bool
	// Unhealthy means that the status code of the answer shows that the endpoint is
	// failing. It may be set together with any Result, because it depends on the status
	// code only: reading the body may have failed afterwards.
	Unhealthy bool
}

// CallerLeft reports that a caller cancelled its request or disconnected.
type CallerLeft struct{ ID uint64 }

// LoadReported carries an endpoint's own report, which comes with an answer: the number
// of requests in flight there, from all instances, and whether it is draining.
type LoadReported struct {
	Service  string
	Endpoint string
	Load     int
	Draining bool
}

// ConfigChanged carries a configuration. It is ignored if its version isn't greater than
// that of the configuration in force.
type ConfigChanged struct{ Config *configurer.Config }

// KeysChanged carries the complete set of valid keys, which replaces the previous set.
type KeysChanged struct{ Keys *authenticator.Keyring }

// KeyEvidence reports that this instance's keys were up to date at the time At. Before
// the first such message, keys are accepted whatever their age.
type KeyEvidence struct{ At time.Time }

// Ticked triggers periodic work, such as timeouts.
type Ticked struct{}

// LeaveRequested announces a graceful shutdown. The instance gives up its seats, which
// are its shares of the fleet-wide limits, but still accepts requests. It borrows the
// rate tokens for them from other instances.
type LeaveRequested struct{}

// StopRequested starts a graceful shutdown: open requests continue, and new requests
// are refused.
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

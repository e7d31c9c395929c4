package conductor

import (
	"net/http"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// Msg is an input of [Model.Update]. The set of messages is closed.
type Msg interface{ isMsg() }

// ConfigSeen carries a version of the steering configuration.
type ConfigSeen struct{ Config *router.Config }

// EndpointsSeen carries the list of all endpoints.
type EndpointsSeen struct{ Endpoints []router.Endpoint }

// EvacuationsSeen carries the zones whose endpoints get no new requests.
type EvacuationsSeen struct{ Zones []string }

// InstancesSeen carries the IDs of the instances listed in the store.
type InstancesSeen struct{ IDs []string }

// HeartbeatReceived carries a heartbeat of another instance.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// BoundsChanged replaces the fleet-wide limits.
type BoundsChanged struct{ Bounds Bounds }

// Ticked is sent periodically to run work that depends on time.
type Ticked struct{}

// StopRequested begins a graceful stop.
type StopRequested struct{}

// RequestArrived reports that a caller's request was read.
type RequestArrived struct {
	ID   uint64
	Host string
	Path string
	Key  string
	// Object is the hash of the request's affinity key, or 0 if it has none.
	Object uint32
	// CallerTimeLeft is how long the caller will still wait, or 0 if it doesn't say.
	CallerTimeLeft time.Duration
	// Read is when the request was read.
	Read time.Time
	// BodyStreamed means that the body is passed on as it arrives, so it can't be
	// sent again.
	BodyStreamed bool
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	ID      uint64
	Outcome Outcome
}

// RequestEnded reports that the caller's request was answered or abandoned.
type RequestEnded struct{ ID uint64 }

func (ConfigSeen) isMsg()        {}
func (EndpointsSeen) isMsg()     {}
func (EvacuationsSeen) isMsg()   {}
func (InstancesSeen) isMsg()     {}
func (HeartbeatReceived) isMsg() {}
func (BoundsChanged) isMsg()     {}
func (Ticked) isMsg()            {}
func (StopRequested) isMsg()     {}
func (RequestArrived) isMsg()    {}
func (AttemptEnded) isMsg()      {}
func (RequestEnded) isMsg()      {}

// Outcome is the result of an attempt.
type Outcome struct {
	// Answered means that a complete, valid response arrived.
	Answered bool
	Status   int
	// NotRun means that the request certainly did not run.
	NotRun bool
	// Unreachable means that no connection could be opened, Refused that the
	// endpoint's host refused it.
	Unreachable bool
	Refused     bool
	// TimedOut means that the deadline passed.
	TimedOut bool
	// CallerGone means that the caller disconnected.
	CallerGone bool
	// Connect is how long opening a new connection took, or 0.
	Connect time.Duration
}

// Good reports whether the attempt brought a response that doesn't indicate a
// failure of the endpoint.
func (o Outcome) Good() bool {
	return o.Answered && !o.NotRun && o.Status < http.StatusInternalServerError
}

// Cmd is an output of [Model.Update]. The set of commands is closed.
type Cmd interface{ isCmd() }

// Send asks for an attempt at an endpoint.
type Send struct {
	ID       uint64
	Endpoint string
	Address  string
	// Team is the caller's team, or "".
	Team string
	// Budget is the timeout that is sent to the endpoint; the attempt is abandoned at
	// Deadline.
	Budget   time.Duration
	Deadline time.Time
	// Repeatable means that the request may be sent on an idle connection that the
	// endpoint may have closed in the meantime.
	Repeatable bool
	Attempt    int
	// Choice holds the estimates for the endpoint and Version the configuration in
	// force, for the log.
	Choice  placer.Choice
	Version uint64
}

// Refuse asks to answer the caller with an error of this instance's own.
type Refuse struct {
	ID     uint64
	Status int
	Code   coder.Code
	// RetryAfter is when the caller should retry, or 0 if it should not.
	RetryAfter time.Duration
	Detail     string
}

// Deliver asks to give the caller the last valid response of an endpoint.
type Deliver struct{ ID uint64 }

// Introduce asks to send an [Model.Introduction] to an instance that was heard for
// the first time or restarted.
type Introduce struct{ PeerAddress string }

func (Introduce) isCmd() {}
func (Send) isCmd()      {}
func (Refuse) isCmd()    {}
func (Deliver) isCmd()   {}

// Heartbeat is the state that an instance sends to the others several times a
// second.
type Heartbeat struct {
	ID string
	// Started identifies a lifetime of the instance and grows with each restart;
	// Serial numbers the heartbeats within it.
	Started int64
	Serial  uint64
	Region  string
	Zone    string
	// CallerAddress is the address that callers connect to, PeerAddress the one for
	// other instances.
	CallerAddress string
	PeerAddress   string
	Leaving       bool
	// FleetSize is the number of instances that the sender knows of, or 0.
	FleetSize uint32
	// StoreUnreachable means that the sender gets no answer from the store.
	StoreUnreachable bool
	// Loads holds the sender's attempts in flight at each endpoint.
	Loads []placer.Load
	// Touches lists objects that endpoints keep warm since the sender's latest
	// requests.
	Touches []placer.WarmObject
	Demand  []Demand
	// Whole means that Demand is complete: teams it doesn't list have no demand.
	// Otherwise what was last reported about them still holds.
	Whole bool
	// Rests reports endpoints that can't be reached or can be reached again.
	Rests []placer.ReachabilityReport
	// Keeps reports how many objects the endpoints of each service keep warm.
	Keeps []placer.WarmCapacity
	// States reports how far the sender's copies of the store's data have come.
	States []KindState
	// KnownAddresses lists addresses of other instances; only some heartbeats have
	// it.
	KnownAddresses []string
	// StatesOnly means that only States and the fields that identify the sender are
	// set; such a heartbeat is sent between two regular ones.
	StatesOnly bool
}

// Demand is a team's demand at one instance.
type Demand struct {
	Team uint32
	// TenthsPerSecond is the request rate in tenths of a request per second.
	TenthsPerSecond uint32
	// Admitted is the number of requests admitted in this lifetime of the instance.
	Admitted uint64
}

// KindState reports how far an instance's copy of one kind of stored objects has
// come.
type KindState struct {
	Kind string
	// Position is the store position up to which the copy is complete, Changed that
	// of its last change.
	Position uint64
	Changed  uint64
	// AgeMs is how long ago the copy was checked against the store, in milliseconds.
	AgeMs uint32
}

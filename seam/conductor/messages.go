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

// ConfigReceived carries a version of the steering configuration.
type ConfigReceived struct{ Config *router.Config }

// EndpointsReceived carries the list of all endpoints.
type EndpointsReceived struct{ Endpoints []router.Endpoint }

// EvacuationsReceived carries the zones whose endpoints get no new requests.
type EvacuationsReceived struct{ Zones []string }

// InstancesReceived carries the IDs of the instances listed in the store.
type InstancesReceived struct{ IDs []string }

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
	// CallerTimeLeft is how long the caller will still wait, or 0 if its request sets no
	// timeout.
	CallerTimeLeft time.Duration
	// ReadAt is when the request was read.
	ReadAt time.Time
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

func (ConfigReceived) isMsg()      {}
func (EndpointsReceived) isMsg()   {}
func (EvacuationsReceived) isMsg() {}
func (InstancesReceived) isMsg()   {}
func (HeartbeatReceived) isMsg()   {}
func (BoundsChanged) isMsg()       {}
func (Ticked) isMsg()              {}
func (StopRequested) isMsg()       {}
func (RequestArrived) isMsg()      {}
func (AttemptEnded) isMsg()        {}
func (RequestEnded) isMsg()        {}

// Outcome is the result of an attempt.
type Outcome struct {
	// Answered means that a complete, valid response arrived.
	Answered bool
	Status   int
	// NotRun means that the request certainly did not run.
	NotRun bool
	// Unreachable means that no connection could be opened, ConnectionRefused that
	// the endpoint's host refused it.
	Unreachable       bool
	ConnectionRefused bool
	// TimedOut means that the deadline passed.
	TimedOut bool
	// CallerDisconnected means that the caller disconnected.
	CallerDisconnected bool
	// DialTime is how long opening a new connection took, or 0.
	DialTime time.Duration
}

// Acceptable reports whether the attempt brought a response that is delivered without a
// retry: a valid one from an endpoint that ran the request, with a status below 500.
func (o Outcome) Acceptable() bool {
	return o.Answered && !o.NotRun && o.Status < http.StatusInternalServerError
}

// Cmd is an output of [Model.Update]. The set of commands is closed.
type Cmd interface{ isCmd() }

// Send is the command to make an attempt at an endpoint.
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
	// Idempotent means that the request may run more than once. It may be sent on an
	// idle connection that the endpoint may have closed in the meantime.
	Idempotent bool
	Attempt    int
	// Choice holds the estimates for the endpoint and ConfigVersion the version of the
	// configuration in force, for the log.
	Choice        placer.Choice
	ConfigVersion uint64
}

// Refuse is the command to answer the caller with an error of this instance's own.
type Refuse struct {
	ID     uint64
	Status int
	Code   coder.Code
	// RetryAfter is when the caller should retry, or 0 if it should not.
	RetryAfter time.Duration
	Detail     string
}

// Deliver is the command to send the caller the last valid response of an endpoint.
type Deliver struct{ ID uint64 }

// SendFullHeartbeat is the command to send a [Model.FullHeartbeat] to an instance that
// was unknown or has restarted.
type SendFullHeartbeat struct{ PeerAddress string }

func (SendFullHeartbeat) isCmd() {}
func (Send) isCmd()              {}
func (Refuse) isCmd()            {}
func (Deliver) isCmd()           {}

// Heartbeat is the state that an instance sends to the others several times a
// second.
type Heartbeat struct {
	ID string
	// StartedAtMs is the start time in Unix milliseconds. It identifies a lifetime of the
	// instance and grows with each restart; SequenceNumber numbers the heartbeats within
	// it.
	StartedAtMs    int64
	SequenceNumber uint64
	Region         string
	Zone           string
	// CallerAddress is the address that callers connect to, PeerAddress the one for
	// other instances.
	CallerAddress string
	PeerAddress   string
	Leaving       bool
	// FleetSize is the number of instances in the fleet by the sender's count, or 0.
	FleetSize uint32
	// StoreUnreachable means that the sender gets no answer from the store.
	StoreUnreachable bool
	// Loads holds the sender's attempts in flight at each endpoint.
	Loads []placer.Load
	// WarmObjects lists objects that have become warm at endpoints through the sender's
	// requests since its last heartbeat to the same audience.
	WarmObjects []placer.WarmObject
	Demand      []Demand
	// FullDemand means that Demand is complete: teams that it doesn't list have no
	// demand. Otherwise their last reported demand still applies.
	FullDemand bool
	// ReachabilityReports reports endpoints that can't be reached or can be reached again.
	ReachabilityReports []placer.ReachabilityReport
	// WarmCapacities reports how many objects the endpoints of each service keep warm.
	WarmCapacities []placer.WarmCapacity
	// CopyStates reports how recent the sender's copies of the store's objects are.
	CopyStates []CopyState
	// KnownAddresses lists addresses of other instances; only full heartbeats have it.
	KnownAddresses []string
	// CopyStatesOnly means that only CopyStates and fields that identify the sender are
	// set. Such a heartbeat is sent between two regular ones.
	CopyStatesOnly bool
}

// Demand is a team's demand at one instance.
type Demand struct {
	Team uint32
	// TenthsPerSecond is the request rate in tenths of a request per second.
	TenthsPerSecond uint32
	// Admitted is the number of requests admitted in this lifetime of the instance.
	Admitted uint64
}

// CopyState reports how recent an instance's copy of one kind of stored objects is.
type CopyState struct {
	Kind string
	// Position is the store position up to which the copy is complete, Changed the
	// position of the last change in it.
	Position uint64
	Changed  uint64
	// AgeMs is how long ago any instance last polled the store for changes, as far as the
	// sender has been informed, in milliseconds.
	AgeMs uint32
}

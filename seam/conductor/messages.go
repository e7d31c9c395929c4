package conductor

import (
	"net/http"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/quarantiner"
	"primroseseam.org/seam/router"
)

// Msg is an input of [Model.Update]. All types of messages are defined in this
// package.
type Msg interface{ isMsg() }

// ConfigReceived carries a version of the steering configuration.
type ConfigReceived struct{ Config *router.Config }

// EndpointsReceived carries the list of all endpoints.
type EndpointsReceived struct{ Endpoints []router.Endpoint }

// EvacuationsReceived carries the zones whose endpoints get no new requests.
type EvacuationsReceived struct{ Zones []string }

// InstancesReceived carries the instances that are registered in the store. Current means that the
// list was read just now; otherwise it may be some seconds old.
type InstancesReceived struct {
	Registrations []Registration
	Current       bool
}

// HeartbeatReceived carries a heartbeat of another instance.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// BoundsChanged replaces the fleet-wide limits.
type BoundsChanged struct{ Bounds Bounds }

// Ticked is sent periodically to run work that depends on time. StoreAge is the time since the store
// last answered this instance, or another one that has reported it.
type Ticked struct{ StoreAge time.Duration }

// StopRequested begins a graceful stop, or changes the end of one. At End the instance ends, and
// requests that are still open then get no answer.
type StopRequested struct{ End time.Time }

// RequestArrived reports that a caller's request was read.
type RequestArrived struct {
	ID   uint64
	Host string
	Path string
	Key  string
	// Object is the hash of the request's affinity key, or 0 if it has none.
	Object uint32
	// CallerTimeLeft is how long the caller will still wait for the response, or 0 if the
	// request sets no timeout.
	CallerTimeLeft time.Duration
	// ReadAt is when the request was read.
	ReadAt time.Time
	// BodyStreamed means that the body is passed on as it arrives, so the request can't
	// be sent a second time.
	BodyStreamed bool
	// Digest is the same for requests of one caller that are alike, and 0 if none was made.
	Digest uint64
}

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	ID      uint64
	Outcome Outcome
}

// EndpointChecked reports the result of an [EndpointCheck].
type EndpointChecked struct {
	Endpoint    string
	StartedAtMs int64
	// Unreachable means that no connection could be opened. ConnectionRefused means that the
	// endpoint's host refused it.
	Unreachable       bool
	ConnectionRefused bool
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
func (EndpointChecked) isMsg()     {}
func (RequestEnded) isMsg()        {}

// Outcome is the result of an attempt.
type Outcome struct {
	// Answered means that a complete, valid response arrived.
	Answered bool
	Status   int
	// NotRun means that the request certainly did not run.
	NotRun bool
	// Unreachable means that no connection could be opened. ConnectionRefused means that
	// the endpoint's host refused the connection.
	Unreachable       bool
	ConnectionRefused bool
	// TimedOut means that the request's deadline passed before a response arrived.
	TimedOut bool
	// Broken means that the connection was closed or reset by the endpoint's side before a
	// complete response arrived.
	Broken bool
	// CallerDisconnected means that the caller disconnected.
	CallerDisconnected bool
	// DialTime is how long opening a new connection took, or 0 if none was opened.
	DialTime time.Duration
	// Leaving means that the endpoint announced its end. Pause is the time for which the
	// endpoint asked this instance to send no requests, or 0.
	Leaving bool
	Pause   time.Duration
	// Limit is what the response states of the endpoint's rate limit, and Load what it states
	// of its load.
	Limit router.RateLimit
	Load  router.ReportedLoad
}

// Acceptable reports whether the attempt brought a response that is delivered without
// a retry: a complete, valid response with a status below 500, from an endpoint that
// did not report the request as not run.
func (o Outcome) Acceptable() bool {
	return o.Answered && !o.NotRun && o.Status < http.StatusInternalServerError
}

// Cmd is an output of [Model.Update]. All types of commands are defined in this
// package.
type Cmd interface{ isCmd() }

// Send is the command to make an attempt at an endpoint.
type Send struct {
	ID       uint64
	Endpoint string
	Address  string
	// Team is the name of the caller's team. HasTeam means that the caller has one, whose
	// name may be empty.
	Team    string
	HasTeam bool
	// Budget is the timeout that is announced to the endpoint. At Deadline the attempt is
	// abandoned.
	Budget   time.Duration
	Deadline time.Time
	// Idempotent means that the request may run more than once. Such a request may be
	// sent on an idle connection that the endpoint may already have closed.
	Idempotent bool
	Attempt    int
	// Preferred is the region of the best endpoint if one in another region was chosen, so that
	// not too many requests change their region at once. Otherwise it is empty.
	Preferred string
	// Choice holds the estimates on which the endpoint was chosen. ConfigVersion is the
	// version of the configuration in force. Both are for the log.
	Choice        placer.Choice
	ConfigVersion uint64
}

// Refuse is the command to answer the caller with an error made by this instance.
type Refuse struct {
	ID     uint64
	Status int
	Code   coder.Code
	// RetryAfter is how long the caller should wait before it retries, or 0 if it should
	// not retry.
	RetryAfter time.Duration
	Detail     string
}

// Deliver is the command to send the caller the last complete response that an
// endpoint gave.
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
	// StartedAtMs is when the sender started, in Unix milliseconds. It identifies a
	// lifetime of the instance and grows with each restart. SequenceNumber numbers the
	// heartbeats within a lifetime.
	StartedAtMs    int64
	SequenceNumber uint64
	Region         string
	Zone           string
	// CallerAddress is the address that callers connect to. PeerAddress is the address
	// that other instances connect to.
	CallerAddress string
	PeerAddress   string
	Leaving       bool
	// FleetSize is the number of instances in the fleet by the sender's count, or 0 if
	// the sender has no count yet.
	FleetSize uint32
	// StoreUnreachable means that the sender gets no answer from the store.
	StoreUnreachable bool
	// Apart means that the sender is in no majority of the instances that it knows.
	Apart bool
	// Loads holds the sender's attempts in flight at each endpoint.
	Loads []placer.Load
	// WarmObjects lists objects that the sender's requests have made warm at endpoints
	// since its last heartbeat to the same audience.
	WarmObjects []placer.WarmObject
	Demand      []Demand
	// FullDemand means that Demand is complete: a team that is not listed has no demand.
	// Without FullDemand, the last reported demand still applies to teams that are not
	// listed.
	FullDemand bool
	// WorkTimes holds what endpoints stated of how long work takes there. Only heartbeats within
	// the region contain it.
	WorkTimes []placer.WorkTimeReport
	// LiveByRegion counts, for each region in the order of their names, the instances that are
	// live as seen by the sender, at most 255. Heartbeats to other regions and full ones contain
	// it.
	LiveByRegion []byte
	// Regions counts the sender's requests since its last heartbeat within the region by their
	// regions, as package regulator reports them. Only heartbeats within the region contain it,
	// and only if there were any.
	Regions []uint32
	// ReachabilityReports reports endpoints that the sender can't reach, or can reach
	// again.
	ReachabilityReports []placer.ReachabilityReport
	// Sightings reports instances of other regions that are alive. Only heartbeats within
	// the region contain it.
	Sightings []Sighting
	// Departures lists endpoints that announced their end to the sender.
	Departures []placer.Departure
	// Limits reports endpoints that named a rate limit to the sender, or ended one.
	Limits []placer.LimitReport
	// Evidence reports requests that crash the endpoints that run them.
	Evidence quarantiner.Report
	// WarmCapacities reports how many objects the endpoints of each service keep warm.
	WarmCapacities []placer.WarmCapacity
	// CopyStates reports, for each kind of stored objects, how recent the sender's copy
	// of them is.
	CopyStates []CopyState
	// KnownAddresses lists addresses of other instances. Only full heartbeats contain it.
	KnownAddresses []string
	// CopyStatesOnly means that only CopyStates and the fields that identify the sender
	// are set. Such a heartbeat is sent between two regular ones.
	CopyStatesOnly bool
	// MadeAt is when the heartbeat was made, by a clock of the sender that counts suspends and
	// is never set. It is 0 in heartbeats of earlier builds.
	MadeAt time.Duration
	// Delay is set by the receiver: by how much longer than the sender's other heartbeats this one
	// was on its way. DelayKnown means that there were enough to compare it with. All ages in the
	// heartbeat are to be counted from the receipt less Delay.
	Delay      time.Duration
	DelayKnown bool
}

// Demand is a team's demand at one instance. Team is the hash of the team's name.
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
	// Position is the store position up to which the copy is complete. Changed is the
	// position of the last change that the copy contains.
	Position uint64
	Changed  uint64
	// AgeMs is the time in milliseconds since the latest poll of the store for changes
	// that the sender was informed of. Any instance may have made that poll.
	AgeMs uint32
}

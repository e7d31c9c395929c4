package conductor

import (
	"net/http"
	"time"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/placer"
	"primroseseam.org/seam/router"
)

// Msg is a message to the loop. The set of messages is closed.
type Msg interface{ isMsg() }

// ConfigSeen brings a configuration.
type ConfigSeen struct{ Config *router.Config }

// EndpointsSeen brings the list of all endpoints.
type EndpointsSeen struct{ Endpoints []router.Endpoint }

// EvacuationsSeen brings the zones whose endpoints get no new requests.
type EvacuationsSeen struct{ Zones []string }

// InstancesSeen brings the instances of which the store knows.
type InstancesSeen struct{ IDs []string }

// HeartbeatReceived brings the heartbeat of another instance.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// BoundsChanged brings other fleet-wide limits.
type BoundsChanged struct{ Bounds Bounds }

// Ticked says that time has passed.
type Ticked struct{}

// StopRequested starts a planned stop.
type StopRequested struct{}

// RequestArrived says that a caller's request has been read.
type RequestArrived struct {
	ID   uint64
	Host string
	Path string
	Key  string
	// Object is the hash of the object that the request concerns, or 0.
	Object uint32
	// CallerTimeLeft is how long the caller will wait, or 0 if it doesn't say.
	CallerTimeLeft time.Duration
	// Read is when the request had been read.
	Read time.Time
	// BodyStreamed means that the body is streamed and can't be sent again.
	BodyStreamed bool
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	ID      uint64
	Outcome Outcome
}

// RequestEnded says that the caller has its answer.
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

// Outcome is how an attempt ended.
type Outcome struct {
	// Answered means that a whole answer with a proper frame came.
	Answered bool
	Status   int
	// NotRun means that the request is known not to have run.
	NotRun bool
	// Unreachable means that no connection could be opened, Refused that this
	// was the other side's answer.
	Unreachable bool
	Refused     bool
	// TimedOut means that the time ran out.
	TimedOut bool
	// CallerGone means that the caller left.
	CallerGone bool
	// Connect is how long a new connection took, or 0.
	Connect time.Duration
}

// Good reports whether the attempt brought an answer that is not an endpoint's
// failure.
func (o Outcome) Good() bool {
	return o.Answered && !o.NotRun && o.Status < http.StatusInternalServerError
}

// Cmd is a command of the loop. The set of commands is closed.
type Cmd interface{ isCmd() }

// Send asks for an attempt at an endpoint.
type Send struct {
	ID       uint64
	Endpoint string
	Address  string
	// Team is the caller's, or "".
	Team string
	// Budget is the time that the endpoint is given; at the deadline the attempt
	// is given up.
	Budget   time.Duration
	Deadline time.Time
	// Repeatable means that the request may be sent on a connection that may
	// have been closed meanwhile.
	Repeatable bool
	Attempt    int
	// Choice is what is expected, and Version the configuration in force, for
	// the log.
	Choice  placer.Choice
	Version uint64
}

// Refuse asks to answer the caller without an endpoint's answer.
type Refuse struct {
	ID     uint64
	Status int
	Code   coder.Code
	// RetryAfter is set if the caller should come back.
	RetryAfter time.Duration
	Detail     string
}

// Deliver asks to give the caller the endpoint's last whole answer.
type Deliver struct{ ID uint64 }

// Introduce asks to tell an instance that was heard for the first time who is
// here. Peers is its address.
type Introduce struct{ PeerAddress string }

func (Introduce) isCmd() {}
func (Send) isCmd()      {}
func (Refuse) isCmd()    {}
func (Deliver) isCmd()   {}

// Heartbeat is what an instance tells the others, several times a second.
type Heartbeat struct {
	ID string
	// Started orders the lifetimes of an instance, Serial its heartbeats.
	Started int64
	Serial  uint64
	Region  string
	Zone    string
	// CallerAddress is the address for callers, Peers that for other instances.
	CallerAddress string
	PeerAddress   string
	Leaving       bool
	// FleetSize is the number of instances that it knows of, if it was told.
	FleetSize uint32
	// StoreUnreachable means that the store doesn't answer this instance.
	StoreUnreachable bool
	Loads            []placer.Load
	Touches          []placer.WarmObject
	Demand           []Demand
	// Whole means that teams that Demand doesn't list ask nothing; else what was
	// told of them holds.
	Whole bool
	// Rests tells of endpoints that can't be reached or have come back.
	Rests []placer.ReachabilityReport
	// Keeps tells how many objects endpoints keep warm.
	Keeps []placer.WarmCapacity
	// States say how far the followers of the store have come.
	States []KindState
	// KnownAddresses lists the addresses of other instances, now and then.
	KnownAddresses []string
	// StatesOnly means that only States are told, between two heartbeats.
	StatesOnly bool
}

// Demand is what a team asks at an instance.
type Demand struct {
	Team uint32
	// TenthsPerSecond is the rate of requests in tenths of a request per second.
	TenthsPerSecond uint32
	// Admitted is the number of requests let through in the instance's lifetime.
	Admitted uint64
}

// KindState says how far a follower of a kind in the store has come.
type KindState struct {
	Kind     string
	Position uint64
	Changed  uint64
	// AgeMs is how long ago the store was asked, in milliseconds.
	AgeMs uint32
}

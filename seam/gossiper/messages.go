package gossiper

import "time"

// Msg is a message to the loop. The set of messages is closed.
type Msg interface{ isMsg() }

// Ticked says that time has passed; it should come every 100 ms.
type Ticked struct{}

// HeartbeatArrived brings a peer's heartbeat; Token names it in the [Answer].
type HeartbeatArrived struct {
	Token     uint64
	Heartbeat Heartbeat
}

// AnswerArrived brings the answer to a [Call].
type AnswerArrived struct {
	ID        uint64
	Heartbeat Heartbeat
}

// CallFailed says that a [Call] got no answer within its time limit.
type CallFailed struct{ ID uint64 }

// LoadMeasured brings this instance's own load.
type LoadMeasured struct{ Load Load }

// PlatformListed brings the live instances of the platform's lagging list. They
// are hints: whoever isn't known yet is called.
type PlatformListed struct{ Members []Member }

// LeaveRequested starts a graceful shutdown.
type LeaveRequested struct{}

func (Ticked) isMsg()           {}
func (HeartbeatArrived) isMsg() {}
func (AnswerArrived) isMsg()    {}
func (CallFailed) isMsg()       {}
func (LoadMeasured) isMsg()     {}
func (PlatformListed) isMsg()   {}
func (LeaveRequested) isMsg()   {}

// Cmd is a command that the loop asks its owner to carry out.
type Cmd interface{ isCmd() }

// Call sends a heartbeat and reports its outcome within Timeout.
type Call struct {
	ID        uint64
	Address   string
	Timeout   time.Duration
	Heartbeat Heartbeat
}

// Answer answers a heartbeat that arrived.
type Answer struct {
	Token     uint64
	Heartbeat Heartbeat
}

// MembersChanged brings the new list of members.
type MembersChanged struct{ View View }

// Superseded says that a newer instance elsewhere bears this instance's name.
type Superseded struct{ By Member }

func (Call) isCmd()           {}
func (Answer) isCmd()         {}
func (MembersChanged) isCmd() {}
func (Superseded) isCmd()     {}

// Heartbeat is what instances tell each other.
type Heartbeat struct {
	Sender Member
	Load   Load
	// Words are news about members.
	Words []Member
	// Loads are other instances' loads.
	Loads   []MemberLoad
	Regions []RegionSum
	// Heard tells how long ago each other region was heard by anyone of the
	// sender's.
	Heard   []RegionAge
	Digests []RegionDigest
	// Reach names a peer that the receiver should call before it answers.
	Reach string
	// Reached reports whether that call was answered.
	Reached bool
	// Introduce asks the receiver for its addresses.
	Introduce bool
	// Join asks for all members.
	Join bool
}

// Load is what an instance reports about itself.
type Load struct {
	ConfigVersion int64
	// StoreContactAge is the time since the store last answered.
	StoreContactAge time.Duration
	Services        []ServiceLoad
	Endpoints       []EndpointLoad
	// Shares says where the region's callers go, if this instance decides it.
	Shares []Share
}

// Share is a part of a region's callers that use another region.
type Share struct {
	Region   string
	PerMille int
}

// ServiceLoad is an instance's or a region's load of one service.
type ServiceLoad struct {
	Service  string
	InFlight int
	Queued   int
	// FreeSlots is the part of the own region's slots in nobody's use.
	FreeSlots int
}

// EndpointLoad is an instance's own requests in progress at an endpoint.
type EndpointLoad struct {
	Endpoint string
	InFlight int
	Draining bool
}

// MemberLoad is another instance's load with its age.
type MemberLoad struct {
	ID          string
	Incarnation uint64
	Age         time.Duration
	Load        Load
}

// RegionSum is the load of a whole region with its age.
type RegionSum struct {
	Region        string
	Age           time.Duration
	Instances     int
	ConfigVersion int64
	Services      []ServiceLoad
	Shares        []Share
}

// RegionAge is the time since anything was heard from a region.
type RegionAge struct {
	Region string
	Age    time.Duration
}

// RegionDigest sums up whom the sender holds live in a region.
type RegionDigest struct {
	Region string
	Digest uint64
}

// View is an immutable list of members, ordered by id.
type View struct {
	// Members holds every known instance, this one included.
	Members []Member
	// SilentRegions holds the regions from which nothing is heard.
	SilentRegions []string
	// Isolated means that no peer was heard for long, although peers are known.
	Isolated bool
}

package gossiper

import "time"

// Msg is a message to [Model.Update]. The set of messages is closed.
type Msg interface{ isMsg() }

// Ticked reports that time has passed. It should arrive every 100 ms.
type Ticked struct{}

// HeartbeatArrived delivers a peer's heartbeat. The [Answer] to it has the same Token.
type HeartbeatArrived struct {
	Token     uint64
	Heartbeat Heartbeat
}

// AnswerArrived delivers the answer to the [Call] with the same ID.
type AnswerArrived struct {
	ID        uint64
	Heartbeat Heartbeat
}

// CallFailed reports that the [Call] with the same ID got no answer within its timeout.
type CallFailed struct{ ID uint64 }

// LoadMeasured delivers this instance's own load.
type LoadMeasured struct{ Load Load }

// PlatformListed delivers the live instances in the platform's list. The list may be
// outdated, so an instance on it doesn't become a member at once. It is only called, and
// becomes a member when a heartbeat or an answer reports it.
type PlatformListed struct{ Members []Member }

// LeaveRequested makes this instance notify its peers that it is leaving.
type LeaveRequested struct{}

func (Ticked) isMsg()           {}
func (HeartbeatArrived) isMsg() {}
func (AnswerArrived) isMsg()    {}
func (CallFailed) isMsg()       {}
func (LoadMeasured) isMsg()     {}
func (PlatformListed) isMsg()   {}
func (LeaveRequested) isMsg()   {}

// Cmd is a command that the caller of [Model.Update] has to carry out.
type Cmd interface{ isCmd() }

// Call sends a heartbeat to a peer. Its outcome is to be reported within Timeout, as an
// [AnswerArrived] or a [CallFailed].
type Call struct {
	ID        uint64
	Address   string
	Timeout   time.Duration
	Heartbeat Heartbeat
}

// Answer sends a heartbeat as the answer to the received heartbeat with the same Token.
type Answer struct {
	Token     uint64
	Heartbeat Heartbeat
}

// MembersChanged delivers the new member list.
type MembersChanged struct{ View View }

// Superseded reports that another process with this instance's id started later and runs.
type Superseded struct{ By Member }

func (Call) isCmd()           {}
func (Answer) isCmd()         {}
func (MembersChanged) isCmd() {}
func (Superseded) isCmd()     {}

// Heartbeat is the message that instances send each other, as a request and as its answer.
type Heartbeat struct {
	Sender Member
	Load   Load
	// Updates are states of members that the receiver merges into its member list. One of
	// them may be the state that the sender holds of the receiver.
	Updates []Member
	// Loads are the loads of other instances of the sender's region.
	Loads []MemberLoad
	// Regions are load sums of whole regions.
	Regions []RegionSum
	// RegionAges are, for each other region, the time since an instance of the sender's
	// region last received a sign of life from that region.
	RegionAges []RegionAge
	Digests    []RegionDigest
	// ProbeTarget is the id of a member that the receiver should call before it answers.
	ProbeTarget string
	// ProbeAnswered reports, in an answer, whether the ProbeTarget answered.
	ProbeAnswered bool
	// WantAddresses requests that the receiver include its addresses in its next
	// heartbeat to the sender.
	WantAddresses bool
	// Join requests an answer with all members.
	Join bool
}

// Load is what an instance reports about itself.
type Load struct {
	ConfigVersion int64
	// StoreContactAge is the time since the platform's store last answered the instance.
	StoreContactAge time.Duration
	Services        []ServiceLoad
	Endpoints       []EndpointLoad
	// Shares are the parts of the region's callers that use other regions. Only the
	// steering instance of a region sets them.
	Shares []Share
}

// Share is the part of a region's callers, in thousandths, that uses another region.
type Share struct {
	Region   string
	PerMille int
}

// ServiceLoad is an instance's or a region's load of one service.
type ServiceLoad struct {
	Service  string
	InFlight int
	Queued   int
	// FreeSlots is the number of unused slots of the service in the whole region.
	FreeSlots int
}

// EndpointLoad is the number of requests that an instance itself has in flight at an
// endpoint.
type EndpointLoad struct {
	Endpoint string
	InFlight int
	Draining bool
}

// MemberLoad is the load of an instance other than the sender, with the age of that load.
type MemberLoad struct {
	ID          string
	Incarnation uint64
	Age         time.Duration
	Load        Load
}

// RegionSum is the load sum of a region: its instances' loads added up, with the age of the
// sum.
type RegionSum struct {
	Region        string
	Age           time.Duration
	Instances     int
	ConfigVersion int64
	Services      []ServiceLoad
	Shares        []Share
}

// RegionAge is the time since a region's last sign of life.
type RegionAge struct {
	Region string
	Age    time.Duration
}

// RegionDigest is a digest of the members of a region that the sender holds usable.
type RegionDigest struct {
	Region string
	Digest uint64
}

// View is an immutable snapshot of the membership, with members ordered by id.
type View struct {
	// Members holds every known instance, this one included.
	Members []Member
	// SilentRegions holds the regions without a sign of life for
	// RegionSilenceTimeout.
	SilentRegions []string
	// Isolated means that other members are known but nothing was received from any of
	// them for RegionSilenceTimeout.
	Isolated bool
}

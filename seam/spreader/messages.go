package spreader

import (
	"time"

	"primroseseam.org/seam/storer"
)

// Msg is an input to [Model.Update]. Only the types of this package implement it.
type Msg interface{ isMsg() }

// WatchersChanged lists the current watchers of all regions.
type WatchersChanged struct {
	Watchers []Watcher
	// Regions lists the configured regions, including those without a live
	// watcher.
	Regions []string
	// Rank is the result of [FollowerRank] for this instance. Followers start
	// at different watchers by it, so that each watcher serves equally many.
	Rank int
}

// StoreAnswered carries the result of a ReadStore.
type StoreAnswered struct {
	Call ReadStore
	// Sent is when the call was started.
	Sent   time.Time
	Events storer.Events
}

// StoreFailed reports that a ReadStore failed.
type StoreFailed struct {
	Call ReadStore
	// Compacted means that the store no longer keeps the changes after the
	// call's position.
	Compacted bool
}

// PeerAnswered carries a peer's answer to a Follow.
type PeerAnswered struct {
	Call Follow
	// Sent is when the call was started.
	Sent   time.Time
	Answer Answer
}

// PeerFailed reports that a Follow failed.
type PeerFailed struct{ Call Follow }

// Offered carries objects sent to this instance without a request, for example
// right after an operator's change.
type Offered struct{ Objects []storer.Object }

// Ticked reports that time has passed. It must arrive regularly, since retries
// and probes start with the next message after they become due.
type Ticked struct{}

func (WatchersChanged) isMsg() {}
func (StoreAnswered) isMsg()   {}
func (StoreFailed) isMsg()     {}
func (PeerAnswered) isMsg()    {}
func (PeerFailed) isMsg()      {}
func (Offered) isMsg()         {}
func (Ticked) isMsg()          {}

// Cmd is a command that [Model.Update] returns for the caller to execute. Only
// the types of this package implement it.
type Cmd interface{ isCmd() }

// Install makes the caller apply objects in this order. Each is newer than the
// version that was held before.
type Install struct{ Objects []storer.Object }

// ReadStore makes the caller list all objects of a kind if Position is
// negative, or else to watch for changes after Position for up to Wait.
type ReadStore struct {
	Kind     storer.Kind
	Position int64
	Wait     time.Duration
}

// Follow makes the caller send a request to a peer.
type Follow struct {
	Peer    Watcher
	Request Request
	// Probe marks an extra call, made for the peer's key evidence and its report
	// on the store. It doesn't count as the call to the watcher being followed.
	Probe bool
}

func (Install) isCmd()   {}
func (ReadStore) isCmd() {}
func (Follow) isCmd()    {}

// Request lists for a peer what the sender holds, so that it answers with the rest.
type Request struct {
	// Positions holds, for each kind, the store position up to which the sender
	// has all changes, or -1 if it still has to list the kind.
	Positions map[storer.Kind]int64
	// Incarnation and Serial repeat those of the peer's last answer, or are 0.
	Incarnation uint64
	Serial      uint64
	// Wait is how long the peer may hold the call until it has updates.
	Wait time.Duration
}

// Answer carries the objects that a peer holds and the sender of a request lacks.
type Answer struct {
	// Positions holds the peer's positions; it is empty if More is set.
	Positions map[storer.Kind]int64
	// Incarnation identifies the start of the peer that Serial belongs to.
	Incarnation uint64
	// Serial is the peer's merge counter up to which the answer is complete.
	Serial  uint64
	Objects []storer.Object
	// More means that the answer was truncated at the size limit.
	More bool
	// Waited is how long the peer held the call before it answered.
	Waited time.Duration
	// EvidenceAge is the age of the peer's key evidence when it answered.
	EvidenceAge time.Duration
	// StoreUnreachable means that the peer is a watcher and its last read of the
	// keys at the store failed.
	StoreUnreachable bool
}

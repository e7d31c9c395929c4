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
	// Rank is the result of [FollowerRank] for this instance. Followers with
	// different ranks start at different watchers, so that the watchers of a
	// region serve about the same number of followers.
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

// Ticked reports that time has passed. It must arrive regularly, because a retry or a
// probe that is due starts only when the next message arrives.
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

// ReadStore makes the caller read one kind at the store. If Position is negative, the
// caller lists all objects of the kind. Otherwise it watches for changes after
// Position for up to Wait.
type ReadStore struct {
	Kind     storer.Kind
	Position int64
	Wait     time.Duration
}

// Follow makes the caller send a request to a peer.
type Follow struct {
	Peer    Watcher
	Request Request
	// Probe marks a call by a watcher that requests the peer's key evidence and
	// the peer's report whether it can reach the store.
	Probe bool
}

func (Install) isCmd()   {}
func (ReadStore) isCmd() {}
func (Follow) isCmd()    {}

// Request describes which objects its sender holds, so that the peer answers with the
// objects that the sender lacks.
type Request struct {
	// Positions holds, for each kind, the store position up to which the sender
	// has all changes, or -1 if it still has to list the kind.
	Positions map[storer.Kind]int64
	// Incarnation and Serial repeat the values in the peer's last answer. They are
	// 0 if there is no such answer or the last call to the peer failed.
	Incarnation uint64
	Serial      uint64
	// Wait is how long the peer may hold the call until it has updates.
	Wait time.Duration
}

// Answer carries the objects that a peer holds and the sender of a request lacks.
type Answer struct {
	// Positions holds the peer's positions; it is empty if More is set.
	Positions map[storer.Kind]int64
	// Incarnation identifies the start of the peer to which Serial belongs.
	Incarnation uint64
	// Serial is the peer's serial up to which the answer contains every object that
	// the sender of the request lacks.
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

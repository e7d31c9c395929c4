package spreader

import (
	"time"

	"primroseseam.org/seam/storer"
)

// Msg is a message to the model. The set of messages is closed.
type Msg interface{ isMsg() }

// WatchersChanged brings the watchers of all regions.
type WatchersChanged struct {
	Watchers []Watcher
	// Regions lists the configured regions, also those that have no live
	// watcher now.
	Regions []string
	// Rank is the place of this instance among its region's followers, by
	// which they share the watchers evenly.
	Rank int
}

// StoreAnswered carries the answer to a ReadStore.
type StoreAnswered struct {
	Call   ReadStore
	Sent   time.Time
	Events storer.Events
}

// StoreFailed says that a ReadStore had no answer.
type StoreFailed struct {
	Call ReadStore
	// Compacted means that the position is older than what the store keeps.
	Compacted bool
}

// PeerAnswered carries a peer's answer to a Follow.
type PeerAnswered struct {
	Call   Follow
	Sent   time.Time
	Answer Answer
}

// PeerFailed says that a Follow had no answer.
type PeerFailed struct{ Call Follow }

// Offered shows objects, for example those that an operator's change wrote.
type Offered struct{ Objects []storer.Object }

// Ticked says that time has passed.
type Ticked struct{}

func (WatchersChanged) isMsg() {}
func (StoreAnswered) isMsg()   {}
func (StoreFailed) isMsg()     {}
func (PeerAnswered) isMsg()    {}
func (PeerFailed) isMsg()      {}
func (Offered) isMsg()         {}
func (Ticked) isMsg()          {}

// Cmd is a command that the model asks its owner to carry out. The set of
// commands is closed.
type Cmd interface{ isCmd() }

// Install puts newer objects in force, in this order.
type Install struct{ Objects []storer.Object }

// ReadStore lists a kind if the position is negative, else watches it.
type ReadStore struct {
	Kind     storer.Kind
	Position int64
	Wait     time.Duration
}

// Follow asks a peer for what it holds beyond the request.
type Follow struct {
	Peer    Watcher
	Request Request
	// Ask means that only the peer's word on the store is wanted at once.
	Ask bool
}

func (Install) isCmd()   {}
func (ReadStore) isCmd() {}
func (Follow) isCmd()    {}

// Request says what an instance holds.
type Request struct {
	Positions map[storer.Kind]int64
	// Incarnation and Serial repeat the peer's last answer.
	Incarnation uint64
	Serial      uint64
	Wait        time.Duration
}

// Answer is what a peer holds beyond a request.
type Answer struct {
	Positions   map[storer.Kind]int64
	Incarnation uint64
	Serial      uint64
	Objects     []storer.Object
	// More means that the answer was cut at its size.
	More bool
	// Waited is how long the peer held the call.
	Waited time.Duration
	// EvidenceAge is how old the peer's evidence for its keys was.
	EvidenceAge time.Duration
	// StoreUnreachable means that the peer watches the store and gets no answer.
	StoreUnreachable bool
}

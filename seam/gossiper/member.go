package gossiper

import "cmp"

// Status is the state of an instance, as held by the instance itself or by a peer.
type Status uint8

// The statuses. Of two updates with the same incarnation and revision, the one with the
// greater status wins.
const (
	Alive Status = iota
	Suspect
	Leaving
	Dead
)

//go:generate stringer -type=Status

// Member describes one instance. Instances send it to each other as an update.
type Member struct {
	ID            string
	Region        string
	FailureDomain string
	CallerAddress string
	LookupAddress string
	PeerAddress   string
	// Incarnation orders the starts of an instance. If the clock was ahead at an earlier
	// start, the incarnation of that start is greater; the later start then raises its
	// own incarnation above it.
	Incarnation uint64
	// Revision orders the updates about one start. Only the instance itself raises it, to
	// refute a status that other instances hold about it.
	Revision uint32
	Status   Status
}

// compareUpdates compares two updates about the same instance. It returns a negative number
// if a is older than b, a positive number if a is newer, and 0 otherwise.
func compareUpdates(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.Status, b.Status),
	)
}

// Usable reports whether requests may be sent to the instance.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Suspect }

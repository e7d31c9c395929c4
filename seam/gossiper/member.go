package gossiper

import "cmp"

// Status is the state of an instance as its peers hold it.
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
	// Incarnation orders the starts of an instance. A start that finds a greater one than
	// its own, since its clock is behind, raises its own.
	Incarnation uint64
	// Revision orders the updates about one start. Only the instance itself raises it, to
	// refute what others hold about it.
	Revision uint32
	Status   Status
}

// compareUpdates orders two updates about the same instance, the older one first.
func compareUpdates(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.Status, b.Status),
	)
}

// Usable reports whether requests may be sent to the instance.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Suspect }

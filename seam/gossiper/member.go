package gossiper

import "cmp"

// Status is what an instance is believed to be.
type Status uint8

// The statuses, in the order in which one word replaces another of the same
// revision.
const (
	Alive Status = iota
	Suspect
	Leaving
	Dead
)

//go:generate stringer -type=Status

// Member is what is known of one instance. It is a message between instances.
type Member struct {
	ID            string
	Region        string
	FailureDomain string
	CallerAddress string
	LookupAddress string
	PeerAddress   string
	// Incarnation orders the starts of one instance.
	Incarnation uint64
	// Revision orders the words about one start: only the instance itself
	// raises it, to refute a suspicion.
	Revision uint32
	Status   Status
}

// compare orders two words about the same instance, the older one first.
func compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.Status, b.Status),
	)
}

// Usable reports whether the instance may be sent work.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Suspect }

package follower

import "fmt"

// A position consists of an era and a revision of the store. The era grows when the store
// comes back from an older copy of its data: revisions then go back and are given out a
// second time. The era is in the upper bits, so that positions are ordered by era first and
// any position of a new era is later than all positions of earlier ones. In era 0 a
// position equals its revision.
const (
	revisionBits = 44
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// NewPosition returns the position of a revision in an era of the store. It returns an
// error if either is out of range.
func NewPosition(era, revision uint64) (uint64, error) {
	if era > maxEra || revision > maxRevision {
		return 0, fmt.Errorf("era %d or revision %d is out of range", era, revision)
	}
	return era<<revisionBits | revision, nil
}

// EraOf returns the store's era at a position.
func EraOf(position uint64) uint64 { return position >> revisionBits }

// RevisionOf returns the store's revision at a position, which is meaningful only within
// the position's era.
func RevisionOf(position uint64) uint64 { return position & maxRevision }

// FormatPosition returns a position as text: the era, a slash and the revision.
func FormatPosition(position uint64) string {
	return fmt.Sprintf("%d/%d", EraOf(position), RevisionOf(position))
}

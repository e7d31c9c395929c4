package applier

import (
	"fmt"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// ConflictError reports that the store's configuration isn't the version that the
// proposal is based on. It holds the differences of both from that base.
type ConflictError struct {
	coded  *coder.Error
	change configurer.Change
	theirs []configurer.Difference
	ours   []configurer.Difference
}

func newConflict(p Proposal, base configurer.Stored, current Current) *ConflictError {
	if base.Change == nil {
		// The history doesn't hold the base: compare the proposal with the current
		// configuration instead.
		base.Document = current.Document
	}
	e := &ConflictError{
		theirs: configurer.Diff(base.Document, current.Document),
		ours:   configurer.Diff(base.Document, p.Document),
	}
	if current.Change != nil {
		e.change = *current.Change
	}
	e.coded = coder.Errorf(coder.ConfigConflict, "", "the proposal is based on change %d, but the store has change %d by %q",
		p.Base, e.change.Sequence, e.change.Operator)
	return e
}

// Error implements error.
func (e *ConflictError) Error() string { return e.coded.Error() }

// Unwrap returns the error with the code ConfigConflict.
func (e *ConflictError) Unwrap() error { return e.coded }

// Change returns the change that is in the store.
func (e *ConflictError) Change() configurer.Change { return e.change }

// Theirs returns the differences between the base and the store's configuration.
func (e *ConflictError) Theirs() []configurer.Difference { return e.theirs }

// Ours returns the differences between the base and the rejected proposal.
func (e *ConflictError) Ours() []configurer.Difference { return e.ours }

// Overlap returns the paths that both sides change.
func (e *ConflictError) Overlap() []string {
	ourPaths := map[string]bool{}
	for _, d := range e.ours {
		ourPaths[d.Path] = true
	}
	var paths []string
	for _, d := range e.theirs {
		if ourPaths[d.Path] {
			paths = append(paths, d.Path)
		}
	}
	return paths
}

// String returns a short summary for logs.
func (e *ConflictError) String() string {
	return fmt.Sprintf("conflict with change %d on %d paths", e.change.Sequence, len(e.Overlap()))
}

package applier

import (
	"fmt"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// ConflictError reports that the store's configuration isn't the configuration that
// the proposal is based on, which is called the base. It holds the differences between
// the base and the store's configuration, and the differences between the base and the
// proposal. If the history no longer holds the base, the store's configuration is used
// as the base.
type ConflictError struct {
	codedErr *coder.Error
	change   configurer.Change
	theirs   []configurer.Difference
	ours     []configurer.Difference
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
	e.codedErr = coder.Errorf(coder.ConfigConflict, "", "the proposal is based on change %d, but the store has change %d by %q",
		p.Base, e.change.Sequence, e.change.Operator)
	return e
}

// Error implements error.
func (e *ConflictError) Error() string { return e.codedErr.Error() }

// Unwrap returns the error with the code ConfigConflict.
func (e *ConflictError) Unwrap() error { return e.codedErr }

// Change returns the change that is in the store.
func (e *ConflictError) Change() configurer.Change { return e.change }

// Theirs returns the differences between the base and the store's configuration.
func (e *ConflictError) Theirs() []configurer.Difference { return e.theirs }

// Ours returns the differences between the base and the rejected proposal.
func (e *ConflictError) Ours() []configurer.Difference { return e.ours }

// Overlap returns the paths at which both the store's configuration and the proposal
// differ from the base.
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

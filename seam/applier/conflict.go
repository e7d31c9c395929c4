package applier

import (
	"fmt"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/configurer"
)

// ConflictError says that another change was accepted first. It holds both
// changes, each as what it alters in the version that ours was based on.
type ConflictError struct {
	coded  *coder.Error
	change configurer.Change
	theirs []configurer.Difference
	ours   []configurer.Difference
}

func newConflict(p Proposal, base configurer.Stored, current Current) *ConflictError {
	if base.Change == nil {
		// The base is not kept any more: show how the two results differ.
		base.Document = current.Document
	}
	e := &ConflictError{
		theirs: configurer.Diff(base.Document, current.Document),
		ours:   configurer.Diff(base.Document, p.Document),
	}
	if current.Change != nil {
		e.change = *current.Change
	}
	e.coded = coder.Errorf(coder.ConfigConflict, "", "based on change %d, but change %d by %q stands in the store",
		p.Base, e.change.Sequence, e.change.Operator)
	return e
}

// Error implements error.
func (e *ConflictError) Error() string { return e.coded.Error() }

// Unwrap returns the coded error.
func (e *ConflictError) Unwrap() error { return e.coded }

// Change returns the change that stands in the store.
func (e *ConflictError) Change() configurer.Change { return e.change }

// Theirs returns what was altered in the store since the base.
func (e *ConflictError) Theirs() []configurer.Difference { return e.theirs }

// Ours returns what the refused proposal alters in the base.
func (e *ConflictError) Ours() []configurer.Difference { return e.ours }

// Overlap returns the paths that both changes alter.
func (e *ConflictError) Overlap() []string {
	mine := map[string]bool{}
	for _, d := range e.ours {
		mine[d.Path] = true
	}
	var paths []string
	for _, d := range e.theirs {
		if mine[d.Path] {
			paths = append(paths, d.Path)
		}
	}
	return paths
}

// String returns a short summary for logs.
func (e *ConflictError) String() string {
	return fmt.Sprintf("conflict with change %d on %d paths", e.change.Sequence, len(e.Overlap()))
}

package patcher

import "encoding/json"

// maxVersions and maxPointers bound the steps that a history keeps, and the pointers in them.
const (
	maxVersions = 64
	maxPointers = 16384
)

// History keeps the latest version of a document, and what changed in the versions before it. The
// zero value is empty. It isn't safe for concurrent use.
type History struct {
	latest *Document
	// steps holds the latest changes in their order, the last of which led to latest. pointers is
	// the number of pointers in them.
	steps    []step
	pointers int
}

// step is a change from one version to the next. before is the digest of the version before it, and
// changed holds the pointers of the parts that differ.
type step struct {
	before  uint64
	changed []string
}

// Latest returns the latest version, or nil.
func (h *History) Latest() *Document { return h.latest }

// Add makes a version the latest one. nil stands for a version that can't be split: what was before
// it is forgotten.
func (h *History) Add(d *Document) {
	switch {
	case d == nil || h.latest == nil:
		h.steps, h.pointers = nil, 0
	case d.digest != h.latest.digest:
		h.addStep(step{before: h.latest.digest, changed: changedParts(h.latest, d)})
	}
	h.latest = d
}

// addStep appends a step, and drops the first ones that are too many.
func (h *History) addStep(s step) {
	h.steps = append(h.steps, s)
	h.pointers += len(s.changed)
	for len(h.steps) > maxVersions || h.pointers > maxPointers {
		h.pointers -= len(h.steps[0].changed)
		h.steps = h.steps[1:]
	}
}

// PatchFrom returns a patch from the version with the digest base to the latest one. It returns false
// if that version isn't known, or if the patch would be no shorter than the document.
func (h *History) PatchFrom(base uint64) (Patch, bool) {
	if h.latest == nil {
		return Patch{}, false
	}
	p := Patch{Base: base, Result: h.latest.digest, Set: map[string]json.RawMessage{}}
	if base == p.Result {
		return p, true
	}
	size := 0
	done := map[string]bool{}
	for n := len(h.steps) - 1; n >= 0; n-- {
		for _, text := range h.steps[n].changed {
			if !done[text] {
				done[text] = true
				size += h.add(&p, text)
			}
		}
		switch {
		case size >= h.latest.size:
			return Patch{}, false
		case h.steps[n].before == base:
			return p, true
		}
	}
	return Patch{}, false
}

// add adds the part with a pointer, as it is in the latest version, to a patch. It returns how much
// longer the patch has become, in bytes.
func (h *History) add(p *Patch, text string) int {
	at, err := parsePointer(text)
	if err != nil {
		return 0
	}
	value, ok := h.latest.part(at)
	if !ok {
		p.Removed = append(p.Removed, text)
	} else {
		p.Set[text] = value
	}
	return partSize(text, value)
}

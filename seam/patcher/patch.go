package patcher

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Patch holds what changed between two versions of a document. Its field names are part of the wire
// format between instances.
type Patch struct {
	// Base and Result are the digests of the versions before and after.
	Base   uint64
	Result uint64
	// Set holds the parts that are new or have changed, by JSON Pointer. A table is there only if
	// it was no table before, and then has all its members.
	Set map[string]json.RawMessage
	// Removed holds the JSON Pointers of the parts that are gone.
	Removed []string
}

// Size returns about how many bytes the patch has as JSON.
func (p Patch) Size() int {
	total := 0
	for name, value := range p.Set {
		total += partSize(name, value)
	}
	for _, name := range p.Removed {
		total += partSize(name, nil)
	}
	return total
}

// Apply returns the version after the patch. The error is ErrOtherVersion unless the document is of the
// version before it, and ErrDamaged unless the result is of the version that the patch names.
func (d *Document) Apply(p Patch) (*Document, error) {
	if p.Base != d.digest {
		return nil, ErrOtherVersion
	}
	b := newBuilder(d)
	for _, text := range p.Removed {
		at, err := parsePointer(text)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		b.remove(at)
	}
	// A field comes before its members, as its pointer is the shorter one.
	for _, text := range slices.Sorted(maps.Keys(p.Set)) {
		at, err := parsePointer(text)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		if err := b.set(at, p.Set[text]); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
	}
	if b.result.digest != p.Result {
		return nil, ErrDamaged
	}
	return b.result, nil
}

// builder makes a new version of a document. It copies a table at its first change.
type builder struct {
	result *Document
	copied map[string]bool
}

func newBuilder(base *Document) builder {
	result := *base
	result.fields = maps.Clone(base.fields)
	return builder{result: &result, copied: map[string]bool{}}
}

// set sets a part. It returns an error if the value is malformed, or if the part belongs to a table
// that doesn't exist.
func (b builder) set(at pointer, value json.RawMessage) error {
	b.remove(at)
	if !at.isMember {
		f, err := splitField(value)
		if err != nil {
			return err
		}
		b.result.fields[at.field] = f
		b.copied[at.field] = true
		b.result.count(at.field, f)
		return nil
	}
	members := b.table(at.field)
	if members == nil || !isObject(value) {
		return fmt.Errorf("no table for the part %s", at)
	}
	members[at.member] = value
	b.result.countPart(at, value)
	return nil
}

// remove removes a part if it exists.
func (b builder) remove(at pointer) {
	f, ok := b.result.fields[at.field]
	switch {
	case !ok:
	case !at.isMember:
		b.result.uncount(at.field, f)
		delete(b.result.fields, at.field)
	default:
		if value, ok := f.members[at.member]; ok {
			b.result.uncountPart(at, value)
			delete(b.table(at.field), at.member)
		}
	}
}

// table returns the members of a table, to be changed, or nil if there is no such table.
func (b builder) table(name string) map[string]json.RawMessage {
	f := b.result.fields[name]
	if f.members != nil && !b.copied[name] {
		f.members = maps.Clone(f.members)
		b.result.fields[name] = f
		b.copied[name] = true
	}
	return f.members
}

// Package patcher computes the changes between versions of a large JSON document, and applies them to
// a copy of an earlier version. The instances of the load balancer use it to pass on
// changes of the configuration, which is one object in the store.
//
// A [Document] is split into parts: each field of the outermost object is a part, and so is each
// member of a field that is a table, an object whose members are all objects. A part is
// named by its JSON Pointer (RFC 6901), such as "/version" or "/routes/checkout". The order of
// parts carries no meaning; the text within a part stays as it is.
//
// A version of a document is known by its digest, which doesn't depend on where its holder has it
// from. A [Patch] names the digests before and after it, so one that was made for another
// version, or was damaged, is refused.
//
// # Usage
//
//	before, err := patcher.Parse(text)
//	var h patcher.History
//	h.Add(before)
//	h.Add(after)
//	patch, ok := h.PatchFrom(before.Digest())
//	copied, err := before.Apply(patch)
package patcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"primroseseam.org/seam/splitter"
)

var (
	// ErrNotSplittable means that a document can't be split into parts whose order carries no
	// meaning: it is no object, it has very many fields, or two names in it are the same or, in
	// the outermost object, differ only in case.
	ErrNotSplittable = errors.New("document can't be split into parts")
	// ErrOtherVersion means that a patch was made for another version of the document.
	ErrOtherVersion = errors.New("patch is for another version of the document")
	// ErrDamaged means that a patch doesn't lead to the version that it names.
	ErrDamaged = errors.New("patch is damaged")
)

// maxFields is the number of fields that the outermost object of a document may have.
const maxFields = 256

// emptyTable is the text of a table without members.
const emptyTable = "{}"

// Document is a version of a JSON document. It is immutable.
type Document struct {
	fields map[string]field
	digest uint64
	size   int
}

// field is a field of the outermost object. members is nil unless the field is a table, and value
// is nil if it is one.
type field struct {
	value   json.RawMessage
	members map[string]json.RawMessage
}

// Parse splits a document. The error is ErrNotSplittable, or that of encoding/json if the text is
// malformed.
func Parse(text json.RawMessage) (*Document, error) {
	// Removes white space and unifies escapes, as does the way between instances.
	canonical, err := json.Marshal(text)
	if err != nil {
		return nil, fmt.Errorf("parse document: %w", err)
	}
	members, err := splitter.Members(canonical)
	if err != nil || len(members) > maxFields {
		return nil, ErrNotSplittable
	}
	d := &Document{fields: make(map[string]field, len(members))}
	for _, m := range members {
		// encoding/json finds the fields of a struct whatever their case, and the last one counts.
		for other := range d.fields {
			if strings.EqualFold(other, m.Name) {
				return nil, ErrNotSplittable
			}
		}
		f, err := splitField(m.Value)
		if err != nil {
			return nil, err
		}
		d.fields[m.Name] = f
		d.count(m.Name, f)
	}
	return d, nil
}

// splitField splits a field if it is a table. The error is ErrNotSplittable.
func splitField(value json.RawMessage) (field, error) {
	if !isObject(value) {
		return field{value: value}, nil
	}
	members, err := splitter.Members(value)
	if err != nil {
		return field{}, ErrNotSplittable
	}
	f := field{members: make(map[string]json.RawMessage, len(members))}
	for _, m := range members {
		if !isObject(m.Value) {
			return field{value: value}, nil
		}
		f.members[m.Name] = m.Value
	}
	if len(f.members) < len(members) {
		return field{}, ErrNotSplittable
	}
	return f, nil
}

func isObject(value []byte) bool { return bytes.HasPrefix(value, []byte("{")) }

// Digest returns a number that differs between versions, but for chance, and is the same for all
// copies of one version.
func (d *Document) Digest() uint64 { return d.digest }

// Table returns the members of a field, and whether it is a table. They must not be changed.
func (d *Document) Table(name string) (map[string]json.RawMessage, bool) {
	members := d.fields[name].members
	return members, members != nil
}

// Text returns the document as JSON.
func (d *Document) Text() json.RawMessage { return textOf(d.fields, d.size) }

// TextWithout returns the document as JSON without a field.
func (d *Document) TextWithout(name string) json.RawMessage {
	fields := maps.Clone(d.fields)
	delete(fields, name)
	return textOf(fields, 0)
}

// textOf returns fields as JSON. size is about how long the text is, or 0 if that isn't known.
func textOf(fields map[string]field, size int) json.RawMessage {
	var b bytes.Buffer
	b.Grow(size)
	writeObject(&b, fields, func(f field) { writeField(&b, f) })
	return b.Bytes()
}

func writeField(b *bytes.Buffer, f field) {
	if f.members == nil {
		b.Write(f.value)
		return
	}
	writeObject(b, f.members, func(value json.RawMessage) { b.Write(value) })
}

// writeObject writes an object, ordered by the names of its members. write writes a value.
func writeObject[V any](b *bytes.Buffer, members map[string]V, write func(V)) {
	b.WriteByte('{')
	for n, name := range slices.Sorted(maps.Keys(members)) {
		if n > 0 {
			b.WriteByte(',')
		}
		quoted, _ := json.Marshal(name)
		b.Write(quoted)
		b.WriteByte(':')
		write(members[name])
	}
	b.WriteByte('}')
}

// part returns the text of a part, and whether there is one. The text of a table has all members.
func (d *Document) part(p pointer) (json.RawMessage, bool) {
	f, ok := d.fields[p.field]
	switch {
	case !ok:
		return nil, false
	case p.isMember:
		value, ok := f.members[p.member]
		return value, ok
	case f.members == nil:
		return f.value, true
	}
	var b bytes.Buffer
	writeField(&b, f)
	return b.Bytes(), true
}

// changedParts returns the pointers of the parts that differ between two versions.
func changedParts(before, after *Document) []string {
	var list []string
	for name, f := range after.fields {
		old, ok := before.fields[name]
		if !ok || (old.members == nil) != (f.members == nil) || !bytes.Equal(old.value, f.value) {
			list = append(list, pointer{field: name}.String())
			continue
		}
		for member, value := range f.members {
			if oldValue, ok := old.members[member]; !ok || !bytes.Equal(oldValue, value) {
				list = append(list, pointer{name, member, true}.String())
			}
		}
		for member := range old.members {
			if _, ok := f.members[member]; !ok {
				list = append(list, pointer{name, member, true}.String())
			}
		}
	}
	for name := range before.fields {
		if _, ok := after.fields[name]; !ok {
			list = append(list, pointer{field: name}.String())
		}
	}
	return list
}

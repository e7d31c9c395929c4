package patcher

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// The digest of a document is the sum of the hashes of its parts, so that a changed part is
// subtracted and added again, without a look at the others. A table is a part beside its members,
// so that an empty one differs from none.

// hashPart returns the hash of a part.
func hashPart(p pointer, value json.RawMessage) uint64 {
	name := p.String()
	data := make([]byte, 0, len(name)+len(value)+1)
	data = append(data, name...)
	data = append(data, 0)
	data = append(data, value...)
	sum := sha256.Sum256(data)
	return binary.BigEndian.Uint64(sum[:])
}

// count adds a field with its members to the digest and to the size.
func (d *Document) count(name string, f field) {
	if f.members == nil {
		d.countPart(pointer{field: name}, f.value)
		return
	}
	d.countPart(pointer{field: name}, json.RawMessage(emptyTable))
	for member, value := range f.members {
		d.countPart(pointer{name, member, true}, value)
	}
}

// uncount takes a field with its members out of the digest and of the size.
func (d *Document) uncount(name string, f field) {
	counted := Document{}
	counted.count(name, f)
	d.digest -= counted.digest
	d.size -= counted.size
}

// countPart adds a part to the digest and to the size.
func (d *Document) countPart(p pointer, value json.RawMessage) {
	d.digest += hashPart(p, value)
	d.size += partSize(p.name(), value)
}

// uncountPart takes a part out of the digest and of the size.
func (d *Document) uncountPart(p pointer, value json.RawMessage) {
	d.digest -= hashPart(p, value)
	d.size -= partSize(p.name(), value)
}

// partSize returns how many bytes a part has as a member of a JSON object, unless its name has escapes.
func partSize(name string, value json.RawMessage) int {
	return len(name) + len(value) + len(`"":,`)
}

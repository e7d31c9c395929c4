package patcher

import (
	"fmt"
	"strings"
)

// pointer names a part of a document: a field of the outermost object or, if isMember is set, a
// member of a field that is a table.
type pointer struct {
	field    string
	member   string
	isMember bool
}

// Characters of names are escaped in JSON Pointers; see RFC 6901, section 3.
var (
	escapeName   = strings.NewReplacer("~", "~0", "/", "~1")
	unescapeName = strings.NewReplacer("~1", "/", "~0", "~")
)

// name returns the name that the part has in the object that it belongs to.
func (p pointer) name() string {
	if p.isMember {
		return p.member
	}
	return p.field
}

// String returns the JSON Pointer.
func (p pointer) String() string {
	text := "/" + escapeName.Replace(p.field)
	if p.isMember {
		text += "/" + escapeName.Replace(p.member)
	}
	return text
}

// parsePointer parses the JSON Pointer of a part.
func parsePointer(text string) (pointer, error) {
	rest, ok := strings.CutPrefix(text, "/")
	if !ok || strings.Count(rest, "/") > 1 {
		return pointer{}, fmt.Errorf("%q is no JSON Pointer of a field or of a member of one", text)
	}
	name, member, isMember := strings.Cut(rest, "/")
	return pointer{unescapeName.Replace(name), unescapeName.Replace(member), isMember}, nil
}

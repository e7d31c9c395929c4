package configurer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference describes a path at which two documents have different values. Before and
// After are the values encoded as JSON. Before is empty if the first document has no
// value at the path, and After if the second has none.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the differences between two documents, ordered by path. It matches list
// items by their names instead of their positions, so that an inserted item doesn't make
// all later items appear changed.
func Diff(before, after Document) []Difference {
	oldLeaves, newLeaves := map[string]string{}, map[string]string{}
	flatten("", toTree(before), oldLeaves)
	flatten("", toTree(after), newLeaves)
	paths := map[string]bool{}
	for path := range oldLeaves {
		paths[path] = true
	}
	for path := range newLeaves {
		paths[path] = true
	}
	var differences []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if oldLeaves[path] != newLeaves[path] {
			differences = append(differences, Difference{Path: path, Before: oldLeaves[path], After: newLeaves[path]})
		}
	}
	return differences
}

// toTree encodes a document as JSON and decodes it into maps, slices and scalars.
func toTree(doc Document) any {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil
	}
	return tree
}

// flatten adds every scalar in node to leaves: the scalar's path as the key, and its JSON
// encoding as the value. If several items of a list have the same key, the second and
// later items get a number, as in "a" and "a#2".
func flatten(path string, node any, leaves map[string]string) {
	switch n := node.(type) {
	case map[string]any:
		for name, child := range n {
			flatten(joinPath(path, name), child, leaves)
		}
	case []any:
		seen := map[string]int{}
		for i, child := range n {
			name := itemKey(child, i)
			seen[name]++
			if seen[name] > 1 {
				name = fmt.Sprintf("%s#%d", name, seen[name])
			}
			flatten(path+"["+name+"]", child, leaves)
		}
	default:
		data, err := json.Marshal(n)
		if err != nil {
			return
		}
		leaves[path] = string(data)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// itemKey returns the key by which Diff matches a list item. The key of a string is the
// string. The key of an object is its name, its address, its path prefix, the team or
// endpoint of an exception, or the two regions of a link. The key of any other item is its
// position.
func itemKey(item any, index int) string {
	switch i := item.(type) {
	case string:
		return i
	case map[string]any:
		for _, field := range []string{"name", "address", "pathPrefix"} {
			if name, ok := i[field].(string); ok {
				return name
			}
		}
		if scope, ok := i["scope"].(map[string]any); ok {
			return fmt.Sprintf("%v%v", asString(scope["team"]), asString(scope["endpoint"]))
		}
		if from, ok := i["from"].(string); ok {
			return from + ">" + asString(i["to"])
		}
	}
	return fmt.Sprint(index)
}

// asString returns value if it is a string, and "" otherwise.
func asString(value any) string {
	s, _ := value.(string)
	return s
}

package configurer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is a value, encoded as JSON, that isn't the same in two documents. Before
// or After is empty if that document doesn't have the value.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists the differences between two documents, ordered by path. List items are
// compared by name instead of by position, so that an inserted item doesn't make all
// later items appear changed.
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

// toTree converts a document to maps, slices and scalars by way of JSON.
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

// flatten adds the scalars below node to leaves: their paths and JSON encodings. Items
// of a list with the same key are numbered in order, such as "a" and "a#2".
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

// itemKey returns the key by which a list item is matched: a string itself, an object's
// name, address or path prefix, the team or endpoint of an exception, or the two regions
// of a link. Other items are matched by position.
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

package configurer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is a value that two documents don't share. An empty side means
// that the document lacks the value.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists what differs between two documents, ordered by path. Items of
// lists are matched by their name, so that an insertion isn't a change of all
// that follow.
func Diff(before, after Document) []Difference {
	old, fresh := map[string]string{}, map[string]string{}
	flatten("", toTree(before), old)
	flatten("", toTree(after), fresh)
	paths := map[string]bool{}
	for path := range old {
		paths[path] = true
	}
	for path := range fresh {
		paths[path] = true
	}
	var list []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if old[path] != fresh[path] {
			list = append(list, Difference{Path: path, Before: old[path], After: fresh[path]})
		}
	}
	return list
}

// toTree returns the document as decoded JSON.
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

// flatten writes the leaves below a path into out.
func flatten(path string, node any, out map[string]string) {
	switch n := node.(type) {
	case map[string]any:
		for name, child := range n {
			flatten(joinPath(path, name), child, out)
		}
	case []any:
		seen := map[string]int{}
		for i, child := range n {
			name := itemName(child, i)
			seen[name]++
			if seen[name] > 1 {
				name = fmt.Sprintf("%s#%d", name, seen[name])
			}
			flatten(path+"["+name+"]", child, out)
		}
	default:
		data, err := json.Marshal(n)
		if err != nil {
			return
		}
		out[path] = string(data)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// itemName returns what identifies an item of a list.
func itemName(item any, index int) string {
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
			return fmt.Sprintf("%v%v", text(scope["team"]), text(scope["endpoint"]))
		}
		if from, ok := i["from"].(string); ok {
			return from + ">" + text(i["to"])
		}
	}
	return fmt.Sprint(index)
}

func text(value any) string {
	s, _ := value.(string)
	return s
}

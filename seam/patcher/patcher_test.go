package patcher_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"primroseseam.org/seam/patcher"
)

// drawDocument draws a document with fields of all kinds, whose names need escapes in JSON Pointers.
func drawDocument(t *rapid.T) json.RawMessage {
	name := rapid.SampledFrom([]string{"a", "b", "A/b", "~1", "c~d/e", "", "ü\n"})
	object := rapid.Map(rapid.IntRange(0, 3), func(n int) any { return map[string]any{"n": n, "/": []any{n, "<"}} })
	value := rapid.OneOf(
		rapid.Map(rapid.IntRange(0, 3), func(n int) any { return n }),
		rapid.Just[any](nil), rapid.Just[any]([]any{}), rapid.Just[any](map[string]any{"scalar": 1, "object": map[string]any{}}),
		rapid.Map(rapid.MapOfN(name, object, 0, 5), func(m map[string]any) any { return m }),
	)
	fields := rapid.MapOfN(rapid.SampledFrom([]string{"routes", "services", "x/y", "~", "version"}), value, 0, 5).Draw(t, "document")
	text, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func equalJSON(t *rapid.T, a, b json.RawMessage) bool {
	var left, right any
	if json.Unmarshal(a, &left) != nil || json.Unmarshal(b, &right) != nil {
		t.Fatalf("malformed: %s, %s", a, b)
	}
	return reflect.DeepEqual(left, right)
}

// Whoever has any recorded version must get the latest one from its patch, also on the way through JSON,
// and from no patch of another version.
func TestPatchesLeadToTheLatestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h patcher.History
		var versions []*patcher.Document
		var latest json.RawMessage
		for range rapid.IntRange(1, 6).Draw(t, "versions") {
			latest = drawDocument(t)
			d, err := patcher.Parse(latest)
			if err != nil {
				t.Fatal(err)
			}
			versions = append(versions, d)
			h.Add(d)
		}
		for _, from := range versions {
			p, ok := h.PatchFrom(from.Digest())
			if !ok {
				continue
			}
			wire, err := json.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			var received patcher.Patch
			if err := json.Unmarshal(wire, &received); err != nil {
				t.Fatal(err)
			}
			before := string(from.Text())
			got, err := from.Apply(received)
			if string(from.Text()) != before {
				t.Fatalf("%s has changed to %s", before, from.Text())
			}
			if err != nil || got.Digest() != h.Latest().Digest() || !equalJSON(t, got.Text(), latest) {
				t.Fatalf("from %s by %s to %v, want %s: %v", from.Text(), wire, got, latest, err)
			}
			parsed, err := patcher.Parse(got.Text())
			if err != nil || parsed.Digest() != got.Digest() {
				t.Fatalf("the digest of %s isn't that of its parts: %v", got.Text(), err)
			}
			for _, other := range versions {
				if _, err := other.Apply(received); err == nil && other.Digest() != from.Digest() {
					t.Fatalf("%s was applied to %s", wire, other.Text())
				}
			}
		}
	})
}

// configText returns a document with routes of which each has a revision.
func configText(routes, version int, changed ...int) json.RawMessage {
	revisions := map[string]any{}
	for n := range routes {
		revisions[fmt.Sprintf("route-%05d", n)] = map[string]any{"host": fmt.Sprintf("app%d.example.org", n/4), "timeout-s": 2.5, "revision": 0}
	}
	for _, n := range changed {
		revisions[fmt.Sprintf("route-%05d", n)] = map[string]any{"host": "changed", "revision": version}
	}
	text, _ := json.Marshal(map[string]any{"version": fmt.Sprint("r", version), "routes": revisions})
	return text
}

// Guards against DRAIN on days of large changes: a change of a few routes must be passed on as such.
func TestPatchOfFewPartsIsShort(t *testing.T) {
	const routes, maxPatchBytes = 3000, 1000
	var h patcher.History
	var first *patcher.Document
	for version := range 3 {
		d, err := patcher.Parse(configText(routes, version, version))
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = d
		}
		h.Add(d)
	}
	p, ok := h.PatchFrom(first.Digest())
	if wire, _ := json.Marshal(p); !ok || len(wire) > maxPatchBytes {
		t.Errorf("patch: %v, %d bytes: %s", ok, len(wire), wire)
	}
	all := make([]int, routes)
	for n := range all {
		all[n] = n
	}
	rewritten, err := patcher.Parse(configText(routes, 9, all...))
	if err != nil {
		t.Fatal(err)
	}
	h.Add(rewritten)
	if p, ok := h.PatchFrom(first.Digest()); ok {
		t.Errorf("a patch of %d bytes was made for a document of %d", p.Size(), len(rewritten.Text()))
	}
}

// What has the same meaning whatever its order must not be confused with what hasn't.
func TestAmbiguousDocumentsAreNotSplit(t *testing.T) {
	for _, text := range []string{
		`[]`, `1`, `{"a":1,"a":2}`, `{"routes":{},"Routes":{}}`, `{"t":{"x":{},"x":{"n":1}}}`, `{"a":`, ``,
		`{` + strings.TrimSuffix(strings.Repeat(`"a":1,`, 1000), ",") + `}`,
	} {
		if d, err := patcher.Parse(json.RawMessage(text)); err == nil {
			t.Errorf("%s was split: %s", text, d.Text())
		}
	}
	for _, pair := range [][2]string{
		{`{"t":{}}`, `{}`}, {`{"t":{}}`, `{"t":null}`}, {`{"t":{"x":{}}}`, `{"t":{}}`}, {`{"t":{"x":1,"X":2}}`, `{"t":{"X":2,"x":1}}`},
	} {
		left, err := patcher.Parse(json.RawMessage(pair[0]))
		right, otherErr := patcher.Parse(json.RawMessage(pair[1]))
		if err != nil || otherErr != nil || left.Digest() == right.Digest() {
			t.Errorf("%s and %s have one digest: %v, %v", pair[0], pair[1], err, otherErr)
		}
	}
	spaced, err := patcher.Parse(json.RawMessage(` { "t" : { "y" : { } , "x" : { "a" : "<" } } } `))
	plain, otherErr := patcher.Parse(json.RawMessage(`{"t":{"x":{"a":"\u003c"},"y":{}}}`))
	if err != nil || otherErr != nil || spaced.Digest() != plain.Digest() {
		t.Errorf("white space, order or escapes matter: %v, %v", err, otherErr)
	}
}

// A patch that was damaged must be refused, whatever it holds.
func TestDamagedPatchesAreRefused(t *testing.T) {
	before, _ := patcher.Parse(json.RawMessage(`{"version":"r1","routes":{"a":{"n":1},"b":{"n":2}},"limits":{"x":1}}`))
	after, _ := patcher.Parse(json.RawMessage(`{"version":"r2","routes":{"a":{"n":1}},"limits":{"x":1}}`))
	for name, p := range map[string]patcher.Patch{
		"nothing":         {},
		"part missing":    {Set: map[string]json.RawMessage{"/version": json.RawMessage(`"r2"`)}},
		"malformed":       {Set: map[string]json.RawMessage{"/version": json.RawMessage(`"r2"`), "version": nil}, Removed: []string{"/routes/b"}},
		"too deep":        {Set: map[string]json.RawMessage{"/version": json.RawMessage(`"r2"`), "/routes/b/n": nil}, Removed: []string{"/routes/b"}},
		"no table":        {Set: map[string]json.RawMessage{"/version": json.RawMessage(`"r2"`), "/limits/x": json.RawMessage(`{}`)}, Removed: []string{"/routes/b"}},
		"unclosed object": {Set: map[string]json.RawMessage{"/routes": json.RawMessage(`{"a":{`)}},
	} {
		p.Base, p.Result = before.Digest(), after.Digest()
		if _, err := before.Apply(p); !errors.Is(err, patcher.ErrDamaged) {
			t.Errorf("%s: %v", name, err)
		}
	}
	other := patcher.Patch{Base: after.Digest(), Result: before.Digest()}
	if _, err := before.Apply(other); !errors.Is(err, patcher.ErrOtherVersion) {
		t.Errorf("a patch of another version: %v", err)
	}
}

func BenchmarkVersions(b *testing.B) {
	for _, routes := range []int{100, 3000, 10000} {
		before, _ := patcher.Parse(configText(routes, 1))
		next := configText(routes, 2, 1, 2, 3)
		after, _ := patcher.Parse(next)
		var h patcher.History
		h.Add(before)
		h.Add(after)
		patch, _ := h.PatchFrom(before.Digest())
		b.Run(fmt.Sprintf("parse/%d", routes), func(b *testing.B) {
			for b.Loop() {
				_, _ = patcher.Parse(next)
			}
		})
		b.Run(fmt.Sprintf("patch/%d", routes), func(b *testing.B) {
			for b.Loop() {
				_, _ = h.PatchFrom(before.Digest())
			}
		})
		b.Run(fmt.Sprintf("apply/%d", routes), func(b *testing.B) {
			for b.Loop() {
				_, _ = before.Apply(patch)
			}
		})
		b.Run(fmt.Sprintf("text/%d", routes), func(b *testing.B) {
			for b.Loop() {
				_ = after.Text()
			}
		})
	}
}

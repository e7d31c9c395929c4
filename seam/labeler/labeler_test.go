package labeler_test

import (
	"testing"

	"primroseseam.org/seam/labeler"
)

func TestValuesAreEscaped(t *testing.T) {
	for value, want := range map[string]string{
		`crew`: `m{team="crew"}`, ``: `m{team=""}`, `a"b`: `m{team="a\"b"}`, `a\`: `m{team="a\\"}`, "a\nb": `m{team="a\nb"}`,
		`{a="b",c}`: `m{team="{a=\"b\",c}"}`, "é\u200b": "m{team=\"é\u200b\"}", "a\xff": "m{team=\"a\uFFFD\"}",
	} {
		if got := labeler.Name("m", labeler.Label{Name: "team", Value: value}); got != want {
			t.Errorf("%q: got %s, want %s", value, got, want)
		}
	}
	if got := labeler.Name("m"); got != "m" {
		t.Errorf("no label: got %s", got)
	}
	if got := labeler.Name("m", labeler.Label{Name: "a", Value: "1"}, labeler.Label{Name: "b", Value: "2"}); got != `m{a="1",b="2"}` {
		t.Errorf("two labels: got %s", got)
	}
}

package validator_test

import (
	"testing"

	"primroseseam.org/seam/validator"
)

func TestTextThatChangesTheHeadIsRefused(t *testing.T) {
	for _, c := range []struct {
		text                  string
		fieldValue, tok, word bool
	}{
		{"crew", true, true, true},
		{"", true, false, true},
		{`Sen and Sons "Court Bundles"`, true, false, false},
		{"a\tb", true, false, false},
		{"é\u200b", true, false, true},
		{"a\r\nX-Evil: 1", false, false, false},
		{"a\nb", false, false, false},
		{"a\rb", false, false, false},
		{"a\x00b", false, false, false},
		{"a\x7f", false, false, false},
		{" a", false, false, false},
		{"a\t", false, false, false},
		{"a:b", true, false, true},
		{"X-Tenant", true, true, true},
		{"/x/1?q=%20", true, false, true},
	} {
		if got := validator.FieldValue(c.text) == nil; got != c.fieldValue {
			t.Errorf("field value %q: got %v", c.text, got)
		}
		if got := validator.Token(c.text) == nil; got != c.tok {
			t.Errorf("token %q: got %v", c.text, got)
		}
		if got := validator.Word(c.text) == nil; got != c.word {
			t.Errorf("word %q: got %v", c.text, got)
		}
	}
}

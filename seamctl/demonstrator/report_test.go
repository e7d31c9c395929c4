package demonstrator

import (
	"slices"
	"testing"
)

// The last line of a failed demo must show which promise failed, and how.
func TestReportNamesThePromisesThatFailed(t *testing.T) {
	r := Report{Promises: []Promise{
		{Name: "kept", Checked: 3, required: true},
		{Name: "broken", Checked: 9, Violations: 2},
		{Name: "unchecked", required: true},
		{Name: "optional"},
	}}
	want := []string{"broken violated 2 times in 9 checks", "unchecked not checked"}
	if got := r.Failures(); !slices.Equal(got, want) || r.Passed() {
		t.Errorf("got %q, passed %t", got, r.Passed())
	}
}

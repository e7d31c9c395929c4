package coder_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"primroseseam.org/seam/coder"
)

// codeLimit is greater than every code.
const codeLimit = 1000

// The table in docs/CODES.md must have a row for every code and no other rows.
func TestEveryCodeIsDocumented(t *testing.T) {
	table, err := os.ReadFile("../../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	codeCount := 0
	for c := range coder.Code(codeLimit) {
		if strings.HasPrefix(c.String(), "Code(") {
			continue
		}
		codeCount++
		row := fmt.Sprintf("| %d | %s |", int(c), c)
		if !strings.Contains(string(table), row) {
			t.Errorf("docs/CODES.md has no row %q", row)
		}
	}
	if rows := strings.Count(string(table), "\n| ") - 1; rows != codeCount {
		t.Errorf("docs/CODES.md has %d rows for %d codes", rows, codeCount)
	}
}

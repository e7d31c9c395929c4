package coder_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"primroseseam.org/seam/coder"
)

// greatestCode is above every code that the enum may hold.
const greatestCode = 1000

func TestEveryCodeIsInTheTable(t *testing.T) {
	table, err := os.ReadFile("../../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for c := range coder.Code(greatestCode) {
		if strings.HasPrefix(c.String(), "Code(") {
			continue
		}
		found++
		row := fmt.Sprintf("| %d | %s |", int(c), c)
		if !strings.Contains(string(table), row) {
			t.Errorf("docs/CODES.md lacks %q", row)
		}
	}
	if rows := strings.Count(string(table), "\n| ") - 1; rows != found {
		t.Errorf("docs/CODES.md has %d rows for %d codes", rows, found)
	}
}

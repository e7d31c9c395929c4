package daemon_test

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// TestEveryMetricIsDocumented checks that the table in the docs lists exactly the metrics
// whose names are in the code of seamd and seamedge.
func TestEveryMetricIsDocumented(t *testing.T) {
	inCode := map[string]bool{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	edge, err := filepath.Glob("../../seamedge/edger/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range append(files, edge...) {
		if !strings.HasSuffix(file, "_test.go") {
			collect(t, inCode, file, regexp.MustCompile("[\"`](seam_[a-z_]+)[\"{]"))
		}
	}
	inDocs := map[string]bool{}
	collect(t, inDocs, "../../docs/LOGS-AND-METRICS.md", regexp.MustCompile("(?m)^\\| `(seam_[a-z_]+)`"))
	if !maps.Equal(inCode, inDocs) {
		t.Errorf("code: %v\ndocs: %v", slices.Sorted(maps.Keys(inCode)), slices.Sorted(maps.Keys(inDocs)))
	}
}

// collect adds the pattern's first group of each match in a file to a set.
func collect(t *testing.T, into map[string]bool, file string, pattern *regexp.Regexp) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range pattern.FindAllStringSubmatch(string(data), -1) {
		into[match[1]] = true
	}
}

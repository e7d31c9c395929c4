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

// TestEveryMetricIsDocumented checks that the table in docs/LOGS-AND-METRICS.md lists
// exactly the metrics whose names occur in the code of package daemon (seamd) and package
// edger (seamedge).
func TestEveryMetricIsDocumented(t *testing.T) {
	metricsInCode := map[string]bool{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	edgeFiles, err := filepath.Glob("../../seamedge/edger/*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range append(files, edgeFiles...) {
		if !strings.HasSuffix(file, "_test.go") {
			collect(t, metricsInCode, file, regexp.MustCompile("[\"`](seam_[a-z_]+)[\"{]"))
		}
	}
	metricsInDocs := map[string]bool{}
	collect(t, metricsInDocs, "../../docs/LOGS-AND-METRICS.md", regexp.MustCompile("(?m)^\\| `(seam_[a-z_]+)`"))
	if !maps.Equal(metricsInCode, metricsInDocs) {
		t.Errorf("code: %v\ndocs: %v", slices.Sorted(maps.Keys(metricsInCode)), slices.Sorted(maps.Keys(metricsInDocs)))
	}
}

// collect adds to a set the text that the pattern's first group matches, for each match
// in a file.
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

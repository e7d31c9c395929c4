package replayer_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"primroseseam.org/seam/replayer"
	"primroseseam.org/seam/tracer"
)

const (
	traceSuffix = ".trace.jsonl"
	// fullRunVariable is the environment variable that makes the test replay all traces,
	// if it isn't empty.
	fullRunVariable = "SEAM_WHOLE"
)

// shortScenarios lists the scenarios whose traces are replayed even if SEAM_WHOLE isn't
// set. The traces of other scenarios are skipped then.
var shortScenarios = []string{"quietSummer", "keyWithdrawn", "domainDrain", "silentConnections"}

// TestTracesHold replays the traces in testdata and checks that every outcome that a
// trace states holds.
func TestTracesHold(t *testing.T) {
	paths, err := filepath.Glob(filepath.Join("testdata", "*"+traceSuffix))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no traces in testdata: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), traceSuffix)
		t.Run(name, func(t *testing.T) {
			_, scenario, _ := strings.Cut(name, "-")
			if os.Getenv(fullRunVariable) == "" && !slices.Contains(shortScenarios, scenario) {
				t.Skipf("set %s to replay this trace", fullRunVariable)
			}
			t.Parallel()
			replayFile(t, path)
		})
	}
}

func replayFile(t *testing.T, path string) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	trace, err := tracer.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, o := range replayer.Replay(trace).Outcomes {
		if !o.Holds {
			t.Errorf("outcome %+v doesn't hold: measured %v", o.Outcome, o.Figure)
		}
	}
}

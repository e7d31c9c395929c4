package replayer_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"primroseseam.org/seam/generator"
	"primroseseam.org/seam/replayer"
	"primroseseam.org/seam/tracer"
)

// makeTrace generates the trace of a scenario, writes it to memory and returns the trace
// that is read back.
func makeTrace(t *testing.T, deployment, scenario string) *tracer.Trace {
	t.Helper()
	made, err := generator.Make(deployment, scenario, 1)
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	if err := made.Write(&file); err != nil {
		t.Fatal(err)
	}
	trace, err := tracer.Read(&file)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// TestSameTraceGivesTheSameBytes guards against replays that depend on anything but the
// trace, such as the order of a map or the system clock.
func TestSameTraceGivesTheSameBytes(t *testing.T) {
	trace := makeTrace(t, "nathibandh", "instanceCrash")
	first, err := json.Marshal(replayer.Replay(trace))
	if err != nil {
		t.Fatal(err)
	}
	second, err := json.Marshal(replayer.Replay(trace))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) {
		t.Fatalf("two replays of a trace have different results:\n%s\n%s", first, second)
	}
}

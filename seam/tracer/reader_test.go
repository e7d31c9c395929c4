package tracer_test

import (
	"bytes"
	"strings"
	"testing"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/generator"
	"primroseseam.org/seam/tracer"
)

func generateTrace(t testing.TB, scenario string) string {
	t.Helper()
	generated, err := generator.Make("lonestar", scenario, 1)
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	if err := generated.Write(&file); err != nil {
		t.Fatal(err)
	}
	return file.String()
}

// TestDamagedLineIsNamed checks that the error for a trace with an invalid line names
// the number of that line.
func TestDamagedLineIsNamed(t *testing.T) {
	valid := generateTrace(t, "keyWithdrawn")
	lines := strings.SplitAfter(valid, "\n")
	damagedTraces := map[string]string{
		"line 1": strings.Replace(valid, tracer.Format, "other", 1),
		"line 3": lines[0] + lines[1] + lines[2][:len(lines[2])/2],
		"line 4": lines[0] + lines[1] + lines[2] + strings.Replace(lines[3], `"type"`, `"kind"`, 1),
		"line 5": lines[0] + lines[1] + lines[2] + lines[3] + `{"at":"1s","type":"request","body":{"team":"nobody"}}`,
	}
	for line, damaged := range damagedTraces {
		_, err := tracer.Read(strings.NewReader(damaged))
		if coder.CodeOf(err) != coder.TraceInvalid || !strings.Contains(err.Error(), line) {
			t.Errorf("%s: got %v", line, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(generateTrace(f, "keyWithdrawn")))
	f.Add([]byte(`{"format":"primroseseamTrace","version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := tracer.Read(bytes.NewReader(data))
		if err != nil && coder.CodeOf(err) != coder.TraceInvalid {
			t.Fatalf("error without the code TraceInvalid: %v", err)
		}
		if err == nil && trace.Config() == nil {
			t.Fatal("Read returned a trace without a configuration")
		}
	})
}

package tracer_test

import (
	"bytes"
	"strings"
	"testing"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/generator"
	"primroseseam.org/seam/tracer"
)

func written(t testing.TB, scenario string) string {
	t.Helper()
	made, err := generator.Make("lonestar", scenario, 1)
	if err != nil {
		t.Fatal(err)
	}
	var file bytes.Buffer
	if err := made.Write(&file); err != nil {
		t.Fatal(err)
	}
	return file.String()
}

func TestDamagedLineIsNamed(t *testing.T) {
	whole := written(t, "keyWithdrawn")
	lines := strings.SplitAfter(whole, "\n")
	damages := map[string]string{
		"line 1": strings.Replace(whole, tracer.Format, "other", 1),
		"line 3": lines[0] + lines[1] + lines[2][:len(lines[2])/2],
		"line 4": lines[0] + lines[1] + lines[2] + strings.Replace(lines[3], `"type"`, `"kind"`, 1),
		"line 5": lines[0] + lines[1] + lines[2] + lines[3] + `{"at":"1s","type":"request","body":{"team":"nobody"}}`,
	}
	for line, damaged := range damages {
		_, err := tracer.Read(strings.NewReader(damaged))
		if coder.CodeOf(err) != coder.TraceInvalid || !strings.Contains(err.Error(), line) {
			t.Errorf("%s: got %v", line, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(written(f, "keyWithdrawn")))
	f.Add([]byte(`{"format":"primroseseamTrace","version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := tracer.Read(bytes.NewReader(data))
		if err != nil && coder.CodeOf(err) != coder.TraceInvalid {
			t.Fatalf("error without a code: %v", err)
		}
		if err == nil && trace.Config() == nil {
			t.Fatal("a trace without a configuration")
		}
	})
}

package daemon

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"primroseseam.org/seam/coder"
	"primroseseam.org/seam/decider"
	"primroseseam.org/seamd/loader"
)

func jsonLogger(w zapcore.WriteSyncer) *zap.Logger {
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, zapcore.InfoLevel))
}

var forwardDecision = decider.Forward{
	ID: 7, Endpoint: "10.0.0.7:9000", Attempt: 1,
	Decision: decider.Decision{Team: "clerks", Service: "index", Candidates: 12, Waited: time.Millisecond},
}

// TestDecisionLinesHaveAllFields checks that the log lines for forwarded and for refused
// requests have the fields of a routing decision.
func TestDecisionLinesHaveAllFields(t *testing.T) {
	var out bytes.Buffer
	l := newDecisionLog(jsonLogger(zapcore.AddSync(&out)), loader.Sampling{})
	l.logForward(forwardDecision)
	l.logRefusal(decider.Refuse{ID: 8, Code: coder.TeamOverRate, Decision: forwardDecision.Decision})
	fields := []string{"request", "team", "service", "candidates", "code"}
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != 2 {
		t.Fatalf("got %s", out.Bytes())
	}
	for _, line := range lines {
		var entry map[string]any
		if err := json.Unmarshal(line, &entry); err != nil {
			t.Fatal(err)
		}
		for _, field := range fields {
			if _, ok := entry[field]; !ok {
				t.Errorf("no %s in %s", field, line)
			}
		}
	}
}

// TestSamplingReducesDecisionLines logs 22 decisions. Of these lines, the first 2 and
// then every 10th must be written, which makes 4.
func TestSamplingReducesDecisionLines(t *testing.T) {
	var out bytes.Buffer
	l := newDecisionLog(jsonLogger(zapcore.AddSync(&out)), loader.Sampling{First: 2, Thereafter: 10})
	for range 22 {
		l.logForward(forwardDecision)
	}
	if n := bytes.Count(out.Bytes(), []byte("\n")); n != 4 {
		t.Fatalf("%d lines instead of 4", n)
	}
}

// BenchmarkDecisionLineAlone measures the time to log one decision: if the log level
// disables the line, with sampling, and if every line is written.
func BenchmarkDecisionLineAlone(b *testing.B) {
	discard := zapcore.AddSync(&discardWriter{})
	warnLogger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), discard, zapcore.WarnLevel))
	cases := []struct {
		name string
		log  decisionLog
	}{
		{"off", newDecisionLog(warnLogger, loader.Sampling{})},
		{"thinned", newDecisionLog(jsonLogger(discard), loader.Sampling{First: 100, Thereafter: 100})},
		{"written", newDecisionLog(jsonLogger(discard), loader.Sampling{})},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c.log.logForward(forwardDecision)
			}
		})
	}
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

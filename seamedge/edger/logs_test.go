package edger

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"
)

// partialOutput accepts only the first 100 bytes of each write.
type partialOutput struct{ bytes.Buffer }

func (o *partialOutput) Write(p []byte) (int, error) {
	n, _ := o.Buffer.Write(p[:min(len(p), 100)])
	if n < len(p) {
		return n, errors.New("no room")
	}
	return n, nil
}

// No line may be split or lost even if the output accepts only a part of each write.
func TestPartialWritesDoNotSplitLines(t *testing.T) {
	out := &partialOutput{}
	logs := NewLogs(out, 100)
	for range 3 {
		logs.logger.Info("something", zap.String("text", "a line of more than a hundred bytes, so that the output takes two"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*logFlushInterval+logFlushInterval/2)
	defer cancel()
	logs.Run(ctx)
	for _, line := range bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n")) {
		if !bytes.HasPrefix(line, []byte(`{"level"`)) || !bytes.HasSuffix(line, []byte("}")) {
			t.Errorf("incomplete line: %s", line)
		}
	}
	if n := bytes.Count(out.Bytes(), []byte("something")); n != 3 {
		t.Errorf("got %d of 3 lines after %v", n, 6*logFlushInterval)
	}
}

// pipe is an output that keeps only the first 4 KiB of each write, although it reports
// that it wrote everything.
type pipe struct{ bytes.Buffer }

func (p *pipe) Write(b []byte) (int, error) {
	_, _ = p.Buffer.Write(b[:min(len(b), 4<<10)])
	return len(b), nil
}

// A write must not be longer than 4 KiB, or lines would be lost in the pipe.
func TestLinesAreNotLostInAPipe(t *testing.T) {
	const lines = 300
	out := &pipe{}
	logs := NewLogs(out, lines)
	for range lines {
		logs.logger.Info("something", zap.String("text", "a line as long as many are that tell of a request and its answer"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	logs.Run(ctx)
	if n := bytes.Count(out.Bytes(), []byte("\"}\n")); n != lines {
		t.Errorf("got %d whole lines of %d", n, lines)
	}
}

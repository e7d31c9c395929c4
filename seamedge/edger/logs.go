package edger

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// logBuffer is the most bytes of lines that wait to be written.
	logBuffer = 128 << 10
	// logReserve is the part of the buffer that is kept for lines above the
	// level of an ordinary success.
	logReserve = 64 << 10
	// writeMost is the most bytes of one write, up to which pipes keep writes
	// whole.
	writeMost = 4096
	// logFlush is how often lines are written.
	logFlush = 250 * time.Millisecond
)

// lineBuffer keeps lines until they are written, and drops what doesn't fit, so
// that a blocked output delays no request.
type lineBuffer struct {
	mu      sync.Mutex
	pending []byte
	dropped int
}

// write keeps a line and reports whether there was room.
func (b *lineBuffer) write(p []byte, room int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(p) > room {
		b.dropped++
		return false
	}
	b.pending = append(b.pending, p...)
	return true
}

// take returns the lines that wait and how many were dropped.
func (b *lineBuffer) take(spare []byte) ([]byte, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines, dropped := b.pending, b.dropped
	b.pending = spare[:0]
	b.dropped = 0
	return lines, dropped
}

// bufferCore is a zap core that writes to a lineBuffer.
type bufferCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	buffer  *lineBuffer
}

// With implements zapcore.Core.
func (c *bufferCore) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &bufferCore{LevelEnabler: c.LevelEnabler, encoder: encoder, buffer: c.buffer}
}

// Check implements zapcore.Core.
func (c *bufferCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c *bufferCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	defer line.Free()
	room := logBuffer
	if e.Level <= zapcore.InfoLevel {
		room -= logReserve
	}
	c.buffer.write(line.Bytes(), room)
	return nil
}

// Sync implements zapcore.Core.
func (c *bufferCore) Sync() error { return nil }

// Logs is a log that never blocks its writers.
type Logs struct {
	logger *zap.Logger
	buffer *lineBuffer
	output io.Writer
	rate   int
	mu     sync.Mutex
	second int64
	lines  int
	passed int
	// leftOut counts the lines left out since the start.
	leftOut atomic.Uint64
}

// LeftOut returns how many lines were left out since the start.
func (l *Logs) LeftOut() uint64 { return l.leftOut.Load() }

// NewLogs returns a log that Run writes to output.
func NewLogs(output io.Writer, linesPerSecond int) *Logs {
	buffer := &lineBuffer{}
	config := zap.NewProductionEncoderConfig()
	core := &bufferCore{LevelEnabler: zapcore.InfoLevel, encoder: zapcore.NewJSONEncoder(config), buffer: buffer}
	return &Logs{logger: zap.New(core), buffer: buffer, output: output, rate: linesPerSecond}
}

// Run writes lines until ctx ends, and then what is left.
func (l *Logs) Run(ctx context.Context) {
	ticker := time.NewTicker(logFlush)
	defer ticker.Stop()
	var lines, spare []byte
	for {
		select {
		case <-ctx.Done():
			// A second write takes what the first one left over, and what came meanwhile.
			lines, spare = l.flush(lines, spare)
			l.flush(lines, spare)
			return
		case <-ticker.C:
			lines, spare = l.flush(lines, spare)
		}
	}
}

// flush writes the lines that an output didn't take before, or else those that
// wait. It returns what is left over, and a buffer that is free.
func (l *Logs) flush(left, spare []byte) (rest, free []byte) {
	if len(left) > 0 {
		return l.write(left, spare)
	}
	l.mu.Lock()
	passed := l.passed
	l.passed = 0
	l.mu.Unlock()
	lines, dropped := l.buffer.take(spare)
	if dropped > 0 || passed > 0 {
		l.leftOut.Add(uint64(dropped + passed))
		l.logger.Warn("log: lines left out", zap.Int("noRoom", dropped), zap.Int("overRate", passed))
	}
	return l.write(lines, left)
}

// write writes lines. A failed write can't be logged; what it left over is
// tried again.
func (l *Logs) write(lines, spare []byte) (rest, free []byte) {
	if len(lines) == 0 {
		return nil, lines
	}
	for rest := lines; len(rest) > 0; {
		part := rest[:wholeLines(rest, writeMost)]
		n, err := l.output.Write(part)
		if err != nil || n < len(part) {
			return rest[n:], spare
		}
		rest = rest[n:]
	}
	return nil, lines
}

// wholeLines returns the length of the whole lines at the start that fit into
// most bytes, or most if not even one does.
func wholeLines(lines []byte, most int) int {
	if len(lines) <= most {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:most], '\n'); end >= 0 {
		return end + 1
	}
	return most
}

// Ordinary reports whether one more line about a request that went well may be
// written in this second.
func (l *Logs) Ordinary(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.lines = 0
	}
	if l.lines >= l.rate {
		l.passed++
		return false
	}
	l.lines++
	return true
}

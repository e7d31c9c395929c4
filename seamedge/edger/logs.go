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
	// maxBufferedLogBytes bounds the lines that wait to be written.
	maxBufferedLogBytes = 128 << 10
	// reservedLogBytes is the part of the buffer that is reserved for lines above
	// info level.
	reservedLogBytes = 64 << 10
	// maxWriteBytes bounds a single write; pipes keep writes up to this size whole.
	maxWriteBytes = 4096
	// logFlushInterval is how often buffered lines are written.
	logFlushInterval = 250 * time.Millisecond
)

// lineBuffer holds lines until they are written. It drops lines that don't fit, so
// that a blocked output delays no request.
type lineBuffer struct {
	mu           sync.Mutex
	pending      []byte
	droppedLines int
}

// write appends a line unless the buffer would exceed limit bytes. It reports whether
// the line was kept.
func (b *lineBuffer) write(p []byte, limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending)+len(p) > limit {
		b.droppedLines++
		return false
	}
	b.pending = append(b.pending, p...)
	return true
}

// swap returns the buffered lines and the number of dropped ones, and continues with
// an empty buffer that uses the memory of spare.
func (b *lineBuffer) swap(spare []byte) ([]byte, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines, droppedLines := b.pending, b.droppedLines
	b.pending = spare[:0]
	b.droppedLines = 0
	return lines, droppedLines
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
	limit := maxBufferedLogBytes
	if e.Level <= zapcore.InfoLevel {
		limit -= reservedLogBytes
	}
	c.buffer.write(line.Bytes(), limit)
	return nil
}

// Sync implements zapcore.Core.
func (c *bufferCore) Sync() error { return nil }

// Logs is a JSON log that never blocks its writers. Run writes its lines to the
// output.
type Logs struct {
	logger *zap.Logger
	buffer *lineBuffer
	output io.Writer
	// maxLines bounds the routine lines in each second. second is the current one in
	// Unix time, linesThisSecond counts its lines, and overRateLines counts the lines
	// omitted since the last flush because they exceeded maxLines.
	maxLines        int
	mu              sync.Mutex
	second          int64
	linesThisSecond int
	overRateLines   int
	// omittedLines counts the lines omitted since the start.
	omittedLines atomic.Uint64
}

// OmittedLines returns how many lines were omitted since the start.
func (l *Logs) OmittedLines() uint64 { return l.omittedLines.Load() }

// NewLogs returns a log whose lines Run writes to output.
func NewLogs(output io.Writer, linesPerSecond int) *Logs {
	buffer := &lineBuffer{}
	config := zap.NewProductionEncoderConfig()
	core := &bufferCore{LevelEnabler: zapcore.InfoLevel, encoder: zapcore.NewJSONEncoder(config), buffer: buffer}
	return &Logs{logger: zap.New(core), buffer: buffer, output: output, maxLines: linesPerSecond}
}

// Run writes buffered lines until ctx ends, then the remaining ones.
func (l *Logs) Run(ctx context.Context) {
	ticker := time.NewTicker(logFlushInterval)
	defer ticker.Stop()
	var lines, spare []byte
	for {
		select {
		case <-ctx.Done():
			// The first flush may only write lines that an earlier one could not write;
			// the second one writes the lines buffered since.
			lines, spare = l.flush(lines, spare)
			l.flush(lines, spare)
			return
		case <-ticker.C:
			lines, spare = l.flush(lines, spare)
		}
	}
}

// flush writes the lines that the output didn't accept before, or, if there are none,
// the buffered lines. It returns the lines that remain unwritten and a free buffer.
func (l *Logs) flush(unwritten, spare []byte) (rest, free []byte) {
	if len(unwritten) > 0 {
		return l.write(unwritten, spare)
	}
	l.mu.Lock()
	overRateLines := l.overRateLines
	l.overRateLines = 0
	l.mu.Unlock()
	lines, droppedLines := l.buffer.swap(spare)
	if droppedLines > 0 || overRateLines > 0 {
		l.omittedLines.Add(uint64(droppedLines + overRateLines))
		l.logger.Warn("log: lines left out", zap.Int("noRoom", droppedLines), zap.Int("overRate", overRateLines))
	}
	return l.write(lines, unwritten)
}

// write writes lines to the output. An error can't be logged; the unwritten rest is
// returned and tried again.
func (l *Logs) write(lines, spare []byte) (rest, free []byte) {
	if len(lines) == 0 {
		return nil, lines
	}
	for rest := lines; len(rest) > 0; {
		part := rest[:wholeLines(rest, maxWriteBytes)]
		n, err := l.output.Write(part)
		if err != nil || n < len(part) {
			return rest[n:], spare
		}
		rest = rest[n:]
	}
	return nil, lines
}

// wholeLines returns the length of the longest prefix of whole lines within limit
// bytes, or limit if the first line is longer.
func wholeLines(lines []byte, limit int) int {
	if len(lines) <= limit {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:limit], '\n'); end >= 0 {
		return end + 1
	}
	return limit
}

// AllowRoutine reports whether another line about a successful request may be logged
// in this second.
func (l *Logs) AllowRoutine(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.linesThisSecond = 0
	}
	if l.linesThisSecond >= l.maxLines {
		l.overRateLines++
		return false
	}
	l.linesThisSecond++
	return true
}

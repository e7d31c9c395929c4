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
	// maxBufferedLogBytes limits the size of the buffer that holds lines until they are
	// written.
	maxBufferedLogBytes = 128 << 10
	// reservedLogBytes is the part of this buffer that only lines above info level, such
	// as warnings and errors, may use.
	reservedLogBytes = 64 << 10
	// maxWriteBytes is the largest size of a single write. A write up to this size to a
	// pipe is atomic.
	maxWriteBytes = 4096
	// logFlushInterval is the time between two writes of the buffered lines.
	logFlushInterval = 250 * time.Millisecond
)

// lineBuffer holds lines until they are written. It drops lines that don't fit, so
// that a blocked output delays no request.
type lineBuffer struct {
	mu           sync.Mutex
	pending      []byte
	droppedLines int
}

// write appends a line to the buffer. If the buffer would then exceed limit bytes, it drops
// the line instead. It reports whether the line was appended.
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

// swap returns the buffered lines and the number of lines that were dropped since the last
// swap. It empties the buffer, which then uses the memory of spare.
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

// Logs is a JSON log. It buffers lines, so that logging a line never blocks. [Logs.Run]
// writes the buffered lines to the output.
type Logs struct {
	logger *zap.Logger
	buffer *lineBuffer
	output io.Writer
	// maxLines is the largest number of routine lines in a second. second is the second,
	// in Unix time, of the last routine line, and linesThisSecond is the number of
	// routine lines that were allowed in that second. overRateLines is the number of
	// lines that were omitted because of maxLines and not yet reported in the log.
	maxLines        int
	mu              sync.Mutex
	second          int64
	linesThisSecond int
	overRateLines   int
	// omittedLines is the number of lines that were omitted since the start, for either
	// reason: they exceeded maxLines or didn't fit into the buffer.
	omittedLines atomic.Uint64
}

// OmittedLines returns the number of lines that were omitted since the start, because they
// exceeded the limit on routine lines or didn't fit into the buffer.
func (l *Logs) OmittedLines() uint64 { return l.omittedLines.Load() }

// NewLogs returns a log that writes to output. linesPerSecond limits the routine lines.
func NewLogs(output io.Writer, linesPerSecond int) *Logs {
	buffer := &lineBuffer{}
	config := zap.NewProductionEncoderConfig()
	core := &bufferCore{LevelEnabler: zapcore.InfoLevel, encoder: zapcore.NewJSONEncoder(config), buffer: buffer}
	return &Logs{logger: zap.New(core), buffer: buffer, output: output, maxLines: linesPerSecond}
}

// Run writes the buffered lines periodically until ctx ends, and then the remaining lines.
func (l *Logs) Run(ctx context.Context) {
	ticker := time.NewTicker(logFlushInterval)
	defer ticker.Stop()
	var lines, spare []byte
	for {
		select {
		case <-ctx.Done():
			// If an earlier flush could not write all of its lines, the first flush here
			// writes only the rest of them. The second flush writes the lines that
			// were buffered since.
			lines, spare = l.flush(lines, spare)
			l.flush(lines, spare)
			return
		case <-ticker.C:
			lines, spare = l.flush(lines, spare)
		}
	}
}

// flush writes the lines in unwritten, which the output didn't accept in an earlier flush.
// If there are none, it writes the buffered lines instead. It returns rest, the lines that
// the output didn't accept now, and free, a slice whose memory the next flush can use.
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

// write writes lines to the output. It returns rest, the lines that the output didn't
// accept and that must be written later, and free, a slice whose memory can be used again:
// spare or lines. It ignores the error of a failed write, since there is no other place to
// log it.
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

// wholeLines returns the size in bytes of the longest prefix of lines that consists of
// whole lines and has at most limit bytes. If the first line alone is longer, it returns
// limit.
func wholeLines(lines []byte, limit int) int {
	if len(lines) <= limit {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:limit], '\n'); end >= 0 {
		return end + 1
	}
	return limit
}

// SetLinesPerSecond sets the limit on routine lines.
func (l *Logs) SetLinesPerSecond(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxLines = n
}

// AllowRoutine reports whether another routine line, such as one about a successful
// request, may be logged in the second of now. Each call counts one line: as logged if
// AllowRoutine returns true, and as omitted otherwise.
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

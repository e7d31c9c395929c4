package edger

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
)

// BenchmarkLogLine measures logging the line about a sent request, which is the longest
// of the frequent lines. The benchmark empties the buffer before it is full.
func BenchmarkLogLine(b *testing.B) {
	logs := NewLogs(io.Discard, 200)
	log := logs.logger.With(zap.String("instance", "edge-1"))
	var spare []byte
	b.ReportAllocs()
	for n := range b.N {
		log.Info("request: sent", zap.String("request", "9c41d07be2a35f68"), zap.String("team", "team-1"),
			zap.String("endpoint", "i-7f3a91c2"), zap.String("region", "region-1"), zap.Int("attempt", 1),
			zap.Duration("expected", 300*time.Millisecond), zap.Duration("wait", 0), zap.Bool("warm", true),
			zap.Int("load", 2), zap.Int("slots", 3), zap.Float64("slow", 1.1), zap.Duration("budget", time.Second), zap.Uint64("version", 12))
		if n%64 == 0 {
			_, spare = logs.flush(nil, spare)
		}
	}
}

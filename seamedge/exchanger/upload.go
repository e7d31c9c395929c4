package exchanger

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// minPause is how long the source of a body must have given nothing to count as pausing. One that sends
	// steadily gives something more often.
	minPause = 100 * time.Millisecond
	// pauseCheckInterval is the time between two looks at whether a source pauses.
	pauseCheckInterval = 10 * time.Millisecond
)

// uploadSource is the source of an upload's body. It records since when a read waits for it.
type uploadSource struct {
	io.Reader
	waitingSince atomic.Pointer[time.Time]
}

// Read implements io.Reader.
func (s *uploadSource) Read(p []byte) (int, error) {
	now := time.Now()
	s.waitingSince.Store(&now)
	defer s.waitingSince.Store(nil)
	return s.Reader.Read(p)
}

// pauses reports whether the source pauses.
func (s *uploadSource) pauses() bool {
	since := s.waitingSince.Load()
	return since != nil && time.Since(*since) >= minPause
}

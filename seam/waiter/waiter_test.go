package waiter_test

import (
	"context"
	"testing"
	"time"

	"primroseseam.org/seam/waiter"
)

func TestPauseEndsWithItsContext(t *testing.T) {
	if !waiter.Pause(t.Context(), time.Millisecond) {
		t.Error("Pause reported a cancelled context, but the time had elapsed")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	start := time.Now()
	if waiter.Pause(ctx, time.Minute) || time.Since(start) > time.Second {
		t.Error("Pause didn't return at once when its context was cancelled")
	}
}

package waiter_test

import (
	"context"
	"testing"
	"time"

	"primroseseam.org/seam/waiter"
)

func TestPauseEndsWithItsContext(t *testing.T) {
	if !waiter.Pause(t.Context(), time.Millisecond) {
		t.Error("a pause that went by is told as broken off")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	start := time.Now()
	if waiter.Pause(ctx, time.Minute) || time.Since(start) > time.Second {
		t.Error("the pause goes on after its context")
	}
}

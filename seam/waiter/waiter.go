// Package waiter waits for a duration or until a context is done.
//
// # Usage
//
//	for waiter.Pause(ctx, time.Second) {
//		// runs once a second until ctx is done
//	}
package waiter

import (
	"context"
	"time"
)

// Pause waits for d and returns true, or returns false as soon as ctx is done.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

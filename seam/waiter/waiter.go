// Package waiter waits for a time or the end of a context.
//
// # Usage
//
//	for waiter.Pause(ctx, time.Second) {
//		// once a second, until ctx ends
//	}
package waiter

import (
	"context"
	"time"
)

// Pause waits for d and reports true, or returns false as soon as ctx ends.
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

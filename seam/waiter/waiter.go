// Package waiter waits for a duration that a context can cut short. The edge daemon
// seamedge and the operators' client seamctl use it.
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

// Pause blocks for the duration d and then returns true. If ctx is done before that,
// Pause returns false without waiting any longer.
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

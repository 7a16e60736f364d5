// Package sleep provides a sleep that ends with its context.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d and returns true. If ctx ends before that, it returns false at once.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		// The runtime of Go 1.26 may crash on such timers under a fake clock.
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

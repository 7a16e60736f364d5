// Package sleep sleeps under a context.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d and reports whether ctx is still running then. It returns false
// as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Package sleep holds a wait that a context can end.
package sleep

import (
	"context"
	"time"
)

// For waits for a duration and reports whether it passed before ctx ended. A
// duration of zero or less does not wait.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

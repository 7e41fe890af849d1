// Package sleep provides a sleep that a context can cancel.
package sleep

import (
	"context"
	"time"
)

// For sleeps for a duration and reports whether it passed before ctx ended. With a duration of
// zero or less it returns at once.
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

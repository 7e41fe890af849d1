//go:build !linux

package clock

import "time"

var monotonicStart = time.Now()

// sinceBoot is the monotonic clock: suspensions go unseen here.
func sinceBoot() time.Duration { return time.Since(monotonicStart) }

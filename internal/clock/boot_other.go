//go:build !linux

package clock

import "time"

var monotonicStart = time.Now()

// sinceBoot returns the monotonic time: suspensions are not counted on this system.
func sinceBoot() time.Duration { return time.Since(monotonicStart) }

package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since boot, including suspensions.
func sinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(monotonicStart) // a kernel without that clock: suspensions are not counted
	}
	return time.Duration(reading.Nano())
}

var monotonicStart = time.Now()

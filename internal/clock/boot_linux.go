package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads the clock that counts suspensions too.
func sinceBoot() time.Duration {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &reading); err != nil {
		return time.Since(monotonicStart) // a kernel without that clock: suspensions go unseen
	}
	return time.Duration(reading.Nano())
}

var monotonicStart = time.Now()

// Package clock tells the time by a clock that nobody sets and that goes on while the
// machine is suspended. The monotonic clock behind time.Now stands still meanwhile: an
// age, a lease or a window counted by it is too young by the whole suspension.
//
// Timers of package time go by the monotonic clock all the same. Whoever waits by one
// looks at this clock when it fires.
package clock

import "time"

// start is when the process started, by the wall clock: readings look like times of day,
// which makes them fit for logs, but only differences between them mean anything.
var start = time.Now().Round(0)

// startedAt is the same moment by the clock that goes on.
var startedAt = sinceBoot()

// Now returns the present moment. It has no monotonic part, so differences count the
// time of suspensions, and setting the time of day changes none.
func Now() time.Time { return start.Add(sinceBoot() - startedAt) }

// Since returns the time that has passed since a moment that Now returned.
func Since(moment time.Time) time.Duration { return Now().Sub(moment) }

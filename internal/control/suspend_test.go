package control

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
)

// clockReading is the layout of a time.Time that has a monotonic reading.
type clockReading struct {
	wall      uint64
	monotonic int64
	location  *time.Location
}

// suspended returns a later reading of the clocks of a machine whose monotonic
// clock stood still: only the wall clock moved.
func suspended(t *testing.T, before time.Time, wall time.Duration) time.Time {
	t.Helper()
	after := before.Add(wall)
	(*clockReading)(unsafe.Pointer(&after)).monotonic -= int64(wall)
	must.Eq(t, 0, after.Sub(before), must.Sprint("the layout of time.Time has changed"))
	must.Eq(t, wall, after.Round(0).Sub(before.Round(0)))
	return after
}

// TestSuspendCountsAsAPause stops the monotonic clock for longer than a lease.
func TestSuspendCountsAsAPause(t *testing.T) {
	p := newReadyAt(t, time.Now())
	p.now = suspended(t, p.now, pauseTestLease+time.Millisecond)
	must.False(t, p.mayServe(), must.Sprint("before the loop runs"))
	p.loop.handle(tick{}, p.now)
	must.False(t, p.mayServe())
	must.True(t, p.loop.confirmation.pending)
}

// TestWallClockSetBackIsNoPause sets the wall clock back by an hour, and forward
// by less than a lease.
func TestWallClockSetBackIsNoPause(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, pauseTestLease / 2} {
		p := newReadyAt(t, time.Now())
		p.now = suspended(t, p.now, jump)
		must.True(t, p.mayServe())
		p.tick()
		must.True(t, p.mayServe())
		must.False(t, p.loop.confirmation.pending)
	}
}

package control

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
)

// clockReading has the memory layout of a time.Time with a monotonic clock reading.
type clockReading struct {
	wall      uint64
	monotonic int64
	location  *time.Location
}

// suspended returns a later clock reading of a machine that was suspended: only the
// wall clock has advanced, the monotonic clock has not.
func suspended(t *testing.T, before time.Time, wall time.Duration) time.Time {
	t.Helper()
	after := before.Add(wall)
	(*clockReading)(unsafe.Pointer(&after)).monotonic -= int64(wall)
	must.Eq(t, 0, after.Sub(before), must.Sprint("the layout of time.Time has changed"))
	must.Eq(t, wall, after.Round(0).Sub(before.Round(0)))
	return after
}

// The monotonic clock does not advance while a machine is suspended, so the pause is
// visible on the wall clock only.
func TestSuspendCountsAsPause(t *testing.T) {
	p := newReadyLoopAt(t, time.Now())
	p.now = suspended(t, p.now, pauseTestLease+time.Millisecond)
	must.False(t, p.mayServe(), must.Sprint("served before the loop ran"))
	p.loop.handle(tick{}, p.now)
	must.False(t, p.mayServe())
	must.True(t, p.loop.confirmation.pending)
}

// Neither a wall clock set back nor one set forward by less than a lease may count as
// a pause.
func TestSmallWallClockChangeIsNoPause(t *testing.T) {
	for _, jump := range []time.Duration{-time.Hour, pauseTestLease / 2} {
		p := newReadyLoopAt(t, time.Now())
		p.now = suspended(t, p.now, jump)
		must.True(t, p.mayServe())
		p.tick()
		must.True(t, p.mayServe())
		must.False(t, p.loop.confirmation.pending)
	}
}

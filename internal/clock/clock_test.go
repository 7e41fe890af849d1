package clock

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
)

// Differences must not use the monotonic clock, which stops while the machine is suspended.
func TestReadingsHaveNoMonotonicPart(t *testing.T) {
	now := Now()
	must.Eq(t, now.Round(0), now)
	must.False(t, Now().Before(now))
	must.GreaterEq(t, 0, Since(now))
	must.Less(t, time.Hour, time.Since(now).Abs())
}

// clockReading has the memory layout of a time.Time with a monotonic reading.
type clockReading struct {
	wall      uint64
	monotonic int64
	location  *time.Location
}

// fakeMachine is a machine whose clocks are set by a test.
type fakeMachine struct {
	now          time.Time
	boot         time.Duration
	bootReadings int // readings of the boot clock
}

func (m *fakeMachine) sinceBoot() time.Duration {
	m.bootReadings++
	return m.boot
}

// advance lets time pass.
func (m *fakeMachine) advance(passed time.Duration) {
	m.now = m.now.Add(passed)
	m.boot += passed
}

// suspend lets time pass while the monotonic clock is stopped.
func (m *fakeMachine) suspend(passed time.Duration) {
	m.advance(passed)
	(*clockReading)(unsafe.Pointer(&m.now)).monotonic -= int64(passed)
}

// setTimeOfDay moves the wall clock.
func (m *fakeMachine) setTimeOfDay(by time.Duration) {
	m.now = m.now.Add(by)
	(*clockReading)(unsafe.Pointer(&m.now)).monotonic -= int64(by)
}

// A suspension is counted at once, also when the time of day is set, and setting the time of
// day alone changes nothing.
func TestSuspensionIsCounted(t *testing.T) {
	m := &fakeMachine{now: time.Now(), boot: time.Hour}
	r := newSuspensionClock(m.sinceBoot)
	r.start = m.now
	first := r.at(m.now)
	must.Eq(t, 0, r.at(m.now).Sub(first))
	m.advance(time.Second)
	must.Eq(t, time.Second, r.at(m.now).Sub(first))
	m.suspend(8 * time.Second)
	must.Eq(t, 9*time.Second, r.at(m.now).Sub(first))
	m.setTimeOfDay(-time.Hour)
	must.Eq(t, 9*time.Second, r.at(m.now).Sub(first))
	m.setTimeOfDay(time.Hour)
	m.advance(time.Second)
	must.Eq(t, 10*time.Second, r.at(m.now).Sub(first))
}

// The boot clock costs a system call, so it is read once per maxBootAge while nothing happens.
// A suspension that is hidden by setting the time of day is counted after that time.
func TestBootClockIsReadRarely(t *testing.T) {
	m := &fakeMachine{now: time.Now(), boot: time.Hour}
	r := newSuspensionClock(m.sinceBoot)
	r.start = m.now
	first := r.at(m.now)
	before := m.bootReadings
	for range 100 {
		m.advance(maxBootAge / 101)
		r.at(m.now)
	}
	must.Eq(t, before, m.bootReadings)
	m.suspend(8 * time.Second)
	m.setTimeOfDay(-8 * time.Second)
	m.advance(maxBootAge)
	must.Eq(t, m.boot-time.Hour, r.at(m.now).Sub(first))
}

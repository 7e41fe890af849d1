package clock

import (
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
)

// Differences must not fall back on the monotonic clock, which stands still while a
// machine is suspended.
func TestReadingsHaveNoMonotonicPart(t *testing.T) {
	now := Now()
	must.Eq(t, now.Round(0), now)
	must.False(t, Now().Before(now))
	must.GreaterEq(t, 0, Since(now))
	must.Less(t, time.Hour, time.Since(now).Abs())
}

// clockReading is the layout of a time.Time that has a monotonic reading.
type clockReading struct {
	wall      uint64
	monotonic int64
	location  *time.Location
}

// machine is a machine whose clocks a test moves.
type machine struct {
	now  time.Time
	boot time.Duration
	read int // how often the clock that goes on was read
}

func (m *machine) sinceBoot() time.Duration {
	m.read++
	return m.boot
}

// runs lets time pass.
func (m *machine) runs(passed time.Duration) {
	m.now = m.now.Add(passed)
	m.boot += passed
}

// suspends stops the monotonic clock for a time.
func (m *machine) suspends(passed time.Duration) {
	m.runs(passed)
	(*clockReading)(unsafe.Pointer(&m.now)).monotonic -= int64(passed)
}

// sets moves the time of day.
func (m *machine) sets(by time.Duration) {
	m.now = m.now.Add(by)
	(*clockReading)(unsafe.Pointer(&m.now)).monotonic -= int64(by)
}

// A suspension counts at once, however the time of day is set, and setting it alone
// changes nothing.
func TestSuspensionCounts(t *testing.T) {
	m := &machine{now: time.Now(), boot: time.Hour}
	r := newReader(m.sinceBoot)
	r.start = m.now
	first := r.at(m.now)
	must.Eq(t, 0, r.at(m.now).Sub(first))
	m.runs(time.Second)
	must.Eq(t, time.Second, r.at(m.now).Sub(first))
	m.suspends(8 * time.Second)
	must.Eq(t, 9*time.Second, r.at(m.now).Sub(first))
	m.sets(-time.Hour)
	must.Eq(t, 9*time.Second, r.at(m.now).Sub(first))
	m.sets(time.Hour)
	m.runs(time.Second)
	must.Eq(t, 10*time.Second, r.at(m.now).Sub(first))
}

// The clock that goes on costs a system call: it is read once in mostTrust while nothing
// happens. A suspension that a change of the time of day hides counts after that.
func TestClockIsReadSeldom(t *testing.T) {
	m := &machine{now: time.Now(), boot: time.Hour}
	r := newReader(m.sinceBoot)
	r.start = m.now
	first := r.at(m.now)
	before := m.read
	for range 100 {
		m.runs(mostTrust / 101)
		r.at(m.now)
	}
	must.Eq(t, before, m.read)
	m.suspends(8 * time.Second)
	m.sets(-8 * time.Second)
	m.runs(mostTrust)
	must.Eq(t, m.boot-time.Hour, r.at(m.now).Sub(first))
}

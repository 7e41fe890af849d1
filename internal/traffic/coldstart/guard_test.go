package coldstart

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/traffic/closing"
)

var start = time.Unix(1_000_000, 0)

var bound = Bound{PerSecond: 13, Duration: 3 * time.Second}

// maxPerSecond is the largest number of requests in any second that a worker with this
// bound can handle, the burst included.
const maxPerSecond = 16

func newGuard(now time.Time) *Guard { return newGuardWith(bound, now) }

func newGuardWith(bound Bound, now time.Time) *Guard {
	guard := &Guard{}
	guard.Bind(bound)
	guard.MarkStarted(now)
	return guard
}

// maxInOneSecond returns the largest number of the times that lie within one second.
func maxInOneSecond(passed []time.Time) int {
	largest, first := 0, 0
	for index, at := range passed {
		for at.Sub(passed[first]) > time.Second {
			first++
		}
		largest = max(largest, index-first+1)
	}
	return largest
}

// Under a flood of random requests, a cold worker gets at most its declared burst and rate
// in any second, but nearly all of that.
func TestColdWorkerRateIsLimitedAndUsed(t *testing.T) {
	guard, passed := flood(bound)
	must.LessEq(t, maxPerSecond, maxInOneSecond(passed))
	must.GreaterEq(t, 36, len(passed)) // of 39: the rate is used
	must.True(t, guard.CanSend(closing.Urgent, start.Add(bound.Duration)))
}

// Overage and slack are used but not exceeded: 13 x 1.5 + 8 = 27.5 requests in any second,
// also when the node's CPU quota delays requests for up to 100 ms and then sends them all
// at once.
func TestOverageAndSlackAreUsedAndNotExceeded(t *testing.T) {
	relaxed := bound
	relaxed.Overage, relaxed.Slack = 1.5, 8
	_, passed := flood(relaxed)
	must.LessEq(t, 25, maxInOneSecond(passed))
	must.GreaterEq(t, 65, len(passed))
	const stalled = 84 * time.Millisecond // of each 100 ms, at a CPU share of 0.16
	for phase := time.Duration(0); phase < 100*time.Millisecond; phase += 5 * time.Millisecond {
		must.LessEq(t, 27, maxInOneSecond(sendTimes(passed, phase, stalled)))
	}
}

// sendTimes returns when requests that passed at the given times are sent if the node has
// no CPU time for a part of each 100 ms.
func sendTimes(passed []time.Time, phase, stalled time.Duration) []time.Time {
	var sent []time.Time
	for _, at := range passed {
		if within := at.Add(phase).Sub(start) % (100 * time.Millisecond); within < stalled {
			at = at.Add(stalled - within)
		}
		sent = append(sent, at)
	}
	return sent
}

// flood sends a cold worker more requests than it can handle and returns when requests
// passed.
func flood(bound Bound) (*Guard, []time.Time) {
	random := rand.New(rand.NewPCG(1, 2))
	guard := newGuardWith(bound, start)
	var passed []time.Time
	for now := start; now.Before(start.Add(bound.Duration)); now = now.Add(time.Duration(random.ExpFloat64() * float64(3*time.Millisecond))) {
		if guard.CanSend(closing.Urgent, now) && guard.Acquire(closing.Urgent, now) {
			passed = append(passed, now)
		}
	}
	return guard, passed
}

// A worker that has not responded for a while counts as cold until a health check shows
// otherwise, since it may have restarted.
func TestUnresponsiveWorkerCountsAsCold(t *testing.T) {
	guard := newGuard(start)
	guard.RecordProbe(0, start)
	guard.RecordResponse(start.Add(500 * time.Millisecond))
	must.False(t, guard.ProbeDue(start.Add(time.Second)))
	must.False(t, guard.Limited(start.Add(time.Second)))
	later := start.Add(5 * time.Second)
	must.True(t, guard.ProbeDue(later))
	must.True(t, guard.Limited(later))
	must.False(t, guard.ProbeDue(later.Add(time.Millisecond))) // one health check at a time
	guard.RecordProbe(0, later)
	must.False(t, guard.Limited(later))
}

// The reported remaining cold time replaces the assumed one, whether it is longer or
// shorter.
func TestHealthCheckSetsColdTime(t *testing.T) {
	guard := newGuard(start)
	guard.RecordProbe(time.Second, start)
	must.True(t, guard.Limited(start.Add(900*time.Millisecond)))
	must.False(t, guard.Limited(start.Add(1100*time.Millisecond)))
	guard.ExtendCold(4*time.Second, start)
	must.True(t, guard.Limited(start.Add(3900*time.Millisecond)))
}

// SuspectRestart triggers a health check but limits nothing until its result.
func TestSuspectedRestartDoesNotLimit(t *testing.T) {
	guard := newGuard(start)
	guard.RecordProbe(0, start)
	now := start.Add(probeInterval)
	guard.SuspectRestart()
	must.True(t, guard.ProbeDue(now))
	must.False(t, guard.Limited(now))
}

// Rejected callers are asked to retry one after the other, at the rate of the worker, and
// after at most closing.MaxPause.
func TestRejectedCallersRetryOneByOne(t *testing.T) {
	guard := newGuard(start)
	for guard.CanSend(closing.Urgent, start) && guard.Acquire(closing.Urgent, start) {
	}
	first := guard.PausedFor(closing.Urgent, start)
	must.False(t, guard.CanSend(closing.Urgent, start))
	second := guard.PausedFor(closing.Urgent, start)
	must.InDelta(t, float64(time.Second)/13, float64(second-first), float64(time.Microsecond))
	must.Greater(t, first, second)
	for range 100 {
		guard.CanSend(closing.Urgent, start)
	}
	must.Eq(t, closing.MaxPause, guard.PausedFor(closing.Urgent, start))
}

// A service that declares no bound is not limited.
func TestUnboundedWorkerIsNotLimited(t *testing.T) {
	guard := &Guard{}
	guard.Bind(Bound{Duration: time.Second})
	guard.MarkStarted(start)
	must.False(t, guard.ProbeDue(start))
	for range 1000 {
		must.True(t, guard.CanSend(closing.Urgent, start) && guard.Acquire(closing.Urgent, start))
	}
	must.Zero(t, guard.PausedFor(closing.Urgent, start))
}

// While urgent requests exceed the rate, others get almost nothing; without urgent requests
// they get the whole rate.
func TestUrgentRequestsGetTheRateFirst(t *testing.T) {
	relaxed := bound
	relaxed.Overage, relaxed.Slack = 1.5, 8
	for _, mixed := range []bool{true, false} {
		guard := newGuardWith(relaxed, start)
		passed := map[closing.Urgency]int{}
		for step := range 3000 {
			now := start.Add(time.Duration(step) * time.Millisecond)
			for _, urgency := range []closing.Urgency{closing.NonUrgent, closing.Urgent} {
				if (mixed || urgency == closing.NonUrgent) && guard.CanSend(urgency, now) && guard.Acquire(urgency, now) {
					passed[urgency]++
				}
			}
		}
		if mixed {
			must.GreaterEq(t, 55, passed[closing.Urgent])
			must.LessEq(t, 3, passed[closing.NonUrgent])
			continue
		}
		must.GreaterEq(t, 55, passed[closing.NonUrgent])
	}
}

// Of any two urgencies that compete, the higher one gets nearly the whole rate; either gets
// it when alone.
func TestHigherUrgencyGetsTheRateFirst(t *testing.T) {
	relaxed := bound
	relaxed.Overage, relaxed.Slack = 1.5, 8
	for first := closing.Urgent; int(first) < closing.Urgencies; first++ {
		for second := first; int(second) < closing.Urgencies; second++ {
			guard := newGuardWith(relaxed, start)
			passed := map[closing.Urgency]int{}
			for step := range 3000 {
				now := start.Add(time.Duration(step) * time.Millisecond)
				for _, urgency := range []closing.Urgency{second, first} {
					if guard.CanSend(urgency, now) && guard.Acquire(urgency, now) {
						passed[urgency]++
					}
				}
			}
			must.GreaterEq(t, 52, passed[first], must.Sprint(first, second))
			if first != second {
				must.LessEq(t, 4, passed[second], must.Sprint(first, second))
			}
		}
	}
}

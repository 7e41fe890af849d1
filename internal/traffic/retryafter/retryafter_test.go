package retryafter

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/traffic/admission"
)

var start = time.Unix(1_000_000, 0)

// Rejected callers retry one after the other, at the rate at which the service responds.
func TestRetriesAreSpread(t *testing.T) {
	var schedule Schedule
	for index := range 20 {
		schedule.RecordResponse(start.Add(time.Duration(index) * 50 * time.Millisecond))
	}
	now := start.Add(time.Second)
	const expectedWait, maxDelay = 30 * time.Millisecond, 400 * time.Millisecond
	delays := []time.Duration{}
	for range 8 {
		delays = append(delays, schedule.NextDelay(0, expectedWait, maxDelay, now))
	}
	must.Eq(t, expectedWait, delays[0])
	must.True(t, slices.IsSorted(delays))
	must.Greater(t, 40*time.Millisecond, delays[1]-delays[0])
	must.Less(t, 120*time.Millisecond, delays[1]-delays[0])
	must.Eq(t, maxDelay, delays[7])
	must.Eq(t, expectedWait, schedule.NextDelay(0, expectedWait, maxDelay, now.Add(5*time.Second)))
}

// In an overload of three seconds, a third beyond the capacity of the slots, callers whose
// retries are spread and may get a late response are lost less often than those that retry
// immediately. In exchange a few more responses are late: 5 % at most. The excess can be served
// only as far as it outlasts the overload.
func TestSpreadRetriesLoseFewerCallersInOverload(t *testing.T) {
	atOnce := overload(false)
	spread := overload(true)
	t.Logf("at once %+v, spread %+v", atOnce, spread)
	must.Less(t, atOnce.lost*9/10, spread.lost)
	must.Greater(t, atOnce.inTime*95/100, spread.inTime)
	must.Greater(t, atOnce.inTime+atOnce.late, spread.inTime+spread.late)
}

// outcomes counts callers by outcome.
type outcomes struct{ inTime, late, lost int }

type caller struct {
	first, deadline time.Time
	retried         bool
}

type running struct {
	ticket *admission.Ticket[*caller]
	ends   time.Time
}

// overload returns the outcomes of callers whose retries are spread, or come immediately and
// are treated like new requests.
func overload(spread bool) outcomes {
	const (
		objective  = 400 * time.Millisecond
		callerTime = 1200 * time.Millisecond
		run        = 100 * time.Millisecond
		slots      = 40 // 400 a second
		step       = time.Millisecond
	)
	queue := admission.New[*caller](admission.Settings{Slots: slots, Length: 512})
	var schedule Schedule
	var busy []running
	waiting := map[time.Time][]*caller{} // callers by the time of their retry
	var ended outcomes
	credit := 0.0
	for passed := time.Duration(0); passed < 8*time.Second; passed += step {
		now := start.Add(passed)
		rate := 0.3 // a millisecond
		if passed > time.Second && passed < 4*time.Second {
			rate = 0.53
		}
		coming := waiting[now]
		for credit += rate; credit >= 1; credit-- {
			coming = append(coming, &caller{first: now, deadline: now.Add(callerTime)})
		}
		var decided []*admission.Ticket[*caller]
		busy = slices.DeleteFunc(busy, func(each running) bool {
			if now.Before(each.ends) {
				return false
			}
			schedule.RecordResponse(now)
			decided = append(decided, queue.Done(each.ticket, now)...)
			return true
		})
		for _, each := range coming {
			arrival := admission.Arrival[*caller]{Class: admission.Batch, Deadline: now.Add(objective), Waiter: each}
			if spread && each.retried {
				arrival.LateDeadline = each.deadline
			}
			ticket, others := queue.Admit(arrival, now)
			decided = append(append(decided, ticket), others...)
		}
		for _, ticket := range decided {
			each := ticket.Waiter
			switch {
			case ticket.Verdict == admission.Granted:
				busy = append(busy, running{ticket, now.Add(run)})
				if now.Add(run).Sub(each.first) <= objective {
					ended.inTime++
				} else {
					ended.late++
				}
			case ticket.Verdict == admission.Rejected && each.retried:
				ended.lost++
			case ticket.Verdict == admission.Rejected:
				each.retried = true
				wait := 20 * time.Millisecond
				if spread {
					wait = schedule.NextDelay(0, wait, each.deadline.Sub(now)/3, now)
				}
				at := now.Add(wait).Truncate(step).Add(step)
				waiting[at] = append(waiting[at], each)
			}
		}
	}
	return ended
}

// A rejected caller of a higher priority is not delayed by earlier rejections of a lower
// priority; later rejections of a lower priority are scheduled behind it.
func TestRetriesAreOrderedByPriority(t *testing.T) {
	now := time.Unix(1000, 0)
	schedule := Schedule{}
	const apart = 100 * time.Millisecond
	for range 10 {
		schedule.RecordResponse(now)
	}
	book := func(priority int) time.Duration { return schedule.NextDelay(priority, apart, time.Second, now) }
	must.Eq(t, apart, book(1))
	must.Eq(t, 2*apart, book(1))
	must.Eq(t, apart, book(0))
	must.Eq(t, 2*apart, book(0))
	must.Eq(t, 5*apart, book(1)) // behind two of each
	must.Eq(t, 6*apart, book(2))
	for range 100 {
		must.LessEq(t, time.Second, book(0))
		must.LessEq(t, time.Second, book(2))
	}
	now = now.Add(2 * time.Second)
	must.Eq(t, apart, book(2))
	must.Len(t, 1, schedule.nextRetries)
}

package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newBusyQueue returns a queue whose four slots are taken and whose estimated run time is
// 100 ms.
func newBusyQueue() (*Queue[string], []*Ticket[string]) {
	queue := New[string](Settings{Slots: 4, Length: 128})
	var running []*Ticket[string]
	for range 4 {
		known, _ := queue.Admit(Arrival[string]{Class: Batch, Deadline: start.Add(time.Hour)}, start.Add(-100*time.Millisecond))
		queue.Done(known, start)
	}
	for range 4 {
		ticket, _ := queue.Admit(Arrival[string]{Class: Batch, Deadline: start.Add(time.Hour)}, start)
		running = append(running, ticket)
	}
	return queue, running
}

// A request that can meet its deadline is granted before one of the late queue.
func TestOnTimeRequestIsGrantedBeforeLateQueue(t *testing.T) {
	queue, running := newBusyQueue()
	late, _ := queue.Admit(Arrival[string]{Class: Batch, Deadline: start.Add(10 * time.Millisecond), LateDeadline: start.Add(time.Second), Waiter: "late"}, start)
	must.Eq(t, Queued, late.Verdict)
	fresh, _ := queue.Admit(Arrival[string]{Class: Batch, Deadline: start.Add(400 * time.Millisecond), Waiter: "fresh"}, start)
	must.Eq(t, Queued, fresh.Verdict)
	now := start.Add(100 * time.Millisecond)
	must.Eq(t, "fresh", queue.Done(running[0], now)[0].Waiter)
	must.Eq(t, "late", queue.Done(running[1], now)[0].Waiter)
}

// A request that cannot meet its deadline is rejected on arrival if it has no late
// deadline, or if the late queue would grant it too late.
func TestLateQueueRejectsRequestsItCannotServe(t *testing.T) {
	queue, _ := newBusyQueue()
	tooLate := start.Add(10 * time.Millisecond)
	rejected, _ := queue.Admit(Arrival[string]{Class: Batch, Deadline: tooLate}, start)
	must.Eq(t, Rejected, rejected.Verdict)
	taken := 0
	for range 20 {
		ticket, _ := queue.Admit(Arrival[string]{Class: Batch, Deadline: tooLate, LateDeadline: start.Add(800 * time.Millisecond)}, start)
		if ticket.Verdict == Queued {
			taken++
		}
	}
	must.Between(t, 1, taken, 3) // within 800 ms less a run: a grant each 25 ms, one in ten of them late
}

// In a sustained overload most responses are in time, the late queue gets its share of the
// grants, and every admitted request is served.
func TestSustainedOverloadServesOnTimeAndLateRequests(t *testing.T) {
	const (
		slots, run, step = 12, 100 * time.Millisecond, time.Millisecond
		objective, last  = 400 * time.Millisecond, 800 * time.Millisecond
	)
	queue := New[int](Settings{Slots: slots, Length: 128})
	type running struct {
		ticket *Ticket[int]
		ends   time.Time
	}
	var busy []running
	var waiting []*Ticket[int]
	fresh, late, arrivals := 0, 0, 0
	for passed := time.Duration(0); passed < 10*time.Second; passed += step {
		now := start.Add(passed)
		var decided []*Ticket[int]
		left := busy[:0]
		for _, each := range busy {
			if now.Before(each.ends) {
				left = append(left, each)
				continue
			}
			decided = append(decided, queue.Done(each.ticket, now)...)
		}
		busy = left
		if passed%(6*time.Millisecond) == 0 { // 167 a second, of which the slots serve 120
			arrivals++
			arrival := Arrival[int]{Class: Batch, Deadline: now.Add(objective)}
			if arrivals%3 == 0 { // cannot meet its deadline
				arrival.Deadline, arrival.LateDeadline = now.Add(run), now.Add(last)
			}
			ticket, _ := queue.Admit(arrival, now)
			decided = append(decided, ticket)
			if ticket.Verdict == Queued {
				waiting = append(waiting, ticket)
			}
		}
		for _, ticket := range decided {
			if ticket.Verdict != Granted {
				continue
			}
			busy = append(busy, running{ticket, now.Add(run)})
			if ticket.deadline.Sub(ticket.arrived) == last {
				late++
			} else {
				fresh++
			}
		}
	}
	for _, ticket := range waiting {
		if ticket.element == nil {
			must.Eq(t, Granted, ticket.Verdict)
		}
	}
	must.Greater(t, 800, fresh)
	must.Greater(t, 50, late)
	must.Less(t, 300, late)
}

package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_000_000, 0)

func TestHigherClassFirst(t *testing.T) {
	queue := New[string](Settings{Slots: 1, Length: 8, AgeAfter: DefaultAgeAfter, AgedEvery: DefaultAgedEvery})
	deadline := start.Add(time.Minute)
	first, _ := queue.Arrive(Batch, deadline, start, "running")
	must.Eq(t, Granted, first.Verdict)
	for _, class := range []Class{Batch, Upload, Interactive, Internal} {
		ticket, _ := queue.Arrive(class, deadline, start, "")
		must.Eq(t, Queued, ticket.Verdict)
	}
	running := first
	for _, class := range []Class{Internal, Interactive, Upload, Batch} {
		decided := queue.Done(running, start)
		must.Len(t, 1, decided)
		must.Eq(t, class, decided[0].class)
		running = decided[0]
	}
}

func TestRequestThatMissesDeadlineIsRejectedOnArrival(t *testing.T) {
	queue := New[string](Settings{Slots: 1, Length: 8})
	deadline := start.Add(time.Minute)
	warm, _ := queue.Arrive(Interactive, deadline, start, "")
	now := start.Add(100 * time.Millisecond)
	queue.Done(warm, now) // a run takes 100 ms
	queue.Arrive(Interactive, deadline, now, "")
	queue.Arrive(Interactive, deadline, now, "")
	late, _ := queue.Arrive(Interactive, now.Add(200*time.Millisecond), now, "")
	must.Eq(t, Rejected, late.Verdict)
	must.Eq(t, 150*time.Millisecond, late.RetryAfter)
	must.Eq(t, 1, queue.Waiting())
}

// The first of several concurrent long runs ends well before half of their run time, and a
// short request of a higher class waits only for that one. It was once rejected because the
// forecast was half of all running work.
func TestShortRequestWaitsOnlyForFirstFreeSlot(t *testing.T) {
	const slots, run = 6, 840 * time.Millisecond
	queue := New[string](Settings{Slots: slots, Length: 8})
	deadline := start.Add(time.Minute)
	warm, _ := queue.Arrive(Batch, deadline, start, "")
	now := start.Add(run)
	queue.Done(warm, now)
	for range slots {
		queue.Arrive(Batch, deadline, now, "")
	}
	urgent, _ := queue.Arrive(Interactive, now.Add(200*time.Millisecond), now, "")
	must.Eq(t, Queued, urgent.Verdict)
	wait, _ := queue.Forecast(Interactive, "", now)
	must.Eq(t, run/(slots+1)+0, wait)
}

func TestFullQueueEvictsLowerClass(t *testing.T) {
	queue := New[string](Settings{Slots: 1, Length: 1})
	deadline := start.Add(time.Minute)
	queue.Arrive(Batch, deadline, start, "")
	waiting, _ := queue.Arrive(Batch, deadline, start, "")
	urgent, decided := queue.Arrive(Internal, deadline, start, "")
	must.Eq(t, Queued, urgent.Verdict)
	must.Len(t, 1, decided)
	must.Eq(t, Rejected, waiting.Verdict)
	another, decided := queue.Arrive(Internal, deadline, start, "")
	must.Eq(t, Rejected, another.Verdict)
	must.SliceEmpty(t, decided)
}

func TestCancelledRequestFreesItsQueuePlace(t *testing.T) {
	queue := New[string](Settings{Slots: 1, Length: 1})
	deadline := start.Add(time.Minute)
	running, _ := queue.Arrive(Batch, deadline, start, "")
	waiting, _ := queue.Arrive(Batch, deadline, start, "")
	must.True(t, queue.Cancel(waiting, start))
	must.False(t, queue.Cancel(waiting, start))
	must.SliceEmpty(t, queue.Done(running, start))
	must.Zero(t, queue.Running())
}

// flow is the simulated load of one class or of one tenant in it.
type flow struct {
	class    Class
	perSec   float64
	service  time.Duration
	deadline time.Duration
	tenant   string
	weight   float64
}

// tally counts the outcomes of a flow's requests; rejectedLate counts those rejected after
// queueing.
type tally struct{ offered, inTime, late, rejected, rejectedLate int }

func (t *tally) add(other *tally) {
	t.offered += other.offered
	t.inTime += other.inTime
	t.late += other.late
	t.rejected += other.rejected
	t.rejectedLate += other.rejectedLate
}

type event struct {
	at     time.Time
	flow   *flow          // set for an arrival
	ticket *Ticket[*flow] // set for the end of a run
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulate returns the outcomes of flows by class.
func simulate(settings Settings, flows []flow, length time.Duration) map[Class]*tally {
	byClass := map[Class]*tally{}
	tallies := simulateFlows(settings, flows, length)
	for index := range flows {
		if byClass[flows[index].class] == nil {
			byClass[flows[index].class] = &tally{}
		}
		byClass[flows[index].class].add(tallies[&flows[index]])
	}
	return byClass
}

// simulateFlows offers Poisson arrivals to a queue in virtual time, with exponentially
// distributed run times.
func simulateFlows(settings Settings, flows []flow, length time.Duration) map[*flow]*tally {
	random := rand.New(rand.NewPCG(7, 7))
	queue := New[*flow](settings)
	tallies := map[*flow]*tally{}
	var pending events
	next := func(f *flow, now time.Time) {
		heap.Push(&pending, event{at: now.Add(time.Duration(random.ExpFloat64() / f.perSec * float64(time.Second))), flow: f})
	}
	for index := range flows {
		tallies[&flows[index]] = &tally{}
		next(&flows[index], start)
	}
	decide := func(ticket *Ticket[*flow], now time.Time) {
		switch ticket.Verdict {
		case Granted:
			heap.Push(&pending, event{at: now.Add(time.Duration(random.ExpFloat64() * float64(ticket.Waiter.service))), ticket: ticket})
		case Rejected:
			tallies[ticket.Waiter].rejected++
			if !ticket.GrantBy.IsZero() {
				tallies[ticket.Waiter].rejectedLate++
			}
		}
	}
	for now := start; now.Before(start.Add(length)); {
		e := heap.Pop(&pending).(event)
		now = e.at
		var decided []*Ticket[*flow]
		if e.flow != nil {
			tallies[e.flow].offered++
			next(e.flow, now)
			var ticket *Ticket[*flow]
			ticket, decided = queue.Admit(Arrival[*flow]{Class: e.flow.class, Tenant: e.flow.tenant, Weight: e.flow.weight, Deadline: now.Add(e.flow.deadline), Waiter: e.flow}, now)
			decide(ticket, now)
		} else {
			if now.After(e.ticket.deadline) {
				tallies[e.ticket.Waiter].late++
			} else {
				tallies[e.ticket.Waiter].inTime++
			}
			decided = queue.Done(e.ticket, now)
		}
		for _, ticket := range decided {
			decide(ticket, now)
		}
	}
	return tallies
}

// overload offers a multiple of the capacity of six slots at 10 ms a run, 600 requests per
// second: 10 % of the capacity as internal and 25 % as interactive requests, the rest as
// uploads and batch.
func overload(multiple float64) []flow {
	const capacity, run = 600.0, 10 * time.Millisecond
	rest := max(0, multiple-0.35)
	return []flow{
		{class: Internal, perSec: 0.10 * capacity, service: run, deadline: 100 * time.Millisecond},
		{class: Interactive, perSec: 0.25 * capacity, service: run, deadline: 250 * time.Millisecond},
		{class: Upload, perSec: 0.2 * rest * capacity, service: run, deadline: 5 * time.Second},
		{class: Batch, perSec: 0.8 * rest * capacity, service: run, deadline: 20 * time.Second},
	}
}

func TestHigherClassesMeetDeadlinesUnderOverload(t *testing.T) {
	settings := Settings{Slots: 6, Length: 128, AgeAfter: DefaultAgeAfter, AgedEvery: DefaultAgedEvery}
	total := map[float64]int{}
	for _, multiple := range []float64{1, 2, 5} {
		tallies := simulate(settings, overload(multiple), time.Minute)
		for class := Internal; class < classes; class++ {
			got := tallies[class]
			t.Logf("load=%gx class=%d offered=%d in-time=%d late=%d rejected=%d", multiple, class, got.offered, got.inTime, got.late, got.rejected)
			total[multiple] += got.inTime
			if class <= Interactive {
				must.GreaterEq(t, got.offered*95/100, got.inTime)
			}
		}
		for _, got := range tallies { // no class starves
			must.GreaterEq(t, total[multiple]/100, got.inTime)
		}
	}
	must.GreaterEq(t, total[1]*90/100, total[5])
}

// Only running or queued requests of a lower class count as outranked.
func TestOnlyLowerClassesAreOutranked(t *testing.T) {
	now := time.Unix(0, 0)
	queue := New[int](Settings{Slots: 1, Length: 10})
	must.False(t, queue.HasLowerClass(Internal))
	running, _ := queue.Admit(Arrival[int]{Class: Upload, Deadline: now.Add(time.Hour)}, now)
	must.True(t, queue.HasLowerClass(Interactive))
	must.False(t, queue.HasLowerClass(Upload))
	queue.Admit(Arrival[int]{Class: Batch, Deadline: now.Add(time.Hour)}, now)
	must.True(t, queue.HasLowerClass(Upload))
	must.False(t, queue.HasLowerClass(Batch))
	queue.Clear(now)
	queue.Done(running, now)
	must.False(t, queue.HasLowerClass(Internal))
}

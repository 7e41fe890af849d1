// Package admission decides which requests a worker runs now, which are queued and which
// are rejected. A worker has a fixed number of slots and a bounded queue ordered by
// priority class (see class.go). The package is pure: the caller passes the time and
// carries out the decisions.
//
// Higher classes are served first. To prevent starvation, one grant in Settings.AgedEvery
// goes to the oldest request that has waited for at least Settings.AgeAfter; the fixed
// share keeps aged requests from crowding out higher classes. A request is rejected on
// arrival if its predicted wait leaves too little time to run. Each class has queue places
// reserved for it. Within a class, requests are ordered by fair queueing across tenants
// (see fair.go).
//
// A request that can no longer meet its deadline, but whose caller will not retry, joins
// the late queue (see late.go).
package admission

import (
	"container/list"
	"time"
)

// Settings configure the slots and the queue.
type Settings struct {
	Slots     int           // requests that run concurrently
	Length    int           // maximum number of queued requests
	AgeAfter  time.Duration // wait after which a request counts as aged
	AgedEvery int           // one grant in this many goes to an aged request; 0: none
}

// Default settings.
const (
	DefaultAgeAfter  = time.Second
	DefaultAgedEvery = 20
)

// SpareTimeDivisor bounds the predicted time behind queued work: a request may spend at most
// 1/SpareTimeDivisor of its spare time (time to the deadline, less the first grant and the run) on
// it. A longer queue serves no more requests and makes all of them late.
const SpareTimeDivisor = 4

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Queued   Verdict = iota // waits for a slot
	Granted                 // may run now
	Rejected                // must not run
)

// Ticket tracks one request from its arrival to the end of its run. Its exported fields are
// updated by the methods of its queue.
type Ticket[W any] struct {
	Waiter     W // caller's handle of the request, to be notified of the decision
	Verdict    Verdict
	RetryAfter time.Duration // when rejected: the predicted wait
	GrantBy    time.Time     // when queued: the latest time at which a grant is still useful

	class    Class
	start    float64 // virtual start time, see fairness
	kind     kind
	arrived  time.Time
	granted  time.Time
	deadline time.Time
	queuedIn *list.List // list that holds the ticket while it is queued
	element  *list.Element
}

// Queue holds the running and the queued requests of one worker. It is not safe for
// concurrent use.
type Queue[W any] struct {
	settings     Settings
	classQueues  []*classQueue // sorted by class, highest priority first
	late         *list.List    // of *Ticket[W], see late.go
	fair         fairness
	length       int
	busy         map[kind]int // number of running requests by kind
	running      int
	grants       int
	runEstimates map[kind]*estimate
	rate         grantRate
}

// kind groups requests with similar run times.
type kind struct {
	class Class
	name  string
}

// New returns an empty queue.
func New[W any](settings Settings) *Queue[W] {
	return &Queue[W]{settings: settings, classQueues: newClassQueues(), late: list.New(), fair: newFairness(), busy: map[kind]int{}, runEstimates: map[kind]*estimate{}}
}

// Running returns the number of requests that hold a slot.
func (q *Queue[W]) Running() int { return q.running }

// Waiting returns the number of queued requests, the late queue included.
func (q *Queue[W]) Waiting() int { return q.length }

// Slots returns the number of slots.
func (q *Queue[W]) Slots() int { return q.settings.Slots }

// Free reports whether a request that arrives now would be granted at once.
func (q *Queue[W]) Free(now time.Time) bool {
	return q.running < q.settings.Slots && q.length == 0 && q.rate.wait(now) == 0
}

// HasLowerClass reports whether a request of a lower priority than the class is running or
// queued. If so, the next free slots go to the class.
func (q *Queue[W]) HasLowerClass(class Class) bool {
	for of := range q.busy {
		if of.class > class {
			return true
		}
	}
	for _, lower := range q.classQueues {
		if lower.class > class && lower.waiting.Len() > 0 {
			return true
		}
	}
	return false
}

// Resize changes the number of slots and returns the tickets that were granted or rejected
// as a result.
func (q *Queue[W]) Resize(slots int, now time.Time) []*Ticket[W] {
	q.settings.Slots = slots
	return q.fill(now)
}

// Arrive is Admit for a request without tenant, kind and late deadline.
func (q *Queue[W]) Arrive(class Class, deadline, now time.Time, waiter W) (ticket *Ticket[W], decided []*Ticket[W]) {
	return q.Admit(Arrival[W]{Class: class, Deadline: deadline, Waiter: waiter}, now)
}

// Arrival describes a request for Admit.
type Arrival[W any] struct {
	Class    Class
	Tenant   string    // "" for none
	Weight   float64   // of the tenant; its share of the slots is proportional to it
	Kind     string    // groups requests with similar run times; "" groups by class
	Deadline time.Time // after which a response is of no use
	Waiter   W         // copied to the ticket
	// LateDeadline, if set, is the deadline for a late response to a caller that will not retry: a
	// request that cannot meet Deadline then joins the late queue.
	LateDeadline time.Time
}

// Admit admits a request: it is granted, queued or rejected, as the ticket's Verdict shows.
// decided holds the queued tickets that were evicted (rejected) to make room for it.
func (q *Queue[W]) Admit(arrival Arrival[W], now time.Time) (ticket *Ticket[W], decided []*Ticket[W]) {
	class, deadline := arrival.Class, arrival.Deadline
	ticket = &Ticket[W]{
		Waiter: arrival.Waiter, class: class, start: q.fair.start(arrival.Tenant), kind: kind{class, arrival.Kind},
		arrived: now, deadline: deadline,
	}
	defer func() {
		if ticket.Verdict != Rejected {
			q.fair.accept(arrival.Tenant, arrival.Weight, ticket.start)
		}
	}()
	if q.Free(now) {
		q.grant(ticket, now)
		return ticket, nil
	}
	first := q.firstGrant(now)
	before, queued := q.insertPosition(class, ticket.start, ticket.kind, first, now)
	wait := first + queued
	spare := deadline.Sub(now) - first - q.conservativeRun(ticket.kind, now)
	if spare < 0 || queued > spare/SpareTimeDivisor {
		if !q.enqueueLate(ticket, first, arrival.LateDeadline, now) {
			reject(ticket, wait)
		}
		return ticket, nil
	}
	if !q.hasRoom(class) {
		victim := q.evictionCandidate(ticket)
		if victim == nil {
			reject(ticket, wait)
			return ticket, nil
		}
		q.remove(victim)
		reject(victim, q.predict(victim.class, victim.start, now))
		decided = append(decided, victim)
		before, _ = q.insertPosition(class, ticket.start, ticket.kind, first, now)
	}
	q.enqueue(ticket, q.classQueueOf(class).waiting, before, now)
	return ticket, decided
}

// Cancel removes a queued request. It returns false if the request is not queued: it was
// decided before and, if granted, must be ended by Done.
func (q *Queue[W]) Cancel(ticket *Ticket[W], now time.Time) bool {
	if ticket.element == nil {
		return false
	}
	q.remove(ticket)
	reject(ticket, q.predict(ticket.class, ticket.start, now))
	return true
}

// Clear rejects all queued requests and returns their tickets.
func (q *Queue[W]) Clear(now time.Time) []*Ticket[W] {
	var decided []*Ticket[W]
	for _, queue := range q.classQueues {
		decided = append(decided, q.rejectAll(queue.waiting)...)
	}
	return append(decided, q.rejectAll(q.late)...)
}

func (q *Queue[W]) rejectAll(waiting *list.List) []*Ticket[W] {
	var decided []*Ticket[W]
	for front := waiting.Front(); front != nil; front = waiting.Front() {
		ticket := front.Value.(*Ticket[W])
		q.remove(ticket)
		reject(ticket, 0)
		decided = append(decided, ticket)
	}
	return decided
}

// Done ends the run of a granted request, records its run time, and returns the tickets
// that were granted or rejected as a result.
func (q *Queue[W]) Done(ticket *Ticket[W], now time.Time) []*Ticket[W] {
	q.running--
	q.decrementBusy(ticket.kind)
	q.observeRun(ticket.kind, now.Sub(ticket.granted), now)
	return q.fill(now)
}

// enqueue inserts a request into a list, before the given element or, if that is nil, at
// the end.
func (q *Queue[W]) enqueue(ticket *Ticket[W], waiting *list.List, before *list.Element, now time.Time) {
	const marginDivisor = 20
	margin := max(q.expectedRun(ticket.kind, now)/2, ticket.deadline.Sub(now)/marginDivisor)
	ticket.GrantBy = ticket.deadline.Add(-margin)
	ticket.Verdict = Queued
	ticket.queuedIn = waiting
	if before == nil {
		ticket.element = waiting.PushBack(ticket)
	} else {
		ticket.element = waiting.InsertBefore(ticket, before)
	}
	q.length++
}

func (q *Queue[W]) remove(ticket *Ticket[W]) {
	ticket.queuedIn.Remove(ticket.element)
	ticket.element = nil
	q.length--
}

func (q *Queue[W]) grant(ticket *Ticket[W], now time.Time) {
	ticket.Verdict = Granted
	ticket.granted = now
	q.running++
	q.busy[ticket.kind]++
	q.grants++
	q.rate.take(now)
	q.fair.granted(ticket.start)
}

func reject[W any](ticket *Ticket[W], wait time.Duration) {
	ticket.Verdict = Rejected
	ticket.RetryAfter = wait
}

// fill grants free slots to queued requests, within the rate limit, and rejects those that
// can no longer be served in time.
func (q *Queue[W]) fill(now time.Time) []*Ticket[W] {
	var decided []*Ticket[W]
	for q.running < q.settings.Slots && q.length > 0 && q.rate.wait(now) == 0 {
		ticket := q.next(now)
		q.remove(ticket)
		if now.After(ticket.GrantBy) {
			reject(ticket, q.predict(ticket.class, ticket.start, now))
		} else {
			q.grant(ticket, now)
		}
		decided = append(decided, ticket)
	}
	return decided
}

// next returns the queued request to be decided next.
func (q *Queue[W]) next(now time.Time) *Ticket[W] {
	if first := q.late.Front(); first != nil && q.isLateTurn() {
		return first.Value.(*Ticket[W])
	}
	if q.settings.AgedEvery > 0 && (q.grants+1)%q.settings.AgedEvery == 0 {
		if aged := q.oldestAged(now); aged != nil {
			return aged
		}
	}
	for _, queue := range q.classQueues {
		if front := queue.waiting.Front(); front != nil {
			return front.Value.(*Ticket[W])
		}
	}
	return nil
}

func (q *Queue[W]) oldestAged(now time.Time) *Ticket[W] {
	var oldest *Ticket[W]
	for _, queue := range q.classQueues {
		front := queue.waiting.Front()
		if front == nil {
			continue
		}
		ticket := front.Value.(*Ticket[W])
		aged := now.Sub(ticket.arrived) >= q.settings.AgeAfter
		if aged && (oldest == nil || ticket.arrived.Before(oldest.arrived)) {
			oldest = ticket
		}
	}
	return oldest
}

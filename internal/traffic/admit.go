package traffic

import (
	"strconv"
	"sync"
	"time"

	"sliphead/internal/traffic/admission"
)

type ticket = admission.Ticket[*exchange]

// admitter lets request goroutines share the queue of the local worker.
type admitter struct {
	mutex   sync.Mutex
	queue   *admission.Queue[*exchange]
	holders map[*exchange]struct{} // requests that hold a slot
}

func newAdmitter(limits Limits) *admitter {
	return &admitter{holders: map[*exchange]struct{}{}, queue: admission.New[*exchange](admission.Settings{
		Slots:     limits.Slots,
		Length:    limits.QueueLength,
		AgeAfter:  admission.DefaultAgeAfter,
		AgedEvery: admission.DefaultAgedEvery,
	})}
}

// admit holds a slot while the request runs.
func (a *admitter) admit(next stage) stage {
	return func(x *exchange) result {
		mine, refused := a.arrive(x)
		if refused != nil {
			return *refused
		}
		if x.granted != nil {
			a.wait(x, mine)
		}
		if mine.Verdict == admission.Refused {
			return refuse(causeQueue, mine.RetryAfter, "send it again later, the worker is busy")
		}
		defer a.done(mine)
		if x.context.Err() != nil {
			return refuse(causeDeadline, time.Second, "send it again with more time")
		}
		return next(x)
	}
}

func (a *admitter) arrive(x *exchange) (*ticket, *result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if refused := a.noWait(x); refused != nil {
		return nil, refused
	}
	mine, decided := a.queue.Arrive(admission.ClassOf(x.route.Priority), x.deadline, time.Now(), x)
	if mine.Verdict == admission.Queued {
		x.granted = make(chan struct{})
	}
	a.hold(mine)
	a.tell(decided)
	return mine, nil
}

// wait returns when the ticket is decided.
func (a *admitter) wait(x *exchange, mine *ticket) {
	timer := time.NewTimer(time.Until(mine.GiveUp))
	defer timer.Stop()
	select {
	case <-x.granted:
		return
	case <-timer.C:
	case <-x.context.Done():
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue.Cancel(mine, time.Now())
}

func (a *admitter) done(mine *ticket) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.holders, mine.Waiter)
	a.tell(a.queue.Done(mine, time.Now()))
}

func (a *admitter) resize(slots int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if slots != a.queue.Slots() {
		a.tell(a.queue.Resize(slots, time.Now()))
	}
}

// hold notes a request that was granted.
func (a *admitter) hold(mine *ticket) {
	if mine.Verdict == admission.Granted {
		a.holders[mine.Waiter] = struct{}{}
	}
}

// tell wakes the goroutines whose tickets were decided.
func (a *admitter) tell(decided []*ticket) {
	for _, other := range decided {
		a.hold(other)
		close(other.Waiter.granted)
	}
}

func (a *admitter) busy() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.queue.Running()
}

func (a *admitter) waiting() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.queue.Waiting()
}

// load tells busy, slots and queued requests to callers' nodes.
func (a *admitter) load() string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return strconv.Itoa(a.queue.Running()) + "/" + strconv.Itoa(a.queue.Slots()) + "/" + strconv.Itoa(a.queue.Waiting())
}

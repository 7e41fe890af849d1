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
	mutex sync.Mutex
	queue *admission.Queue[*exchange]
}

func newAdmitter(limits Limits) *admitter {
	return &admitter{queue: admission.New[*exchange](admission.Settings{
		Slots:     limits.Slots,
		Length:    limits.QueueLength,
		AgeAfter:  admission.DefaultAgeAfter,
		AgedEvery: admission.DefaultAgedEvery,
	})}
}

// admit holds a slot while the request runs.
func (a *admitter) admit(next stage) stage {
	return func(x *exchange) result {
		mine := a.arrive(x)
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

func (a *admitter) arrive(x *exchange) *ticket {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	mine, decided := a.queue.Arrive(admission.ClassOf(x.route.Priority), x.deadline, time.Now(), x)
	if mine.Verdict == admission.Queued {
		x.granted = make(chan struct{})
	}
	tell(decided)
	return mine
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
	tell(a.queue.Done(mine, time.Now()))
}

func (a *admitter) resize(slots int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if slots != a.queue.Slots() {
		tell(a.queue.Resize(slots, time.Now()))
	}
}

// tell wakes the goroutines whose tickets were decided.
func tell(decided []*ticket) {
	for _, other := range decided {
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

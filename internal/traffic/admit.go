package traffic

import (
	"net/http"
	"sync"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/admission"
	"sliphead/internal/traffic/balance"
	"sliphead/internal/traffic/closing"
	"sliphead/internal/traffic/coldstart"
)

type ticket = admission.Ticket[*exchange]

// admitter is the admission queue of the local worker. It is safe for concurrent use.
type admitter struct {
	mutex     sync.Mutex
	queue     *admission.Queue[*exchange]
	link      admission.Link         // network link of this machine
	holders   map[*exchange]struct{} // requests that occupy a slot
	service   string                 // of the local worker
	callers   *callers
	cold      coldstart.Guard // of the local worker
	recorded  snapshot.Local  // the latest catalog record of the local worker
	warmWaits int             // requests that wait until the worker is warm
	rejects   admission.RejectionRate
	report    workerReport   // what the local worker has reported about itself
	pauses    closing.Pauses // while the worker reports a limit: until when callers' nodes are asked to send no requests
	fillTimer *time.Timer    // fills the queue at a set time, without a request completing; nil: not used yet
}

func newAdmitter(service string, limits Limits) *admitter {
	return &admitter{service: service, link: admission.NewLink(limits.LinkMbps), callers: newCallers(), holders: map[*exchange]struct{}{}, queue: admission.New[*exchange](admission.Settings{
		Slots:     limits.Slots,
		Length:    limits.QueueLength,
		AgeAfter:  admission.DefaultAgeAfter,
		AgedEvery: admission.DefaultAgedEvery,
	})}
}

// admit queues the request for a slot of the worker and holds the slot until the request
// completes.
func (a *admitter) admit(next stage) stage {
	return func(x *exchange) result {
		mine, refused := a.arrive(x)
		if refused != nil {
			return *refused
		}
		x.acknowledge()
		if x.granted != nil {
			a.wait(x, mine)
		}
		if mine.Verdict == admission.Rejected {
			return a.refusal(x, mine)
		}
		defer a.release(mine)
		if x.context.Err() != nil {
			return refuse(causeDeadline, time.Second, "send it again with more time")
		}
		return next(x)
	}
}

func (a *admitter) arrive(x *exchange) (*ticket, *result) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	a.resetOnNewInstance(x.instance, now)
	a.adoptLimit(x, now)
	if refused := a.refuseUnlessQueued(x); refused != nil {
		return nil, refused
	}
	mine, decided := a.enter(x, now)
	if mine.Verdict == admission.Queued {
		x.granted = make(chan struct{})
	}
	a.trackHolder(mine)
	a.notify(decided)
	a.scheduleFill(now)
	return mine, nil
}

// refusal returns the result of a request whose ticket was refused.
func (a *admitter) refusal(x *exchange, mine *ticket) result {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	if a.queue.RateLimited(now) {
		return a.refuseLimited(x, mine.RetryAfter, now)
	}
	return refuse(causeQueue, mine.RetryAfter, "send it again later, the worker is busy")
}

// enter adds the request to the queue. With a catalog, a request that cannot complete
// within its latency objective is refused, since a retry later is more useful than a late
// response. Two kinds of request may wait until their deadline instead: one that outranks
// others, because it gets the next slots and the least urgent requests are shed first, and
// one whose caller was refused before and will not retry again.
func (a *admitter) enter(x *exchange, now time.Time) (*ticket, []*ticket) {
	if x.instance == "" {
		return a.queue.Arrive(admission.ClassOf(x.route.Priority), x.deadline, now, x)
	}
	a.callers.record(x.route.Name, x.caller == a.service)
	x.internal = a.callers.internal(x.route.Name)
	rank := a.classOf(x)
	arrival := admission.Arrival[*exchange]{Class: rank, Kind: x.route.Name, Deadline: x.deadline, Waiter: x}
	if x.tenant.name != "" {
		arrival.Tenant, arrival.Weight = x.tenant.name, x.view.TenantWeight(x.tenant.name)
	}
	if x.class.callerRetried {
		arrival.LateDeadline = x.deadline
	}
	if !x.class.waitsForDeadline && x.class.objective > 0 && !a.queue.HasLowerClass(rank) {
		arrival.Deadline = earlier(x.deadline, x.started.Add(x.class.objective))
	}
	if x.class.callsFailedBefore {
		arrival.Deadline = now.Add(-1) // has passed, so that it joins the late queue: requests more likely to succeed run first
	}
	return a.queue.Admit(arrival, now)
}

// classOf returns the admission class of a request. The priority of its tenant is compared
// before that of its route. Calls made by workers while they run a request come first,
// because the request that waits for them occupies a slot at another worker.
func (a *admitter) classOf(x *exchange) admission.Class {
	if a.callers.internal(x.route.Name) {
		return admission.Internal
	}
	return admission.ClassOfRank(x.class.tenantPriority, x.class.rank)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// wait blocks until the ticket is granted or refused, or until it is cancelled because its
// wait or the request has expired.
func (a *admitter) wait(x *exchange, mine *ticket) {
	timer := time.NewTimer(time.Until(mine.GrantBy))
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

func (a *admitter) release(mine *ticket) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.holders, mine.Waiter)
	now := time.Now()
	a.notify(a.queue.Done(mine, now))
	a.scheduleFill(now)
}

// clear refuses all queued requests.
func (a *admitter) clear() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.notify(a.queue.Clear(time.Now()))
}

func (a *admitter) resize(slots int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if slots == a.queue.Slots() {
		return
	}
	now := time.Now()
	a.notify(a.queue.Resize(slots, now))
	a.scheduleFill(now)
}

// trackHolder adds a request to the slot holders if its ticket was granted.
func (a *admitter) trackHolder(mine *ticket) {
	if mine.Verdict == admission.Granted {
		a.holders[mine.Waiter] = struct{}{}
	}
}

// notify wakes the goroutines whose tickets were granted or refused.
func (a *admitter) notify(decided []*ticket) {
	for _, other := range decided {
		a.trackHolder(other)
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

// load returns the load reported to callers' nodes: the worker's utilization and, with a
// catalog, the wait and run time forecast for another request like this one.
func (a *admitter) load(x *exchange) balance.Load {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	load := balance.Load{Busy: a.queue.Running(), Slots: a.queue.Slots(), Queued: a.queue.Waiting()}
	if x.instance == "" {
		return load
	}
	now := time.Now()
	rank := a.classOf(x)
	load.Wait, load.Run = a.queue.Forecast(rank, x.route.Name, now)
	load.Link = a.linkWait(x, now)
	load.PausedFor = max(a.cold.PausedFor(x.class.urgency(), now), a.pauses.Remaining(x.class.urgency(), now))
	load.RejectShare = a.rejects.Share(now)
	return load
}

// acknowledge sends the caller's node an acknowledgement that the request has arrived,
// because it is about to wait or to run. A request that is granted immediately and whose body is
// still to be requested needs none: requesting the body acknowledges it as well.
func (x *exchange) acknowledge() {
	if x.granted != nil || !x.bodyAwaited {
		x.sendAck()
	}
}

// sendAck sends an acknowledgement (102 Processing) if the caller's node expects one.
func (x *exchange) sendAck() {
	if x.expectsAck {
		x.writer.WriteHeader(http.StatusProcessing)
	}
}

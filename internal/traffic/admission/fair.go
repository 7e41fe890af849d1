package admission

import (
	"container/list"
	"time"
)

// fairness orders the requests of a class by start-time fair queueing across tenants. Each
// request of a tenant starts, in virtual time, when the tenant's previous one has finished,
// and lasts 1/weight; the earliest start is served first. A tenant that sends more than its
// share therefore waits behind its own requests, and an idle tenant accrues no credit.
//
// Requests without a tenant all have the same start and are served in order of arrival.
type fairness struct {
	virtual float64            // virtual time: the latest granted start
	finish  map[string]float64 // by tenant: virtual finish time of its last admitted request
}

// maxTenants bounds the tracked tenants. When it is reached, tenants whose requests have
// finished in virtual time are evicted; if that is not enough, all are.
const maxTenants = 4096

func newFairness() fairness { return fairness{finish: map[string]float64{}} }

// start returns the virtual start time of a tenant's next request.
func (f *fairness) start(tenant string) float64 { return max(f.virtual, f.finish[tenant]) }

// accept records an admitted request. Requests without a tenant or a known weight are not
// tracked and delay nobody.
func (f *fairness) accept(tenant string, weight, start float64) {
	if tenant == "" || weight <= 0 {
		return
	}
	if len(f.finish) >= maxTenants {
		f.evict()
	}
	f.finish[tenant] = start + 1/weight
}

// evict removes the tenants whose next request would start at the current virtual time.
func (f *fairness) evict() {
	for tenant, finish := range f.finish {
		if finish <= f.virtual {
			delete(f.finish, tenant)
		}
	}
	if len(f.finish) >= maxTenants {
		clear(f.finish)
	}
}

// granted advances the virtual time.
func (f *fairness) granted(start float64) { f.virtual = max(f.virtual, start) }

// insertPosition returns the element of its class's queue before which a request is
// inserted (nil: at the end) and the expected wait behind the work queued ahead of it. The
// request overtakes queued ones that have a later start, as long as they still meet their
// deadlines. Without that last condition, 1 in 60 requests was admitted, overtaken and
// rejected after its deadline, at an overload of 1.3 times the capacity. first is the
// expected time until the next grant.
func (q *Queue[W]) insertPosition(class Class, start float64, of kind, first time.Duration, now time.Time) (before *list.Element, queued time.Duration) {
	through, own := q.queuedThrough(class, now)
	if own == nil {
		return nil, q.grantTime(through)
	}
	run := q.expectedRun(of, now)
	for element := own.waiting.Back(); element != nil; element = element.Prev() {
		other := element.Value.(*Ticket[W])
		without := backlog{through.work - q.expectedRun(other.kind, now), through.count - 1}
		passed := without
		passed.add(run)
		if other.start <= start || !q.meetsDeadlineAfter(other, first+q.grantTime(passed), now) {
			break
		}
		before, through = element, without
	}
	return before, q.grantTime(through)
}

// queuedThrough returns the work queued in the classes up to and including the given one,
// and the queue of that class, nil if it has none.
func (q *Queue[W]) queuedThrough(class Class, now time.Time) (through backlog, own *classQueue) {
	for _, queue := range q.classQueues {
		if queue.class > class {
			break
		}
		if queue.class == class {
			own = queue
		}
		for element := queue.waiting.Front(); element != nil; element = element.Next() {
			through.add(q.expectedRun(element.Value.(*Ticket[W]).kind, now))
		}
	}
	return through, own
}

// meetsDeadlineAfter reports whether a queued request still meets its deadline after the
// given wait.
func (q *Queue[W]) meetsDeadlineAfter(ticket *Ticket[W], wait time.Duration, now time.Time) bool {
	return wait <= ticket.deadline.Sub(now)-q.conservativeRun(ticket.kind, now)
}

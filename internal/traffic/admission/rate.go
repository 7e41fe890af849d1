package admission

import (
	"container/list"
	"math"
	"time"

	"golang.org/x/time/rate"
)

// A worker under pressure advertises a limit in requests per second. A grant then needs both a
// free slot and the rate limiter's permission. Requests that wait for the limiter wait in the
// same queues and in the same order as those that wait for a slot.
//
// Alternatives considered: rejecting requests above the rate immediately, as for cold workers (of
// two concurrent requests one is lost although the next grant is moments away, and urgent
// requests get no preference); slots in proportion to the limit (3 requests per second and
// runs of 0.1 s would be a third of a slot).

const (
	// burstTime bounds the burst: unused grants of this time may be caught up at once, plus
	// one. In any 4 s a worker gets at most 4.5 times its rate per second, plus one
	// request.
	burstTime = 500 * time.Millisecond

	// minRate is the rate, in requests per second, sent to a worker that advertises less or
	// 0: only its responses show when the limit has been lifted.
	minRate = 0.25
)

// grantRate limits the rate of grants. The zero value does not limit.
type grantRate struct{ limiter *rate.Limiter }

// set changes the rate. The first call starts without burst credit.
func (r *grantRate) set(perSecond float64, now time.Time) {
	perSecond = max(perSecond, minRate)
	burst := 1 + int(min(perSecond*burstTime.Seconds(), math.MaxInt32))
	if r.limiter == nil {
		r.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		r.limiter.ReserveN(now, burst)
		return
	}
	r.limiter.SetLimitAt(now, rate.Limit(perSecond))
	r.limiter.SetBurstAt(now, burst)
}

// wait is the time until the next grant is allowed, 0 if one is allowed now.
func (r *grantRate) wait(now time.Time) time.Duration {
	if r.limiter == nil {
		return 0
	}
	missing := 1 - r.limiter.TokensAt(now)
	return max(0, time.Duration(missing/float64(r.limiter.Limit())*float64(time.Second)))
}

// take records a grant.
func (r *grantRate) take(now time.Time) {
	if r.limiter != nil {
		r.limiter.ReserveN(now, 1)
	}
}

// interval is the time between two grants, 0 without a limit.
func (r *grantRate) interval() time.Duration {
	if r.limiter == nil {
		return 0
	}
	return time.Duration(float64(time.Second) / float64(r.limiter.Limit()))
}

// SetRateLimit limits grants to a rate per second, and returns the tickets that were granted or
// rejected as a result: queued requests that would now be granted too late are rejected.
func (q *Queue[W]) SetRateLimit(perSecond float64, now time.Time) []*Ticket[W] {
	q.rate.set(perSecond, now)
	return append(q.fill(now), q.shed(now)...)
}

// RemoveRateLimit removes the rate limit and returns the tickets that were granted or rejected as a
// result.
func (q *Queue[W]) RemoveRateLimit(now time.Time) []*Ticket[W] {
	q.rate = grantRate{}
	return q.fill(now)
}

// RateLimited reports whether a slot is free but the rate limit delays a request that arrives
// now.
func (q *Queue[W]) RateLimited(now time.Time) bool {
	return q.running < q.settings.Slots && q.rate.wait(now) > 0
}

// GrantInterval is the time between two grants under the rate limit, 0 without one.
func (q *Queue[W]) GrantInterval() time.Duration { return q.rate.interval() }

// NextGrantWait is the time after which Fill must be called: when the rate limit allows the next
// grant to a queued request while a slot is free. It is 0 if no request is delayed by the
// rate limit.
func (q *Queue[W]) NextGrantWait(now time.Time) time.Duration {
	if q.length == 0 || q.running >= q.settings.Slots {
		return 0
	}
	return q.rate.wait(now)
}

// Fill grants slots to queued requests as far as the rate limit allows now, and returns the
// tickets that were granted or rejected.
func (q *Queue[W]) Fill(now time.Time) []*Ticket[W] { return q.fill(now) }

// shed rejects the queued requests that would be granted too late.
func (q *Queue[W]) shed(now time.Time) []*Ticket[W] {
	var decided []*Ticket[W]
	first := q.firstGrant(now)
	before := backlog{}
	rejectIf := func(waiting *list.List, tooLate func(*Ticket[W]) bool) {
		for element := waiting.Front(); element != nil; {
			ticket := element.Value.(*Ticket[W])
			element = element.Next()
			if !tooLate(ticket) {
				before.add(q.expectedRun(ticket.kind, now))
				continue
			}
			q.remove(ticket)
			reject(ticket, first+q.grantTime(before))
			decided = append(decided, ticket)
		}
	}
	for _, queue := range q.classQueues {
		rejectIf(queue.waiting, func(ticket *Ticket[W]) bool {
			wait := first + q.grantTime(before)
			return now.Add(wait).After(ticket.GrantBy) || !q.meetsDeadlineAfter(ticket, wait, now)
		})
	}
	before = backlog{}
	rejectIf(q.late, func(ticket *Ticket[W]) bool {
		return !q.meetsLateDeadline(ticket.kind, ticket.deadline, before.count, first, now)
	})
	return decided
}

// backlog is the work to be granted before a request.
type backlog struct {
	work  time.Duration // total expected run time
	count int
}

func (a *backlog) add(run time.Duration) {
	a.work += run
	a.count++
}

// grantTime is the expected time until a backlog has been granted.
func (q *Queue[W]) grantTime(before backlog) time.Duration {
	return max(before.work/q.slots(), time.Duration(before.count)*q.rate.interval())
}

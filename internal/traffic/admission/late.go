package admission

import (
	"container/list"
	"time"
)

// The late queue holds requests that can no longer meet their deadline but whose callers
// are on their last attempt, so that a late response is the only one they can get.
// Requests that can still meet their deadline are served first. One grant in LateEvery is
// reserved for the late queue, and a request that would not get one before its late
// deadline is rejected on arrival, so that no admitted request waits in vain. When an
// overload ends, the late queue gets the slots that are left free.
//
// Alternatives considered: a single queue in order of arrival (in a sustained overload all
// requests are late); earliest deadline first (requests that have waited longest are served
// just before they expire, which makes the next ones late); last in, first out (whether a
// queued request will be served cannot be predicted).

// LateEvery is the share of the late queue while other requests are queued: one grant in
// this many. At one in five, callers on their last attempt displaced as many requests that
// could have met their deadline (docs/design/large-deployments.md).
const LateEvery = 10

// enqueueLate adds a request to the late queue if it will get a slot early enough to finish
// by last, and returns false otherwise. It overtakes requests of lower classes as long as
// those still get their slots early enough. first is the expected time until the next
// grant.
func (q *Queue[W]) enqueueLate(ticket *Ticket[W], first time.Duration, last, now time.Time) bool {
	if last.IsZero() {
		return false
	}
	ahead := q.late.Len()
	var before *list.Element
	for element := q.late.Back(); element != nil; element = element.Prev() {
		other := element.Value.(*Ticket[W])
		if other.class <= ticket.class || !q.meetsLateDeadline(other.kind, other.deadline, ahead, first, now) {
			break
		}
		before = element
		ahead--
	}
	if !q.meetsLateDeadline(ticket.kind, last, ahead, first, now) {
		return false
	}
	ticket.deadline = last
	q.enqueue(ticket, q.late, before, now)
	return true
}

// meetsLateDeadline reports whether a request with the given number of requests ahead of it
// in the late queue gets its slot early enough to finish by last.
func (q *Queue[W]) meetsLateDeadline(of kind, last time.Time, ahead int, first time.Duration, now time.Time) bool {
	return !now.Add(q.maxLateWait(of, ahead, first, now) + q.conservativeRun(of, now)).After(last)
}

// maxLateWait is the longest wait of a request with the given number of requests ahead of
// it in the late queue. It assumes that slots become free at the rate at which runs of its
// kind end or, without an estimate, at intervals of first, and that grants stay within the
// rate limit.
func (q *Queue[W]) maxLateWait(of kind, ahead int, first time.Duration, now time.Time) time.Duration {
	apart := first
	if run := q.expectedRun(of, now); run > 0 {
		apart = run / q.slots()
	}
	return max(apart, q.rate.interval()) * time.Duration((ahead+1)*LateEvery)
}

// isLateTurn reports whether the next grant goes to the late queue.
func (q *Queue[W]) isLateTurn() bool {
	return q.length == q.late.Len() || (q.grants+1)%LateEvery == 0
}

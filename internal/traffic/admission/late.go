package admission

import "time"

// The late line holds requests that can't be answered in time any more although their
// callers are at their last try: an answer that comes late is then the only one that
// they can get. What can still be answered in time goes before it. So that nobody who
// was let in waits in vain, one grant in LateEvery is the line's own, and whoever would
// not get one before its deadline is refused on arrival. When an overload ends, the line
// is served from the gaps.
//
// Ways weighed: one queue by arrival (in a lasting overload all are late); earliest
// deadline first (those that have waited longest are served just before they are of no
// use, and make the next ones late); last in, first out (nobody knows who will be served).

// LateEvery is of how many grants one goes to the late line, while others wait too.
// With one in five, callers at their last try took slots from as many who could have
// been answered in time (docs/design/large-deployments.md).
const LateEvery = 10

// joinLate puts a request into the late line if it will get a slot there early enough
// for a run that ends by the last moment. It reports false otherwise. First is the time
// until the first of the running requests ends.
func (q *Queue[W]) joinLate(ticket *Ticket[W], first time.Duration, last, now time.Time) bool {
	if last.IsZero() {
		return false
	}
	if now.Add(q.lateWait(ticket.kind, first, now) + q.most(ticket.kind, now)).After(last) {
		return false
	}
	ticket.deadline = last
	q.enqueue(ticket, q.late, now)
	return true
}

// lateWait is the longest wait of one more request in the late line: slots free one after
// the other, as runs of its kind end, and as the first one does where these are not known.
func (q *Queue[W]) lateWait(of kind, first time.Duration, now time.Time) time.Duration {
	apart := first
	if run := q.run(of, now); run > 0 {
		apart = run / time.Duration(max(1, q.settings.Slots))
	}
	return apart * time.Duration((q.late.Len()+1)*LateEvery)
}

// lateTurn reports whether the next grant is the late line's.
func (q *Queue[W]) lateTurn() bool {
	return q.length == q.late.Len() || (q.grants+1)%LateEvery == 0
}

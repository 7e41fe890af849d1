package admission

import "time"

// Link schedules the transfers of long request bodies into a node one after the other, at
// the speed of its network link. Bodies requested beyond that rate would queue in the link
// and delay everything else on it: short requests, responses and the store's updates. Link
// computes with time only and does not count received bytes, so a slow sender delays
// nobody. It is not safe for concurrent use.
type Link struct {
	bytesPerSecond float64
	free           time.Time // when all scheduled transfers will have completed
}

// linkShare is the share of the link that long bodies may use. The rest is left to traffic
// that is not scheduled.
const linkShare = 0.85

// linkAhead is how far ahead of its transfer a body may be requested: the time that the
// request for a body takes across zones, so that the link does not idle.
const linkAhead = 30 * time.Millisecond

// NewLink returns the schedule of a machine's link, by its speed in megabits per second; 0
// means unknown, and then nothing is delayed.
func NewLink(megabits float64) Link {
	const bytesPerMegabit = 1e6 / 8
	return Link{bytesPerSecond: megabits * bytesPerMegabit * linkShare}
}

// Wait returns how long a body would have to wait now before it is requested.
func (l *Link) Wait(now time.Time) time.Duration {
	return max(0, l.free.Add(-linkAhead).Sub(now))
}

// Transfer returns the transfer time of a body, 0 if the speed is unknown.
func (l *Link) Transfer(bytes int64) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// Schedule schedules the next transfer and returns how long to wait before the body is
// requested.
func (l *Link) Schedule(bytes int64, now time.Time) time.Duration {
	wait := l.Wait(now)
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.Transfer(bytes))
	return wait
}

// Release releases the scheduled time of a body that was not requested.
func (l *Link) Release(bytes int64) { l.free = l.free.Add(-l.Transfer(bytes)) }

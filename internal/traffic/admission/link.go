package admission

import "time"

// Link books the transfers of long request bodies into a node, one behind the other
// at the speed of its network link. What is asked for beyond that would only wait in
// the link's queue, and with it everything else that comes by that link: short
// requests, answers and the store's news. It is a clock and counts no bytes that
// come: a sender that is slow holds nobody up.
type Link struct {
	bytesPerSecond float64
	free           time.Time // when all that is booked will have come
}

// linkShare is the part of the link that is given to long bodies. The rest is left
// to what can't be booked.
const linkShare = 0.85

// linkAhead is how long the link may be booked ahead of a transfer that begins: as
// long as it takes to ask for a body across zones, so that the link does not idle.
const linkAhead = 30 * time.Millisecond

// NewLink returns the link of a machine that carries so many megabits a second; 0
// when that is not known, and then nothing waits.
func NewLink(megabits float64) Link {
	const bytesPerMegabit = 1e6 / 8
	return Link{bytesPerSecond: megabits * bytesPerMegabit * linkShare}
}

// Wait returns how long a body that is to come now would wait before it is asked for.
func (l *Link) Wait(now time.Time) time.Duration {
	return max(0, l.free.Add(-linkAhead).Sub(now))
}

// Transfer returns how long a body takes on the link.
func (l *Link) Transfer(bytes int64) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// Book takes the next transfer in and returns how long it is to wait.
func (l *Link) Book(bytes int64, now time.Time) time.Duration {
	wait := l.Wait(now)
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(l.Transfer(bytes))
	return wait
}

// Return gives the time of a booked body back that was not asked for.
func (l *Link) Return(bytes int64) { l.free = l.free.Add(-l.Transfer(bytes)) }

package control

import (
	"time"

	"sliphead/internal/membership"
	"sliphead/internal/wire"
)

// confirmRetry is the wait before a paused node asks other peers. It is longer
// than a suspicion lasts, which asking anew prolongs.
const confirmRetry = 4 * time.Second

// confirmation is what a node that was paused waits for before it serves: the
// report of one peer, sent after the pause, that its endpoint states and version
// are not behind. What was queued during the pause proves nothing.
type confirmation struct {
	pending  bool
	first    uint64           // number of the first ping sent after the pause, 0 before it
	answered map[string]int64 // clock of each peer when it first answered such a ping
	retryAt  time.Time
}

func (c *confirmation) begin(now time.Time) {
	*c = confirmation{pending: true, answered: make(map[string]int64), retryAt: now.Add(confirmRetry)}
}

// sent notes a ping. Later pings have greater numbers.
func (c *confirmation) sent(ping *wire.Ping) {
	if c.pending && c.first == 0 && ping != nil {
		c.first = ping.Number
	}
}

// answers reports whether an Ack was sent after the pause, and notes the peer's
// clock.
func (c *confirmation) answers(from string, ack *wire.Ack) bool {
	if c.first == 0 || ack.Number < c.first || ack.About != from {
		return false
	}
	if _, known := c.answered[from]; !known {
		c.answered[from] = ack.Digests.Clock
	}
	return true
}

// complements reports whether a Sync gave the registers that differ, and was
// sent after the pause by the clock of its sender.
func (c *confirmation) complements(from string, sync *wire.Sync) bool {
	since, known := c.answered[from]
	return known && !sync.Reply && len(sync.Buckets) > 0 && sync.Digests.Clock >= since
}

// confirm takes what a peer said, once membership has taken it in. An answer to
// a ping confirms when the peer's view equals ours.
func (l *Loop) confirm(message wire.Envelope, now time.Time) {
	if !l.confirmation.pending {
		return
	}
	switch {
	case message.Ack != nil:
		fresh := l.confirmation.answers(message.From, message.Ack)
		if fresh && message.Ack.Digests.View == l.membership.ViewHash() {
			l.confirmWith(message.Ack.Digests, now)
		}
	case message.Sync != nil:
		if l.confirmation.complements(message.From, message.Sync) {
			l.confirmWith(message.Sync.Digests, now)
		}
	}
}

// confirmWith ends the wait unless the peer has a newer version in force.
func (l *Loop) confirmWith(digests wire.Digests, now time.Time) {
	if digests.Active.After(l.distribution.Active().Version()) {
		return
	}
	l.confirmation.pending = false
	l.updateReadiness(now)
}

// confirmInTime asks again after a while. A node whose peers are all dead has
// nobody to ask; distribution then waits for the source.
func (l *Loop) confirmInTime(now time.Time) {
	if !l.confirmation.pending {
		return
	}
	if len(l.membership.Live()) <= 1 && !now.Before(l.confirmation.retryAt) {
		l.confirmation.pending = false
		l.updateReadiness(now)
		return
	}
	if !now.Before(l.confirmation.retryAt) {
		l.confirmation.retryAt = now.Add(confirmRetry)
		l.stepMembership(membership.Resumed{}, now)
	}
}

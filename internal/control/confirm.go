package control

import (
	"time"

	"sliphead/internal/membership"
	"sliphead/internal/wire"
)

// confirmRetryInterval is the time after which a resumed node requests the state of
// its peers again. It is longer than a suspicion timeout, because each retry
// restarts those timeouts.
const confirmRetryInterval = 4 * time.Second

// confirmation tracks the confirmation that a node needs after a pause before it
// serves: one peer must report, after the pause, that the node's endpoint states and
// version are not stale. Messages queued during the pause don't count, because they
// may be stale.
type confirmation struct {
	pending         bool
	firstPing       uint64           // number of the first ping after the pause, 0 until it is sent
	clockAtFirstAck map[string]int64 // by peer: its clock in its first ack of such a ping
	retryAt         time.Time
}

func (c *confirmation) begin(now time.Time) {
	*c = confirmation{pending: true, clockAtFirstAck: make(map[string]int64), retryAt: now.Add(confirmRetryInterval)}
}

// recordPing records the first ping after the pause. Later pings have greater numbers.
func (c *confirmation) recordPing(ping *wire.Ping) {
	if c.pending && c.firstPing == 0 && ping != nil {
		c.firstPing = ping.Number
	}
}

// recordAck reports whether an Ack was sent after the pause. If so, it stores the
// peer's clock from its first such Ack.
func (c *confirmation) recordAck(from string, ack *wire.Ack) bool {
	if c.firstPing == 0 || ack.Number < c.firstPing || ack.About != from {
		return false
	}
	if _, found := c.clockAtFirstAck[from]; !found {
		c.clockAtFirstAck[from] = ack.Digests.Clock
	}
	return true
}

// isCurrentRepair reports whether a Sync is the reply to a repair request, that is,
// contains the registers that differ, and was sent after the pause by its sender's
// clock.
func (c *confirmation) isCurrentRepair(from string, sync *wire.Sync) bool {
	since, found := c.clockAtFirstAck[from]
	return found && !sync.Reply && len(sync.Buckets) > 0 && sync.Digests.Clock >= since
}

// confirm checks whether a message, already handled by membership, confirms this
// node's state. An Ack does so if the peer's view equals this node's, a Sync if it is
// the reply to a repair request.
func (l *Loop) confirm(message wire.Envelope, now time.Time) {
	if !l.confirmation.pending {
		return
	}
	switch {
	case message.Ack != nil:
		afterPause := l.confirmation.recordAck(message.From, message.Ack)
		if afterPause && message.Ack.Digests.View == l.membership.ViewHash() {
			l.finishConfirmation(message.Ack.Digests, now)
		}
	case message.Sync != nil:
		if l.confirmation.isCurrentRepair(message.From, message.Sync) {
			l.finishConfirmation(message.Sync.Digests, now)
		}
	}
}

// finishConfirmation ends the wait for a confirmation unless the peer's active
// version is newer than this node's.
func (l *Loop) finishConfirmation(digests wire.Digests, now time.Time) {
	if digests.Active.After(l.distribution.Active().Version()) {
		return
	}
	l.confirmation.pending = false
	l.updateReadiness(now)
}

// retryConfirmation requests the peers' state again after confirmRetryInterval. If
// all peers are dead by then, it ends the wait without a confirmation; distribution
// then waits for the source.
func (l *Loop) retryConfirmation(now time.Time) {
	if !l.confirmation.pending {
		return
	}
	if len(l.membership.Live()) <= 1 && !now.Before(l.confirmation.retryAt) {
		l.confirmation.pending = false
		l.updateReadiness(now)
		return
	}
	if !now.Before(l.confirmation.retryAt) {
		l.confirmation.retryAt = now.Add(confirmRetryInterval)
		l.stepMembership(membership.Resumed{}, now)
	}
}

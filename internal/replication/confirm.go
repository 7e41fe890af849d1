package replication

import (
	"time"

	"sliphead/internal/catalog"
)

// Nodes pass on the age of their catalog. The receiver counts from the time of arrival, so an
// update seems younger by its transit time at each hop, and two nodes that follow each other
// would refresh each other's confirmation forever. Each poll of the store therefore has a serial
// number, and a node counts the same confirmation only once.

// confirmation identifies the poll of the store that confirmed a revision.
type confirmation struct {
	reader string // address of the node that polled
	serial uint64 // 0: unknown
}

// maxReaders bounds the readers whose last serials are tracked. When it is exceeded, the table is
// cleared.
const maxReaders = 256

func (m *Machine) isCounted(poll confirmation) bool {
	return poll.serial != 0 && m.countedSerials[poll.reader] == poll.serial
}

func (m *Machine) countConfirmation(poll confirmation) {
	if len(m.countedSerials) >= maxReaders {
		m.countedSerials = map[string]uint64{}
	}
	m.countedSerials[poll.reader] = poll.serial
}

// confirmationTime returns the time for which a store response confirms the catalog. A response
// to a poll from before a pause may have been queued for the whole pause, so it counts from the
// time of the poll.
func (m *Machine) confirmationTime(responseTime time.Time) time.Time {
	if m.polledAt.Before(m.resumedAt) && m.polledAt.Before(responseTime) {
		return m.polledAt
	}
	return responseTime
}

// updateAge returns the age of an update that has just arrived. Right after a pause it may have
// been queued for the whole pause; treated as fresh, it would delay the poll that brings newer
// data.
func (m *Machine) updateAge(event Update, now time.Time) time.Duration {
	if m.pauseDuration > 0 && now.Sub(m.resumedAt) < m.share(graceShare) {
		return event.Age + m.pauseDuration
	}
	return event.Age
}

// applyBatch applies a batch that the given poll brought and emits the resulting effects. It
// returns false if the batch starts after the current revision and so leaves a gap.
func (m *Machine) applyBatch(batch catalog.Batch, confirmedAt time.Time, poll confirmation, now time.Time) bool {
	before := m.state.Point()
	usable, changed := m.state.Apply(batch)
	if !usable {
		m.needSnapshot = true
		return false
	}
	restored := before.Revision > 0 && m.state.Point().Era > before.Era
	switch {
	case restored:
		m.onRestored(before, now)
	case changed:
		m.updateLapses(m.confirmed)
	}
	if batch.Point().Compare(m.state.Point()) >= 0 && confirmedAt.After(m.confirmed) && !m.isCounted(poll) {
		m.confirmed = confirmedAt
		m.confirmedBy = poll
		m.countConfirmation(poll)
	}
	if changed {
		m.rank()
		m.emit(Changed{})
	}
	return true
}

// onFreshUpdate handles an update that is at least as fresh as the catalog: the sender is no
// longer excluded, and if another node read the update from the store, this one stops reading
// unless it is the first of its zone.
func (m *Machine) onFreshUpdate(event Update) {
	delete(m.exclusions, event.From)
	if event.Reader != m.config.Self {
		m.reading = false
	}
}

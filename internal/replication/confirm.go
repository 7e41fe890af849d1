package replication

import (
	"time"

	"sliphead/internal/catalog"
)

// How old knowledge is, is told from node to node: the receiver counts from when news came,
// so at each way it seems younger by the time underway. Two nodes that follow each other
// would hand the same confirmation back and forth and never see it grow old. So each question
// to the store has a serial, and a node counts the same confirmation but once.

// confirmation names a question to the store.
type confirmation struct {
	reader string // address of the node that asked
	serial uint64 // 0: not told
}

// mostReaders bounds the readers whose last serials are remembered. Beyond, they are learnt
// anew.
const mostReaders = 256

// known reports whether a confirmation has been counted.
func (m *Machine) known(by confirmation) bool {
	return by.serial != 0 && m.serials[by.reader] == by.serial
}

// count notes a confirmation.
func (m *Machine) count(by confirmation) {
	if len(m.serials) >= mostReaders {
		m.serials = map[string]uint64{}
	}
	m.serials[by.reader] = by.serial
}

// confirmedAt is as of when an answer of the store confirms what is known. One to a
// question from before a pause may have waited here for the whole of it.
func (m *Machine) confirmedAt(told time.Time) time.Time {
	if m.askedAt.Before(m.resumed) && m.askedAt.Before(told) {
		return m.askedAt
	}
	return told
}

// ageOf is the age of news that has come now. Right after a pause it may have waited here
// for the whole of it: taken for fresh, it put off the question that would tell more.
func (m *Machine) ageOf(event News, now time.Time) time.Duration {
	if m.paused > 0 && now.Sub(m.resumed) < m.share(chanceShare) {
		return event.Age + m.paused
	}
	return event.Age
}

// join takes a batch in that a reader's question brought, and tells what is new.
// It reports false when the batch starts after what is known.
func (m *Machine) join(batch catalog.Batch, confirmedAt time.Time, by confirmation, now time.Time) bool {
	before := m.state.Point()
	usable, changed := m.state.Join(batch)
	if !usable {
		m.needWhole = true
		return false
	}
	restored := before.Revision > 0 && m.state.Point().Era > before.Era
	switch {
	case restored:
		m.onRestored(before, now)
	case changed:
		m.noteLapses(m.confirmed)
	}
	if batch.Point().Compare(m.state.Point()) >= 0 && confirmedAt.After(m.confirmed) && !m.known(by) {
		m.confirmed = confirmedAt
		m.confirmedBy = by
		m.count(by)
	}
	if changed {
		m.rank()
		m.emit(Changed{})
	}
	return true
}

// believe notes that a followed node has told something fresh. If another node
// has read it, this one needs to read no longer, unless it is the zone's first.
func (m *Machine) believe(event News) {
	delete(m.doubts, event.From)
	if event.Reader != m.config.Self {
		m.reading = false
	}
}

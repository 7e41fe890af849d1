package replication

import (
	"time"

	"sliphead/internal/catalog"
)

// settleShare is the part of Config.Freshness for which what was known before the store
// came back from a copy stands against it (catalog.State.Settle). Records of workers that
// are gone stand in the copy until their leases run out, after three heartbeats: 4.5 s where
// Freshness is 2 s. Those of workers that live are written again within 2 s.
const settleShare = 3

// onRestored takes in that the store has come back from a copy. A record that the copy
// lacks says nothing of its worker: it may be sent requests from now on for as long as one
// whose record is just gone, in which it writes it again.
func (m *Machine) onRestored(before catalog.Point, now time.Time) {
	m.noteLapses(now)
	m.settleAt = now.Add(m.share(settleShare))
	m.emit(Log{Event: EventStoreRestored, Before: before, Doubted: m.state.Doubted(), Missing: len(m.state.Lapsed())})
}

// settle ends the doubts about a copy when all that live have had time to write again.
func (m *Machine) settle(now time.Time) {
	if m.settleAt.IsZero() || now.Before(m.settleAt) {
		return
	}
	m.settleAt = time.Time{}
	m.emit(Log{Event: EventRestoreSettled, Doubted: m.state.Doubted(), Missing: len(m.state.Lapsed())})
	if m.state.Settle() {
		m.noteLapses(now)
		m.rank()
		m.emit(Changed{})
	}
}

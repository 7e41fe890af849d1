package replication

import (
	"time"

	"sliphead/internal/catalog"
)

// settleShare is how long, as a share of Config.Freshness, the state from before a restore takes
// precedence over the restored backup (catalog.State.Settle). Records of terminated workers stay
// in the backup until their leases expire after three heartbeats: 4.5 s for a Freshness of 2 s.
// Live workers write their records again within 2 s.
const settleShare = 3

// onRestored handles a restore of the store from a backup. A record that is missing from the
// backup does not show that its worker has ended: the worker may be sent requests for as long as
// one whose record has just expired, in which time it writes the record again.
func (m *Machine) onRestored(before catalog.Point, now time.Time) {
	m.updateLapses(now)
	m.settleAt = now.Add(m.share(settleShare))
	m.emit(Log{Event: EventStoreRestored, Before: before, Doubted: m.state.Doubted(), Missing: len(m.state.Lapsed())})
}

// settle applies the contents of the backup once all live workers have had time to write their
// records again.
func (m *Machine) settle(now time.Time) {
	if m.settleAt.IsZero() || now.Before(m.settleAt) {
		return
	}
	m.settleAt = time.Time{}
	m.emit(Log{Event: EventRestoreSettled, Doubted: m.state.Doubted(), Missing: len(m.state.Lapsed())})
	if m.state.Settle() {
		m.updateLapses(now)
		m.rank()
		m.emit(Changed{})
	}
}

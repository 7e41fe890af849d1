package replication

import (
	"net"
	"time"

	"sliphead/internal/catalog"
)

// A worker that can't reach the store can't renew its record, and the store expires it: a
// partition between machines and the store removes the records of live workers. The node on the
// worker's machine is usually partitioned too. When its worker's record expires, it requests that
// record from the store. While it gets no response, it retains the worker, that is, continues to
// serve it, since it can't tell whether the worker has ended. Once the store responds, the
// store's view of the record counts, after a delay in which a live worker has written it again.
//
// Only that record is requested. Polls for changes bring whole configurations, which on a narrow
// link take longer than the timeout, so their failure does not show that the store is
// unreachable.

// Durations as shares of Config.Freshness.
const (
	maxRecordRetryShare = 0.3 // longest delay between two checks of the record
	outageShare         = 1.0 // failures for at least this long count as a store outage, shorter ones as slow responses
	recoveryRetainShare = 0.5 // how long the worker is retained after an outage has ended
	lapseRetentionShare = 15  // how long other nodes track an instance whose record has expired
)

// recordCheck tracks the check for the expired record of this node's worker.
type recordCheck struct {
	id           string // of the instance, "" while its record exists
	pending      bool
	succeeded    bool      // whether the store has responded
	nextCheck    time.Time // when the next check is due
	failures     int       // in a row
	failingSince time.Time // when the first check of the current run of failures was sent
	retainUntil  time.Time // after a response: end of the extra retention
}

// Lapse is an instance whose record is gone although the instance had not announced that it
// leaves.
type Lapse struct {
	Instance catalog.Instance
	// Since is a time at which the record still existed. The limit on a leaving worker's requests
	// runs from then at the earliest.
	Since time.Time
}

// Lapses returns the instances that may be running without a record.
func (m *Machine) Lapses() []Lapse {
	var lapses []Lapse
	for _, instance := range m.state.Lapsed() {
		lapses = append(lapses, Lapse{Instance: instance, Since: m.lapses[instance.ID]})
	}
	return lapses
}

// updateLapses tracks since when records have been missing; before is when newly missing ones
// were last present. It includes those of instances that Lapses leaves out while another record has
// their address: they may be reported later, and then count from their own removal.
func (m *Machine) updateLapses(before time.Time) {
	ids := m.state.LapsedIDs()
	current := make(map[string]time.Time, len(ids))
	for _, id := range ids {
		since, known := m.lapses[id]
		if !known {
			since = before
		}
		current[id] = since
	}
	m.lapses = current
}

// expireLapses drops instances whose records have been missing for longer than
// lapseRetentionShare, unless this node retains its own worker.
func (m *Machine) expireLapses(now time.Time) {
	for id, since := range m.lapses {
		if now.Sub(since) > m.share(lapseRetentionShare) && !m.retains {
			m.state.ForgetLapsed(id)
			delete(m.lapses, id)
			m.emit(Changed{})
		}
	}
}

// isOwn reports whether an instance is the worker on this node's machine.
func (m *Machine) isOwn(instance catalog.Instance) bool {
	host, _, err := net.SplitHostPort(instance.Address)
	return err == nil && host == m.config.Self
}

// ownLapsed returns the id of this node's worker if its record has expired, else "".
func (m *Machine) ownLapsed() string {
	if len(m.lapses) == 0 {
		return ""
	}
	for _, instance := range m.state.Lapsed() {
		if m.isOwn(instance) {
			return instance.ID
		}
	}
	return ""
}

// checkOwnRecord requests the record of this node's worker while it is missing and the store has
// not responded.
func (m *Machine) checkOwnRecord(now time.Time) {
	if id := m.ownLapsed(); id != m.ownRecord.id {
		m.ownRecord = recordCheck{id: id}
	}
	if m.ownRecord.id == "" || m.ownRecord.pending || m.ownRecord.succeeded || now.Before(m.ownRecord.nextCheck) {
		return
	}
	m.ownRecord.pending = true
	if m.ownRecord.failures == 0 {
		m.ownRecord.failingSince = now
	}
	m.emit(CheckRecord{ID: m.ownRecord.id})
}

// onRecordChecked handles a response of the store. After a long run of failures, which counts as
// an outage, a live worker gets time to write its record again; after a short one, the response
// was merely slow and takes effect at once.
func (m *Machine) onRecordChecked(event RecordChecked, now time.Time) {
	if event.ID != m.ownRecord.id {
		return
	}
	m.ownRecord.pending = false
	m.ownRecord.succeeded = true
	if now.Sub(m.ownRecord.failingSince) >= m.share(outageShare) {
		m.ownRecord.retainUntil = now.Add(m.share(recoveryRetainShare))
	}
}

func (m *Machine) onRecordCheckFailed(event RecordCheckFailed, now time.Time) {
	if event.ID != m.ownRecord.id {
		return
	}
	wait := m.share(minRetryShare) << min(m.ownRecord.failures, 4)
	m.ownRecord.pending = false
	m.ownRecord.failures++
	m.ownRecord.nextCheck = now.Add(min(wait, m.share(maxRecordRetryShare)))
}

// updateRetain decides whether this node retains its worker.
func (m *Machine) updateRetain(now time.Time) {
	m.checkOwnRecord(now)
	failing := m.ownRecord.failures > 0 && !m.ownRecord.succeeded
	retains := m.ownRecord.id != "" && (failing || now.Before(m.ownRecord.retainUntil))
	if retains == m.retains {
		return
	}
	m.retains = retains
	m.emit(Retain{Retains: retains})
}

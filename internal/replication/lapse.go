package replication

import (
	"net"
	"time"

	"sliphead/internal/catalog"
)

// A worker that can't reach the store can't renew its record, and the store drops
// it: a cut between machines and the store so takes away workers that live, as
// many as are needed. The node beside such a worker mostly shares its fate. It asks
// the store when its worker's record is gone: as long as it gets no answer, it
// can't know better and vouches for the worker. As soon as the store answers, the
// record counts, after a time in which a worker that lives has written it again.

// Shares of Config.Freshness.
const (
	vouchShare = 0.75 // for which a question that failed lets a node vouch
	lapseShare = 15   // for which others remember an instance whose record is gone
)

// Lapse is an instance whose record is gone without a word of leaving.
type Lapse struct {
	Instance catalog.Instance
	// Since is a time at which the record was still there: the bound on a leaving
	// worker's requests runs from then at the earliest.
	Since time.Time
}

// Lapses returns the instances that may live without a record.
func (m *Machine) Lapses() []Lapse {
	var lapses []Lapse
	for _, instance := range m.state.Lapsed() {
		lapses = append(lapses, Lapse{Instance: instance, Since: m.lapses[instance.ID]})
	}
	return lapses
}

// noteLapses takes the time at which records were last there.
func (m *Machine) noteLapses(before time.Time) {
	current := make(map[string]time.Time, len(m.lapses))
	for _, instance := range m.state.Lapsed() {
		since, known := m.lapses[instance.ID]
		if !known {
			since = before
			m.ownChecked = m.ownChecked && !m.isOwn(instance)
		}
		current[instance.ID] = since
	}
	m.lapses = current
}

// forgetLapses takes those for gone whose records have been missing for long.
func (m *Machine) forgetLapses(now time.Time) {
	for id, since := range m.lapses {
		if now.Sub(since) > m.share(lapseShare) && !m.vouches {
			m.state.ForgetLapsed(id)
			delete(m.lapses, id)
			m.emit(Changed{})
		}
	}
}

// isOwn reports whether an instance is the worker beside this node.
func (m *Machine) isOwn(instance catalog.Instance) bool {
	host, _, err := net.SplitHostPort(instance.Address)
	return err == nil && host == m.config.Self
}

// ownLapsed reports whether the record of the worker beside this node is gone.
func (m *Machine) ownLapsed() bool {
	for _, instance := range m.state.Lapsed() {
		if m.isOwn(instance) {
			return true
		}
	}
	return false
}

// vouch decides whether this node answers for the worker beside it.
func (m *Machine) vouch(now time.Time) {
	vouches := len(m.lapses) > 0 && now.Before(m.vouchUntil) && m.ownLapsed()
	if vouches == m.vouches {
		return
	}
	m.vouches = vouches
	m.emit(Vouch{Vouches: vouches})
}

// noteOwnQuestion takes in whether the store answered this node.
func (m *Machine) noteOwnQuestion(answered bool, now time.Time) {
	m.ownChecked = answered
	if !answered {
		m.vouchUntil = now.Add(m.share(vouchShare))
	}
}

// doubtsOwnLapse reports whether the store has to be asked because the record of
// the worker beside this node is gone.
func (m *Machine) doubtsOwnLapse() bool {
	return len(m.lapses) > 0 && !m.ownChecked && m.ownLapsed()
}

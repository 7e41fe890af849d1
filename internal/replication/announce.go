package replication

import "time"

// announceIntervalShare is the interval between two announcements of a node, as a share of
// Config.Freshness.
const announceIntervalShare = 0.5

// announce sends an announcement to one other node of the catalog per interval, in rotation. A
// node that started while the store was unreachable knows no peers, and the peers it had streams
// with may have restarted as well; the rotation reaches every running node at a cost per node
// that does not grow with the fleet. It starts behind this node's own rank so that the nodes of a
// zone do not all announce to the same peer. While this node is preferred as a reader, every
// other announcement goes to the first node of the zone that is not preferred, which reads as
// long as it does not know of the preference.
func (m *Machine) announce(now time.Time) {
	if m.state.Revision() == 0 || len(m.ranked) < 2 || now.Before(m.nextAnnouncement) {
		return
	}
	m.nextAnnouncement = now.Add(m.share(announceIntervalShare))
	others := len(m.ranked) - 1
	m.announcements++
	if former := m.readerWithoutPreference(); former != "" && m.announcements%2 == 1 {
		m.emit(m.announcement(former))
		return
	}
	next := m.ranked[(m.ownRank()+1+(m.announcements-1)%others)%len(m.ranked)]
	m.emit(m.announcement(next.address))
}

// announcement returns an announcement to another node that lists the nodes this one prefers.
func (m *Machine) announcement(address string) Announce {
	return Announce{Address: address, Preferred: m.Preferred()}
}

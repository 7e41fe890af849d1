package replication

import "time"

// announceShare is the part of Config.Freshness between two announcements of a node.
const announceShare = 0.5

// announce speaks to one other node of the catalog at a time, in turn. A node that
// started while the store is away knows nobody, and whoever had a stream to it may
// have started anew as well: this way each running node is found, at a cost that
// does not grow with the fleet. The turns begin behind this node's own rank, so
// that the nodes of a zone do not all speak to the same one.
func (m *Machine) announce(now time.Time) {
	if m.state.Revision() == 0 || len(m.ranked) < 2 || now.Before(m.nextAnnouncement) {
		return
	}
	m.nextAnnouncement = now.Add(m.share(announceShare))
	others := len(m.ranked) - 1
	m.announcements++
	if formerly := m.formerReader(); formerly != "" && m.announcements%2 == 1 {
		m.emit(m.announcementTo(formerly))
		return
	}
	turn := m.ranked[(m.ownRank()+1+(m.announcements-1)%others)%len(m.ranked)]
	m.emit(m.announcementTo(turn.address))
}

// announcementTo speaks to another node and tells it which nodes this one prefers.
func (m *Machine) announcementTo(address string) Announce {
	return Announce{Address: address, Preferred: m.Preferred()}
}

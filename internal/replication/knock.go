package replication

import "time"

// knockShare is the part of Config.Freshness between two knocks of a node.
const knockShare = 0.5

// knock speaks to one other node of the catalog at a time, in turn. A node that
// started while the store is away knows nobody, and whoever had a stream to it may
// have started anew as well: this way each running node is found, at a cost that
// does not grow with the fleet. The turns begin behind this node's own rank, so
// that the nodes of a zone do not all speak to the same one.
func (m *Machine) knock(now time.Time) {
	if m.state.Revision() == 0 || len(m.ranked) < 2 || now.Before(m.nextKnock) {
		return
	}
	m.nextKnock = now.Add(m.share(knockShare))
	others := len(m.ranked) - 1
	m.knocks++
	if formerly := m.formerReader(); formerly != "" && m.knocks%2 == 1 {
		m.emit(m.knockAt(formerly))
		return
	}
	turn := m.ranked[(m.ownRank()+1+(m.knocks-1)%others)%len(m.ranked)]
	m.emit(m.knockAt(turn.address))
}

// knockAt speaks to another node and tells it which nodes this one prefers.
func (m *Machine) knockAt(address string) Knock {
	return Knock{Address: address, Preferred: m.Preferred()}
}

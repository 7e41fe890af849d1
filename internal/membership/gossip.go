package membership

import (
	"sliphead/internal/wire"
)

// receive handles a message from a peer.
func (m *Machine) receive(message wire.Envelope) {
	from := message.From
	if from == "" || from == m.config.Self.Name || len(from) > maxFieldBytes {
		return
	}
	switch {
	case message.Ping != nil:
		m.receivePing(from, *message.Ping)
	case message.PingReq != nil:
		m.receivePingReq(from, *message.PingReq)
	case message.Ack != nil:
		m.receiveAck(from, *message.Ack)
	case message.Gossip != nil:
		m.applyAll(message.Gossip.Updates)
		m.compareView(from, message.Gossip.Digests.View)
	case message.Sync != nil:
		m.receiveSync(from, *message.Sync)
	}
}

func (m *Machine) applyAll(updates []wire.Member) {
	for _, update := range updates {
		m.apply(update, gossipFull)
	}
}

// gossip sends queued updates to a few random peers when a round is due.
func (m *Machine) gossip() {
	if m.gossipQueue.len() == 0 || m.now.Before(m.nextGossip) {
		return
	}
	m.nextGossip = m.now.Add(m.config.GossipInterval)
	for _, name := range m.randomPeers(m.config.GossipFanout, "") {
		digests := wire.Digests{View: m.table.viewHash} // version digests would take up most of the datagram
		updates := m.updatesFor(name, digests, false)
		if len(updates) == 0 {
			return
		}
		m.send(name, m.table.records[name].member.Peer, true, wire.Envelope{
			Gossip: &wire.Gossip{Digests: digests, Updates: updates},
		})
	}
}

// updatesFor chooses the registers for a datagram to a peer, within the size
// limit: first an accusation of that peer, so that it can refute, and this node's
// own register if requested or needed; then queued updates, those with the fewest
// transmissions first.
func (m *Machine) updatesFor(to string, digests wire.Digests, withSelf bool) []wire.Member {
	packet := packet{
		remainingBytes: maxDatagramBytes - baseSize(m.config.Self.Name, digests),
		remainingCount: m.config.MaxUpdates,
	}
	self := m.config.Self.Name
	if entry, ok := m.table.records[to]; ok && isAccused(entry.member) {
		packet.add(entry.member)
		withSelf = true
	}
	if withSelf {
		packet.add(m.Self())
	}
	m.gossipQueue.each(func(name string) bool {
		if name == to || (withSelf && name == self) {
			return true
		}
		return packet.add(m.gossipForm(name))
	})
	for _, member := range packet.members {
		m.gossipQueue.recordTransmission(member.Name, m.retransmitLimit())
	}
	return packet.members
}

// gossipForm returns the register to gossip for a member: the compact form once it
// has been stored for compactAfter, because all nodes then have its constant fields.
func (m *Machine) gossipForm(name string) wire.Member {
	entry := m.table.records[name]
	if m.now.Sub(entry.firstSeen) < compactAfter {
		return entry.member
	}
	return compact(entry.member)
}

func isAccused(member wire.Member) bool {
	return member.Status == wire.StatusSuspect || member.Status == wire.StatusDead
}

// packet collects registers up to the size and count limits of a datagram.
type packet struct {
	members        []wire.Member
	remainingBytes int
	remainingCount int
}

// add appends the register if it fits and reports whether it did.
func (p *packet) add(member wire.Member) bool {
	size := memberSize(member)
	if size > p.remainingBytes || p.remainingCount == 0 {
		return false
	}
	p.remainingBytes -= size
	p.remainingCount--
	p.members = append(p.members, member)
	return true
}

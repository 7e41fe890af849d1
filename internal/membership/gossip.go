package membership

import (
	"sliphead/internal/wire"
)

// receive handles a message of a peer.
func (m *Machine) receive(message wire.Envelope) {
	from := message.From
	if from == "" || from == m.config.Self.Name || len(from) > fieldLimit {
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
		m.apply(update, spreadWidely)
	}
}

// gossip sends a few random peers what is new, if anything is.
func (m *Machine) gossip() {
	if m.rumors.len() == 0 || m.now.Before(m.nextGossip) {
		return
	}
	m.nextGossip = m.now.Add(m.config.GossipInterval)
	for _, name := range m.randomPeers(m.config.GossipFanout, "") {
		digests := wire.Digests{View: m.table.view} // the rest would be most of the datagram
		updates := m.updatesFor(name, digests, false)
		if len(updates) == 0 {
			return
		}
		m.send(name, m.table.records[name].member.Peer, true, wire.Envelope{
			Gossip: &wire.Gossip{Digests: digests, Updates: updates},
		})
	}
}

// updatesFor chooses the registers for a datagram to a peer, within its size.
// First come what the peer must know to clear itself, and this node's own
// register where the peer may lack it; then what was transmitted least.
func (m *Machine) updatesFor(to string, digests wire.Digests, withSelf bool) []wire.Member {
	packet := packet{
		room:  datagramLimit - baseSize(m.config.Self.Name, digests),
		count: m.config.MaxUpdates,
	}
	self := m.config.Self.Name
	if held, ok := m.table.records[to]; ok && isAccused(held.member) {
		packet.add(held.member)
		withSelf = true
	}
	if withSelf {
		packet.add(m.Self())
	}
	m.rumors.pick(func(name string) bool {
		if name == to || (withSelf && name == self) {
			return true
		}
		return packet.add(m.gossiped(name))
	})
	for _, member := range packet.members {
		m.rumors.transmitted(member.Name, m.retransmitLimit())
	}
	return packet.members
}

// gossiped returns a register as it is gossiped: compact when it has been held
// for long, since all then know its process.
func (m *Machine) gossiped(name string) wire.Member {
	held := m.table.records[name]
	if m.now.Sub(held.learned) < settledAfter {
		return held.member
	}
	return compact(held.member)
}

func isAccused(member wire.Member) bool {
	return member.Status == wire.StatusSuspect || member.Status == wire.StatusDead
}

// packet gathers registers up to the size of a datagram.
type packet struct {
	members []wire.Member
	room    int
	count   int
}

// add takes in the register if there is room and reports whether it did.
func (p *packet) add(member wire.Member) bool {
	size := memberSize(member)
	if size > p.room || p.count == 0 {
		return false
	}
	p.room -= size
	p.count--
	p.members = append(p.members, member)
	return true
}

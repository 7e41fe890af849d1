package membership

import (
	"slices"
	"time"

	"sliphead/internal/wire"
)

// discoveryState holds the machine list, as a source of addresses to contact, and
// the time of the next reconnect.
type discoveryState struct {
	listed        []ListedMachine
	nextReconnect time.Time
}

func (d *discoveryState) setList(machines []ListedMachine) { d.listed = slices.Clone(machines) }

// addresses returns the distinct addresses of seeds and listed machines, without
// this node's own.
func (m *Machine) addresses() []string {
	var addresses []string
	seen := map[string]bool{"": true, m.config.Self.Peer: true}
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, seed := range m.config.Seeds {
		add(seed)
	}
	for _, machine := range m.discovery.listed {
		add(machine.Peer)
	}
	return addresses
}

// reconnect periodically pings one random address that may have a live member
// again: of a dead member, a seed or a listed machine. This rejoins the sides of a
// former network partition as long as any of these addresses works.
func (m *Machine) reconnect() {
	if m.now.Before(m.discovery.nextReconnect) {
		return
	}
	m.discovery.nextReconnect = m.now.Add(m.config.ReconnectInterval/2 + m.jittered(m.config.ReconnectInterval))
	dead := sortedNames(m.table.dead)
	unknown := m.unknownAddresses()
	count := len(dead) + len(unknown)
	if count == 0 {
		return
	}
	index := m.config.Random.IntN(count)
	m.probeNumber++
	ping := wire.Ping{Number: m.probeNumber, Digests: m.ownDigests(), Updates: []wire.Member{m.Self()}}
	if index >= len(dead) {
		m.send("", unknown[index-len(dead)], true, wire.Envelope{Ping: &ping})
		return
	}
	former := m.table.dead[dead[index]].member
	ping.Updates = append(ping.Updates, former) // the accusation that it has to refute
	m.send(former.Name, former.Peer, true, wire.Envelope{Ping: &ping})
}

// unknownAddresses returns the seeds and listed addresses that no register has.
func (m *Machine) unknownAddresses() []string {
	addresses := m.addresses()
	if len(addresses) == 0 {
		return nil
	}
	known := make(map[string]bool, len(m.table.records))
	for _, entry := range m.table.records {
		known[entry.member.Peer] = true
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return known[address] })
}

// extendDeadlines moves probe and suspicion deadlines on by the gap since the last
// tick when that gap is a pause of the process. Replies that arrived during the
// pause have not been read yet, and would otherwise come too late.
func (m *Machine) extendDeadlines() {
	gap := m.now.Sub(m.lastTick)
	m.lastTick = m.now
	if gap < pauseFactor*m.config.ProbeTimeout {
		return
	}
	for index := range m.probes.pending {
		pending := &m.probes.pending[index]
		pending.deadline = pending.deadline.Add(gap)
		if !pending.indirectAt.IsZero() {
			pending.indirectAt = pending.indirectAt.Add(gap)
		}
	}
	for _, entry := range m.table.suspects {
		entry.suspicionDeadline = entry.suspicionDeadline.Add(gap)
	}
}

// resume discards state that a long pause has made invalid: pending probes are
// dropped without an accusation, suspects get their full time to refute again, and
// queued accusations are not gossiped. It then probes a few peers and starts a
// repair with one of them to obtain their current view.
func (m *Machine) resume() {
	m.lastTick = m.now
	m.probes.pending = nil
	clear(m.probes.relays)
	for name, entry := range m.table.suspects {
		entry.suspicionDeadline = m.now.Add(m.suspicionTimeout())
		m.gossipQueue.remove(name)
	}
	for name := range m.table.dead {
		m.gossipQueue.remove(name)
	}
	m.repair.nextAllowed = m.now
	peers := m.randomPeers(maxJoinTargets, "")
	for _, name := range peers {
		m.startProbe(name)
	}
	if len(peers) > 0 {
		m.startRepair(peers[0])
	}
}

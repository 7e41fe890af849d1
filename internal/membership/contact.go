package membership

import (
	"slices"
	"time"

	"sliphead/internal/wire"
)

// contactState holds the addresses that are worth a probe though no live member
// is known there.
type contactState struct {
	listed []ListedMachine
	next   time.Time
}

func (c *contactState) setList(machines []ListedMachine) { c.listed = slices.Clone(machines) }

// addresses returns seeds and listed machines, without this node's own.
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
	for _, machine := range m.contact.listed {
		add(machine.Peer)
	}
	return addresses
}

// reconnect pings, from time to time, one address that may be a member again: a
// dead one's, a seed's or a listed one. So the parts of a fleet that could not
// reach each other find together whichever of these are left.
func (m *Machine) reconnect() {
	if m.now.Before(m.contact.next) {
		return
	}
	m.contact.next = m.now.Add(m.config.ReconnectInterval/2 + m.jittered(m.config.ReconnectInterval))
	dead := sortedNames(m.table.dead)
	unknown := m.unknownAddresses()
	count := len(dead) + len(unknown)
	if count == 0 {
		return
	}
	index := m.config.Random.IntN(count)
	m.number++
	ping := wire.Ping{Number: m.number, Digests: m.ownDigests(), Updates: []wire.Member{m.Self()}}
	if index >= len(dead) {
		m.send("", unknown[index-len(dead)], true, wire.Envelope{Ping: &ping})
		return
	}
	former := m.table.dead[dead[index]].member
	ping.Updates = append(ping.Updates, former) // what it has to refute
	m.send(former.Name, former.Peer, true, wire.Envelope{Ping: &ping})
}

// unknownAddresses returns seeds and listed addresses of no known member.
func (m *Machine) unknownAddresses() []string {
	addresses := m.addresses()
	if len(addresses) == 0 {
		return nil
	}
	known := make(map[string]bool, len(m.table.records))
	for _, held := range m.table.records {
		known[held.member.Peer] = true
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return known[address] })
}

// absorbStall moves the machine's own deadlines on by the length of a pause
// that it notices between two ticks: the answers that came meanwhile are still
// to be read.
func (m *Machine) absorbStall() {
	gap := m.now.Sub(m.lastTick)
	m.lastTick = m.now
	if gap < stallFactor*m.config.ProbeTimeout {
		return
	}
	for index := range m.probes.waiting {
		pending := &m.probes.waiting[index]
		pending.deadline = pending.deadline.Add(gap)
		if !pending.indirect.IsZero() {
			pending.indirect = pending.indirect.Add(gap)
		}
	}
	for _, held := range m.table.suspects {
		held.suspected = held.suspected.Add(gap)
	}
}

// resume forgets what was under way before a pause: probes that could not be
// answered accuse nobody, suspects get their full time again, accusations not
// yet gossiped are dropped. It then asks a few peers what they believe now.
func (m *Machine) resume() {
	m.lastTick = m.now
	m.probes.waiting = nil
	clear(m.probes.relays)
	for name, held := range m.table.suspects {
		held.suspected = m.now.Add(m.suspicionTimeout())
		m.rumors.remove(name)
	}
	for name := range m.table.dead {
		m.rumors.remove(name)
	}
	m.repair.next = m.now
	peers := m.randomPeers(joinTargets, "")
	for _, name := range peers {
		m.startProbe(name)
	}
	if len(peers) > 0 {
		m.startRepair(peers[0])
	}
}

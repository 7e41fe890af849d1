// Package membership decides which nodes are members of the fleet and spreads
// what each says of its worker. It is a failure detector after SWIM (Das,
// Gupta, Motivala 2002) with suspicion, direct and indirect probes, and
// refutation by incarnation. A register's owner is its only writer; other nodes
// may only accuse it. Nothing here needs two nodes to hold the same view.
//
// The machine is pure: it has no clock, does no I/O and starts no goroutine.
// Its owner calls Step from one goroutine and carries out the effects.
package membership

import (
	"time"

	"sliphead/internal/wire"
)

// Machine is the membership state of one node.
type Machine struct {
	config  Config
	table   *table
	rumors  *rumors
	digests wire.Digests
	probes  probeState
	join    joinState
	repair  repairState
	contact contactState

	lastTick   time.Time
	nextGossip time.Time
	nextSweep  time.Time
	number     uint64 // of the newest probe

	now     time.Time // of the step under way
	effects []Effect  // of the step under way
}

// New returns a machine that knows only itself.
func New(config Config, now time.Time) *Machine {
	self := config.Self
	if self.Status == "" {
		self.Status = wire.StatusAlive
	}
	m := &Machine{
		config:   config,
		table:    newTable(self, now),
		rumors:   newRumors(),
		lastTick: now,
		now:      now,
	}
	m.probes = newProbeState(m.jittered(config.ProbeInterval))
	m.join.next = now
	m.repair.agreed = now
	m.contact.next = now.Add(m.jittered(config.ReconnectInterval))
	m.rumors.add(self.Name, 0)
	return m
}

// Step handles one event and returns what is to be done, in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.now = now
	m.effects = nil
	switch event := event.(type) {
	case Tick:
		m.tick()
	case Received:
		m.receive(event.Message)
	case MachineList:
		m.contact.setList(event.Machines)
	case SetEndpoint:
		m.setEndpoint(event.State)
	case SetDigests:
		m.digests.Active, m.digests.Staged = event.Active, event.Staged
	case Leave:
		m.leave()
	case Resumed:
		m.resume()
	}
	return m.effects
}

// Self returns the node's own register.
func (m *Machine) Self() wire.Member { return m.table.records[m.config.Self.Name].member }

// Lookup returns the register of a member, dead ones included while they are
// remembered.
func (m *Machine) Lookup(name string) (wire.Member, bool) { return m.table.member(name) }

// Live returns the members that are alive, suspect or leaving, self included,
// sorted by name. The machine never changes a slice that it has returned, and
// callers must not either, so it may be kept and shared.
func (m *Machine) Live() []wire.Member { return m.table.sorted() }

// ViewHash returns a hash over the registers of all live members. It does not
// depend on the order in which they were learned.
func (m *Machine) ViewHash() uint64 { return m.table.view }

func (m *Machine) tick() {
	m.absorbStall()
	m.expireProbes()
	m.expireSuspects()
	m.sweep()
	m.joinFleet()
	m.probe()
	m.reconnect()
	m.gossip()
}

// sweep forgets dead members after the life of their tombstone.
func (m *Machine) sweep() {
	if m.now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = m.now.Add(time.Second)
	for _, name := range sortedNames(m.table.dead) {
		if m.now.Sub(m.table.dead[name].died) >= m.config.TombstoneLife {
			m.table.forget(name)
			m.rumors.remove(name)
		}
	}
}

func (m *Machine) send(to, address string, datagram bool, message wire.Envelope) {
	message.From = m.config.Self.Name
	m.effects = append(m.effects, Send{wire.Outgoing{
		To: to, Address: address, Datagram: datagram, Message: message,
	}})
}

// ownDigests returns what is said of this node's state. A staged version equal
// to the active one is left out.
func (m *Machine) ownDigests() wire.Digests {
	digests := m.digests
	if digests.Staged == digests.Active {
		digests.Staged = wire.Digests{}.Staged
	}
	digests.View = m.table.view
	digests.Clock = m.now.UnixMilli()
	return digests
}

// jittered returns a duration between nothing and the given one.
func (m *Machine) jittered(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(m.config.Random.Int64N(int64(bound)))
}

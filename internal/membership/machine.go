// Package membership detects which nodes are live and disseminates the endpoint
// state of each node's worker. It implements SWIM (Das, Gupta, Motivala 2002)
// with suspicion, direct and indirect probes, and refutation by incarnation.
//
// The state of a member is a wire.Member, called its register. Only the member
// itself writes its register; other nodes may only accuse it, that is, mark it as
// suspect or dead. The protocol is correct while nodes hold different views.
//
// Machine is a pure state machine: it reads no clock, does no I/O and starts no
// goroutine. The caller runs Step from one goroutine and executes the effects.
package membership

import (
	"time"

	"sliphead/internal/wire"
)

// Machine is the membership state of one node.
type Machine struct {
	config      Config
	table       *table
	gossipQueue *gossipQueue
	digests     wire.Digests
	probes      probeState
	join        joinState
	repair      repairState
	discovery   discoveryState

	lastTick            time.Time
	nextGossip          time.Time
	nextTombstoneExpiry time.Time
	probeNumber         uint64 // of the last probe sent

	now     time.Time // of the current step
	effects []Effect  // of the current step
}

// New returns a machine whose only member is config.Self.
func New(config Config, now time.Time) *Machine {
	self := config.Self
	if self.Status == "" {
		self.Status = wire.StatusAlive
	}
	m := &Machine{
		config:      config,
		table:       newTable(self, now),
		gossipQueue: newGossipQueue(),
		lastTick:    now,
		now:         now,
	}
	m.probes = newProbeState(m.jittered(config.ProbeInterval))
	m.join.nextAttempt = now
	m.repair.lastMatch = now
	m.discovery.nextReconnect = now.Add(m.jittered(config.ReconnectInterval))
	m.gossipQueue.add(self.Name, 0)
	return m
}

// Step handles one event and returns the effects to execute, in order. It is not
// safe for concurrent use.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.now = now
	m.effects = nil
	switch event := event.(type) {
	case Tick:
		m.tick()
	case Received:
		m.receive(event.Message)
	case MachineList:
		m.discovery.setList(event.Machines)
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

// Lookup returns the register of a member. Dead members are found until
// Config.TombstoneLife has passed.
func (m *Machine) Lookup(name string) (wire.Member, bool) { return m.table.member(name) }

// Live returns the members that are alive, suspect or leaving, self included,
// sorted by name. The machine never modifies a returned slice, so callers may
// retain and share it, but must not modify it.
func (m *Machine) Live() []wire.Member { return m.table.sortedLive() }

// ViewHash returns a hash over the registers of all live members. It does not
// depend on the order in which they were received.
func (m *Machine) ViewHash() uint64 { return m.table.viewHash }

func (m *Machine) tick() {
	m.extendDeadlines()
	m.expireProbes()
	m.expireSuspects()
	m.expireTombstones()
	m.joinFleet()
	m.probe()
	m.reconnect()
	m.gossip()
}

// expireTombstones removes members that have been dead for Config.TombstoneLife.
func (m *Machine) expireTombstones() {
	if m.now.Before(m.nextTombstoneExpiry) {
		return
	}
	m.nextTombstoneExpiry = m.now.Add(time.Second)
	for _, name := range sortedNames(m.table.dead) {
		if m.now.Sub(m.table.dead[name].diedAt) >= m.config.TombstoneLife {
			m.table.remove(name)
			m.gossipQueue.remove(name)
		}
	}
}

func (m *Machine) send(to, address string, datagram bool, message wire.Envelope) {
	message.From = m.config.Self.Name
	m.effects = append(m.effects, Send{wire.Outgoing{
		To: to, Address: address, Datagram: datagram, Message: message,
	}})
}

// ownDigests returns this node's digests for a message. A staged version equal to
// the active one is omitted.
func (m *Machine) ownDigests() wire.Digests {
	digests := m.digests
	if digests.Staged == digests.Active {
		digests.Staged = wire.Digests{}.Staged
	}
	digests.View = m.table.viewHash
	digests.Clock = m.now.UnixMilli()
	return digests
}

// jittered returns a random duration from 0 up to, but not including, the bound.
func (m *Machine) jittered(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(m.config.Random.Int64N(int64(bound)))
}

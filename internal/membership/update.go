package membership

import (
	"math"
	"time"

	"sliphead/internal/wire"
)

// spread is how often a changed register is to be gossiped from here.
type spread int

const (
	spreadWidely spread = iota // news
	spreadLittle               // what most others know or will find out themselves
	spreadNot                  // what the others gossip themselves
)

// apply joins a register received into the table.
func (m *Machine) apply(update wire.Member, spread spread) {
	if !plausible(update, m.now) {
		return
	}
	if update.Name == m.config.Self.Name {
		m.refute(update)
		return
	}
	held, ok := m.table.records[update.Name]
	if !ok {
		m.admit(update, spread)
		return
	}
	merged := merge(held.member, update)
	if merged != held.member {
		m.change(merged, spread)
		return
	}
	if sameContent(merged, update) {
		m.rumors.transmitted(update.Name, m.retransmitLimit()) // the sender knows it: one less is needed
	}
}

// sameContent reports whether the update says just what the register does.
func sameContent(held, update wire.Member) bool { return compact(held) == compact(update) }

// admit takes in a member not known. A dead one is not remembered: that would
// hand tombstones from node to node for ever.
func (m *Machine) admit(update wire.Member, spread spread) {
	if update.Status == wire.StatusDead || isCompact(update) || len(m.table.records) >= memberLimit {
		return
	}
	m.change(update, spread)
	m.probes.insert(update.Name, m.config.Random)
}

// change stores a register, tells the owner of the machine and queues it for
// gossip.
func (m *Machine) change(member wire.Member, spread spread) {
	before, _ := m.table.member(member.Name)
	wasLive := m.table.isLive(member.Name)
	held := m.table.put(member, m.now)
	m.watchSuspicion(held, before)
	if !wasLive && m.table.isLive(member.Name) && before.Name != "" {
		m.probes.insert(member.Name, m.config.Random)
	}
	switch spread {
	case spreadWidely:
		m.rumors.add(member.Name, 0)
	case spreadLittle:
		if m.rumors.len() <= backlog {
			m.rumors.add(member.Name, max(0, m.retransmitLimit()-minorRetransmits))
		}
	}
	m.effects = append(m.effects, Changed{Member: member, Before: before})
}

// retransmitLimit returns how often each node transmits a register: λ·log2(n). While very
// many change it is less, and the few that are missed are left to repair, which
// then takes fewer bytes.
func (m *Machine) retransmitLimit() int {
	size := float64(m.table.size())
	limit := int(math.Ceil(m.config.Retransmit*math.Log2(size+1))) + 1
	if m.rumors.len() > backlog {
		return min(limit, backlogRetransmits)
	}
	return limit
}

// refute answers what a peer says of this node where that would win over its
// own register. An accusation is refuted by a greater incarnation. Claims that
// this process never made, left over from a former process whose clock was
// ahead, or forged, are superseded by a greater Start, under which nothing else has
// been said: the part at random keeps two such restarts in a row apart.
func (m *Machine) refute(update wire.Member) {
	self := m.Self()
	if isCompact(update) {
		update = withIdentity(update, self)
	}
	foreign := update.Start > self.Start
	if update.Start == self.Start {
		foreign = update.Incarnation > self.Incarnation || laterEndpoint(self, update) != self
	}
	switch {
	case foreign:
		self.Start = update.Start + 1 + m.config.Random.Int64N(startSpread)
		self.Incarnation = 0
	case merge(self, update) != self:
		self.Incarnation++
	default:
		return
	}
	m.change(self, spreadWidely)
}

func (m *Machine) setEndpoint(state wire.EndpointState) {
	self := m.Self()
	if self.Endpoint == state {
		return
	}
	self.Endpoint = state
	self.Sequence++
	m.change(self, spreadWidely)
}

func (m *Machine) leave() {
	self := m.Self()
	if self.Status == wire.StatusLeaving {
		return
	}
	self.Status = wire.StatusLeaving
	self.Incarnation++
	m.change(self, spreadWidely)
}

// watchSuspicion starts or ends the wait for a refutation as the register says.
func (m *Machine) watchSuspicion(held *record, before wire.Member) {
	name := held.member.Name
	if name == m.config.Self.Name {
		return
	}
	if held.member.Status == wire.StatusSuspect {
		m.awaitRefutation(held)
		return
	}
	refuted := held.member.Start > before.Start || held.member.Incarnation > before.Incarnation
	if refuted || held.member.Status != wire.StatusLeaving {
		held.suspected = time.Time{}
		delete(m.table.suspects, name)
	}
}

// awaitRefutation starts the wait unless it runs.
func (m *Machine) awaitRefutation(held *record) {
	if !held.suspected.IsZero() {
		return
	}
	held.suspected = m.now.Add(m.suspicionTimeout())
	m.table.suspects[held.member.Name] = held
}

// suspicionTimeout grows with the time that gossip needs, up to twice.
func (m *Machine) suspicionTimeout() time.Duration {
	const roundsInSmallFleet, growthLimit = 5, 2
	growth := math.Log2(float64(m.table.size()+1)) / roundsInSmallFleet
	growth = min(max(growth, 1), growthLimit)
	return time.Duration(float64(m.config.SuspicionTimeout) * growth)
}

// expireSuspects declares those dead that have not refuted in time.
func (m *Machine) expireSuspects() {
	if len(m.table.suspects) == 0 {
		return
	}
	for _, name := range sortedNames(m.table.suspects) {
		held := m.table.suspects[name]
		if m.now.Before(held.suspected) {
			continue
		}
		member := held.member
		member.Status = wire.StatusDead
		m.change(member, spreadLittle) // each peer's own wait ends too
	}
}

// suspect accuses a member that did not answer a probe.
func (m *Machine) suspect(name string) {
	held, ok := m.table.records[name]
	if !ok || !held.died.IsZero() {
		return
	}
	if held.member.Status == wire.StatusLeaving {
		m.awaitRefutation(held) // its own register outranks the accusation, which stays here
		m.startProbe(name)      // until the wait ends
		return
	}
	if held.member.Status == wire.StatusAlive {
		member := held.member
		member.Status = wire.StatusSuspect
		m.change(member, spreadWidely)
		m.number++
		m.ping(name, m.number) // tells it, so that it can refute
	}
}

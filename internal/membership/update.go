package membership

import (
	"math"
	"time"

	"sliphead/internal/wire"
)

// gossipMode is how often this node gossips a changed register.
type gossipMode int

const (
	gossipFull    gossipMode = iota // up to the retransmit limit
	gossipReduced                   // for changes that most peers have or detect themselves
	gossipNone                      // for changes that other nodes gossip
)

// apply merges a received register into the table.
func (m *Machine) apply(update wire.Member, mode gossipMode) {
	if !validRegister(update, m.now) {
		return
	}
	if update.Name == m.config.Self.Name {
		m.refute(update)
		return
	}
	entry, ok := m.table.records[update.Name]
	if !ok {
		m.addMember(update, mode)
		return
	}
	merged := merge(entry.member, update)
	if merged != entry.member {
		m.store(merged, mode)
		return
	}
	if sameContent(merged, update) {
		m.gossipQueue.recordTransmission(update.Name, m.retransmitLimit()) // the sender has it already: one transmission less is needed
	}
}

// sameContent reports whether the mutable fields of both registers are equal.
func sameContent(a, b wire.Member) bool { return compact(a) == compact(b) }

// addMember stores a new member, up to maxMembers. A dead one is ignored, because
// nodes would otherwise pass its tombstone to each other forever.
func (m *Machine) addMember(update wire.Member, mode gossipMode) {
	if update.Status == wire.StatusDead || isCompact(update) || len(m.table.records) >= maxMembers {
		return
	}
	m.store(update, mode)
	m.probes.insert(update.Name, m.config.Random)
}

// store stores a changed register, reports it to the caller of Step and queues it
// for gossip according to the mode.
func (m *Machine) store(member wire.Member, mode gossipMode) {
	before, _ := m.table.member(member.Name)
	wasLive := m.table.isLive(member.Name)
	entry := m.table.put(member, m.now)
	m.updateSuspicion(entry, before)
	if !wasLive && m.table.isLive(member.Name) && before.Name != "" {
		m.probes.insert(member.Name, m.config.Random)
	}
	switch mode {
	case gossipFull:
		m.gossipQueue.add(member.Name, 0)
	case gossipReduced:
		if m.gossipQueue.len() <= backlogThreshold {
			m.gossipQueue.add(member.Name, max(0, m.retransmitLimit()-lowPriorityRetransmits))
		}
	}
	m.effects = append(m.effects, Changed{Member: member, Before: before})
}

// retransmitLimit returns how often this node transmits a changed register: about
// λ·log2(n). While many updates are queued it is less, and repair transfers the few
// registers that peers miss, which then takes fewer bytes.
func (m *Machine) retransmitLimit() int {
	size := float64(m.table.size())
	limit := int(math.Ceil(m.config.Retransmit*math.Log2(size+1))) + 1
	if m.gossipQueue.len() > backlogThreshold {
		return min(limit, maxBacklogRetransmits)
	}
	return limit
}

// refute reacts to a received register of this node that would win over its own.
// An accusation is refuted by a greater incarnation. A register that this process
// never wrote, either forged or left by a former process whose clock was ahead, is
// superseded by a greater Start that no register has used yet. Its random part
// keeps the values of two such restarts in a row distinct.
func (m *Machine) refute(update wire.Member) {
	self := m.Self()
	if isCompact(update) {
		update = withIdentity(update, self)
	}
	foreign := update.Start > self.Start
	if update.Start == self.Start {
		foreign = update.Incarnation > self.Incarnation || newerEndpoint(self, update) != self
	}
	switch {
	case foreign:
		self.Start = update.Start + 1 + m.config.Random.Int64N(startJitter)
		self.Incarnation = 0
	case merge(self, update) != self:
		self.Incarnation++
	default:
		return
	}
	m.store(self, gossipFull)
}

func (m *Machine) setEndpoint(state wire.EndpointState) {
	self := m.Self()
	if self.Endpoint == state {
		return
	}
	self.Endpoint = state
	self.Sequence++
	m.store(self, gossipFull)
}

func (m *Machine) leave() {
	self := m.Self()
	if self.Status == wire.StatusLeaving {
		return
	}
	self.Status = wire.StatusLeaving
	self.Incarnation++
	m.store(self, gossipFull)
}

// updateSuspicion starts or ends the suspicion timeout after a register changed.
func (m *Machine) updateSuspicion(entry *record, before wire.Member) {
	name := entry.member.Name
	if name == m.config.Self.Name {
		return
	}
	if entry.member.Status == wire.StatusSuspect {
		m.startSuspicion(entry)
		return
	}
	refuted := entry.member.Start > before.Start || entry.member.Incarnation > before.Incarnation
	if refuted || entry.member.Status != wire.StatusLeaving {
		entry.suspicionDeadline = time.Time{}
		delete(m.table.suspects, name)
	}
}

// startSuspicion starts the suspicion timeout unless it is already running.
func (m *Machine) startSuspicion(entry *record) {
	if !entry.suspicionDeadline.IsZero() {
		return
	}
	entry.suspicionDeadline = m.now.Add(m.suspicionTimeout())
	m.table.suspects[entry.member.Name] = entry
}

// suspicionTimeout returns Config.SuspicionTimeout, scaled by the number of rounds
// that gossip needs at the fleet size, up to a factor of two.
func (m *Machine) suspicionTimeout() time.Duration {
	const roundsInSmallFleet, growthLimit = 5, 2
	growth := math.Log2(float64(m.table.size()+1)) / roundsInSmallFleet
	growth = min(max(growth, 1), growthLimit)
	return time.Duration(float64(m.config.SuspicionTimeout) * growth)
}

// expireSuspects declares the suspects dead that have not refuted in time.
func (m *Machine) expireSuspects() {
	if len(m.table.suspects) == 0 {
		return
	}
	for _, name := range sortedNames(m.table.suspects) {
		entry := m.table.suspects[name]
		if m.now.Before(entry.suspicionDeadline) {
			continue
		}
		member := entry.member
		member.Status = wire.StatusDead
		m.store(member, gossipReduced) // each peer's own timeout ends as well
	}
}

// suspect marks a member as suspect that did not acknowledge a probe.
func (m *Machine) suspect(name string) {
	entry, ok := m.table.records[name]
	if !ok || !entry.diedAt.IsZero() {
		return
	}
	if entry.member.Status == wire.StatusLeaving {
		// The leaving status outranks suspect in merge, so the suspicion stays local
		// until the timeout ends.
		m.startSuspicion(entry)
		m.startProbe(name)
		return
	}
	if entry.member.Status == wire.StatusAlive {
		member := entry.member
		member.Status = wire.StatusSuspect
		m.store(member, gossipFull)
		m.probeNumber++
		m.ping(name, m.probeNumber) // carries the accusation, so that the member can refute it
	}
}

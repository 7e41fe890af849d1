package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"sliphead/internal/wire"
)

// probeState holds the probes under way and the order of those to come.
type probeState struct {
	order   []string // live members when last shuffled, and those met since
	next    int      // index in order
	due     time.Time
	offset  time.Duration // random delay of the first probe
	waiting []pendingProbe
	relays  map[uint64]relay
}

// pendingProbe is a probe of this node's own.
type pendingProbe struct {
	number   uint64
	target   string
	indirect time.Time // when helpers are asked, zero once done
	deadline time.Time
}

// relay is a probe on behalf of another node.
type relay struct {
	origin   string
	number   uint64 // the origin's
	target   string
	deadline time.Time
}

func newProbeState(offset time.Duration) probeState {
	return probeState{offset: offset, relays: make(map[uint64]relay)}
}

// insert puts a new member at a random place of the round.
func (p *probeState) insert(name string, random *rand.Rand) {
	index := random.IntN(len(p.order) + 1)
	p.order = slices.Insert(p.order, index, name)
	if index < p.next {
		p.next++
	}
}

// probe sends the probes that are due: one an interval, more while members
// fail in numbers, so that a mass failure is noticed within few rounds.
func (m *Machine) probe() {
	if m.probes.due.IsZero() {
		m.probes.due = m.now.Add(m.probes.offset)
	}
	if m.now.Before(m.probes.due) {
		return
	}
	rate := min(1+len(m.table.suspects), burstProbes)
	m.probes.due = m.now.Add(m.config.ProbeInterval / time.Duration(rate))
	if target, ok := m.nextTarget(); ok {
		m.startProbe(target)
	}
}

// nextTarget takes the next live member of the round. Suspects, whose time runs
// already, are passed over while there are members not yet suspected.
func (m *Machine) nextTarget() (string, bool) {
	for _, suspected := range [...]bool{false, false, true} {
		for m.probes.next < len(m.probes.order) {
			name := m.probes.order[m.probes.next]
			m.probes.next++
			_, suspect := m.table.suspects[name]
			if m.table.isLive(name) && suspect == suspected && !m.probes.isWaitingFor(name) {
				return name, true
			}
		}
		m.shuffle()
	}
	return "", false
}

// shuffle starts a new round over all live peers.
func (m *Machine) shuffle() {
	m.probes.order = append(m.probes.order[:0], m.table.peers...)
	m.probes.next = 0
	m.config.Random.Shuffle(len(m.probes.order), func(i, j int) {
		m.probes.order[i], m.probes.order[j] = m.probes.order[j], m.probes.order[i]
	})
}

func (p *probeState) isWaitingFor(name string) bool {
	return slices.ContainsFunc(p.waiting, func(pending pendingProbe) bool { return pending.target == name })
}

func (m *Machine) startProbe(target string) {
	m.number++
	m.probes.waiting = append(m.probes.waiting, pendingProbe{
		number:   m.number,
		target:   target,
		indirect: m.now.Add(m.config.ProbeTimeout),
		deadline: m.now.Add(3 * m.config.ProbeTimeout),
	})
	m.ping(target, m.number)
}

func (m *Machine) ping(target string, number uint64) {
	address := m.table.records[target].member.Peer
	digests := m.ownDigests()
	updates := m.updatesFor(target, digests, m.mayBeUnknown())
	m.send(target, address, true, wire.Envelope{
		Ping: &wire.Ping{Number: number, Digests: digests, Updates: updates},
	})
}

// mayBeUnknown reports whether peers may lack this node's register, so that
// they could not answer its probes.
func (m *Machine) mayBeUnknown() bool {
	young := m.now.Sub(m.table.records[m.config.Self.Name].learned) < settledAfter
	return young || m.repair.differing > 0
}

// expireProbes asks helpers for probes without an answer, and accuses the
// target when they bring none either.
func (m *Machine) expireProbes() {
	kept := m.probes.waiting[:0]
	var failed []string
	for _, pending := range m.probes.waiting {
		if !m.now.Before(pending.deadline) {
			failed = append(failed, pending.target)
			continue
		}
		if !pending.indirect.IsZero() && !m.now.Before(pending.indirect) {
			pending.indirect = time.Time{}
			m.probeIndirectly(pending)
		}
		kept = append(kept, pending)
	}
	m.probes.waiting = kept
	for _, name := range failed {
		m.suspect(name)
	}
	m.expireRelays()
}

// probeIndirectly asks helpers and pings once more, against a lost datagram.
func (m *Machine) probeIndirectly(pending pendingProbe) {
	target, ok := m.table.member(pending.target)
	if !ok {
		return
	}
	m.ping(pending.target, pending.number)
	for _, helper := range m.randomPeers(m.config.IndirectProbes, pending.target) {
		m.send(helper, m.table.records[helper].member.Peer, true, wire.Envelope{
			PingReq: &wire.PingReq{Number: pending.number, Target: target},
		})
	}
}

func (m *Machine) expireRelays() {
	for number, relayed := range m.probes.relays {
		if !m.now.Before(relayed.deadline) {
			delete(m.probes.relays, number)
		}
	}
}

// randomPeers returns up to count distinct live peers but the one given. Ones
// not suspect are preferred: while many fail, half of what is sent would be lost.
func (m *Machine) randomPeers(count int, but string) []string {
	const rounds = 4
	var chosen []string
	for attempt := range rounds * count {
		if len(chosen) == count || len(m.table.peers) == 0 {
			break
		}
		name := m.table.peers[m.config.Random.IntN(len(m.table.peers))]
		_, suspect := m.table.suspects[name]
		early := attempt < (rounds-1)*count
		if name != but && !(suspect && early) && !slices.Contains(chosen, name) {
			chosen = append(chosen, name)
		}
	}
	return chosen
}

func (m *Machine) receivePing(from string, ping wire.Ping) {
	m.applyAll(ping.Updates)
	address := m.addressOf(from, ping.Updates)
	if address == "" {
		return
	}
	digests := m.ownDigests()
	unlike := ping.Digests.View != digests.View
	m.send(from, address, true, wire.Envelope{Ack: &wire.Ack{
		Number:  ping.Number,
		About:   m.config.Self.Name,
		Digests: digests,
		Updates: m.updatesFor(from, digests, unlike),
	}})
	m.noteDigests(from, ping.Digests)
}

// addressOf returns where to answer a message: the address in the sender's own
// register where the message brings it, else the one held, "" if there is none.
// They differ when the register brought is not believed, as after a restart at
// another address with a clock that went back.
func (m *Machine) addressOf(from string, updates []wire.Member) string {
	for _, update := range updates {
		if update.Name == from && !isCompact(update) {
			return update.Peer
		}
	}
	held, _ := m.table.member(from)
	return held.Peer
}

func (m *Machine) receivePingReq(from string, request wire.PingReq) {
	m.applyAll(request.Updates)
	m.apply(request.Target, spreadWidely)
	target, known := m.table.member(request.Target.Name)
	if !known || len(m.probes.relays) >= relayLimit || target.Name == m.config.Self.Name {
		return
	}
	m.number++
	m.probes.relays[m.number] = relay{
		origin:   from,
		number:   request.Number,
		target:   target.Name,
		deadline: m.now.Add(3 * m.config.ProbeTimeout),
	}
	m.ping(target.Name, m.number)
}

func (m *Machine) receiveAck(from string, ack wire.Ack) {
	m.applyAll(ack.Updates)
	if relayed, ok := m.probes.relays[ack.Number]; ok && relayed.target == from && ack.About == from {
		delete(m.probes.relays, ack.Number)
		m.passOn(relayed, ack)
	}
	m.probes.waiting = slices.DeleteFunc(m.probes.waiting, func(pending pendingProbe) bool {
		return pending.number == ack.Number && pending.target == ack.About
	})
	m.endLocalSuspicion(ack.About)
	if from == ack.About {
		m.noteDigests(from, ack.Digests)
	}
}

// passOn gives a relayed answer to the node that asked for it.
func (m *Machine) passOn(relayed relay, ack wire.Ack) {
	origin, ok := m.table.member(relayed.origin)
	if !ok {
		return
	}
	updates := m.accusedOrNone(ack)
	m.send(relayed.origin, origin.Peer, true, wire.Envelope{Ack: &wire.Ack{
		Number: relayed.number, About: ack.About, Digests: ack.Digests, Updates: updates,
	}})
}

// accusedOrNone returns the answering member's own register where its answer
// brought it, so that a refutation reaches the accuser at once.
func (m *Machine) accusedOrNone(ack wire.Ack) []wire.Member {
	for _, update := range ack.Updates {
		if update.Name == ack.About {
			return []wire.Member{update}
		}
	}
	return nil
}

// endLocalSuspicion clears the doubt about a leaving member that answered.
func (m *Machine) endLocalSuspicion(name string) {
	held, ok := m.table.suspects[name]
	if ok && held.member.Status == wire.StatusLeaving {
		held.suspected = time.Time{}
		delete(m.table.suspects, name)
	}
}

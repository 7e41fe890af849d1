package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"sliphead/internal/wire"
)

// probeState holds the pending probes and the order of the next ones.
type probeState struct {
	order        []string // live peers at the last shuffle, and those inserted since
	next         int      // index in order
	nextAt       time.Time
	initialDelay time.Duration // random delay of the first probe after the first tick
	pending      []pendingProbe
	relays       map[uint64]relay
}

// pendingProbe is a probe that this node started and that has no ack yet.
type pendingProbe struct {
	number     uint64
	target     string
	indirectAt time.Time // when indirect probes are sent, zero once they have been
	deadline   time.Time
}

// relay is an indirect probe in progress on behalf of another node.
type relay struct {
	origin   string
	number   uint64 // of the probe at the origin
	target   string
	deadline time.Time
}

func newProbeState(initialDelay time.Duration) probeState {
	return probeState{initialDelay: initialDelay, relays: make(map[uint64]relay)}
}

// insert adds a new member at a random position of the current round.
func (p *probeState) insert(name string, random *rand.Rand) {
	index := random.IntN(len(p.order) + 1)
	p.order = slices.Insert(p.order, index, name)
	if index < p.next {
		p.next++
	}
}

// probe sends a probe when one is due: one per interval, and up to
// maxProbesPerInterval while there are suspects, so that a mass failure is detected
// within a few rounds.
func (m *Machine) probe() {
	if m.probes.nextAt.IsZero() {
		m.probes.nextAt = m.now.Add(m.probes.initialDelay)
	}
	if m.now.Before(m.probes.nextAt) {
		return
	}
	rate := min(1+len(m.table.suspects), maxProbesPerInterval)
	m.probes.nextAt = m.now.Add(m.config.ProbeInterval / time.Duration(rate))
	if target, ok := m.nextTarget(); ok {
		m.startProbe(target)
	}
}

// nextTarget returns the next live member of the round. Suspects are skipped while
// there are other members to probe, because their suspicion timeout already runs.
func (m *Machine) nextTarget() (string, bool) {
	for _, suspected := range [...]bool{false, false, true} {
		for m.probes.next < len(m.probes.order) {
			name := m.probes.order[m.probes.next]
			m.probes.next++
			_, suspect := m.table.suspects[name]
			if m.table.isLive(name) && suspect == suspected && !m.probes.isProbing(name) {
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

func (p *probeState) isProbing(name string) bool {
	return slices.ContainsFunc(p.pending, func(pending pendingProbe) bool { return pending.target == name })
}

func (m *Machine) startProbe(target string) {
	m.probeNumber++
	m.probes.pending = append(m.probes.pending, pendingProbe{
		number:     m.probeNumber,
		target:     target,
		indirectAt: m.now.Add(m.config.ProbeTimeout),
		deadline:   m.now.Add(3 * m.config.ProbeTimeout),
	})
	m.ping(target, m.probeNumber)
}

func (m *Machine) ping(target string, number uint64) {
	address := m.table.records[target].member.Peer
	digests := m.ownDigests()
	updates := m.updatesFor(target, digests, m.mayBeUnknown())
	m.send(target, address, true, wire.Envelope{
		Ping: &wire.Ping{Number: number, Digests: digests, Updates: updates},
	})
}

// mayBeUnknown reports whether peers may lack this node's register. They could not
// acknowledge its probes then.
func (m *Machine) mayBeUnknown() bool {
	recentlyStarted := m.now.Sub(m.table.records[m.config.Self.Name].firstSeen) < compactAfter
	return recentlyStarted || m.repair.mismatches > 0
}

// expireProbes starts indirect probes for pending probes without an ack, and
// suspects the target when no ack has arrived by the probe's deadline.
func (m *Machine) expireProbes() {
	remaining := m.probes.pending[:0]
	var failed []string
	for _, pending := range m.probes.pending {
		if !m.now.Before(pending.deadline) {
			failed = append(failed, pending.target)
			continue
		}
		if !pending.indirectAt.IsZero() && !m.now.Before(pending.indirectAt) {
			pending.indirectAt = time.Time{}
			m.probeIndirectly(pending)
		}
		remaining = append(remaining, pending)
	}
	m.probes.pending = remaining
	for _, name := range failed {
		m.suspect(name)
	}
	m.expireRelays()
}

// probeIndirectly asks other peers to probe the target, and pings it once more
// itself in case the first datagram was lost.
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

// randomPeers returns up to count distinct live peers other than the excluded one.
// It prefers peers that are not suspect: when half the fleet fails, half of the
// messages would otherwise be lost.
func (m *Machine) randomPeers(count int, excluded string) []string {
	const rounds = 4
	var chosen []string
	for attempt := range rounds * count {
		if len(chosen) == count || len(m.table.peers) == 0 {
			break
		}
		name := m.table.peers[m.config.Random.IntN(len(m.table.peers))]
		_, suspect := m.table.suspects[name]
		early := attempt < (rounds-1)*count
		if name != excluded && !(suspect && early) && !slices.Contains(chosen, name) {
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
	viewsDiffer := ping.Digests.View != digests.View
	m.send(from, address, true, wire.Envelope{Ack: &wire.Ack{
		Number:  ping.Number,
		About:   m.config.Self.Name,
		Digests: digests,
		Updates: m.updatesFor(from, digests, viewsDiffer),
	}})
	m.reportDigests(from, ping.Digests)
}

// addressOf returns the address to reply to: the one in the sender's own register
// if the message contains it, else the stored one, "" if there is none. They differ
// when the received register loses the merge, for example after a restart at
// another address with a clock that was set back.
func (m *Machine) addressOf(from string, updates []wire.Member) string {
	for _, update := range updates {
		if update.Name == from && !isCompact(update) {
			return update.Peer
		}
	}
	entry, _ := m.table.member(from)
	return entry.Peer
}

func (m *Machine) receivePingReq(from string, request wire.PingReq) {
	m.applyAll(request.Updates)
	m.apply(request.Target, gossipFull)
	target, known := m.table.member(request.Target.Name)
	if !known || len(m.probes.relays) >= maxRelays || target.Name == m.config.Self.Name {
		return
	}
	m.probeNumber++
	m.probes.relays[m.probeNumber] = relay{
		origin:   from,
		number:   request.Number,
		target:   target.Name,
		deadline: m.now.Add(3 * m.config.ProbeTimeout),
	}
	m.ping(target.Name, m.probeNumber)
}

func (m *Machine) receiveAck(from string, ack wire.Ack) {
	m.applyAll(ack.Updates)
	if relayed, ok := m.probes.relays[ack.Number]; ok && relayed.target == from && ack.About == from {
		delete(m.probes.relays, ack.Number)
		m.forwardAck(relayed, ack)
	}
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(pending pendingProbe) bool {
		return pending.number == ack.Number && pending.target == ack.About
	})
	m.endLocalSuspicion(ack.About)
	if from == ack.About {
		m.reportDigests(from, ack.Digests)
	}
}

// forwardAck sends the ack of an indirect probe to the node that requested it.
func (m *Machine) forwardAck(relayed relay, ack wire.Ack) {
	origin, ok := m.table.member(relayed.origin)
	if !ok {
		return
	}
	updates := m.targetRegister(ack)
	m.send(relayed.origin, origin.Peer, true, wire.Envelope{Ack: &wire.Ack{
		Number: relayed.number, About: ack.About, Digests: ack.Digests, Updates: updates,
	}})
}

// targetRegister returns the probed member's own register if its ack contains it,
// else nothing. A refutation thus reaches the accuser at once.
func (m *Machine) targetRegister(ack wire.Ack) []wire.Member {
	for _, update := range ack.Updates {
		if update.Name == ack.About {
			return []wire.Member{update}
		}
	}
	return nil
}

// endLocalSuspicion ends the suspicion of a leaving member that sent an ack.
func (m *Machine) endLocalSuspicion(name string) {
	entry, ok := m.table.suspects[name]
	if ok && entry.member.Status == wire.StatusLeaving {
		entry.suspicionDeadline = time.Time{}
		delete(m.table.suspects, name)
	}
}

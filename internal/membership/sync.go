package membership

import (
	"slices"
	"time"

	"sliphead/internal/wire"
)

// joinState tracks the attempts to join the fleet.
type joinState struct {
	joined      bool
	attempts    int
	nextAttempt time.Time
}

// repairState tracks whether this node's view differs from its peers' views.
type repairState struct {
	lastMatch   time.Time // when a peer's view hash last equaled this node's
	mismatches  int       // consecutive view hashes that did not
	nextAllowed time.Time // earliest time of the next repair
}

// joinFleet requests all registers from random seeds and listed machines until one
// of them has sent registers. Attempts are spaced by exponential backoff with jitter.
func (m *Machine) joinFleet() {
	if m.join.joined || m.now.Before(m.join.nextAttempt) {
		return
	}
	addresses := m.addresses()
	if len(addresses) == 0 {
		return
	}
	m.join.attempts++
	for range min(m.join.attempts, maxJoinTargets, len(addresses)) {
		index := m.config.Random.IntN(len(addresses))
		m.send("", addresses[index], false, wire.Envelope{Sync: &wire.Sync{
			Members: []wire.Member{m.Self()}, Digests: m.ownDigests(), Reply: true,
		}})
		addresses = slices.Delete(addresses, index, index+1)
	}
	bound := min(joinBackoff<<min(m.join.attempts, 8), maxJoinBackoff)
	m.join.nextAttempt = m.now.Add(bound/4 + m.jittered(bound))
}

// reportDigests passes a peer's digests to the caller of Step and compares views.
func (m *Machine) reportDigests(from string, digests wire.Digests) {
	if digests.Staged.IsZero() {
		digests.Staged = digests.Active
	}
	m.effects = append(m.effects, PeerDigests{From: from, Digests: digests})
	m.compareView(from, digests.View)
}

// compareView records whether a peer's view hash equals this node's, and starts a
// repair with that peer when one is due.
func (m *Machine) compareView(from string, view uint64) {
	if view == m.table.viewHash {
		m.repair.lastMatch, m.repair.mismatches = m.now, 0
		return
	}
	m.repair.mismatches++
	if m.repairDue() {
		m.startRepair(from)
	}
}

// repairDue reports whether this node's view has differed from its peers' views
// for RepairAfter. The time is doubled while many updates are queued, because
// gossip may still remove the difference.
func (m *Machine) repairDue() bool {
	minDuration := m.config.RepairAfter
	if m.gossipQueue.len() > backlogThreshold {
		minDuration *= 2
	}
	overdue := m.now.Sub(m.repair.lastMatch) >= minDuration
	return overdue && m.repair.mismatches >= minViewMismatches && !m.now.Before(m.repair.nextAllowed)
}

// startRepair sends the peer this node's bucket hashes. The peer replies with the
// registers in the buckets that differ, and this node then sends those that are
// newer here. The traffic grows with the difference instead of the fleet size.
func (m *Machine) startRepair(peer string) {
	target, ok := m.table.member(peer)
	if !ok {
		return
	}
	m.repair.nextAllowed = m.now.Add(m.config.RepairInterval)
	m.repair.lastMatch, m.repair.mismatches = m.now, 0
	m.send(peer, target.Peer, false, wire.Envelope{Sync: &wire.Sync{
		Members: []wire.Member{m.Self()},
		Digests: m.ownDigests(),
		Buckets: m.bucketHashes(),
		Reply:   true,
	}})
}

func (m *Machine) bucketHashes() []uint64 { return slices.Clone(m.table.buckets[:]) }

// receiveSync handles the four forms of a Sync: a join request (Reply), a repair
// request (Reply, Buckets), the reply to a repair request (Buckets), and the plain
// list of registers that completes a join or a repair.
func (m *Machine) receiveSync(from string, sync wire.Sync) {
	if len(sync.Buckets) != 0 && len(sync.Buckets) != bucketCount {
		return
	}
	m.reportDigests(from, sync.Digests)
	compare := len(sync.Buckets) == bucketCount
	var marked [bucketCount]bool
	if compare {
		marked = m.table.differingBuckets(sync.Buckets)
	}
	buckets := m.bucketHashes()
	var newer []wire.Member
	if compare && !sync.Reply {
		newer = missingFrom(sync.Members, m.table.inBuckets(marked))
	}
	mode := gossipReduced
	if !m.join.joined && !sync.Reply {
		mode = gossipNone
	}
	m.applySync(sync.Members, mode)
	address := m.addressOf(from, sync.Members)
	switch {
	case sync.Reply && compare:
		m.sendSync(from, address, wire.Sync{Members: m.table.inBuckets(marked), Buckets: buckets})
	case sync.Reply:
		m.sendSync(from, address, wire.Sync{Members: m.allFor(from)})
	case len(newer) > 0:
		m.sendSync(from, address, wire.Sync{Members: newer})
	}
	if !sync.Reply && len(sync.Members) > 0 {
		m.join.joined = true
	}
}

// allFor returns the registers of all live members, and the receiver's own if it
// is declared dead, so that it can refute.
func (m *Machine) allFor(receiver string) []wire.Member {
	members := slices.Clone(m.table.sortedLive())
	if entry, ok := m.table.dead[receiver]; ok {
		members = append(members, entry.member)
	}
	return members
}

// missingFrom returns those of this node's registers (ours) that the peer lacks or
// has in an older form.
func missingFrom(peers, ours []wire.Member) []wire.Member {
	theirs := make(map[string]wire.Member, len(peers))
	for _, member := range peers {
		theirs[member.Name] = member
	}
	return slices.DeleteFunc(ours, func(member wire.Member) bool {
		other, ok := theirs[member.Name]
		return ok && merge(other, member) == other
	})
}

func (m *Machine) sendSync(to, address string, sync wire.Sync) {
	if address == "" {
		return
	}
	sync.Digests = m.ownDigests()
	m.send(to, address, false, wire.Envelope{Sync: &sync})
}

// applySync merges the registers of a Sync. A member that is dead at the sender but
// live here only becomes suspect: after a partition each side has declared the
// other's members dead, and adopting that would empty both views until every member
// had refuted. Up to maxSyncProbes accused members are probed at once. If there are
// more, suspects included, they get a longer suspicion timeout, because many
// refutations take long to spread.
func (m *Machine) applySync(members []wire.Member, mode gossipMode) {
	var accused []wire.Member
	for _, member := range members {
		if isAccused(member) && m.table.isLive(member.Name) {
			accused = append(accused, member)
			continue
		}
		m.apply(member, mode)
	}
	for _, member := range accused {
		if len(accused) > maxSyncProbes {
			m.suspectFor(member, m.syncSuspicionTimeout(member.Status, len(accused)))
			continue
		}
		m.suspectAndProbe(member, mode)
	}
}

// suspectAndProbe adopts an accusation that came with few others, and probes the
// member. A death is not gossiped, and gets a short suspicion timeout, because the
// time to refute has already passed at the sender.
func (m *Machine) suspectAndProbe(member wire.Member, mode gossipMode) {
	if member.Status == wire.StatusDead {
		member.Status = wire.StatusSuspect
		m.apply(member, gossipNone)
		m.probeSuspect(member.Name)
		return
	}
	m.apply(member, mode)
	if _, suspected := m.table.suspects[member.Name]; suspected && !m.probes.isProbing(member.Name) {
		m.startProbe(member.Name)
	}
}

// suspectFor adopts an accusation that came with many others, with the given
// suspicion timeout, and does not gossip it. The timeout of a member that is already
// suspect is not restarted, because each repair repeats the same accusations.
func (m *Machine) suspectFor(member wire.Member, timeout time.Duration) {
	member.Status = wire.StatusSuspect
	if _, suspected := m.table.suspects[member.Name]; suspected {
		return
	}
	m.apply(member, gossipNone)
	if entry, ok := m.table.suspects[member.Name]; ok {
		entry.suspicionDeadline = m.now.Add(timeout)
	}
}

// syncSuspicionTimeout returns the time to refute for each of many accused members.
// For members that are suspect at the sender it is the usual timeout plus the time
// that gossip needs to transmit that many registers.
func (m *Machine) syncSuspicionTimeout(status wire.Status, accused int) time.Duration {
	maxTimeout := maxSyncSuspicionFactor * m.suspicionTimeout()
	if status == wire.StatusDead {
		return maxTimeout
	}
	rounds := accused * maxBacklogRetransmits / max(1, m.config.GossipFanout*m.config.MaxUpdates)
	return min(maxTimeout, m.suspicionTimeout()+time.Duration(rounds+1)*m.config.GossipInterval)
}

// probeSuspect probes a suspect and shortens its suspicion timeout so that it ends
// just after the probe would fail.
func (m *Machine) probeSuspect(name string) {
	entry, ok := m.table.suspects[name]
	if !ok || m.probes.isProbing(name) {
		return
	}
	m.startProbe(name)
	end := m.now.Add(4 * m.config.ProbeTimeout)
	if end.Before(entry.suspicionDeadline) {
		entry.suspicionDeadline = end
	}
}

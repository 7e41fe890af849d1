package distribution

import (
	"slices"
	"strconv"
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// proposal is a version that this node, as the root, is bringing to acceptance.
type proposal struct {
	version   version.Version
	startedAt time.Time
	retryAt   time.Time
	attempt   int
	holders   map[string]int64 // by member that has staged the version, start time of its process
}

// isFor reports whether the proposal is for the version. It may be called on
// nil.
func (p *proposal) isFor(v version.Version) bool { return p != nil && p.version == v }

// addHolder counts a live member as a holder, unless it is leaving.
func (p *proposal) addHolder(view *view, name string) {
	member := view.member(name)
	if member != nil && member.Status != wire.StatusLeaving {
		p.holders[name] = member.Start
	}
}

// dropAbsent drops holders that have left, are leaving or have restarted.
func (p *proposal) dropAbsent(view *view) {
	for name, start := range p.holders {
		member := view.member(name)
		if member == nil || member.Start != start || member.Status == wire.StatusLeaving {
			delete(p.holders, name)
		}
	}
}

// zoneCount returns the number of zones that have a holder.
func (p *proposal) zoneCount(view *view) int {
	zones := make(map[string]bool)
	for name := range p.holders {
		zones[view.member(name).Zone] = true
	}
	return len(zones)
}

// proposeIfDue makes this node the root of the newest version that is staged
// but not accepted. The first reader (the leader) proposes at once. Each later
// reader proposes only if those before it did not bring the version to
// acceptance in time, so that a version survives the failure of any root. One
// version is proposed at a time: the next waits for acceptance or for the lease
// to end.
func (m *Machine) proposeIfDue() {
	rank := m.view.readerRank(m.config.Self.Name)
	if rank < 0 || m.catchUp.phase != phaseCaughtUp || len(m.staged) == 0 {
		m.proposal = nil
		return
	}
	if m.proposal != nil && m.findStaged(m.proposal.version) == nil {
		m.proposal = nil
	}
	newest := m.staged[0]
	if m.proposal != nil && (m.proposal.version == newest.version() || m.now.Sub(m.proposal.startedAt) < m.config.Lease) {
		m.continueProposal()
		return
	}
	if m.now.Before(newest.stagedAt.Add(m.proposalDelay(rank, newest))) {
		m.notifyLeaderIfDue(newest)
		return
	}
	m.propose(newest)
}

// proposalDelay returns how long a reader waits for those before it.
func (m *Machine) proposalDelay(rank int, staged *candidate) time.Duration {
	delay := time.Duration(rank) * m.config.RetryInterval
	if staged.root != "" && staged.root != m.config.Self.Name {
		delay += m.config.RetryInterval
	}
	return delay
}

// propose pushes a staged version down the tree of which this node is the root.
func (m *Machine) propose(staged *candidate) {
	v := staged.version()
	m.proposal = &proposal{
		version:   v,
		startedAt: m.now,
		retryAt:   m.now.Add(m.backoff(0)),
		holders:   make(map[string]int64),
	}
	m.proposal.addHolder(m.view, m.config.Self.Name)
	for _, name := range m.reportedHolders(v) {
		m.proposal.addHolder(m.view, name)
	}
	m.sendToChildren(m.config.Self.Name, "", wire.Envelope{Push: m.rootPush(staged)})
	m.acceptIfEnoughHolders()
}

// rootPush returns the push against the version in force here, which the
// children probably have too.
func (m *Machine) rootPush(staged *candidate) *wire.Push {
	return &wire.Push{Delta: smallestDelta(m.deltaBase(m.active), staged.set), Root: m.config.Self.Name}
}

// continueProposal accepts the version if it can. Otherwise, after a delay, it
// pushes the version again to the children and some random peers that have not
// reported it as staged.
func (m *Machine) continueProposal() {
	if m.acceptIfEnoughHolders() || m.now.Before(m.proposal.retryAt) {
		return
	}
	m.proposal.attempt++
	m.proposal.retryAt = m.now.Add(m.backoff(m.proposal.attempt))
	staged := m.findStaged(m.proposal.version)
	message := wire.Envelope{Push: m.rootPush(staged)}
	contacted := make(map[string]bool)
	targets := slices.Concat(m.view.childrenFor(m.config.Self.Name), m.randomPeers(2*m.config.Holders))
	for _, target := range targets {
		if _, holds := m.proposal.holders[target]; holds || contacted[target] {
			continue
		}
		contacted[target] = true
		m.send(target, message)
	}
}

// acceptIfEnoughHolders accepts the version once Holders members, or all
// eligible ones if there are fewer, have staged it. They must be in two zones,
// unless the other zones have not replied within the lease.
func (m *Machine) acceptIfEnoughHolders() bool {
	holderCount := len(m.proposal.holders)
	if holderCount < min(m.config.Holders, m.view.eligible) {
		return false
	}
	zones := m.proposal.zoneCount(m.view)
	if zones < min(2, holderCount, len(m.view.memberCountByZone)) && m.now.Sub(m.proposal.startedAt) < m.config.Lease {
		return false
	}
	m.accept(holderCount, zones)
	return true
}

// accept puts the version in force here and sends its acceptance down the tree.
func (m *Machine) accept(holderCount, zones int) {
	v := m.proposal.version
	m.log(LogAccepted, nil, versionField(v),
		Field{"holders", strconv.Itoa(holderCount)}, Field{"zones", strconv.Itoa(zones)},
		Field{"duration", m.now.Sub(m.proposal.startedAt).String()})
	m.proposal = nil
	m.newestForwarded = version.Max(m.newestForwarded, v)
	m.recordAccepted(v)
	m.sendToChildren(m.config.Self.Name, "", wire.Envelope{Accepted: &wire.Accepted{Version: v, Root: m.config.Self.Name}})
	m.activateAccepted()
}

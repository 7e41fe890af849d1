package distribution

import (
	"slices"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// onPush handles a version that a peer sent down a tree or as a repair.
func (m *Machine) onPush(from string, push *wire.Push) {
	v := push.Delta.To
	if push.Root != "" && !m.active.Version().After(v) {
		m.storePush(from, push)
	}
	if m.active.Version() == v || m.findStaged(v) != nil {
		m.notifyRoot(from, push)
		m.forward(m.findPush(v))
		return
	}
	if !v.After(m.active.Version()) || m.isRefused(v) {
		return
	}
	base := m.lookup(push.Delta.From)
	if base == nil {
		m.scheduleRepair(v, from, 0)
		return
	}
	set, err := base.Apply(push.Delta)
	if err != nil {
		m.log(LogDeltaRefused, err, versionField(v), Field{"peer", from})
		return
	}
	m.addSet(set, push.Root)
}

// storePush stores a push, to be forwarded once its version is staged.
func (m *Machine) storePush(from string, push *wire.Push) {
	if pending := m.findPush(push.Delta.To); pending != nil {
		pending.from = from
		return
	}
	m.pendingPushes = insertNewest(m.pendingPushes, &pendingPush{push: push, from: from}, maxPendingPushes,
		func(pending *pendingPush) version.Version { return pending.push.Delta.To })
}

// notifyRoot reports to the root that its version is staged here. Only a node
// that got the push from the root itself does so, which bounds the replies to
// the root.
func (m *Machine) notifyRoot(from string, push *wire.Push) {
	if from == push.Root {
		m.send(from, wire.Envelope{Staged: &wire.Staged{Version: push.Delta.To, Zone: m.config.Self.Zone}})
	}
}

// forward sends a pending push to this node's children, once.
func (m *Machine) forward(pending *pendingPush) {
	if pending == nil || pending.forwarded || pending.push.Root == m.config.Self.Name {
		return
	}
	pending.forwarded = true
	m.sendToChildren(pending.push.Root, pending.from, wire.Envelope{Push: pending.push})
}

// sendToChildren sends a message to this node's children in the root's tree,
// except to the peer that it came from.
func (m *Machine) sendToChildren(root, except string, message wire.Envelope) {
	for _, child := range m.view.childrenFor(root) {
		if child != except {
			m.send(child, message)
		}
	}
}

// onAccepted handles the announcement that a version is accepted, or the reply
// to a numbered pull.
func (m *Machine) onAccepted(from string, accepted *wire.Accepted) {
	m.onQueryReply(from, accepted)
	v := accepted.Version
	if v.IsZero() {
		return
	}
	m.recordAccepted(v)
	if accepted.Root != "" && v.After(m.newestForwarded) {
		m.newestForwarded = v
		m.sendToChildren(accepted.Root, from, wire.Envelope{Accepted: accepted})
	}
	m.scheduleRepair(v, from, 0)
}

// onDigests handles the versions that a peer advertises in its gossip.
func (m *Machine) onDigests(from string, digests wire.Digests) {
	m.onGossipReport(from, digests.Active)
	m.recordAccepted(digests.Active)
	delay := m.config.RepairDelay
	if m.catchUp.phase != phaseCaughtUp {
		delay = 0
	}
	m.scheduleRepair(digests.Active, from, delay)
	m.scheduleRepair(digests.Staged, from, delay)
}

// onStaged handles a member's report that it has staged a version. If that
// version is not newer than the one in force here, it replies with the latter.
func (m *Machine) onStaged(from string, staged *wire.Staged) {
	v := staged.Version
	if m.active.Version().Compare(v) >= 0 {
		m.send(from, wire.Envelope{Accepted: &wire.Accepted{Version: m.active.Version()}})
		return
	}
	m.recordStaged(from, v)
	if m.proposal != nil && m.proposal.version == v {
		m.proposal.addHolder(m.view, from)
	}
	m.scheduleRepair(v, from, 0)
}

// stagedReport is a member's report that it has staged a version.
type stagedReport struct {
	version      version.Version
	processStart int64 // start time of the member's process
}

// recordStaged records the newest version that a member reported as staged.
func (m *Machine) recordStaged(from string, v version.Version) {
	if _, known := m.stagedReports[from]; !known && len(m.stagedReports) >= maxStagedReports {
		return
	}
	member := m.view.member(from)
	if member != nil && v.After(m.stagedReports[from].version) {
		m.stagedReports[from] = stagedReport{version: v, processStart: member.Start}
	}
}

// reportedHolders returns the members whose newest staged version is the given
// one.
func (m *Machine) reportedHolders(v version.Version) []string {
	var names []string
	for name, report := range m.stagedReports {
		if report.version == v {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

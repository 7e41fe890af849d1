package distribution

import (
	"slices"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// onPush takes a version sent down a tree or as a repair.
func (m *Machine) onPush(from string, push *wire.Push) {
	v := push.Delta.To
	if push.Root != "" && !m.active.Version().After(v) {
		m.keepPush(from, push)
	}
	if m.active.Version() == v || m.stagedOf(v) != nil {
		m.tellRoot(from, push)
		m.passOn(m.pushOf(v))
		return
	}
	if !v.After(m.active.Version()) || m.isRefused(v) {
		return
	}
	base := m.lookup(push.Delta.From)
	if base == nil {
		m.want(v, from, 0)
		return
	}
	set, err := base.Apply(push.Delta)
	if err != nil {
		m.log(LogBadDelta, err, versionField(v), Field{"peer", from})
		return
	}
	m.offer(set, push.Root)
}

// keepPush remembers a push, to be passed on once its version is whole.
func (m *Machine) keepPush(from string, push *wire.Push) {
	if held := m.pushOf(push.Delta.To); held != nil {
		held.from = from
		return
	}
	m.pushes = insertNewest(m.pushes, &heldPush{push: push, from: from}, maxPushes,
		func(held *heldPush) version.Version { return held.push.Delta.To })
}

// tellRoot tells the root that its version is held here. Only those to whom the
// root itself sent do so, which bounds the answers.
func (m *Machine) tellRoot(from string, push *wire.Push) {
	if from == push.Root {
		m.send(from, wire.Envelope{Staged: &wire.Staged{Version: push.Delta.To, Zone: m.config.Self.Zone}})
	}
}

// passOn sends a push to this node's children, once.
func (m *Machine) passOn(held *heldPush) {
	if held == nil || held.forwarded || held.push.Root == m.config.Self.Name {
		return
	}
	held.forwarded = true
	m.sendDown(held.push.Root, held.from, wire.Envelope{Push: held.push})
}

// sendDown sends to this node's children in the root's tree, except to the peer
// that the message came from.
func (m *Machine) sendDown(root, except string, message wire.Envelope) {
	for _, child := range m.view.childrenFor(root) {
		if child != except {
			m.send(child, message)
		}
	}
}

// onAccepted takes the news that a version is accepted, or the answer to a
// numbered pull.
func (m *Machine) onAccepted(from string, accepted *wire.Accepted) {
	m.onConfirmation(from, accepted)
	v := accepted.Version
	if v.IsZero() {
		return
	}
	m.noteAccepted(v)
	if accepted.Root != "" && v.After(m.passed) {
		m.passed = v
		m.sendDown(accepted.Root, from, wire.Envelope{Accepted: accepted})
	}
	m.want(v, from, 0)
}

// onDigests takes what a peer's gossip says that it holds.
func (m *Machine) onDigests(from string, digests wire.Digests) {
	m.onReport(from, digests.Active)
	m.noteAccepted(digests.Active)
	delay := m.config.RepairDelay
	if m.catchUp.phase != phaseCaughtUp {
		delay = 0
	}
	m.want(digests.Active, from, delay)
	m.want(digests.Staged, from, delay)
}

// onStaged takes the news that a member holds a version whole.
func (m *Machine) onStaged(from string, staged *wire.Staged) {
	v := staged.Version
	if m.active.Version().Compare(v) >= 0 {
		m.send(from, wire.Envelope{Accepted: &wire.Accepted{Version: m.active.Version()}})
		return
	}
	m.keepNotice(from, v)
	if m.flight != nil && m.flight.version == v {
		m.flight.hold(m.view, from)
	}
	m.want(v, from, 0)
}

// notice is a member's report that it holds a version.
type notice struct {
	version version.Version
	start   int64 // of the member's process
}

// keepNotice remembers the newest version that a member reported holding.
func (m *Machine) keepNotice(from string, v version.Version) {
	if _, known := m.notices[from]; !known && len(m.notices) >= maxNotices {
		return
	}
	member := m.view.member(from)
	if member != nil && v.After(m.notices[from].version) {
		m.notices[from] = notice{version: v, start: member.Start}
	}
}

// holdersNoticed returns the members that reported holding a version.
func (m *Machine) holdersNoticed(v version.Version) []string {
	var names []string
	for name, held := range m.notices {
		if held.version == v {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

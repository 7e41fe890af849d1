package distribution

import (
	"slices"
	"strconv"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

func (m *Machine) onSourceRead(set *snapshot.Set) {
	m.catchUp.sourceErr = nil
	m.catchUp.sourceRead = true
	v := set.Version()
	m.noteEquivocation(v)
	if m.active.Version().After(v) && !m.active.Version().Conflicts(v) {
		m.noteOlder(v)
	}
	m.offer(set, "")
}

// noteOlder logs a stale source once for each version that it gives.
func (m *Machine) noteOlder(v version.Version) {
	if m.catchUp.older == v {
		return
	}
	m.catchUp.older = v
	m.log(LogOlder, nil, versionField(v), Field{"active", m.active.Version().String()})
}

// noteEquivocation logs a second content for a revision that is held.
func (m *Machine) noteEquivocation(v version.Version) {
	for _, held := range m.heldVersions() {
		if held.Conflicts(v) && m.catchUp.equivocation != v {
			m.catchUp.equivocation = v
			m.log(LogEquivocation, nil, versionField(v), Field{"held", held.String()}, Field{"wins", version.Max(v, held).String()})
		}
	}
}

func (m *Machine) heldVersions() []version.Version {
	versions := []version.Version{m.active.Version()}
	for _, staged := range m.staged {
		versions = append(versions, staged.version())
	}
	if m.waiting != nil {
		versions = append(versions, m.waiting.version())
	}
	return versions
}

// offer takes a set that was read, pushed or pulled. A set that is not after
// the one in force, or that the validator refuses, changes nothing.
func (m *Machine) offer(set *snapshot.Set, root string) {
	v := set.Version()
	if !v.After(m.active.Version()) || m.stagedOf(v) != nil || m.isRefused(v) {
		return
	}
	if m.waiting != nil && m.waiting.version() == v {
		m.fill(set)
		return
	}
	if err := m.config.Validate(set); err != nil {
		m.refuse(v, err)
		return
	}
	m.noteEquivocation(v)
	fresh := &candidate{set: m.fillFromHeld(set), since: m.now, root: root}
	if fresh.set.Complete() {
		m.stage(fresh)
		return
	}
	m.wait(fresh)
}

func (m *Machine) refuse(v version.Version, err error) {
	m.refused = slices.Insert(m.refused, 0, Refusal{Version: v, Reason: err.Error(), At: m.now})
	m.refused = m.refused[:min(len(m.refused), maxRefused)]
	m.log(LogRefused, err, versionField(v))
}

// wait keeps a version that lacks bodies, unless a newer one is waiting.
func (m *Machine) wait(fresh *candidate) {
	if m.waiting != nil && m.waiting.version().After(fresh.version()) {
		return
	}
	m.waiting = fresh
	m.asking.begin(m.now)
	missing := fresh.set.Missing()
	m.log(LogWaiting, nil, versionField(fresh.version()),
		Field{"missing", strconv.Itoa(len(missing))}, Field{"first", missing[0].String()})
}

// fill completes the waiting version from another copy of it.
func (m *Machine) fill(set *snapshot.Set) {
	var bodies []snapshot.Resource
	for _, key := range m.waiting.set.Missing() {
		if resource, found := set.Lookup(key); found && resource.Body != nil {
			bodies = append(bodies, resource)
		}
	}
	m.fillWith(bodies)
}

func (m *Machine) fillWith(bodies []snapshot.Resource) {
	if m.waiting == nil || len(bodies) == 0 {
		return
	}
	m.waiting.set = m.waiting.set.WithBodies(bodies)
	if m.waiting.set.Complete() {
		whole := m.waiting
		m.waiting = nil
		m.stage(whole)
	}
}

// fillFromHeld takes missing bodies from the other sets held. WithBodies passes
// over those of another digest.
func (m *Machine) fillFromHeld(set *snapshot.Set) *snapshot.Set {
	missing := set.Missing()
	if len(missing) == 0 {
		return set
	}
	var bodies []snapshot.Resource
	for _, key := range missing {
		bodies = append(bodies, m.bodiesOf(key)...)
	}
	return set.WithBodies(bodies)
}

// bodiesOf returns the bodies held under a key, in any version.
func (m *Machine) bodiesOf(key snapshot.Key) []snapshot.Resource {
	var bodies []snapshot.Resource
	for _, set := range m.heldSets() {
		resource, found := set.Lookup(key)
		known := slices.ContainsFunc(bodies, func(other snapshot.Resource) bool { return other.Digest == resource.Digest })
		if found && resource.Body != nil && !known {
			bodies = append(bodies, resource)
		}
	}
	return bodies
}

func (m *Machine) heldSets() []*snapshot.Set {
	sets := []*snapshot.Set{m.active}
	for _, staged := range m.staged {
		sets = append(sets, staged.set)
	}
	if m.waiting != nil {
		sets = append(sets, m.waiting.set)
	}
	return append(sets, m.history...)
}

// stage keeps a version that is whole, passes it on and tells its root.
func (m *Machine) stage(whole *candidate) {
	whole.whole = m.now
	whole.accepted = m.isAccepted(whole.version())
	m.staged = insertNewest(m.staged, whole, maxStaged+1, func(c *candidate) version.Version { return c.version() })
	m.trimStaged()
	if m.stagedOf(whole.version()) == nil {
		return // two newer ones are staged: it is not held, so no one may count on it
	}
	if m.waiting != nil && whole.version().After(m.waiting.version()) {
		m.waiting = nil
	}
	m.log(LogStaged, nil, versionField(whole.version()), Field{"root", whole.root})
	if held := m.pushOf(whole.version()); held != nil {
		m.tellRoot(held.from, held.push)
		m.passOn(held)
	}
	m.tellLeader(whole)
}

// trimStaged keeps the newest version and, of the others, one that is accepted
// or being accepted here before the second newest.
func (m *Machine) trimStaged() {
	if len(m.staged) <= maxStaged {
		return
	}
	dropped := len(m.staged) - 1
	if oldest := m.staged[dropped].version(); m.isAccepted(oldest) || m.flight.leads(oldest) {
		dropped--
	}
	m.remember(m.staged[dropped].set)
	m.staged = slices.Delete(m.staged, dropped, dropped+1)
}

// tellLeader tells the first reader that this node, a reader too, holds a
// version that came from no tree.
func (m *Machine) tellLeader(whole *candidate) {
	if !m.isReader() || whole.root != "" {
		return
	}
	whole.noted = m.now
	m.send(m.view.leader(), wire.Envelope{Staged: &wire.Staged{Version: whole.version(), Zone: m.config.Self.Zone}})
}

// tellLeaderAgain repeats what may have been lost.
func (m *Machine) tellLeaderAgain(whole *candidate) {
	if m.now.Sub(whole.noted) >= m.config.RetryInterval {
		m.tellLeader(whole)
	}
}

// activateAccepted puts the newest accepted version in force. It holds back
// while a started node does not know yet whether peers hold a newer one.
func (m *Machine) activateAccepted() {
	if m.catchUp.phase == phaseStarting {
		return
	}
	for _, staged := range m.staged {
		if m.isAccepted(staged.version()) {
			m.activate(staged)
			return
		}
	}
}

// activate puts a staged version in force. The version never goes back and is
// never in part.
func (m *Machine) activate(staged *candidate) {
	if !staged.version().After(m.active.Version()) || !staged.set.Complete() {
		return
	}
	m.remember(m.active)
	m.active = staged.set
	m.dropUpTo(m.active.Version())
	m.log(LogActivated, nil, versionField(m.active.Version()))
	m.emit(Activate{Set: m.active})
}

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
	m.logEquivocation(v)
	if m.active.Version().After(v) && !m.active.Version().Conflicts(v) {
		m.logOlder(v)
	}
	m.addSet(set, "")
}

// logOlder logs a stale source, once for each version that it gives.
func (m *Machine) logOlder(v version.Version) {
	if m.catchUp.loggedOlder == v {
		return
	}
	m.catchUp.loggedOlder = v
	m.log(LogOlder, nil, versionField(v), Field{"active", m.active.Version().String()})
}

// logEquivocation logs that a revision has another content than the one present
// here.
func (m *Machine) logEquivocation(v version.Version) {
	for _, existing := range m.storedVersions() {
		if existing.Conflicts(v) && m.catchUp.loggedEquivocation != v {
			m.catchUp.loggedEquivocation = v
			m.log(LogEquivocation, nil, versionField(v), Field{"held", existing.String()}, Field{"wins", version.Max(v, existing).String()})
		}
	}
}

// storedVersions returns the versions of the active, staged and waiting sets.
func (m *Machine) storedVersions() []version.Version {
	versions := []version.Version{m.active.Version()}
	for _, staged := range m.staged {
		versions = append(versions, staged.version())
	}
	if m.waiting != nil {
		versions = append(versions, m.waiting.version())
	}
	return versions
}

// addSet adds a set that was read, pushed or pulled. A set that is not newer
// than the one in force, or that the validator refuses, is not added.
func (m *Machine) addSet(set *snapshot.Set, root string) {
	v := set.Version()
	if !v.After(m.active.Version()) || m.findStaged(v) != nil || m.isRefused(v) {
		return
	}
	if m.waiting != nil && m.waiting.version() == v {
		m.addBodiesOf(set)
		return
	}
	if err := m.config.Validate(set); err != nil {
		m.refuse(v, err)
		return
	}
	m.logEquivocation(v)
	added := &candidate{set: m.reuseBodies(set), since: m.now, root: root}
	if added.set.Complete() {
		m.stage(added)
		return
	}
	m.setWaiting(added)
}

func (m *Machine) refuse(v version.Version, err error) {
	m.refused = slices.Insert(m.refused, 0, Refusal{Version: v, Reason: err.Error(), At: m.now})
	m.refused = m.refused[:min(len(m.refused), maxRefused)]
	m.log(LogRefused, err, versionField(v))
}

// setWaiting makes a version that lacks bodies the waiting one, unless a newer
// one is waiting.
func (m *Machine) setWaiting(added *candidate) {
	if m.waiting != nil && m.waiting.version().After(added.version()) {
		return
	}
	m.waiting = added
	m.bodyRequest.begin(m.now)
	missing := added.set.Missing()
	m.log(LogWaiting, nil, versionField(added.version()),
		Field{"missing", strconv.Itoa(len(missing))}, Field{"first", missing[0].String()})
}

// addBodiesOf adds the missing bodies of the waiting version from another copy
// of it.
func (m *Machine) addBodiesOf(set *snapshot.Set) {
	var bodies []snapshot.Resource
	for _, key := range m.waiting.set.Missing() {
		if resource, found := set.Lookup(key); found && resource.Body != nil {
			bodies = append(bodies, resource)
		}
	}
	m.addBodies(bodies)
}

func (m *Machine) addBodies(bodies []snapshot.Resource) {
	if m.waiting == nil || len(bodies) == 0 {
		return
	}
	m.waiting.set = m.waiting.set.WithBodies(bodies)
	if m.waiting.set.Complete() {
		complete := m.waiting
		m.waiting = nil
		m.stage(complete)
	}
}

// reuseBodies adds missing bodies from the other sets in the store. WithBodies
// ignores those with another digest.
func (m *Machine) reuseBodies(set *snapshot.Set) *snapshot.Set {
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

// bodiesOf returns the bodies stored under a key, in any version.
func (m *Machine) bodiesOf(key snapshot.Key) []snapshot.Resource {
	var bodies []snapshot.Resource
	for _, set := range m.storedSets() {
		resource, found := set.Lookup(key)
		duplicate := slices.ContainsFunc(bodies, func(other snapshot.Resource) bool { return other.Digest == resource.Digest })
		if found && resource.Body != nil && !duplicate {
			bodies = append(bodies, resource)
		}
	}
	return bodies
}

// storedSets returns the active, staged and waiting sets and those in history.
func (m *Machine) storedSets() []*snapshot.Set {
	sets := []*snapshot.Set{m.active}
	for _, staged := range m.staged {
		sets = append(sets, staged.set)
	}
	if m.waiting != nil {
		sets = append(sets, m.waiting.set)
	}
	return append(sets, m.history...)
}

// stage stages a complete version, forwards its push and reports it to its
// root.
func (m *Machine) stage(complete *candidate) {
	complete.stagedAt = m.now
	complete.accepted = m.isAccepted(complete.version())
	m.staged = insertNewest(m.staged, complete, maxStaged+1, func(c *candidate) version.Version { return c.version() })
	m.trimStaged()
	if m.findStaged(complete.version()) == nil {
		return // two newer ones are staged: it was dropped and must not be reported as staged
	}
	if m.waiting != nil && complete.version().After(m.waiting.version()) {
		m.waiting = nil
	}
	m.log(LogStaged, nil, versionField(complete.version()), Field{"root", complete.root})
	if pending := m.findPush(complete.version()); pending != nil {
		m.notifyRoot(pending.from, pending.push)
		m.forward(pending)
	}
	m.notifyLeader(complete)
}

// trimStaged drops one staged version if there are too many: the oldest, or the
// second oldest if the oldest is accepted or being proposed here.
func (m *Machine) trimStaged() {
	if len(m.staged) <= maxStaged {
		return
	}
	dropped := len(m.staged) - 1
	if oldest := m.staged[dropped].version(); m.isAccepted(oldest) || m.proposal.isFor(oldest) {
		dropped--
	}
	m.addHistory(m.staged[dropped].set)
	m.staged = slices.Delete(m.staged, dropped, dropped+1)
}

// notifyLeader reports to the first reader that this node, a reader too, has
// staged a version that no tree delivered.
func (m *Machine) notifyLeader(complete *candidate) {
	if !m.isReader() || complete.root != "" {
		return
	}
	complete.notifiedAt = m.now
	m.send(m.view.leader(), wire.Envelope{Staged: &wire.Staged{Version: complete.version(), Zone: m.config.Self.Zone}})
}

// notifyLeaderIfDue repeats the report, as it may have been lost.
func (m *Machine) notifyLeaderIfDue(complete *candidate) {
	if m.now.Sub(complete.notifiedAt) >= m.config.RetryInterval {
		m.notifyLeader(complete)
	}
}

// activateAccepted activates the newest accepted version. A started node does
// not activate until its catch-up shows whether peers have a newer one.
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

// activate puts a staged version in force. It never activates an older or an
// incomplete one.
func (m *Machine) activate(staged *candidate) {
	if !staged.version().After(m.active.Version()) || !staged.set.Complete() {
		return
	}
	m.addHistory(m.active)
	m.active = staged.set
	m.dropUpTo(m.active.Version())
	m.log(LogActivated, nil, versionField(m.active.Version()))
	m.emit(Activate{Set: m.active})
}

package distribution

import (
	"slices"
	"strconv"
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// flight is a version that this node, as the root, brings to acceptance.
type flight struct {
	version version.Version
	began   time.Time
	retryAt time.Time
	attempt int
	holders map[string]int64 // start of each process that holds the version
}

// leads reports whether the version is the one being brought to acceptance.
func (f *flight) leads(v version.Version) bool { return f != nil && f.version == v }

// hold counts a live member that may be relied on as a holder.
func (f *flight) hold(view *view, name string) {
	member := view.member(name)
	if member != nil && member.Status != wire.StatusLeaving {
		f.holders[name] = member.Start
	}
}

// forgetAbsent drops holders that have left, are leaving or restarted.
func (f *flight) forgetAbsent(view *view) {
	for name, start := range f.holders {
		member := view.member(name)
		if member == nil || member.Start != start || member.Status == wire.StatusLeaving {
			delete(f.holders, name)
		}
	}
}

// zones returns the number of zones in which the version is held.
func (f *flight) zones(view *view) int {
	zones := make(map[string]bool)
	for name := range f.holders {
		zones[view.member(name).Zone] = true
	}
	return len(zones)
}

// leadIfDue makes this node the root of the newest version that is staged but
// not accepted. The first reader leads at once. Each reader after it leads only
// when those before it did not bring the version to acceptance in time, so that
// a version survives the death of any root. One version is led at a time: the
// next waits for acceptance or for the lease to end.
func (m *Machine) leadIfDue() {
	place := m.view.readerRank(m.config.Self.Name)
	if place < 0 || m.catchUp.phase != phaseCaughtUp || len(m.staged) == 0 {
		m.flight = nil
		return
	}
	if m.flight != nil && m.stagedOf(m.flight.version) == nil {
		m.flight = nil
	}
	newest := m.staged[0]
	if m.flight != nil && (m.flight.version == newest.version() || m.now.Sub(m.flight.began) < m.config.Lease) {
		m.continueFlight()
		return
	}
	if m.now.Before(newest.whole.Add(m.leadDelay(place, newest))) {
		m.tellLeaderAgain(newest)
		return
	}
	m.lead(newest)
}

// leadDelay returns how long a reader waits for those before it.
func (m *Machine) leadDelay(place int, staged *candidate) time.Duration {
	delay := time.Duration(place) * m.config.RetryInterval
	if staged.root != "" && staged.root != m.config.Self.Name {
		delay += m.config.RetryInterval
	}
	return delay
}

// lead pushes a staged version down the tree that this node is the root of.
func (m *Machine) lead(staged *candidate) {
	v := staged.version()
	m.flight = &flight{
		version: v,
		began:   m.now,
		retryAt: m.now.Add(m.backoff(0)),
		holders: make(map[string]int64),
	}
	m.flight.hold(m.view, m.config.Self.Name)
	for _, name := range m.holdersNoticed(v) {
		m.flight.hold(m.view, name)
	}
	m.sendDown(m.config.Self.Name, "", wire.Envelope{Push: m.rootPush(staged)})
	m.acceptIfHeld()
}

// rootPush returns the push against the version that children are believed to
// hold: the one in force here.
func (m *Machine) rootPush(staged *candidate) *wire.Push {
	return &wire.Push{Delta: smallestDelta(m.deltaBase(m.active), staged.set), Root: m.config.Self.Name}
}

// continueFlight accepts the version or, after a wait, pushes it again to those
// that did not answer and to some others.
func (m *Machine) continueFlight() {
	if m.acceptIfHeld() || m.now.Before(m.flight.retryAt) {
		return
	}
	m.flight.attempt++
	m.flight.retryAt = m.now.Add(m.backoff(m.flight.attempt))
	staged := m.stagedOf(m.flight.version)
	message := wire.Envelope{Push: m.rootPush(staged)}
	asked := make(map[string]bool)
	targets := slices.Concat(m.view.childrenFor(m.config.Self.Name), m.randomPeers(2*m.config.Holders))
	for _, target := range targets {
		if _, holds := m.flight.holders[target]; holds || asked[target] {
			continue
		}
		asked[target] = true
		m.send(target, message)
	}
}

// acceptIfHeld accepts the version once enough members hold it: Holders of them
// or all that are live, over two zones unless the other zones did not answer
// within the lease.
func (m *Machine) acceptIfHeld() bool {
	held := len(m.flight.holders)
	if held < min(m.config.Holders, m.view.eligible) {
		return false
	}
	zones := m.flight.zones(m.view)
	if zones < min(2, held, len(m.view.zones)) && m.now.Sub(m.flight.began) < m.config.Lease {
		return false
	}
	m.accept(held, zones)
	return true
}

// accept puts the version in force here and tells the tree.
func (m *Machine) accept(held, zones int) {
	v := m.flight.version
	m.log(LogAccepted, nil, versionField(v),
		Field{"holders", strconv.Itoa(held)}, Field{"zones", strconv.Itoa(zones)},
		Field{"duration", m.now.Sub(m.flight.began).String()})
	m.flight = nil
	m.passed = version.Max(m.passed, v)
	m.noteAccepted(v)
	m.sendDown(m.config.Self.Name, "", wire.Envelope{Accepted: &wire.Accepted{Version: v, Root: m.config.Self.Name}})
	m.activateAccepted()
}

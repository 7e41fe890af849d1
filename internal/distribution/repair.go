package distribution

import (
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// repair is the one version that is to be pulled. One pull is outstanding at a
// time: the next waits until the one before has had its time, whatever its
// answer, so that two nodes that do not understand each other stay quiet.
type repair struct {
	target  version.Version
	sources []string  // peers that hold the target and were not asked yet
	due     time.Time // when the next pull may be sent
	pulled  bool      // whether a pull for the target was sent: the next waits for due
}

// want notes that a peer holds a version which this node lacks.
func (m *Machine) want(v version.Version, source string, delay time.Duration) {
	if !m.lacks(v) || m.repair.target.After(v) {
		return
	}
	due := m.now.Add(m.jitteredOrNone(delay))
	if v.After(m.repair.target) {
		m.repair = repair{target: v, due: due}
	}
	if !m.repair.pulled && due.Before(m.repair.due) {
		m.repair.due = due
	}
	if len(m.repair.sources) < maxSources && !slices.Contains(m.repair.sources, source) {
		m.repair.sources = append(m.repair.sources, source)
	}
}

func (m *Machine) jitteredOrNone(delay time.Duration) time.Duration {
	if delay == 0 {
		return 0
	}
	return m.jittered(delay)
}

// lacks reports whether the version is worth pulling: newer than all that is
// held whole, or accepted and newer than the one in force.
func (m *Machine) lacks(v version.Version) bool {
	if !v.After(m.active.Version()) || m.isRefused(v) || m.stagedOf(v) != nil {
		return false
	}
	return v.After(m.newestWhole()) || m.isAccepted(v)
}

// pullIfDue sends the next pull. A peer that did not answer in time is not
// asked again until it tells anew that it holds the version.
func (m *Machine) pullIfDue() {
	if m.repair.target.IsZero() {
		return
	}
	if !m.lacks(m.repair.target) {
		m.repair = repair{}
		return
	}
	if m.now.Before(m.repair.due) {
		return
	}
	if len(m.repair.sources) == 0 {
		m.repair = repair{}
		return
	}
	index := m.config.Random.Intn(len(m.repair.sources))
	asked := m.repair.sources[index]
	m.repair.sources = slices.Delete(m.repair.sources, index, index+1)
	m.repair.due = m.now.Add(m.jittered(m.config.RetryInterval))
	m.repair.pulled = true
	pull := &wire.Pull{Have: m.have()}
	if m.catchUp.phase != phaseCaughtUp {
		pull.Number = m.catchUp.number
	}
	if asked == m.catchUp.confirm {
		m.catchUp.confirm = ""
	}
	m.send(asked, wire.Envelope{Pull: pull})
}

// have returns the version against which a peer can make a delta and after
// which it shall send. A staged version does not count: the accepted one before
// it may be needed too.
func (m *Machine) have() version.Version { return m.newestAccepted() }

// onPull answers with the version in force and with the deltas that lead to it
// and to the newest staged one.
func (m *Machine) onPull(from string, pull *wire.Pull) {
	if len(pull.Missing) > 0 {
		m.sendBodies(from, pull.Missing)
		return
	}
	m.send(from, wire.Envelope{Accepted: &wire.Accepted{Version: m.active.Version(), Number: pull.Number}})
	base := snapshot.Empty()
	if held := m.lookup(pull.Have); held != nil {
		base = m.deltaBase(held)
	}
	if m.active.Version().After(pull.Have) {
		m.sendDelta(from, base, m.active)
		base = m.deltaBase(m.active)
	}
	if len(m.staged) > 0 && m.staged[0].version().After(pull.Have) {
		m.sendDelta(from, base, m.staged[0].set)
	}
}

// deltaBase returns the set against which a delta is made for a peer that holds
// the given one: the empty set when deltas are switched off.
func (m *Machine) deltaBase(held *snapshot.Set) *snapshot.Set {
	if m.config.History <= 0 {
		return snapshot.Empty()
	}
	return held
}

// sendDelta sends a repair. Whole sets are limited, so that the load of many
// started nodes is spread over their peers.
func (m *Machine) sendDelta(to string, from, target *snapshot.Set) {
	if from.Len() == 0 && !m.deltas.allowWhole(m.now, m.config.MaxWholePerSec) {
		return
	}
	m.send(to, wire.Envelope{Push: m.deltas.repairPush(from, target)})
}

func (m *Machine) sendBodies(to string, keys []snapshot.Key) {
	var bodies []snapshot.Resource
	for _, key := range keys[:min(len(keys), maxMissingAsked)] {
		bodies = append(bodies, m.bodiesOf(key)...)
	}
	if len(bodies) > 0 {
		m.send(to, wire.Envelope{Resource: &wire.Resource{Resources: bodies}})
	}
}

func (m *Machine) onResource(resource *wire.Resource) { m.fillWith(resource.Resources) }

// asking is the repeated question for the bodies that the waiting version lacks.
type asking struct {
	due     time.Time
	attempt int
}

func (a *asking) begin(now time.Time) { *a = asking{due: now} }

// askForMissing asks a reader or another peer in turn, with growing waits.
func (m *Machine) askForMissing() {
	if m.waiting == nil || m.now.Before(m.asking.due) {
		return
	}
	missing := m.waiting.set.Missing()
	missing = missing[:min(len(missing), maxMissingAsked)]
	m.send(m.bodySource(), wire.Envelope{Pull: &wire.Pull{Have: m.have(), Missing: missing}})
	m.asking.due = m.now.Add(m.backoff(m.asking.attempt))
	m.asking.attempt++
}

// bodySource returns the peer to ask next: readers and random peers by turns.
func (m *Machine) bodySource() string {
	if m.asking.attempt%2 == 0 && len(m.view.readers) > 0 {
		return m.view.readers[m.config.Random.Intn(len(m.view.readers))].name
	}
	for _, peer := range m.randomPeers(1) {
		return peer
	}
	return ""
}

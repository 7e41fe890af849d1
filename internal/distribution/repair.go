package distribution

import (
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// repair is the one version that is to be pulled. One pull is outstanding at a
// time: the next waits until the previous one has had its time, whatever its
// reply, so that two nodes with incompatible states do not exchange pulls
// without pause.
type repair struct {
	target  version.Version
	sources []string  // peers that have the target and were not queried yet
	due     time.Time // when the next pull may be sent
	pulled  bool      // whether a pull for the target was sent, so that the next waits for due
}

// scheduleRepair records that a peer has a version, and schedules a pull after
// the jittered delay if this node needs it.
func (m *Machine) scheduleRepair(v version.Version, source string, delay time.Duration) {
	if !m.isNeeded(v) || m.repair.target.After(v) {
		return
	}
	due := m.now.Add(m.jitteredOrNone(delay))
	if v.After(m.repair.target) {
		m.repair = repair{target: v, due: due}
	}
	if !m.repair.pulled && due.Before(m.repair.due) {
		m.repair.due = due
	}
	if len(m.repair.sources) < maxRepairSources && !slices.Contains(m.repair.sources, source) {
		m.repair.sources = append(m.repair.sources, source)
	}
}

func (m *Machine) jitteredOrNone(delay time.Duration) time.Duration {
	if delay == 0 {
		return 0
	}
	return m.jittered(delay)
}

// isNeeded reports whether the version should be pulled: it is newer than every
// complete version here, or accepted and newer than the one in force.
func (m *Machine) isNeeded(v version.Version) bool {
	if !v.After(m.active.Version()) || m.isRefused(v) || m.findStaged(v) != nil {
		return false
	}
	return v.After(m.newestComplete()) || m.isAccepted(v)
}

// pullIfDue sends the next pull. A peer that did not reply in time is not
// queried again until it reports again that it has the version.
func (m *Machine) pullIfDue() {
	if m.repair.target.IsZero() {
		return
	}
	if !m.isNeeded(m.repair.target) {
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
	peer := m.repair.sources[index]
	m.repair.sources = slices.Delete(m.repair.sources, index, index+1)
	m.repair.due = m.now.Add(m.jittered(m.config.RetryInterval))
	m.repair.pulled = true
	pull := &wire.Pull{Have: m.have()}
	if m.catchUp.phase != phaseCaughtUp {
		pull.Number = m.catchUp.queryNumber
	}
	if peer == m.catchUp.peerToConfirm {
		m.catchUp.peerToConfirm = ""
	}
	m.send(peer, wire.Envelope{Pull: pull})
}

// have returns the version that a pull gives as its base: the peer sends only
// later ones and may make deltas against it. A staged version does not count,
// since the accepted one before it may be needed too.
func (m *Machine) have() version.Version { return m.newestAccepted() }

// onPull replies with the version in force and with the deltas that lead to it
// and to the newest staged one, or with the bodies that the pull names.
func (m *Machine) onPull(from string, pull *wire.Pull) {
	if len(pull.Missing) > 0 {
		m.sendBodies(from, pull.Missing)
		return
	}
	m.send(from, wire.Envelope{Accepted: &wire.Accepted{Version: m.active.Version(), Number: pull.Number}})
	base := snapshot.Empty()
	if set := m.lookup(pull.Have); set != nil {
		base = m.deltaBase(set)
	}
	if m.active.Version().After(pull.Have) {
		m.sendDelta(from, base, m.active)
		base = m.deltaBase(m.active)
	}
	if len(m.staged) > 0 && m.staged[0].version().After(pull.Have) {
		m.sendDelta(from, base, m.staged[0].set)
	}
}

// deltaBase returns the base of a delta for a peer that has the given set: the
// empty set if deltas are disabled.
func (m *Machine) deltaBase(set *snapshot.Set) *snapshot.Set {
	if m.config.History <= 0 {
		return snapshot.Empty()
	}
	return set
}

// sendDelta sends a delta as a repair. Full sets are rate-limited, so that the
// load of many started nodes is spread over their peers.
func (m *Machine) sendDelta(to string, from, target *snapshot.Set) {
	if from.Len() == 0 && !m.deltas.allowFullSet(m.now, m.config.MaxFullSetsPerSec) {
		return
	}
	m.send(to, wire.Envelope{Push: m.deltas.push(from, target)})
}

func (m *Machine) sendBodies(to string, keys []snapshot.Key) {
	var bodies []snapshot.Resource
	for _, key := range keys[:min(len(keys), maxBodiesPerPull)] {
		bodies = append(bodies, m.bodiesOf(key)...)
	}
	if len(bodies) > 0 {
		m.send(to, wire.Envelope{Resource: &wire.Resource{Resources: bodies}})
	}
}

func (m *Machine) onResource(resource *wire.Resource) { m.addBodies(resource.Resources) }

// bodyRequest is the state of the repeated request for the bodies that the
// waiting version lacks.
type bodyRequest struct {
	due     time.Time
	attempt int
}

func (b *bodyRequest) begin(now time.Time) { *b = bodyRequest{due: now} }

// requestMissing requests missing bodies from a reader or another peer, with
// exponential backoff.
func (m *Machine) requestMissing() {
	if m.waiting == nil || m.now.Before(m.bodyRequest.due) {
		return
	}
	missing := m.waiting.set.Missing()
	missing = missing[:min(len(missing), maxBodiesPerPull)]
	m.send(m.bodySource(), wire.Envelope{Pull: &wire.Pull{Have: m.have(), Missing: missing}})
	m.bodyRequest.due = m.now.Add(m.backoff(m.bodyRequest.attempt))
	m.bodyRequest.attempt++
}

// bodySource returns the peer for the next request, alternating between readers
// and random peers.
func (m *Machine) bodySource() string {
	if m.bodyRequest.attempt%2 == 0 && len(m.view.readers) > 0 {
		return m.view.readers[m.config.Random.Intn(len(m.view.readers))].name
	}
	for _, peer := range m.randomPeers(1) {
		return peer
	}
	return ""
}

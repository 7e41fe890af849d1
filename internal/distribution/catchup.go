package distribution

import (
	"strconv"
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// phase is a node's progress in catching up with its peers.
type phase string

// The phases of catching up.
const (
	phaseStarting phase = "starting"  // the process has just started without any version: nothing is activated yet
	phaseResumed  phase = "resumed"   // the process was paused and has no duties
	phaseCaughtUp phase = "caught-up" // no accepted version is known that this node lacks
)

// minReportsPerZone is the number of members of each zone whose report a
// started node waits for.
const minReportsPerZone = 2

// peersPerQuery is the number of random peers that a node queries at a time
// after a pause.
const peersPerQuery = 3

// report is the version in force at a peer, as reported by that peer. Only a
// reply to a query of the current phase is certain to have been sent since the
// phase began; gossip may be older.
type report struct {
	active       version.Version // from gossip or a reply
	replied      bool
	replyVersion version.Version // from the last reply
	processStart int64           // start time of the peer's process
}

// isUsable reports whether the peer replied with a version. A reply without one
// does not end the wait for the peer, which may itself have just started.
func (r report) isUsable() bool { return r.replied && !r.replyVersion.IsZero() }

// catchUp is the state of a node's catch-up, and what it last logged or read of
// the source.
type catchUp struct {
	phase      phase
	afterPause bool // whether the phase began with a pause
	startedAt  time.Time
	reports    map[string]report

	peerToConfirm string    // peer whose gossip in this step is to be confirmed by a query, "" for none
	queryNumber   uint64    // number of the queries of this phase
	queryAt       time.Time // when the next query is due
	attempt       int

	sourceRead         bool // whether the source was read since the phase began
	sourceErr          error
	loggedOlder        version.Version // the last version logged as older
	loggedEquivocation version.Version // the last version logged as equivocation
}

func (c *catchUp) begin(next phase, now time.Time, number uint64) {
	c.phase = next
	c.queryNumber = number | 1 // 0 means no number
	c.startedAt = now
	c.queryAt = now
	c.attempt = 0
	c.reports = make(map[string]report)
	c.sourceRead = false
	c.afterPause = false
	c.peerToConfirm = ""
}

// recordReport records a peer's report. Gossip may be reordered, so it only
// raises the recorded version; a reply replaces it. Reports of peers that are
// not live in the view are ignored.
func (c *catchUp) recordReport(view *view, from string, active version.Version, isReply bool) {
	member := view.member(from)
	if c.phase == phaseCaughtUp || member == nil || from == view.self {
		return
	}
	recorded := c.reports[from]
	recorded.processStart = member.Start
	if isReply {
		recorded.active, recorded.replyVersion, recorded.replied = active, active, true
	} else {
		recorded.active = version.Max(active, recorded.active)
	}
	c.reports[from] = recorded
}

// countReplies returns the number of peers that replied, and whether any of
// them has a version.
func (c *catchUp) countReplies() (replies int, anyUsable bool) {
	for _, recorded := range c.reports {
		if recorded.replied {
			replies++
		}
		anyUsable = anyUsable || recorded.isUsable()
	}
	return replies, anyUsable
}

// dropAbsent drops the reports of members that have left or restarted.
func (c *catchUp) dropAbsent(view *view) {
	for name, recorded := range c.reports {
		if member := view.member(name); member == nil || member.Start != recorded.processStart {
			delete(c.reports, name)
		}
	}
}

// newestReported returns the newest version in force that a peer reported, and
// one of the peers that reported it.
func (c *catchUp) newestReported() (newest version.Version, peer string) {
	for name, recorded := range c.reports {
		order := recorded.active.Compare(newest)
		if order > 0 || (order == 0 && name < peer) {
			newest, peer = recorded.active, name
		}
	}
	return newest, peer
}

// hasReportsOfEveryZone reports whether in each zone minReportsPerZone members,
// or all if there are fewer, replied with a version.
func (c *catchUp) hasReportsOfEveryZone(view *view) bool {
	if len(view.members) <= 1 {
		return false
	}
	useful := make(map[string]int)
	for name, recorded := range c.reports {
		if recorded.isUsable() {
			useful[view.member(name).Zone]++
		}
	}
	own := view.member(view.self).Zone
	for zone, members := range view.memberCountByZone {
		if zone == own {
			members--
		}
		if useful[zone] < min(members, minReportsPerZone) {
			return false
		}
	}
	return true
}

// timedOut reports whether the wait for reports has ended.
func (m *Machine) timedOut() bool { return m.now.Sub(m.catchUp.startedAt) >= m.config.CatchUpTimeout }

// detectPause treats a gap between steps that is longer than the lease as a
// pause.
func (m *Machine) detectPause() {
	gap := m.now.Sub(m.lastStep)
	m.lastStep = m.now
	if m.config.Lease > 0 && gap > m.config.Lease {
		m.pause()
	}
}

// pause ends this node's duties and freshness until a peer has confirmed the
// version in force. A node that was still starting restarts its catch-up.
func (m *Machine) pause() {
	m.log(LogPaused, nil)
	m.proposal = nil
	clear(m.stagedReports)
	m.repair = repair{}
	next := phaseResumed
	if m.catchUp.phase == phaseStarting {
		next = phaseStarting
	}
	m.catchUp.begin(next, m.now, m.config.Random.Uint64())
	m.catchUp.afterPause = true
}

// advanceCatchUp ends the phase once enough peers have reported and this node
// has the newest version that they reported, or a newer accepted one.
func (m *Machine) advanceCatchUp() {
	if m.catchUp.phase == phaseCaughtUp {
		return
	}
	m.queryPeers()
	if newest, _ := m.catchUp.newestReported(); !m.hasEnoughReports() || newest.After(m.newestAccepted()) {
		return
	}
	reports, _ := m.catchUp.countReplies()
	if reports == 0 {
		m.log(LogCaughtUpAlone, nil)
	}
	m.log(LogCaughtUp, nil, versionField(m.newestAccepted()), Field{"reports", strconv.Itoa(reports)})
	m.catchUp.phase = phaseCaughtUp
	m.catchUp.reports = nil
}

// hasEnoughReports reports whether the reports allow the phase to end. After
// the timeout one reply with a version suffices. If no peer has a version, the
// source must have been read or all peers must have replied.
func (m *Machine) hasEnoughReports() bool {
	replies, anyUsable := m.catchUp.countReplies()
	if m.catchUp.phase == phaseResumed && replies > 0 {
		return true
	}
	if m.catchUp.phase == phaseStarting && m.catchUp.hasReportsOfEveryZone(m.view) {
		return true
	}
	if !m.timedOut() {
		return false
	}
	peers := len(m.view.members) - 1
	return anyUsable || m.catchUp.sourceRead || (peers > 0 && replies >= peers)
}

// newestAccepted returns the newest version that is in force here, or will be
// once the catch-up allows activation.
func (m *Machine) newestAccepted() version.Version {
	for _, staged := range m.staged {
		if m.isAccepted(staged.version()) {
			return staged.version()
		}
	}
	return m.active.Version()
}

// queryPeers sends what is due, with backoff. If a peer reported a version that
// this node lacks and is not pulling, it schedules a pull from that peer, whose
// reply replaces the report: the peer may have lost the version in a restart.
// Otherwise, after a pause, it queries random peers until one has replied. The
// query number distinguishes replies from messages sent before the phase.
func (m *Machine) queryPeers() {
	if m.now.Before(m.catchUp.queryAt) {
		return
	}
	newest, peer := m.catchUp.newestReported()
	replies, _ := m.catchUp.countReplies()
	switch {
	case newest.After(m.newestAccepted()) && m.repair.target.IsZero():
		m.scheduleRepair(newest, peer, 0)
	case replies == 0 && m.catchUp.afterPause:
		m.queryRandomPeers()
	default:
		return
	}
	m.catchUp.queryAt = m.now.Add(m.backoff(m.catchUp.attempt))
	m.catchUp.attempt++
}

func (m *Machine) queryRandomPeers() {
	for _, peer := range m.randomPeers(peersPerQuery) {
		m.query(peer, m.have())
	}
}

// onGossipReport records a peer's report from gossip. It may have been sent
// before the start or the pause, so it does not end the phase; a starting node
// queries the peer instead.
func (m *Machine) onGossipReport(from string, active version.Version) {
	if m.catchUp.phase != phaseStarting || m.view.member(from) == nil {
		return
	}
	m.catchUp.recordReport(m.view, from, active, false)
	recorded := m.catchUp.reports[from]
	if !recorded.replied || (!recorded.isUsable() && !active.IsZero()) {
		m.catchUp.peerToConfirm = from
	}
}

// confirmGossip queries the peer whose gossip arrived in this step, unless a
// pull already does. The query gives the reported version as its base, so that
// the peer sends only later versions.
func (m *Machine) confirmGossip() {
	peer := m.catchUp.peerToConfirm
	if peer == "" {
		return
	}
	m.catchUp.peerToConfirm = ""
	if m.catchUp.phase == phaseStarting {
		m.query(peer, m.catchUp.reports[peer].active)
	}
}

// query asks a peer for its version in force and for the versions after the
// base.
func (m *Machine) query(peer string, base version.Version) {
	m.send(peer, wire.Envelope{Pull: &wire.Pull{Have: base, Number: m.catchUp.queryNumber}})
}

// onQueryReply records a peer's reply to a query of this phase.
func (m *Machine) onQueryReply(from string, accepted *wire.Accepted) {
	if accepted.Number == m.catchUp.queryNumber {
		m.catchUp.recordReport(m.view, from, accepted.Version, true)
	}
}

// randomPeers returns up to count distinct live members other than this node.
func (m *Machine) randomPeers(count int) []string {
	var peers []string
	members := m.view.members
	count = min(count, len(members)-1)
	for _, index := range m.config.Random.Perm(len(members)) {
		if len(peers) >= count {
			break
		}
		if members[index].Name != m.config.Self.Name {
			peers = append(peers, members[index].Name)
		}
	}
	return peers
}

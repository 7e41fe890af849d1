package distribution

import (
	"strconv"
	"time"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// phase is how far a node has caught up with its peers.
type phase string

// The phases of catching up.
const (
	phaseStarting phase = "starting"  // the process has no memory: nothing is put in force yet
	phaseResumed  phase = "resumed"   // the process was paused and has no duties
	phaseCaughtUp phase = "caught-up" // no accepted version is known that is not held
)

// reportsPerZone is the number of members of each zone whose report a started
// node waits for.
const reportsPerZone = 2

// confirmersAsked is the number of peers that a resumed node asks at a time.
const confirmersAsked = 3

// report is the version in force at a peer, as it says itself. Only its answer
// to a question of this phase is sure to have been given since the phase began.
type report struct {
	active   version.Version // by gossip or answer
	answered bool
	answer   version.Version // the last answer
	start    int64           // of the peer's process
}

// counts says whether the report ends the wait for the peer. That of a peer that
// holds nothing does not: it may itself have just been started.
func (r report) counts() bool { return r.answered && !r.answer.IsZero() }

// catchUp is what a node knows while it catches up, and what it last heard of
// the source.
type catchUp struct {
	phase   phase
	paused  bool // whether the phase began with a pause
	began   time.Time
	reports map[string]report

	confirm string    // peer whose gossip in this step is to be confirmed, "" for none
	number  uint64    // of the question asked in this phase
	askAt   time.Time // when it is asked again
	attempt int

	sourceRead   bool // since the phase began
	sourceErr    error
	older        version.Version // last logged
	equivocation version.Version // last logged
}

func (c *catchUp) begin(next phase, now time.Time, number uint64) {
	c.phase = next
	c.number = number | 1 // 0 is no number
	c.began = now
	c.askAt = now
	c.attempt = 0
	c.reports = make(map[string]report)
	c.sourceRead = false
	c.paused = false
	c.confirm = ""
}

// note keeps a peer's report. One from gossip only raises it, since messages may
// be reordered. The answer to a question replaces it. Peers that are not live
// by the view don't count.
func (c *catchUp) note(view *view, from string, active version.Version, answer bool) {
	member := view.member(from)
	if c.phase == phaseCaughtUp || member == nil || from == view.self {
		return
	}
	known := c.reports[from]
	known.start = member.Start
	if answer {
		known.active, known.answer, known.answered = active, active, true
	} else {
		known.active = version.Max(active, known.active)
	}
	c.reports[from] = known
}

// answers returns the number of peers that answered and whether one of them
// holds a version.
func (c *catchUp) answers() (answers int, held bool) {
	for _, known := range c.reports {
		if known.answered {
			answers++
		}
		held = held || known.counts()
	}
	return answers, held
}

// forgetAbsent drops the reports of members that have left or restarted.
func (c *catchUp) forgetAbsent(view *view) {
	for name, known := range c.reports {
		if member := view.member(name); member == nil || member.Start != known.start {
			delete(c.reports, name)
		}
	}
}

// goal returns the newest version in force by the peers' reports, and one of the
// peers that reported it.
func (c *catchUp) goal() (goal version.Version, peer string) {
	for name, known := range c.reports {
		order := known.active.Compare(goal)
		if order > 0 || (order == 0 && name < peer) {
			goal, peer = known.active, name
		}
	}
	return goal, peer
}

// heardEveryZone reports whether in each zone some members with a version in
// force answered, or all its members did.
func (c *catchUp) heardEveryZone(view *view) bool {
	if len(view.members) <= 1 {
		return false
	}
	useful := make(map[string]int)
	for name, known := range c.reports {
		if known.counts() {
			useful[view.member(name).Zone]++
		}
	}
	own := view.member(view.self).Zone
	for zone, members := range view.zones {
		if zone == own {
			members--
		}
		if useful[zone] < min(members, reportsPerZone) {
			return false
		}
	}
	return true
}

// timedOut reports whether the wait for reports has ended.
func (m *Machine) timedOut() bool { return m.now.Sub(m.catchUp.began) >= m.config.CatchUpTimeout }

// noticeGap takes a gap between steps that is longer than the lease as a pause.
func (m *Machine) noticeGap() {
	gap := m.now.Sub(m.last)
	m.last = m.now
	if m.config.Lease > 0 && gap > m.config.Lease {
		m.pause()
	}
}

// pause gives up duties and freshness until a peer has confirmed the state. A
// node that was still starting starts again.
func (m *Machine) pause() {
	m.log(LogPaused, nil)
	m.flight = nil
	clear(m.notices)
	m.repair = repair{}
	next := phaseResumed
	if m.catchUp.phase == phaseStarting {
		next = phaseStarting
	}
	m.catchUp.begin(next, m.now, m.config.Random.Uint64())
	m.catchUp.paused = true
}

// advanceCatchUp ends the phase once enough peers reported and the newest
// version that they reported is held.
func (m *Machine) advanceCatchUp() {
	if m.catchUp.phase == phaseCaughtUp {
		return
	}
	m.askPeers()
	if goal, _ := m.catchUp.goal(); !m.heardEnough() || goal.After(m.newestAccepted()) {
		return
	}
	reports, _ := m.catchUp.answers()
	if reports == 0 {
		m.log(LogAlone, nil)
	}
	m.log(LogCaughtUp, nil, versionField(m.newestAccepted()), Field{"reports", strconv.Itoa(reports)})
	m.catchUp.phase = phaseCaughtUp
	m.catchUp.reports = nil
}

// heardEnough reports whether the reports so far allow the phase to end. When the
// wait has ended and no peer holds anything, the source must have been read or
// all peers have said so.
func (m *Machine) heardEnough() bool {
	answers, held := m.catchUp.answers()
	if m.catchUp.phase == phaseResumed && answers > 0 {
		return true
	}
	if m.catchUp.phase == phaseStarting && m.catchUp.heardEveryZone(m.view) {
		return true
	}
	if !m.timedOut() {
		return false
	}
	peers := len(m.view.members) - 1
	return held || m.catchUp.sourceRead || (peers > 0 && answers >= peers)
}

// newestAccepted returns the newest version that is in force here or would be.
func (m *Machine) newestAccepted() version.Version {
	for _, staged := range m.staged {
		if m.isAccepted(staged.version()) {
			return staged.version()
		}
	}
	return m.active.Version()
}

// askPeers asks for versions in force: after a pause some random peers until one
// has answered, and the peer that reported a version which is not held and is not
// being pulled, since that peer may have lost it with its memory. The number tells answers from
// messages that were sent before.
func (m *Machine) askPeers() {
	if m.now.Before(m.catchUp.askAt) {
		return
	}
	goal, peer := m.catchUp.goal()
	answers, _ := m.catchUp.answers()
	switch {
	case goal.After(m.newestAccepted()) && m.repair.target.IsZero():
		m.want(goal, peer, 0)
	case answers == 0 && m.catchUp.paused:
		m.askRandomPeers()
	default:
		return
	}
	m.catchUp.askAt = m.now.Add(m.backoff(m.catchUp.attempt))
	m.catchUp.attempt++
}

func (m *Machine) askRandomPeers() {
	for _, peer := range m.randomPeers(confirmersAsked) {
		m.ask(peer, m.have())
	}
}

// onReport keeps a peer's report from gossip. It does not count, since it may have
// been sent before the start or the pause, but a starting node asks the peer.
func (m *Machine) onReport(from string, active version.Version) {
	if m.catchUp.phase != phaseStarting || m.view.member(from) == nil {
		return
	}
	m.catchUp.note(m.view, from, active, false)
	known := m.catchUp.reports[from]
	if !known.answered || (!known.counts() && !active.IsZero()) {
		m.catchUp.confirm = from
	}
}

// confirmGossip asks the peer whose gossip came in this step, unless a pull that
// it got asks it too. It holds the version reported, and so sends no more than
// what came after that.
func (m *Machine) confirmGossip() {
	peer := m.catchUp.confirm
	if peer == "" {
		return
	}
	m.catchUp.confirm = ""
	if m.catchUp.phase == phaseStarting {
		m.ask(peer, m.catchUp.reports[peer].active)
	}
}

// ask asks a peer for the version in force there and for what came after the
// given one.
func (m *Machine) ask(peer string, held version.Version) {
	m.send(peer, wire.Envelope{Pull: &wire.Pull{Have: held, Number: m.catchUp.number}})
}

// onConfirmation keeps a peer's answer to the question asked in this phase.
func (m *Machine) onConfirmation(from string, accepted *wire.Accepted) {
	if accepted.Number == m.catchUp.number {
		m.catchUp.note(m.view, from, accepted.Version, true)
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

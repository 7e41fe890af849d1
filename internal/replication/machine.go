// Package replication keeps one node's catalog fresh. One node in each zone reads the store and
// relays the updates; the others follow it. Every message carries how long ago the store
// confirmed its content, so each node knows the age of its catalog. A node whose catalog becomes
// stale follows another node, and then polls the store itself: the system does not depend on any
// single reader, link or path to the store.
//
// The machine is pure: Step takes an event and the time and returns effects.
package replication

import (
	"time"

	"sliphead/internal/catalog"
)

// Config configures one node's machine.
type Config struct {
	Self      string // IP address of this node
	Zone      string
	Regions   map[string]string // by zone; nil if unknown: see region.go
	Freshness time.Duration
	Fast      bool // whether this node's link is fast: see prefer.go
}

// Durations as shares of Config.Freshness, the age within which a change has to be known.
const (
	longPollShare            = 0.45 // how long the store holds a reader's poll until there is a change
	shortPollShare           = 0.15 // the same after a poll that timed out
	shortPollPeriodShare     = 3.0  // for how long after the timeout shortPollShare applies
	staleAgeShare            = 0.68 // age at which another node is followed
	pollAgeShare             = 0.7  // age at which a node polls the store although it is not the reader
	staggerShare             = 0.01 // additional age per rank, which spreads these polls
	peerTimeoutShare         = 0.32 // time without a message after which a followed node is excluded
	graceShare               = 0.1  // how long a node is followed before it may be excluded as stale
	exclusionShare           = 1.0  // how long a node is excluded the first time
	pollIntervalShare        = 0.12 // delay between a response that brought changes and the next poll
	startupPollIntervalShare = 0.5  // the same until this node's worker is first recorded
	minRetryShare            = 0.1
	maxRetryShare            = 0.5
)

// pollersPerRetryInterval is how many nodes of a zone may fall back to the store within one retry
// interval; in a larger zone, those of lower rank wait longer.
const pollersPerRetryInterval = 20

// maxExclusionDoublings bounds how often the exclusion time doubles for a node that fails
// repeatedly.
const maxExclusionDoublings = 2

// Machine is the replication state of one node. It is not safe for concurrent use.
type Machine struct {
	config         Config
	state          *catalog.State
	confirmed      time.Time         // when the store last confirmed that it had no newer revision
	confirmedBy    confirmation      // the poll that confirmed it
	pollSerial     uint64            // serial of this node's last successful poll
	countedSerials map[string]uint64 // by reader: serial of its last poll that was counted
	lastStep       time.Time         // time of the previous step
	pauseDuration  time.Duration     // length of the last pause of the process
	resumedAt      time.Time         // when it ended
	effects        []Effect

	multiRegion bool // whether there are several regions

	ranked         []peer // nodes of this zone, then of others, best first
	upstreamPeers  []peer // nodes of zones ranked before this one, best first; empty if there is only one region
	announcedPeers map[string]bool
	fastNodes      map[string]bool // nodes known to have fast links

	reading           bool // whether this node reads the store for its zone
	polling           bool
	polledAt          time.Time // when the last poll was sent
	polledSnapshot    bool      // whether the last poll was for a full snapshot
	nextPoll          time.Time
	failures          int       // consecutive polls that failed
	needSnapshot      bool      // because changes are missing
	lastResponseOlder bool      // whether the last response of the store was older than the catalog; only the first in a row is logged
	workerRecorded    bool      // whether this node's worker has been recorded since the start
	longPollTimedOut  bool      // whether the last poll for changes timed out; one for a full snapshot may still succeed
	shortPollUntil    time.Time // until when polls wait shortPollShare only

	following      string // address of the node that is followed, "" for none
	lastReceived   time.Time
	followingSince time.Time
	exclusions     map[string]exclusion // by address: excluded nodes

	settleAt time.Time // when the contents of a restored backup are applied; zero if none are pending

	lapses    map[string]time.Time // by instance id: when its expired record was last seen
	ownRecord recordCheck
	retains   bool // whether this node retains its worker: see lapse.go

	nextAnnouncement time.Time
	announcements    int // sent so far in the rotation
}

// exclusion is the state of a node that is passed over.
type exclusion struct {
	until    time.Time // when it may be followed again
	failures int       // how often it was lost or unresponsive since its last fresh update
}

// New returns the machine of a node with an empty catalog.
func New(config Config, now time.Time) *Machine {
	return &Machine{
		config:         config,
		multiRegion:    hasSeveralRegions(config.Regions),
		state:          catalog.NewState(),
		lastStep:       now,
		announcedPeers: map[string]bool{},
		fastNodes:      map[string]bool{config.Self: config.Fast},
		exclusions:     map[string]exclusion{},
		countedSerials: map[string]uint64{},
		pollSerial:     uint64(now.UnixNano()), // above the serials of an earlier run
	}
}

// State returns the node's catalog. It must not be changed.
func (m *Machine) State() *catalog.State { return m.state }

// Age returns how long ago the store confirmed the catalog, false if the catalog is empty.
func (m *Machine) Age(now time.Time) (time.Duration, bool) {
	if m.state.Revision() == 0 {
		return 0, false
	}
	return now.Sub(m.confirmed), true
}

// Confirmed returns when the store last confirmed that it had nothing newer than the catalog, the
// zero time if the catalog is empty.
func (m *Machine) Confirmed() time.Time { return m.confirmed }

// Following returns the address of the node that is followed, "" for none.
func (m *Machine) Following() string { return m.following }

// ConfirmedBy returns the address of the node whose poll of the store confirmed the catalog, ""
// if the catalog is empty, and the serial of that poll.
func (m *Machine) ConfirmedBy() (reader string, serial uint64) {
	return m.confirmedBy.reader, m.confirmedBy.serial
}

// Reader reports whether this node should read the store.
func (m *Machine) Reader(now time.Time) bool {
	return m.reading || m.expectedReader(now) == m.config.Self
}

// Step processes one event and returns the effects, to be carried out in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.effects = nil
	m.detectPause(now)
	switch event := event.(type) {
	case Tick:
	case PollSucceeded:
		m.onPollSucceeded(event, now)
	case PollFailed:
		m.onPollFailed(event, now)
	case RecordChecked:
		m.onRecordChecked(event, now)
	case RecordCheckFailed:
		m.onRecordCheckFailed(event, now)
	case Update:
		m.onUpdate(event, now)
	case PeerLost:
		m.onPeerLost(event.Address, now)
	case PeerSeen:
		m.onPeerSeen(event)
	}
	m.updateReaderRole(now)
	m.updateFollowing(now)
	m.expireLapses(now)
	m.settle(now)
	m.poll(now)
	m.updateRetain(now)
	m.announce(now)
	return m.effects
}

// detectPause resets what a gap in the clock invalidates: after a pause no peer counts as
// unresponsive, and the store is polled at once.
func (m *Machine) detectPause(now time.Time) {
	gap := now.Sub(m.lastStep)
	m.lastStep = now
	if gap < m.share(peerTimeoutShare) {
		return
	}
	m.pauseDuration, m.resumedAt = gap, now
	m.lastReceived = now
	m.nextPoll = now
	m.exclusions = map[string]exclusion{}
	m.emit(Log{Event: EventPaused, Duration: gap})
}

func (m *Machine) onPollSucceeded(event PollSucceeded, now time.Time) {
	m.polling = false
	if m.failures > 0 {
		m.emit(Log{Event: EventStoreRegained, Revision: event.Batch.To})
		m.clearExclusions()
	}
	m.failures = 0
	m.longPollTimedOut = false
	m.nextPoll = now
	if event.Batch.Snapshot {
		m.needSnapshot = false
	}
	m.pollSerial++
	m.logOlderResponse(event.Batch)
	usable := m.applyBatch(event.Batch, m.confirmationTime(event.ConfirmedAt), confirmation{reader: m.config.Self, serial: m.pollSerial}, now)
	if usable && len(event.Batch.Changes) > 0 {
		m.nextPoll = now.Add(m.pollInterval())
	}
}

// clearExclusions removes all exclusions once the store responds again. All nodes became stale
// during the outage, and a node that excluded its usual source would follow nodes that follow it
// in turn. Without this, a change within a second after an outage of 3 s took up to 1.5 s to
// reach 48 nodes in two zones instead of 0.3 s, and the store was polled 46 times instead of 30
// in the next four seconds (virtual time, TestChangeAfterStoreOutageIsNotDelayed).
func (m *Machine) clearExclusions() { m.exclusions = map[string]exclusion{} }

// logOlderResponse logs the first of consecutive responses that are older than the catalog.
func (m *Machine) logOlderResponse(batch catalog.Batch) {
	older := batch.Point().Compare(m.state.Point()) < 0
	if older && !m.lastResponseOlder {
		m.emit(Log{Event: EventResponseOlder, Revision: batch.To})
	}
	m.lastResponseOlder = older
}

// pollInterval returns the delay between a response that brought changes and the next poll. When
// a mesh starts, its workers are recorded one by one, and until a node knows of others it takes
// itself for the first of its zone: without a longer delay, all nodes would poll after each
// change.
func (m *Machine) pollInterval() time.Duration {
	if m.workerRecorded {
		return m.share(pollIntervalShare)
	}
	return m.share(startupPollIntervalShare)
}

func (m *Machine) onPollFailed(event PollFailed, now time.Time) {
	m.polling = false
	if event.HistoryGone {
		if !m.lastResponseOlder {
			m.emit(Log{Event: EventHistoryGone})
		}
		m.needSnapshot = true
		m.nextPoll = now
		return
	}
	if m.failures == 0 {
		m.emit(Log{Event: EventStoreLost, Err: event.Err})
	}
	m.longPollTimedOut = event.TimedOut && !m.polledSnapshot
	if m.longPollTimedOut {
		m.shortPollUntil = now.Add(m.share(shortPollPeriodShare))
	}
	m.reading = false
	m.nextPoll = now.Add(m.retryDelay())
	if m.longPollTimedOut {
		m.nextPoll = now
	}
	m.failures++
}

// retryDelay grows with the consecutive failures and with this node's rank in its zone, so that a
// large fleet does not overload a recovering store.
func (m *Machine) retryDelay() time.Duration {
	wait := m.share(minRetryShare) << min(m.failures, 4)
	wait = min(wait, m.share(maxRetryShare))
	return wait * time.Duration(1+m.ownRank()/pollersPerRetryInterval)
}

func (m *Machine) onUpdate(event Update, now time.Time) {
	if event.From != m.following {
		return
	}
	m.lastReceived = now
	for _, address := range event.Preferred {
		m.addFastNode(address)
	}
	if event.Batch.To == 0 {
		return
	}
	before, confirmedAt := m.confirmed, now.Add(-m.updateAge(event, now))
	poll := confirmation{reader: event.Reader, serial: event.Serial}
	repeated := m.isCounted(poll)
	if !m.applyBatch(event.Batch, confirmedAt, poll, now) {
		m.emit(Follow{Address: m.following})
		return
	}
	current := event.Batch.Era == m.state.Point().Era
	if current && !confirmedAt.Before(before) && !repeated {
		m.onFreshUpdate(event)
	}
}

func (m *Machine) onPeerLost(address string, now time.Time) {
	if address == m.following {
		m.exclude(address, now, true)
	}
}

// onPeerSeen handles contact from another node. While the catalog is empty, that node becomes a
// candidate to follow.
func (m *Machine) onPeerSeen(event PeerSeen) {
	for _, address := range event.Preferred {
		m.addFastNode(address)
	}
	m.onFastPeer(event)
	if m.state.Revision() == 0 && event.Address != m.config.Self {
		m.announcedPeers[event.Address] = true
		m.rank()
	}
}

// exclude passes a node over for a time that doubles with each failure, up to
// maxExclusionDoublings times.
func (m *Machine) exclude(address string, now time.Time, lost bool) {
	current := m.exclusions[address]
	current.until = now.Add(m.share(exclusionShare) << min(current.failures, maxExclusionDoublings))
	if lost {
		current.failures++
	}
	m.exclusions[address] = current
	m.emit(Log{Event: EventPeerLost, Peer: address})
}

func (m *Machine) isEligible(address string, now time.Time) bool {
	return !now.Before(m.exclusions[address].until)
}

// poll polls the store if this node is the reader, its catalog is empty or stale, or changes are
// missing.
func (m *Machine) poll(now time.Time) {
	if m.polling || now.Before(m.nextPoll) {
		return
	}
	reader := m.Reader(now)
	age, known := m.Age(now)
	stale := known && age > m.share(pollAgeShare)+time.Duration(m.ownRank())*m.share(staggerShare)
	if known && !reader && !stale && !m.needSnapshot && !m.longPollTimedOut && !m.probesStore(now) {
		return
	}
	request := Poll{Snapshot: !known || m.needSnapshot || m.longPollTimedOut, After: m.state.Revision()}
	if reader && m.failures == 0 && !m.isBackupReader(now) {
		request.Wait = m.longPollWait(now)
	}
	m.polling = true
	m.polledAt = now
	m.polledSnapshot = request.Snapshot
	m.emit(request)
}

// longPollWait returns how long the store may hold a reader's poll. It is shorter for a while
// after a long poll has timed out.
func (m *Machine) longPollWait(now time.Time) time.Duration {
	if now.Before(m.shortPollUntil) {
		return m.share(shortPollShare)
	}
	return m.share(longPollShare)
}

func (m *Machine) share(part float64) time.Duration {
	return time.Duration(part * float64(m.config.Freshness))
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

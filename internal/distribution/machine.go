package distribution

import (
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Machine is the distribution state of one node. It is not safe for concurrent
// use.
type Machine struct {
	config   Config
	view     *view
	now      time.Time // time of the current step
	lastStep time.Time // time of the previous step
	effects  []Effect  // of the current step

	setStore
	proposal      *proposal               // as a root: the version being brought to acceptance, nil if none
	stagedReports map[string]stagedReport // by member
	repair        repair
	bodyRequest   bodyRequest
	catchUp       catchUp
	deltas        deltaCache
	reader        bool           // last emitted by Duty
	fresh         bool           // last emitted by Fresh or Stale
	digests       DigestsChanged // last emitted
}

// New returns the machine of a node that has no version. It has no peers until
// the first Members.
func New(config Config, now time.Time) *Machine {
	m := &Machine{
		config:        config,
		view:          newView(config, nil),
		now:           now,
		lastStep:      now,
		setStore:      setStore{active: snapshot.Empty(), maxHistory: config.History},
		stagedReports: make(map[string]stagedReport),
		deltas:        newDeltaCache(),
	}
	m.catchUp.begin(phaseStarting, now, config.Random.Uint64())
	return m
}

// Step processes one event and returns its effects, to be carried out in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.now = now
	m.effects = nil
	m.detectPause()
	m.handle(event)
	m.runDue()
	return m.effects
}

func (m *Machine) handle(event Event) {
	switch event := event.(type) {
	case Tick:
	case Members:
		m.onMembers(event.Live)
	case SourceRead:
		m.onSourceRead(event.Set)
	case SourceFailed:
		m.catchUp.sourceErr = event.Err
	case Received:
		m.onMessage(event.Message)
	case PeerDigests:
		m.onDigests(event.From, event.Digests)
	case Resumed:
		m.pause()
	}
}

func (m *Machine) onMessage(envelope wire.Envelope) {
	switch {
	case envelope.Push != nil:
		m.onPush(envelope.From, envelope.Push)
	case envelope.Pull != nil:
		m.onPull(envelope.From, envelope.Pull)
	case envelope.Staged != nil:
		m.onStaged(envelope.From, envelope.Staged)
	case envelope.Accepted != nil:
		m.onAccepted(envelope.From, envelope.Accepted)
	case envelope.Resource != nil:
		m.onResource(envelope.Resource)
	}
}

// runDue does what has become due through the event or the passage of time.
func (m *Machine) runDue() {
	m.advanceCatchUp()
	m.activateAccepted()
	m.proposeIfDue()
	m.requestMissing()
	m.pullIfDue()
	m.confirmGossip()
	m.emitChanges()
}

// emitChanges emits the duty, digests and freshness that changed in this step.
func (m *Machine) emitChanges() {
	if reader := m.isReader(); reader != m.reader {
		m.reader = reader
		m.emit(Duty{Reader: reader})
	}
	digests := DigestsChanged{Active: m.active.Version(), Staged: m.newestComplete()}
	if digests != m.digests {
		m.digests = digests
		m.emit(digests)
	}
	fresh := m.catchUp.phase == phaseCaughtUp && !m.active.Version().IsZero()
	if fresh == m.fresh {
		return
	}
	m.fresh = fresh
	if fresh {
		m.emit(Fresh{})
	} else {
		m.emit(Stale{})
	}
}

// isReader reports whether this node has the duty to read the source.
func (m *Machine) isReader() bool {
	return m.mayHaveDuty() && m.view.readerRank(m.config.Self.Name) >= 0
}

// mayHaveDuty reports whether this node may act on its view: once it has caught
// up after a start or a pause, or the catch-up has timed out. Without this, all
// nodes of a fleet that starts at once would read the source, as each has few
// members in its view.
func (m *Machine) mayHaveDuty() bool {
	return m.catchUp.phase == phaseCaughtUp || m.timedOut()
}

func (m *Machine) onMembers(live []wire.Member) {
	if m.view.sameAs(withSelf(live, m.config.Self)) {
		return
	}
	m.view = newView(m.config, live)
	m.dropAbsent()
}

// dropAbsent drops the reports of members that have left or restarted.
func (m *Machine) dropAbsent() {
	for name, recorded := range m.stagedReports {
		if member := m.view.member(name); member == nil || member.Start != recorded.processStart {
			delete(m.stagedReports, name)
		}
	}
	m.catchUp.dropAbsent(m.view)
	if m.proposal != nil {
		m.proposal.dropAbsent(m.view)
	}
}

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) send(to string, message wire.Envelope) {
	if to == m.config.Self.Name || to == "" {
		return
	}
	message.From = m.config.Self.Name
	m.emit(Send{wire.Outgoing{To: to, Message: message}})
}

func (m *Machine) log(name string, err error, fields ...Field) {
	m.emit(Log{Name: name, Fields: fields, Err: err})
}

func versionField(v version.Version) Field { return Field{Key: "version", Value: v.String()} }

// jittered returns a random duration between half and all of the given one.
func (m *Machine) jittered(wait time.Duration) time.Duration {
	half := wait / 2
	return half + time.Duration(m.config.Random.Int63n(int64(half)+1))
}

// backoff returns the jittered delay before the given retry, counted from 0.
func (m *Machine) backoff(attempt int) time.Duration {
	wait := m.config.RetryInterval
	for range attempt {
		wait = min(2*wait, maxBackoff*m.config.RetryInterval)
	}
	return m.jittered(wait)
}

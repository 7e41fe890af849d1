package distribution

import (
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Machine is the distribution state of one node. It is not safe for use by
// several goroutines.
type Machine struct {
	config Config
	view   *view
	now    time.Time // of the running step
	last   time.Time // of the step before
	out    []Effect

	holdings
	flight  *flight // as a root: the version being brought to acceptance
	notices map[string]notice
	repair  repair
	asking  asking
	catchUp catchUp
	deltas  deltaCache
	reader  bool // duty last announced
	fresh   bool // last announced
	digests DigestsChanged
}

// New returns the machine of a node that holds nothing. It knows no peers until
// the first Members.
func New(config Config, now time.Time) *Machine {
	m := &Machine{
		config:   config,
		view:     newView(config, nil),
		now:      now,
		last:     now,
		holdings: holdings{active: snapshot.Empty(), former: config.History},
		notices:  make(map[string]notice),
		deltas:   newDeltaCache(),
	}
	m.catchUp.begin(phaseStarting, now, config.Random.Uint64())
	return m
}

// Step takes one event and returns the effects, to be carried out in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.now = now
	m.out = nil
	m.noticeGap()
	m.take(event)
	m.settle()
	return m.out
}

func (m *Machine) take(event Event) {
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

// settle does what became due through the event or through time.
func (m *Machine) settle() {
	m.advanceCatchUp()
	m.activateAccepted()
	m.leadIfDue()
	m.askForMissing()
	m.pullIfDue()
	m.confirmGossip()
	m.announce()
}

// announce reports duties and digests that changed in this step.
func (m *Machine) announce() {
	if reader := m.isReader(); reader != m.reader {
		m.reader = reader
		m.emit(Duty{Reader: reader})
	}
	digests := DigestsChanged{Active: m.active.Version(), Staged: m.newestWhole()}
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

// mayHaveDuty reports whether this node's view may be acted on: once it has
// caught up after a start or a pause, or nobody has answered for the catch-up
// timeout. Otherwise a fleet that starts at once, each node knowing few others,
// would read the source all together.
func (m *Machine) mayHaveDuty() bool {
	return m.catchUp.phase == phaseCaughtUp || m.timedOut()
}

func (m *Machine) onMembers(live []wire.Member) {
	if m.view.sameAs(withSelf(live, m.config.Self)) {
		return
	}
	m.view = newView(m.config, live)
	m.forgetAbsent()
}

// forgetAbsent drops the notices of members that have left or restarted.
func (m *Machine) forgetAbsent() {
	for name, known := range m.notices {
		if member := m.view.member(name); member == nil || member.Start != known.start {
			delete(m.notices, name)
		}
	}
	m.catchUp.forgetAbsent(m.view)
	if m.flight != nil {
		m.flight.forgetAbsent(m.view)
	}
}

func (m *Machine) emit(effect Effect) { m.out = append(m.out, effect) }

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

// jittered returns between half and all of a wait.
func (m *Machine) jittered(wait time.Duration) time.Duration {
	half := wait / 2
	return half + time.Duration(m.config.Random.Int63n(int64(half)+1))
}

// backoff returns the jittered wait before the given attempt, counted from 0.
func (m *Machine) backoff(attempt int) time.Duration {
	wait := m.config.RetryInterval
	for range attempt {
		wait = min(2*wait, maxBackoff*m.config.RetryInterval)
	}
	return m.jittered(wait)
}

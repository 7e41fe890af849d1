package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Machine is the claim state of one node: a replica for the service of its
// worker, and the coordinator of its own claims. It is not safe for concurrent
// use.
type Machine struct {
	config            Config
	started           time.Time
	incarnation       uint64 // of this process; greater than those of the worker's earlier processes
	incarnationStride uint64 // added to raise the incarnation; two processes that raise past the same one get different results
	version           version.Version
	services          map[string]*serviceState
	attempts          map[string]*attempt // in progress, by holder
	attemptByRequest  map[uint64]*attempt // in progress, by requestNumber
	running           map[string]*attempt // allowed to run, by holder
	notices           map[uint64]*notice  // finishes and releases not yet acknowledged by all replicas, by request number
	lastNumber        uint64              // last request or copy number that was assigned
	nextSweep         time.Time
	lastStep          time.Time // time of the last step
	replaced          bool      // another node is reported as the one beside the worker
}

// NewMachine returns the machine of a process that starts now, without any
// records or votes.
func NewMachine(config Config, now time.Time) *Machine {
	return &Machine{
		config:            config.withDefaults(),
		started:           now,
		lastStep:          now,
		incarnation:       uint64(now.UnixNano()),
		incarnationStride: incarnationStrideOf(config.Node, now),
		services:          make(map[string]*serviceState),
		attempts:          make(map[string]*attempt),
		attemptByRequest:  make(map[uint64]*attempt),
		running:           make(map[string]*attempt),
		notices:           make(map[uint64]*notice),
	}
}

// incarnationStrideOf returns a stride that is very unlikely to be shared with
// another process. It is below one second in nanoseconds.
func incarnationStrideOf(node string, started time.Time) uint64 {
	const bits = 29
	return 1 + xxhash.Sum64String(fmt.Sprintf("%s/%d", node, started.UnixNano()))>>(64-bits)
}

// Step processes one event and returns its effects, to be carried out in order.
// The time must never go back.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	if now.Sub(m.lastStep) >= m.config.retention() {
		m.restartRecovery(now)
	}
	m.lastStep = now
	switch event := event.(type) {
	case Tick:
		return m.tick(now)
	case Claim:
		return m.startAttempt(event, now)
	case Finish:
		return m.finish(event, now)
	case Release:
		return m.release(event.Holder, now)
	case Cancelled:
		return m.cancel(event.Holder, now)
	case Received:
		return m.receive(event.Message, now)
	case Configure:
		return m.configure(event, now)
	}
	return nil
}

// restartRecovery makes the machine act as a new process of its worker, which
// must recover as after a start. It is called after a pause in which every
// record has expired, and when this node is again reported as the one beside
// the worker.
func (m *Machine) restartRecovery(now time.Time) {
	m.started = now
	m.recoverWithIncarnation(max(m.incarnation+m.incarnationStride, uint64(now.UnixNano())))
}

// recoverWithIncarnation starts recovery in all slots under another
// incarnation.
func (m *Machine) recoverWithIncarnation(incarnation uint64) {
	m.incarnation = incarnation
	for _, state := range m.services {
		state.ableSlots, state.announcedSlots = 0, 0
		state.recovery.restart()
	}
}

func (m *Machine) nextNumber() uint64 {
	m.lastNumber++
	return m.lastNumber
}

// send appends a message to the node beside a worker, if that node is known.
func (m *Machine) send(effects []Effect, state *serviceState, worker string, message wire.Envelope) []Effect {
	node, known := state.nodeByWorker[worker]
	if !known || node == "" {
		return effects
	}
	message.From = m.config.Node
	return append(effects, Send{wire.Outgoing{To: node, Message: message}})
}

// configure updates the declared workers and live nodes. It ignores a version
// older than the last one.
func (m *Machine) configure(event Configure, now time.Time) []Effect {
	if m.version.After(event.Version) {
		return nil
	}
	m.version = event.Version
	var effects []Effect
	for name, workers := range event.Workers {
		state := m.services[name]
		if state == nil && !declares(workers, m.config.Worker) {
			continue
		}
		if state == nil {
			state = newServiceState(name)
			m.services[name] = state
		}
		if state.adopt(newConfiguration(name, workers, m.config.GroupSize), event.Version, now) {
			m.updateReadySlots(state, now)
			effects = append(effects, Log{Name: LogGroupChanged, Service: name, Count: len(state.priors)})
		}
	}
	m.updateReplaced(event.Nodes[m.config.Worker], now)
	for _, state := range m.services {
		state.liveNodeByWorker = event.Nodes
		for worker, node := range event.Nodes {
			state.nodeByWorker[worker] = node
		}
		effects = append(effects, m.requestCopies(state, now)...)
	}
	return effects
}

// updateReplaced records which node is reported as the one beside the own
// worker.
func (m *Machine) updateReplaced(node string, now time.Time) {
	if node == "" {
		return
	}
	if m.replaced && node == m.config.Node {
		m.restartRecovery(now)
	}
	m.replaced = node != m.config.Node
}

func declares(workers []Worker, name string) bool {
	for _, worker := range workers {
		if worker.Name == name {
			return true
		}
	}
	return false
}

// receive handles a message from another node.
func (m *Machine) receive(message wire.Envelope, now time.Time) []Effect {
	switch {
	case message.ClaimRequest != nil:
		reply, effects := m.handleRequest(*message.ClaimRequest, now)
		outgoing := wire.Outgoing{To: message.From, Message: wire.Envelope{From: m.config.Node, ClaimReply: &reply}}
		return append(effects, Send{outgoing})
	case message.ClaimReply != nil:
		return m.receiveReply(*message.ClaimReply, now)
	case message.ClaimCopy != nil && message.ClaimCopy.Reply:
		return m.receiveCopy(*message.ClaimCopy, now)
	case message.ClaimCopy != nil:
		return m.sendCopy(message.From, *message.ClaimCopy, now)
	}
	return nil
}

// tick does what is due by time: recovery, resends, timeouts and expiry.
func (m *Machine) tick(now time.Time) []Effect {
	var effects []Effect
	for _, name := range sortedKeys(m.services) {
		state := m.services[name]
		if m.oldVotesExpired(now) {
			m.updateReadySlots(state, now)
		}
		state.recordLeft(m.config.Worker, now.Sub(state.currentSince), now)
		if state.dropSettledPriors(now, m.config.retention()) > 0 {
			effects = append(effects, Log{Name: LogGroupSettled, Service: name, Count: len(state.priors)})
		}
		effects = append(effects, m.requestCopies(state, now)...)
	}
	for _, holder := range sortedKeys(m.attempts) {
		effects = append(effects, m.advance(m.attempts[holder], now)...)
	}
	for _, number := range sortedKeys(m.notices) {
		effects = append(effects, m.resendNotice(m.notices[number], now)...)
	}
	m.sweep(now)
	return effects
}

// sweep removes expired records, sweepsPerRetention times per retention period.
func (m *Machine) sweep(now time.Time) {
	const sweepsPerRetention = 64
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(m.config.retention() / sweepsPerRetention)
	for _, state := range m.services {
		state.table.sweep(now)
	}
}

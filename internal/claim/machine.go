package claim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Machine is one node's part in claims: a replica for the service of its
// worker, and the coordinator of its own claims. It is not safe for concurrent
// use.
type Machine struct {
	config      Config
	started     time.Time
	incarnation uint64 // of this process; greater than those of earlier ones
	stride      uint64 // by which it is raised; two processes that overtake the same one differ in it
	version     version.Version
	services    map[string]*service
	attempts    map[string]*attempt // under way, by holder
	byNumber    map[uint64]*attempt // under way, by the number of its requests
	running     map[string]*attempt // allowed to run, by holder
	notices     map[uint64]*notice  // finishes and releases not yet noted by all
	number      uint64
	nextSweep   time.Time
	last        time.Time // of the last step
	replaced    bool      // another node is said to be beside the worker
}

// NewMachine returns the machine of a process that starts now, with no memory.
func NewMachine(config Config, now time.Time) *Machine {
	return &Machine{
		config:      config.withDefaults(),
		started:     now,
		last:        now,
		incarnation: uint64(now.UnixNano()),
		stride:      strideOf(config.Node, now),
		services:    make(map[string]*service),
		attempts:    make(map[string]*attempt),
		byNumber:    make(map[uint64]*attempt),
		running:     make(map[string]*attempt),
		notices:     make(map[uint64]*notice),
	}
}

// strideOf returns a number that hardly any other process has, under a second
// in nanoseconds.
func strideOf(node string, started time.Time) uint64 {
	const bits = 29
	return 1 + xxhash.Sum64String(fmt.Sprintf("%s/%d", node, started.UnixNano()))>>(64-bits)
}

// Step takes one event at a time that never goes back, and returns what is to
// be done, in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	if now.Sub(m.last) >= m.config.hold() {
		m.forget(now)
	}
	m.last = now
	switch event := event.(type) {
	case Tick:
		return m.tick(now)
	case Claim:
		return m.claim(event, now)
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

// forget makes the machine a new process of its worker: after a pause in which
// every record's life has ended, or once it is named again after another node
// stood beside the worker. It has to recover like one that has started.
func (m *Machine) forget(now time.Time) {
	m.started = now
	m.recoverAs(max(m.incarnation+m.stride, uint64(now.UnixNano())))
}

// recoverAs starts recovery in all slots under another incarnation.
func (m *Machine) recoverAs(incarnation uint64) {
	m.incarnation = incarnation
	for _, held := range m.services {
		held.able, held.announced = 0, 0
		held.recovery.restart()
	}
}

func (m *Machine) nextNumber() uint64 {
	m.number++
	return m.number
}

// send appends a message to the node beside a worker, if one is known.
func (m *Machine) send(effects []Effect, held *service, worker string, message wire.Envelope) []Effect {
	node, known := held.nodes[worker]
	if !known || node == "" {
		return effects
	}
	message.From = m.config.Node
	return append(effects, Send{wire.Outgoing{To: node, Message: message}})
}

// configure takes in declared workers and live nodes. Versions never go back.
func (m *Machine) configure(event Configure, now time.Time) []Effect {
	if m.version.After(event.Version) {
		return nil
	}
	m.version = event.Version
	var effects []Effect
	for name, workers := range event.Workers {
		held := m.services[name]
		if held == nil && !declares(workers, m.config.Worker) {
			continue
		}
		if held == nil {
			held = newService(name)
			m.services[name] = held
		}
		if held.adopt(newConfiguration(name, workers, m.config.GroupSize), event.Version, now) {
			m.updateAble(held, now)
			effects = append(effects, Log{Name: LogChanged, Service: name, Count: len(held.priors)})
		}
	}
	m.noteReplaced(event.Nodes[m.config.Worker], now)
	for _, held := range m.services {
		held.live = event.Nodes
		for worker, node := range event.Nodes {
			held.nodes[worker] = node
		}
		effects = append(effects, m.askCopies(held, now)...)
	}
	return effects
}

// noteReplaced takes in which node is said to be beside the own worker.
func (m *Machine) noteReplaced(node string, now time.Time) {
	if node == "" {
		return
	}
	if m.replaced && node == m.config.Node {
		m.forget(now)
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
		reply, effects := m.answer(*message.ClaimRequest, now)
		outgoing := wire.Outgoing{To: message.From, Message: wire.Envelope{From: m.config.Node, ClaimReply: &reply}}
		return append(effects, Send{outgoing})
	case message.ClaimReply != nil:
		return m.takeReply(*message.ClaimReply, now)
	case message.ClaimCopy != nil && message.ClaimCopy.Reply:
		return m.takeCopy(*message.ClaimCopy, now)
	case message.ClaimCopy != nil:
		return m.giveCopy(message.From, *message.ClaimCopy, now)
	}
	return nil
}

// tick lets time pass: it recovers, sends again, gives up and sweeps.
func (m *Machine) tick(now time.Time) []Effect {
	var effects []Effect
	for _, name := range sortedKeys(m.services) {
		held := m.services[name]
		if m.isAged(now) {
			m.updateAble(held, now)
		}
		held.noteLeft(m.config.Worker, now.Sub(held.since), now)
		if held.settle(now, m.config.hold()) > 0 {
			effects = append(effects, Log{Name: LogSettled, Service: name, Count: len(held.priors)})
		}
		effects = append(effects, m.askCopies(held, now)...)
	}
	for _, holder := range sortedKeys(m.attempts) {
		effects = append(effects, m.proceed(m.attempts[holder], now)...)
	}
	for _, number := range sortedKeys(m.notices) {
		effects = append(effects, m.repeatNotice(m.notices[number], now)...)
	}
	m.sweep(now)
	return effects
}

// sweep drops expired records once in a while.
func (m *Machine) sweep(now time.Time) {
	const sweepsPerHold = 64
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(m.config.hold() / sweepsPerHold)
	for _, held := range m.services {
		held.table.sweep(now)
	}
}

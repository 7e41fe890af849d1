// Package simulation runs the control part of nodes, control.Loop and claim.Keeper,
// on a simulated network in virtual time. It injects random faults and checks each
// published view against an oracle.
//
// Runs are deterministic: each event of the simulation (a delivery, a tick or an
// action of the test) takes place at its own instant, so that at most one node runs
// at a time.
package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/membership"
	"sliphead/internal/version"
)

// eventClass separates the instants of concurrent kinds of events: an event takes
// place at a microsecond whose remainder modulo eventClasses is its class.
type eventClass int

const (
	classControl eventClass = iota // messages of control loops
	classClaim                     // messages of claim keepers
	classSource                    // reads of the source and the machine list
	classTest                      // actions of the test
	eventClasses
)

// fleet is the simulation: its nodes, network and source, and the oracle's findings.
type fleet struct {
	t         must.T
	startedAt time.Time
	nodes     []*node

	mutex            sync.Mutex
	random           [eventClasses]*rand.Rand
	reservedInstants map[time.Duration]bool // reserved instants, since startedAt
	lastDelivery     map[[2]string]time.Duration
	faults           linkFaults
	published        map[version.Version]*declarationSet
	machineList      func() []membership.ListedMachine
	listComplete     bool // whether machineList returns all machines
	violations       []string
	trace            uint64 // hash over all deliveries
	topologyChanges  int    // number of changes of processes and links
	counts           map[string]int
	linksChangedAt   time.Time // when links last changed
}

// simulate runs a body on a fleet in a synctest bubble with virtual time. It passes
// on a panic of the body, as raised by rapid.
func simulate(t *testing.T, body func(*testing.T, *fleet)) {
	t.Helper()
	var raised any
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			startedAt:        time.Now(),
			reservedInstants: make(map[time.Duration]bool),
			lastDelivery:     make(map[[2]string]time.Duration), published: make(map[version.Version]*declarationSet),
			counts: make(map[string]int),
		}
		defer f.stopAll()
		defer func() { raised = recover() }()
		body(t, f)
	})
	repanic(raised)
}

// repanic raises a recovered panic again. rapid distinguishes failures by their
// stack trace, so each kind is raised on its own line.
func repanic(raised any) {
	switch fmt.Sprintf("%T", raised) {
	case "<nil>":
	case "rapid.stopTest":
		panic(raised)
	default:
		panic(raised)
	}
}

// setUp creates the nodes without starting them.
func (f *fleet) setUp(t must.T, seed uint64, nodes, zones int) {
	f.t = t
	for index := range f.random {
		f.random[index] = rand.New(rand.NewPCG(seed, uint64(index)))
	}
	for index := range nodes {
		n := &node{
			fleet: f, index: index,
			name: fmt.Sprintf("node-%02d", index),
			zone: fmt.Sprintf("zone-%d", index%zones),
		}
		if index%3 != 2 { // each third node is an edge
			n.worker = fmt.Sprintf("worker-%02d", index)
		}
		f.nodes = append(f.nodes, n)
	}
	f.machineList, f.listComplete = f.completeList, true
}

// completeList returns a machine list with all nodes.
func (f *fleet) completeList() []membership.ListedMachine {
	var machines []membership.ListedMachine
	for _, n := range f.nodes {
		machines = append(machines, membership.ListedMachine{Name: n.name, Zone: n.zone, Peer: n.address()})
	}
	return machines
}

// reserveInstant reserves an unused instant of a class, at least wait from now, and
// returns the time until then. The caller holds the mutex.
func (f *fleet) reserveInstant(class eventClass, wait time.Duration) time.Duration {
	elapsed := time.Since(f.startedAt)
	step := time.Duration(eventClasses) * time.Microsecond
	at := (elapsed+wait)/step*step + step + time.Duration(class)*time.Microsecond
	for f.reservedInstants[at] {
		at += step
	}
	f.reservedInstants[at] = true
	return at - elapsed
}

// after runs an action at its own instant, at least wait from now.
func (f *fleet) after(class eventClass, wait time.Duration, action func()) {
	f.mutex.Lock()
	delay := f.reserveInstant(class, wait)
	f.mutex.Unlock()
	time.AfterFunc(delay, f.ordered(action))
}

// ordered makes the order of actions visible to the race detector. Virtual time
// already guarantees that actions at different instants never overlap.
func (f *fleet) ordered(action func()) func() {
	return func() {
		f.synchronize()
		action()
		f.synchronize()
	}
}

func (f *fleet) synchronize() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
}

// waitIdle waits until all effects of the last action have been handled.
func (f *fleet) waitIdle() {
	f.synchronize()
	synctest.Wait()
	f.synchronize()
}

// run advances virtual time, and fails the test on violations found by the oracle.
func (f *fleet) run(span time.Duration) {
	const sample = 100 * time.Millisecond
	for end := time.Since(f.startedAt) + span; time.Since(f.startedAt) < end; {
		f.mutex.Lock()
		delay := f.reserveInstant(classTest, min(sample, end-time.Since(f.startedAt)))
		f.mutex.Unlock()
		time.Sleep(delay)
		f.waitIdle()
		f.checkAll()
	}
}

// runUntil advances virtual time until the condition holds or the bound has passed.
// It returns the time taken and whether the condition holds.
func (f *fleet) runUntil(bound time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > bound {
			return time.Since(start), false
		}
		f.run(50 * time.Millisecond)
	}
	return time.Since(start), true
}

// recordViolation records a violation found by the oracle. The test's goroutine
// reports it.
func (f *fleet) recordViolation(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.violations = append(f.violations, fmt.Sprintf("%s: ", time.Since(f.startedAt))+fmt.Sprintf(format, args...))
}

func (f *fleet) failOnViolations() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.violations) > 0 {
		f.t.Fatalf("%d violations:\n%s", len(f.violations), strings.Join(f.violations, "\n"))
	}
}

// live returns the live processes, paused ones included.
func (f *fleet) live() []*process {
	var live []*process
	for _, n := range f.nodes {
		if n.process != nil {
			live = append(live, n.process)
		}
	}
	return live
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		n.start(0)
	}
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.kill()
	}
}

// converged reports whether all live nodes serve the given version.
func (f *fleet) converged(v version.Version) bool {
	for _, p := range f.live() {
		view, current := p.holder.Current(p.clock())
		if !current || view.Version != v {
			return false
		}
	}
	return true
}

// describe returns the state of all live nodes, for failure messages.
func (f *fleet) describe() string {
	text := ""
	for _, p := range f.live() {
		ctx, cancel := context.WithTimeout(p.context, time.Millisecond)
		status := p.loop.Status(ctx)
		cancel()
		_, current := p.holder.Current(p.clock())
		text += fmt.Sprintf("%s side %d paused %t current %t: %d members, %+v\n",
			p.node.name, p.node.partitionSide, p.resumeSignal != nil, current, len(status.Members), status.Distribution)
	}
	return text
}

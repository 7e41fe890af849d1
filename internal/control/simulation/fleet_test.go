// Package simulation runs whole nodes' control, control.Loop and claim.Keeper,
// on a simulated network in virtual time, and checks each published view
// against an oracle while faults are drawn at random.
//
// Runs are deterministic: each event of the simulation, a delivery, a tick or
// an action of the test, has a moment of its own, so that at most one node acts
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

// class keeps the moments of concurrent kinds of event apart: an event of a
// class takes place at a microsecond that leaves the class's remainder.
type class int

const (
	classControl class = iota // messages of the loops
	classClaim                // messages of the keepers
	classSource               // reads of the source and the machine list
	classTest                 // actions of the test
	classes
)

// fleet is the simulated world.
type fleet struct {
	t     must.T
	began time.Time
	nodes []*node

	mutex     sync.Mutex
	random    [classes]*rand.Rand
	used      map[time.Duration]bool // moments taken, since began
	lastOn    map[[2]string]time.Duration
	faults    linkFaults
	published map[version.Version]*edition
	listed    func() []membership.ListedMachine
	listsAll  bool // whether the list is true
	failures  []string
	trace     uint64 // hash over all deliveries and views
	changes   int    // of the fleet's processes and links
	counts    map[string]int
	healed    time.Time // when a cut last ended
}

// simulate runs a body on a fleet in a bubble of virtual time. A panic of the
// body, as rapid raises, passes through.
func simulate(t *testing.T, body func(*testing.T, *fleet)) {
	t.Helper()
	var raised any
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{
			began:  time.Now(),
			used:   make(map[time.Duration]bool),
			lastOn: make(map[[2]string]time.Duration), published: make(map[version.Version]*edition),
			counts: make(map[string]int),
		}
		defer f.stopAll()
		defer func() { raised = recover() }()
		body(t, f)
	})
	raise(raised)
}

// raise lets a panic go on. rapid tells failures apart by where they come from,
// so each kind has a line of its own.
func raise(raised any) {
	switch fmt.Sprintf("%T", raised) {
	case "<nil>":
	case "rapid.stopTest":
		panic(raised)
	default:
		panic(raised)
	}
}

// setUp makes the nodes, without starting them.
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
	f.listed, f.listsAll = f.trueList, true
}

// trueList names all machines.
func (f *fleet) trueList() []membership.ListedMachine {
	var machines []membership.ListedMachine
	for _, n := range f.nodes {
		machines = append(machines, membership.ListedMachine{Name: n.name, Zone: n.zone, Peer: n.address()})
	}
	return machines
}

// moment returns the wait to a moment of a class that is still free, at least
// the given wait from now. The mutex is held.
func (f *fleet) moment(of class, wait time.Duration) time.Duration {
	elapsed := time.Since(f.began)
	step := time.Duration(classes) * time.Microsecond
	at := (elapsed+wait)/step*step + step + time.Duration(of)*time.Microsecond
	for f.used[at] {
		at += step
	}
	f.used[at] = true
	return at - elapsed
}

// after runs an action at a moment of its own.
func (f *fleet) after(of class, wait time.Duration, action func()) {
	f.mutex.Lock()
	delay := f.moment(of, wait)
	f.mutex.Unlock()
	time.AfterFunc(delay, f.ordered(action))
}

// ordered tells the race detector what virtual time guarantees: that an action
// comes after all that came before it. The actions of different moments never
// overlap.
func (f *fleet) ordered(action func()) func() {
	return func() {
		f.touch()
		action()
		f.touch()
	}
}

func (f *fleet) touch() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
}

// settle waits until all that the last action caused has been done.
func (f *fleet) settle() {
	f.touch()
	synctest.Wait()
	f.touch()
}

// run lets time pass, and fails the test on what the oracle found.
func (f *fleet) run(span time.Duration) {
	const sample = 100 * time.Millisecond
	for end := time.Since(f.began) + span; time.Since(f.began) < end; {
		f.mutex.Lock()
		delay := f.moment(classTest, min(sample, end-time.Since(f.began)))
		f.mutex.Unlock()
		time.Sleep(delay)
		f.settle()
		f.sample()
	}
}

// until lets time pass until a condition holds, and returns how long it took.
func (f *fleet) until(bound time.Duration, condition func() bool) (time.Duration, bool) {
	began := time.Now()
	for !condition() {
		if time.Since(began) > bound {
			return time.Since(began), false
		}
		f.run(50 * time.Millisecond)
	}
	return time.Since(began), true
}

// fail notes what the oracle found; the test's goroutine reports it.
func (f *fleet) fail(format string, args ...any) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failures = append(f.failures, fmt.Sprintf("%s: ", time.Since(f.began))+fmt.Sprintf(format, args...))
}

func (f *fleet) report() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.failures) > 0 {
		f.t.Fatalf("%d violations:\n%s", len(f.failures), strings.Join(f.failures, "\n"))
	}
}

// live returns the processes that live, paused ones included.
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

// agreed reports whether all live nodes serve one version.
func (f *fleet) agreed(v version.Version) bool {
	for _, p := range f.live() {
		view, current := p.holder.Current(p.clock())
		if !current || view.Version != v {
			return false
		}
	}
	return true
}

// describe returns the state of all live nodes.
func (f *fleet) describe() string {
	text := ""
	for _, p := range f.live() {
		ctx, cancel := context.WithTimeout(p.context, time.Millisecond)
		status := p.loop.Status(ctx)
		cancel()
		_, current := p.holder.Current(p.clock())
		text += fmt.Sprintf("%s side %d paused %t current %t: %d members, %+v\n",
			p.node.name, p.node.side, p.gate != nil, current, len(status.Members), status.Distribution)
	}
	return text
}

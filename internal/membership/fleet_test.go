package membership

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"

	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// fleet is a simulated fleet on a virtual clock. All events go through one queue,
// so a run is determined by its seed.
type fleet struct {
	t              rapid.TB
	start          time.Time
	now            time.Time
	random         *rand.Rand
	queue          eventQueue
	count          uint64
	nodes          []*node
	byAddress      map[string]*node
	profile        Profile
	loss           float64
	duplicate      float64
	delay          time.Duration // upper bound of the message delay
	partitionSide  map[int]int   // side of a network partition, by node index
	brokenLink     [2]int        // two nodes that can't reach each other; none if equal
	measuring      bool
	skipStateCheck bool // disables the check of endpoint states against their owners
	falseDeaths    int  // live members declared dead

	datagramBytes, streamBytes int // sent while measuring
	onChanged                  func(observer *node, change Changed)
	statesSet                  map[stateKey]wire.EndpointState // as set by their owners
}

// stateKey identifies one endpoint state that its owner has set.
type stateKey struct {
	name     string
	start    int64
	sequence uint64
}

type node struct {
	index      int
	machine    *Machine
	startCount int // number of starts; events of a former process are dropped
	running    bool
	frozenAt   time.Time // zero if not
	inbox      []wire.Envelope
	address    string
	endpoint   wire.EndpointState
}

type queuedEvent struct {
	at    time.Time
	count uint64
	run   func()
}

type eventQueue []queuedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].count < q[j].count
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

func newFleet(t rapid.TB, size int, seed uint64, profile Profile) *fleet {
	start := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	f := &fleet{
		t: t, start: start, now: start, random: rand.New(rand.NewPCG(seed, 1)),
		byAddress: make(map[string]*node), delay: 3 * time.Millisecond,
		partitionSide: make(map[int]int), statesSet: make(map[stateKey]wire.EndpointState),
		profile: profile,
	}
	for index := range size {
		n := &node{index: index, address: fmt.Sprintf("10.1.%d.%d:7946", index/250, index%250+1)}
		f.nodes = append(f.nodes, n)
		f.boot(n, 0)
	}
	return f
}

func (f *fleet) after(wait time.Duration, run func()) {
	f.count++
	heap.Push(&f.queue, queuedEvent{at: f.now.Add(wait), count: f.count, run: run})
}

func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		event := heap.Pop(&f.queue).(queuedEvent)
		f.now = event.at
		event.run()
	}
	f.now = end
}

// runUntil runs until the condition holds and returns the virtual time taken.
func (f *fleet) runUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	begin := f.now
	for !condition() {
		if f.now.Sub(begin) >= limit {
			f.t.Fatalf("condition not met after %v of virtual time: %s", limit, what)
		}
		f.run(10 * time.Millisecond)
	}
	return f.now.Sub(begin)
}

// boot starts a node without state, its clock off by the given time.
func (f *fleet) boot(n *node, clock time.Duration) {
	n.startCount++
	n.running, n.frozenAt, n.inbox = true, time.Time{}, nil
	n.endpoint = wire.EndpointNone
	f.byAddress[n.address] = n
	config := DefaultConfig(f.profile)
	config.Self = wire.Member{
		Name: nodeName(n.index), Zone: fmt.Sprintf("zone-%d", n.index%5), Region: "kochi",
		Service: fmt.Sprintf("service-%d", n.index%29), Worker: fmt.Sprintf("worker-%04d", n.index),
		Peer: n.address, Inbound: n.address[:len(n.address)-4] + "8080", Start: f.now.Add(clock).UnixMilli(),
	}
	config.Random = rand.New(rand.NewPCG(f.random.Uint64(), 2))
	for _, seed := range f.nodes[:min(3, len(f.nodes))] {
		config.Seeds = append(config.Seeds, seed.address)
	}
	n.machine = New(config, f.now)
	f.recordState(n)
	digest := "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	current := version.Version{Epoch: 1, Revision: 4711, Digest: digest}
	f.step(n, SetDigests{Active: current, Staged: current})
	f.setEndpoint(n, wire.EndpointReady)
	f.scheduleTick(n, n.startCount)
}

func nodeName(index int) string { return fmt.Sprintf("node-%04d", index) }

func (f *fleet) scheduleTick(n *node, startCount int) {
	wait := 25*time.Millisecond + time.Duration(f.random.Int64N(int64(25*time.Millisecond)))
	f.after(wait, func() {
		if n.startCount != startCount || !n.running {
			return
		}
		if n.frozenAt.IsZero() {
			f.step(n, Tick{})
		}
		f.scheduleTick(n, startCount)
	})
}

func (f *fleet) setEndpoint(n *node, state wire.EndpointState) {
	n.endpoint = state
	f.step(n, SetEndpoint{State: state})
}

func (f *fleet) kill(n *node) { n.running = false }

func (f *fleet) freeze(n *node) { n.frozenAt = f.now }

// thaw resumes a frozen node: it handles the jump of its clock first, then the
// messages buffered in its socket.
func (f *fleet) thaw(n *node) {
	const lease = 2 * time.Second
	paused := f.now.Sub(n.frozenAt)
	n.frozenAt = time.Time{}
	if paused >= lease {
		f.step(n, Resumed{})
	}
	f.step(n, Tick{})
	inbox := n.inbox
	n.inbox = nil
	for _, message := range inbox {
		f.step(n, Received{Message: message})
	}
}

func (f *fleet) step(n *node, event Event) {
	effects := n.machine.Step(event, f.now)
	f.recordState(n)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			f.transmit(n, effect.Outgoing)
		case Changed:
			f.checkChange(n, effect)
		}
	}
}

// recordState stores a node's own endpoint state for checkChange.
func (f *fleet) recordState(n *node) {
	self := n.machine.Self()
	f.statesSet[stateKey{self.Name, self.Start, self.Sequence}] = self.Endpoint
}

// checkChange verifies a change at an observer: registers never move back, endpoint
// states were set by their owners, and deaths of live members are counted.
func (f *fleet) checkChange(observer *node, change Changed) {
	member, before := change.Member, change.Before
	forward := member.Start > before.Start || (member.Start == before.Start &&
		member.Incarnation >= before.Incarnation && member.Sequence >= before.Sequence)
	if !forward {
		f.t.Fatalf("%s: register moved back from %+v to %+v", nodeName(observer.index), before, member)
	}
	state, ok := f.statesSet[stateKey{member.Name, member.Start, member.Sequence}]
	if !f.skipStateCheck && (!ok || state != member.Endpoint) {
		f.t.Fatalf("%s holds an endpoint state that the owner never set: %+v", nodeName(observer.index), member)
	}
	subject := f.nodeByName(member.Name)
	if member.Status == wire.StatusDead && subject.running && subject.frozenAt.IsZero() {
		f.falseDeaths++
	}
	if f.onChanged != nil {
		f.onChanged(observer, change)
	}
}

func (f *fleet) nodeByName(name string) *node {
	var index int
	_, err := fmt.Sscanf(name, "node-%d", &index)
	must.NoError(f.t, err)
	return f.nodes[index]
}

func (f *fleet) transmit(from *node, outgoing wire.Outgoing) {
	if f.measuring {
		text, err := json.Marshal(outgoing.Message)
		must.NoError(f.t, err)
		if outgoing.Datagram {
			must.Less(f.t, maxDatagramBytes, len(text))
			f.datagramBytes += len(text)
		} else {
			f.streamBytes += len(text) + 1
		}
	}
	copies := 1
	if outgoing.Datagram && f.random.Float64() < f.loss {
		copies = 0
	}
	if outgoing.Datagram && f.random.Float64() < f.duplicate {
		copies++
	}
	for range copies {
		f.after(time.Duration(f.random.Int64N(int64(f.delay))), func() { f.deliver(from, outgoing) })
	}
}

func (f *fleet) deliver(from *node, outgoing wire.Outgoing) {
	const socketBuffer = 256
	to, ok := f.byAddress[outgoing.Address]
	if !ok || !to.running || to.address != outgoing.Address || !f.connected(from.index, to.index) {
		return
	}
	if to.frozenAt.IsZero() {
		f.step(to, Received{Message: outgoing.Message})
		return
	}
	if len(to.inbox) < socketBuffer {
		to.inbox = append(to.inbox, outgoing.Message)
	}
}

func (f *fleet) connected(from, to int) bool {
	apart := f.brokenLink == [2]int{from, to} || f.brokenLink == [2]int{to, from}
	return f.partitionSide[from] == f.partitionSide[to] && (from == to || !apart)
}

// converged reports whether all running nodes hold the true state of the fleet.
func (f *fleet) converged() bool {
	var hash uint64
	var running int
	for _, n := range f.nodes {
		if !n.running {
			continue
		}
		running++
		if hash != 0 && n.machine.ViewHash() != hash {
			return false
		}
		hash = n.machine.ViewHash()
	}
	for _, n := range f.nodes {
		if n.running {
			return f.hasTrueView(n, running)
		}
	}
	return true
}

func (f *fleet) hasTrueView(observer *node, running int) bool {
	live := observer.machine.Live()
	if len(live) != running {
		return false
	}
	for _, member := range live {
		subject := f.nodeByName(member.Name)
		if !subject.running || member.Endpoint != subject.endpoint || member.Status == wire.StatusSuspect {
			return false
		}
	}
	return true
}

// move restarts a node at another address.
func (f *fleet) move(n *node) {
	n.address = fmt.Sprintf("10.2.%d.%d:7946", n.startCount%250, n.index+1)
	f.boot(n, 0)
}

// setMachineList gives a node a machine list of the first count nodes, whether or
// not they run.
func (f *fleet) setMachineList(n *node, count int) {
	var machines []ListedMachine
	for _, listed := range f.nodes[:count] {
		machines = append(machines, ListedMachine{Name: nodeName(listed.index), Peer: listed.address})
	}
	f.step(n, MachineList{Machines: machines})
}

// endFaults heals the network, thaws frozen nodes and gives all running nodes the
// complete machine list.
func (f *fleet) endFaults() {
	f.loss, f.duplicate, f.delay = 0, 0, 3*time.Millisecond
	clear(f.partitionSide)
	for _, n := range f.nodes {
		if n.running && !n.frozenAt.IsZero() {
			f.thaw(n)
		}
		if n.running {
			f.setMachineList(n, len(f.nodes))
		}
	}
}

package simulation

import (
	"context"
	mathrand "math/rand"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/claim"
	"sliphead/internal/control"
	"sliphead/internal/distribution"
	"sliphead/internal/fault"
	"sliphead/internal/membership"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// The periods of a node.
const (
	lease        = 2 * time.Second
	controlTick  = 50 * time.Millisecond
	overlap      = 10 * time.Second
	sourcePeriod = 200 * time.Millisecond
	listPeriod   = 2 * time.Second
	keeperPhase  = time.Nanosecond        // after the loop
	warmUp       = 300 * time.Millisecond // of a worker
)

// node is a machine's place in the fleet. Its process comes and goes.
type node struct {
	fleet   *fleet
	index   int
	name    string
	zone    string
	worker  string // "" at an edge
	seeds   []string
	side    int        // of the cut
	source  *edition   // what the source shows this node, nil for an outage
	late    bool       // whether the source lacks the secret for this node
	drained *time.Time // when the worker began to drain, nil before
	process *process
}

func (n *node) address() string { return n.name + ":7000" }

// process is one life of a node, from its start to its death.
type process struct {
	node    *node
	started time.Time
	offset  time.Duration // of its wall clock
	holder  *snapshot.Holder
	loop    *control.Loop
	keeper  *claim.Keeper
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	gate      chan struct{} // closed on resume, nil while it runs
	clockRead bool          // whether the pause came after the clock was read
	paused    time.Time
	held      []func() // what reached the machine during the pause
	dead      bool
	reader    bool
	hadRead   bool     // whether it ever read the source
	emitted   emission // what its reader of the source told last
	logged    map[string]int
	version   version.Version // of the newest view, by the oracle
	current   bool            // whether traffic might use it, by the last look
	catching  catching
}

// emission is what a reader of the source tells the loop.
type emission struct {
	shown *edition
	late  bool
}

// start starts a process without memory, with a wall clock that is off.
func (n *node) start(offset time.Duration) {
	f := n.fleet
	n.kill()
	f.mutex.Lock()
	delay := f.moment(classTest, 0)
	seed := f.random[classTest].Uint64()
	f.changes++
	f.mutex.Unlock()
	// Each node's tickers have a phase of their own, in nanoseconds.
	time.Sleep(delay + time.Duration(2*n.index+1))
	f.settle()
	p := &process{node: n, started: time.Now(), offset: offset, holder: &snapshot.Holder{}, logged: make(map[string]int)}
	p.context, p.cancel = context.WithCancel(context.Background())
	p.catching = f.floorFor(p)
	p.keeper = claim.NewKeeper(claim.KeeperConfig{
		Config: claim.Config{Node: n.name, Worker: n.worker, Retry: 500 * time.Millisecond, Random: rand.New(rand.NewPCG(seed, 1))},
		Send:   func(outgoing wire.Outgoing) { p.loop.Send(outgoing) },
		Now:    p.clock,
	})
	p.loop = control.New(p.config(seed))
	n.process = p
	n.drained = nil
	p.running.Go(func() { _ = p.loop.Run(p.context) })
	f.settle()
	time.Sleep(keeperPhase)
	p.running.Go(func() { _ = p.keeper.Run(p.context) })
	f.settle()
	if n.worker != "" {
		f.after(classSource, warmUp, func() { p.setEndpoint(wire.EndpointReady) })
	}
	f.after(classSource, sourcePeriod, p.readSource)
	f.after(classSource, listPeriod/10, p.readMachines)
}

func (p *process) config(seed uint64) control.Config {
	n := p.node
	self := wire.Member{
		Name: n.name, Zone: n.zone, Region: "region", Worker: n.worker, Peer: n.address(),
		Start: p.clock().UnixMilli(), Status: wire.StatusAlive,
	}
	if n.worker != "" {
		self.Service, self.Inbound, self.Endpoint = service, n.name+":8000", wire.EndpointStarting
	}
	members := membership.DefaultConfig(membership.ProfileConvergence)
	members.Self, members.Seeds = self, n.seeds
	members.Random = rand.New(rand.NewPCG(seed, 2))
	versions := distribution.DefaultConfig()
	versions.Self, versions.Lease, versions.Validate = self, lease, validate
	versions.Random = mathrand.New(mathrand.NewSource(int64(seed)))
	return control.Config{
		Membership: members, Distribution: versions, Holder: p.holder,
		Sender: sender{p}, Claims: claims{p},
		Lease: lease, Tick: controlTick, Overlap: overlap, LocalWorker: n.worker,
		Now:    p.now,
		Logger: &log.Logger{Handler: log.HandlerFunc(p.note), Level: log.InfoLevel},
		OnReader: func(reader bool) {
			n.fleet.ordered(func() { p.reader, p.emitted = reader, emission{} })()
		},
	}
}

// validate is the check that each node makes of a version.
func validate(set *snapshot.Set) error {
	if findings := set.Validate(); len(findings) > 0 {
		return fault.New(fault.Declaration, findings[0].Remedy, "%s", findings[0].What)
	}
	return nil
}

// note counts what the loop logs.
func (p *process) note(entry *log.Entry) error {
	p.node.fleet.mutex.Lock()
	defer p.node.fleet.mutex.Unlock()
	p.logged[entry.Message]++
	p.node.fleet.counts[entry.Message]++
	return nil
}

// clock is the process's wall clock.
func (p *process) clock() time.Time { return time.Now().Add(p.offset) }

// now is the loop's clock. A paused process stops here, just before it reads
// the clock or just after, with an event that it has taken from its queue.
func (p *process) now() time.Time {
	p.node.fleet.mutex.Lock()
	gate, read := p.gate, p.clock()
	if gate != nil && p.clockRead {
		p.paused = time.Now() // it ran until here
	}
	p.node.fleet.mutex.Unlock()
	if gate != nil {
		<-gate
	}
	p.node.fleet.ordered(p.check)()
	if gate != nil && p.clockRead {
		return read
	}
	return p.clock()
}

// reach runs what reaches the machine from outside, or keeps it for after the
// pause as the operating system does.
func (p *process) reach(action func()) {
	const buffered = 512
	f := p.node.fleet
	f.mutex.Lock()
	dead, paused := p.dead, p.gate != nil
	if paused && len(p.held) < buffered {
		p.held = append(p.held, action)
	}
	f.mutex.Unlock()
	if !dead && !paused {
		action()
	}
}

func (p *process) setEndpoint(state wire.EndpointState) {
	p.reach(func() { p.loop.SetEndpoint(p.context, state) })
}

// readSource is the reader of the source: on duty it tells what is new.
func (p *process) readSource() {
	if p.isDead() {
		return
	}
	p.node.fleet.after(classSource, sourcePeriod, p.readSource)
	if !p.reader || p.isPaused() {
		return
	}
	shown := emission{p.node.source, p.node.late}
	if shown.shown == nil {
		p.loop.SourceFailed(p.context, fault.New(fault.Source, "wait", "the source is down"))
		return
	}
	if shown == p.emitted {
		return
	}
	p.emitted, p.hadRead = shown, true
	p.loop.SourceRead(p.context, shown.shown.set(shown.late))
}

// readMachines reads the machine list on duty, or when no other node is known.
func (p *process) readMachines() {
	if p.isDead() {
		return
	}
	p.node.fleet.after(classSource, listPeriod, p.readMachines)
	if p.isPaused() {
		return
	}
	if status := p.loop.Status(p.context); p.reader || len(status.Members) <= 1 {
		p.loop.MachinesRead(p.context, p.node.fleet.listed())
	}
}

func (p *process) isDead() bool {
	p.node.fleet.mutex.Lock()
	defer p.node.fleet.mutex.Unlock()
	return p.dead
}

func (p *process) isPaused() bool {
	p.node.fleet.mutex.Lock()
	defer p.node.fleet.mutex.Unlock()
	return p.gate != nil
}

// kill ends the process at once.
func (n *node) kill() {
	p := n.process
	if p == nil {
		return
	}
	f := n.fleet
	f.mutex.Lock()
	p.dead = true
	gate := p.gate
	p.gate = nil
	f.changes++
	f.mutex.Unlock()
	p.cancel()
	if gate != nil {
		close(gate)
	}
	p.running.Wait()
	f.touch()
	n.process = nil
}

// freeze stops the process as SIGSTOP does.
func (n *node) freeze(clockRead bool) {
	p := n.process
	if p == nil || p.gate != nil {
		return
	}
	f := n.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p.gate = make(chan struct{})
	p.paused, p.clockRead = time.Now(), clockRead
	f.changes++
}

// resume lets a paused process run on, with all that came meanwhile.
func (n *node) resume() {
	p := n.process
	if p == nil || p.gate == nil {
		return
	}
	f := n.fleet
	f.checkResumption(p)
	f.mutex.Lock()
	gate, held := p.gate, p.held
	p.gate, p.held = nil, nil
	f.changes++
	f.mutex.Unlock()
	close(gate)
	f.settle()
	for _, action := range held {
		f.after(classTest, 0, func() { p.reach(action) })
	}
}

// drain starts a planned stop: the worker takes no new requests from now on.
func (n *node) drain() {
	p := n.process
	if p == nil || n.worker == "" || n.drained != nil || p.gate != nil {
		return
	}
	now := time.Now()
	n.drained = &now
	p.reach(func() { p.loop.Drain(p.context) })
	n.fleet.settle()
}

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

// Timing of a node.
const (
	lease            = 2 * time.Second
	controlTick      = 50 * time.Millisecond
	overlap          = 10 * time.Second
	sourcePeriod     = 200 * time.Millisecond
	listPeriod       = 2 * time.Second
	keeperStartDelay = time.Nanosecond        // delay of the keeper's start after the loop's
	warmUp           = 300 * time.Millisecond // time until a started worker is ready
)

// node is a machine of the fleet. It has at most one process at a time.
type node struct {
	fleet         *fleet
	index         int
	name          string
	zone          string
	worker        string // "" at an edge
	seeds         []string
	partitionSide int             // side of the cut
	source        *declarationSet // what this node reads from the source, nil for an outage
	secretLate    bool            // whether this node reads no value of the secret yet
	drainedAt     *time.Time      // when the worker began to drain, nil before
	process       *process
}

func (n *node) address() string { return n.name + ":7000" }

// process is one process of a node, from its start to its end.
type process struct {
	node    *node
	started time.Time
	offset  time.Duration // of its wall clock from virtual time
	holder  *snapshot.Holder
	loop    *control.Loop
	keeper  *claim.Keeper
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	resumeSignal  chan struct{} // closed on resume, nil while the process runs
	clockRead     bool          // whether the process is paused after it has read the clock
	pausedAt      time.Time
	buffered      []func() // inputs that arrived during the pause
	dead          bool
	reader        bool
	hasReadSource bool          // whether the process has ever read the source
	lastReported  sourceContent // what it last reported to the loop from the source
	logCounts     map[string]int
	version       version.Version // of the newest view, recorded by the oracle
	current       bool            // whether traffic could use the view at the last check
	catchUp       catchUpExpectation
}

// sourceContent is what a reader of the source reports to the loop.
type sourceContent struct {
	declarations *declarationSet
	secretLate   bool
}

// start kills the node's process, if any, and starts a new one without state, whose
// wall clock is off by the offset.
func (n *node) start(offset time.Duration) {
	f := n.fleet
	n.kill()
	f.mutex.Lock()
	delay := f.reserveInstant(classTest, 0)
	seed := f.random[classTest].Uint64()
	f.topologyChanges++
	f.mutex.Unlock()
	// Tickers of different nodes differ by nanoseconds, so that none coincide.
	time.Sleep(delay + time.Duration(2*n.index+1))
	f.waitIdle()
	p := &process{node: n, started: time.Now(), offset: offset, holder: &snapshot.Holder{}, logCounts: make(map[string]int)}
	p.context, p.cancel = context.WithCancel(context.Background())
	p.catchUp = f.expectCatchUp(p)
	p.keeper = claim.NewKeeper(claim.KeeperConfig{
		Config: claim.Config{Node: n.name, Worker: n.worker, RetryInterval: 500 * time.Millisecond, Random: rand.New(rand.NewPCG(seed, 1))},
		Send:   func(outgoing wire.Outgoing) { p.loop.Send(outgoing) },
		Now:    p.clock,
	})
	p.loop = control.New(p.config(seed))
	n.process = p
	n.drainedAt = nil
	p.running.Go(func() { _ = p.loop.Run(p.context) })
	f.waitIdle()
	time.Sleep(keeperStartDelay)
	p.running.Go(func() { _ = p.keeper.Run(p.context) })
	f.waitIdle()
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
		Logger: &log.Logger{Handler: log.HandlerFunc(p.countLog), Level: log.InfoLevel},
		OnReaderChanged: func(reader bool) {
			n.fleet.ordered(func() { p.reader, p.lastReported = reader, sourceContent{} })()
		},
	}
}

// validate is the validation of a version that each node runs.
func validate(set *snapshot.Set) error {
	if findings := set.Validate(); len(findings) > 0 {
		return fault.New(fault.Declaration, findings[0].Remedy, "%s", findings[0].What)
	}
	return nil
}

// countLog counts the loop's log entries by event name.
func (p *process) countLog(entry *log.Entry) error {
	p.node.fleet.mutex.Lock()
	defer p.node.fleet.mutex.Unlock()
	p.logCounts[entry.Message]++
	p.node.fleet.counts[entry.Message]++
	return nil
}

// clock returns the process's wall clock time.
func (p *process) clock() time.Time { return time.Now().Add(p.offset) }

// now is the loop's clock. A paused process blocks here, just before or just after
// it reads the clock, with an event that it has taken from its queue.
func (p *process) now() time.Time {
	p.node.fleet.mutex.Lock()
	signal, read := p.resumeSignal, p.clock()
	if signal != nil && p.clockRead {
		p.pausedAt = time.Now() // the process ran until here
	}
	p.node.fleet.mutex.Unlock()
	if signal != nil {
		<-signal
	}
	p.node.fleet.ordered(p.check)()
	if signal != nil && p.clockRead {
		return read
	}
	return p.clock()
}

// runOrBuffer runs an input from outside the process. During a pause it buffers the
// input, as the operating system does.
func (p *process) runOrBuffer(action func()) {
	const maxBuffered = 512
	f := p.node.fleet
	f.mutex.Lock()
	dead, paused := p.dead, p.resumeSignal != nil
	if paused && len(p.buffered) < maxBuffered {
		p.buffered = append(p.buffered, action)
	}
	f.mutex.Unlock()
	if !dead && !paused {
		action()
	}
}

func (p *process) setEndpoint(state wire.EndpointState) {
	p.runOrBuffer(func() { p.loop.SetEndpoint(p.context, state) })
}

// readSource periodically reads the source while the process has the reader duty, and
// reports changes and outages to the loop.
func (p *process) readSource() {
	if p.isDead() {
		return
	}
	p.node.fleet.after(classSource, sourcePeriod, p.readSource)
	if !p.reader || p.isPaused() {
		return
	}
	content := sourceContent{p.node.source, p.node.secretLate}
	if content.declarations == nil {
		p.loop.SourceFailed(p.context, fault.New(fault.Source, "wait", "the source is down"))
		return
	}
	if content == p.lastReported {
		return
	}
	p.lastReported, p.hasReadSource = content, true
	p.loop.SourceRead(p.context, content.declarations.set(content.secretLate))
}

// readMachines periodically reads the machine list while the process has the reader
// duty or no other member.
func (p *process) readMachines() {
	if p.isDead() {
		return
	}
	p.node.fleet.after(classSource, listPeriod, p.readMachines)
	if p.isPaused() {
		return
	}
	if status := p.loop.Status(p.context); p.reader || len(status.Members) <= 1 {
		p.loop.MachinesRead(p.context, p.node.fleet.machineList())
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
	return p.resumeSignal != nil
}

// kill ends the node's process at once.
func (n *node) kill() {
	p := n.process
	if p == nil {
		return
	}
	f := n.fleet
	f.mutex.Lock()
	p.dead = true
	signal := p.resumeSignal
	p.resumeSignal = nil
	f.topologyChanges++
	f.mutex.Unlock()
	p.cancel()
	if signal != nil {
		close(signal)
	}
	p.running.Wait()
	f.synchronize()
	n.process = nil
}

// freeze pauses the process as SIGSTOP does. With clockRead the pause begins after it
// has read the clock for an event.
func (n *node) freeze(clockRead bool) {
	p := n.process
	if p == nil || p.resumeSignal != nil {
		return
	}
	f := n.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p.resumeSignal = make(chan struct{})
	p.pausedAt, p.clockRead = time.Now(), clockRead
	f.topologyChanges++
}

// resume continues a paused process and passes it the buffered inputs.
func (n *node) resume() {
	p := n.process
	if p == nil || p.resumeSignal == nil {
		return
	}
	f := n.fleet
	f.checkResumption(p)
	f.mutex.Lock()
	signal, buffered := p.resumeSignal, p.buffered
	p.resumeSignal, p.buffered = nil, nil
	f.topologyChanges++
	f.mutex.Unlock()
	close(signal)
	f.waitIdle()
	for _, action := range buffered {
		f.after(classTest, 0, func() { p.runOrBuffer(action) })
	}
}

// drain starts a planned stop: the worker accepts no new requests from now on.
func (n *node) drain() {
	p := n.process
	if p == nil || n.worker == "" || n.drainedAt != nil || p.resumeSignal != nil {
		return
	}
	now := time.Now()
	n.drainedAt = &now
	p.runOrBuffer(func() { p.loop.Drain(p.context) })
	n.fleet.waitIdle()
}

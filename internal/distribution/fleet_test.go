package distribution

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Periods of the simulated fleet.
const (
	tickPeriod   = 50 * time.Millisecond
	gossipPeriod = 200 * time.Millisecond
	readPeriod   = 100 * time.Millisecond
	detection    = time.Second // delay until members see that a node has failed
)

const secretName = "press"

// edition describes one version of the declarations of a test.
type edition struct {
	epoch, revision uint64
	variant         string // editions with different variants have different contents
	secret          bool   // whether a secret is declared
	hasSecretValue  bool   // whether its value is present
	invalid         bool   // whether the validator refuses it
	workers         int
}

func (e edition) set(t must.T) *snapshot.Set {
	document := &declaration.Document{Epoch: e.epoch}
	for i := range max(e.workers, 1) {
		labels := declaration.Labels{}
		if i == 0 {
			labels["variant"] = fmt.Sprint(e.variant, e.revision)
		}
		document.Workers = append(document.Workers, declaration.Worker{Name: fmt.Sprintf("worker-%03d", i), Service: "storefront", Zone: "zone-0", Slots: 6, Connections: 130, Labels: labels})
	}
	if e.invalid {
		document.Services = append(document.Services, declaration.Service{Name: "bad"})
	}
	value := fmt.Sprint("value-", e.revision)
	values := map[string]string{}
	if e.secret {
		digest := snapshot.SecretResource(secretName, value).Digest
		document.Secrets = append(document.Secrets, declaration.Secret{Name: secretName, Digest: digest})
	}
	if e.hasSecretValue {
		values[secretName] = value
	}
	set, err := snapshot.Build(document, e.revision, values)
	must.NoError(t, err)
	return set
}

func validate(set *snapshot.Set) error {
	if _, found := set.Lookup(snapshot.Key{Kind: snapshot.KindService, Name: "bad"}); found {
		return fault.New(fault.Declaration, "remove the service", "service named bad")
	}
	return nil
}

// simNode is one node of the fleet. A restart replaces its machine.
type simNode struct {
	member  wire.Member
	machine *Machine
	alive   bool
	frozen  bool
	inbox   []Event // events received while frozen
	digests wire.Digests
	active  version.Version // version in force as tracked by the checks
	reader  bool
	fresh   bool
	side    int           // side of the network partition
	source  *snapshot.Set // set that the source gives to this node, nil during an outage
	view    []wire.Member
	sent    int
	cpu     time.Duration
}

type delivery struct {
	at    time.Time
	order int
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// fleet simulates nodes, network, membership and source in virtual time, and
// checks each effect.
type fleet struct {
	t                must.T
	now              time.Time
	random           *rand.Rand
	queue            deliveries
	order            int
	nodes            []*simNode
	nodeByName       map[string]*simNode
	history          int // Config.History of nodes that start
	lossRate         float64
	duplicateRate    float64
	delay            func(from, to *simNode) time.Duration
	holdersByVersion map[version.Version]map[string]bool
	accepted         map[version.Version]bool
	logs             map[string]int
	onDeliver        func(from, to *simNode, message wire.Envelope)
	onActive         func(node *simNode, v version.Version)
	onStep           func(node *simNode, event Event, effects []Effect) // event is nil on a start
}

func newFleet(t must.T, seed int64, nodes, zones int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewSource(seed)),
		nodeByName: map[string]*simNode{}, holdersByVersion: map[version.Version]map[string]bool{},
		accepted: map[version.Version]bool{}, logs: map[string]int{}, history: DefaultConfig().History,
	}
	f.delay = func(from, to *simNode) time.Duration {
		return time.Duration(500+f.random.Intn(1500)) * time.Microsecond
	}
	for i := range nodes {
		node := &simNode{member: wire.Member{Name: fmt.Sprintf("node-%03d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Status: wire.StatusAlive}}
		f.nodes = append(f.nodes, node)
		f.nodeByName[node.member.Name] = node
	}
	return f
}

func (f *fleet) start(node *simNode) {
	node.member.Start = f.now.UnixMilli() + 1
	node.member.Status = wire.StatusAlive
	config := DefaultConfig()
	config.Self, config.Validate = node.member, validate
	config.Random, config.History = rand.New(rand.NewSource(f.random.Int63())), f.history
	node.machine = New(config, f.now)
	node.alive, node.frozen, node.reader, node.fresh = true, false, false, false
	node.inbox, node.active, node.digests, node.view = nil, version.Version{}, wire.Digests{}, nil
	if f.onStep != nil {
		f.onStep(node, nil, nil)
	}
}

func (f *fleet) startAll() {
	for _, node := range f.nodes {
		f.start(node)
	}
	f.updateMembers(0)
	for _, node := range f.nodes {
		f.every(node, tickPeriod, func() { f.step(node, Tick{}) })
		f.every(node, gossipPeriod, func() { f.gossip(node) })
		f.every(node, readPeriod, func() { f.read(node) })
	}
}

func (f *fleet) at(when time.Time, run func()) {
	f.order++
	heap.Push(&f.queue, delivery{when, f.order, run})
}

// every runs a node's periodic work with a random phase, while the node is
// alive and not frozen.
func (f *fleet) every(node *simNode, period time.Duration, run func()) {
	var again func()
	again = func() {
		if node.alive && !node.frozen {
			run()
		}
		f.at(f.now.Add(period), again)
	}
	f.at(f.now.Add(time.Duration(f.random.Int63n(int64(period)))), again)
}

func (f *fleet) run(span time.Duration) { f.runUntil(f.now.Add(span), func() bool { return false }) }

// runUntil runs the fleet until the condition is true or the end is reached. It
// returns the condition's last value.
func (f *fleet) runUntil(end time.Time, done func() bool) bool {
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		if done() {
			return true
		}
		next := heap.Pop(&f.queue).(delivery)
		f.now = next.at
		next.run()
	}
	f.now = end
	return done()
}

// updateMembers gives each node the live members that it can reach, after a
// lag.
func (f *fleet) updateMembers(lag time.Duration) {
	for _, node := range f.nodes {
		start := node.member.Start
		f.at(f.now.Add(lag), func() {
			if node.alive && node.member.Start == start {
				node.view = f.reachable(node)
				f.step(node, Members{Live: node.view})
			}
		})
	}
}

func (f *fleet) reachable(node *simNode) []wire.Member {
	var live []wire.Member
	for _, other := range f.nodes {
		if other == node || (other.alive && !other.frozen && other.side == node.side) {
			live = append(live, other.member)
		}
	}
	return live
}

func (f *fleet) step(node *simNode, event Event) {
	if !node.alive {
		return
	}
	if node.frozen {
		node.inbox = append(node.inbox, event)
		return
	}
	began := time.Now()
	effects := node.machine.Step(event, f.now)
	node.cpu += time.Since(began)
	if f.onStep != nil {
		f.onStep(node, event, effects)
	}
	for _, effect := range effects {
		f.carryOut(node, effect)
	}
}

func (f *fleet) carryOut(node *simNode, effect Effect) {
	switch effect := effect.(type) {
	case Send:
		f.send(node, f.nodeByName[effect.To], func(to *simNode) {
			if f.onDeliver != nil {
				f.onDeliver(node, to, effect.Message)
			}
			f.step(to, Received{Message: effect.Message})
		})
	case Activate:
		f.checkActivation(node, effect.Set)
	case Duty:
		node.reader = effect.Reader
	case DigestsChanged:
		node.digests = wire.Digests{Active: effect.Active, Staged: effect.Staged}
		f.recordHolder(node, effect.Staged)
	case Fresh:
		node.fresh = true
	case Stale:
		node.fresh = false
	case Log:
		f.logs[effect.Name]++
		if effect.Name == LogStaged {
			f.recordHolder(node, node.machine.newestComplete())
			for _, staged := range node.machine.staged {
				f.recordHolder(node, staged.version())
			}
		}
		if effect.Name == LogAccepted {
			f.checkAcceptance(node)
		}
	}
}

func (f *fleet) recordHolder(node *simNode, v version.Version) {
	if f.holdersByVersion[v] == nil {
		f.holdersByVersion[v] = map[string]bool{}
	}
	f.holdersByVersion[v][node.member.Name] = true
}

// checkAcceptance checks that enough distinct nodes have staged the version.
func (f *fleet) checkAcceptance(root *simNode) {
	v := root.machine.active.Version()
	staying := slices.DeleteFunc(slices.Clone(root.view), func(m wire.Member) bool { return m.Status == wire.StatusLeaving })
	need := min(DefaultConfig().Holders, max(len(staying), 1))
	must.GreaterEq(f.t, need, len(f.holdersByVersion[v]), must.Sprintf("acceptance guard: %s accepted %s, staged by %v", root.member.Name, v, f.holdersByVersion[v]))
	f.accepted[v] = true
}

// checkActivation checks that a version may be put in force: it is newer,
// complete, valid and accepted.
func (f *fleet) checkActivation(node *simNode, set *snapshot.Set) {
	v := set.Version()
	must.True(f.t, v.After(node.active), must.Sprintf("monotone guard: %s changed from %s to %s", node.member.Name, node.active, v))
	must.True(f.t, set.Complete(), must.Sprintf("completeness guard: %s at %s lacks %v", node.member.Name, v, set.Missing()))
	must.NoError(f.t, validate(set))
	copied, err := snapshot.Empty().Apply(snapshot.Diff(snapshot.Empty(), set))
	must.NoError(f.t, err)
	must.Eq(f.t, v, copied.Version())
	must.True(f.t, f.accepted[v], must.Sprintf("acceptance guard: %s activated %s, staged by %v", node.member.Name, v, f.holdersByVersion[v]))
	node.active = v
	if f.onActive != nil {
		f.onActive(node, v)
	}
}

// send delivers after the network's delay, which may reorder messages. A
// message may be lost or duplicated.
func (f *fleet) send(from, to *simNode, deliver func(*simNode)) {
	from.sent++
	copies := 1
	if f.random.Float64() < f.duplicateRate {
		copies = 2
	}
	for range copies {
		if to == nil || f.random.Float64() < f.lossRate {
			continue
		}
		start := to.member.Start
		f.at(f.now.Add(f.delay(from, to)), func() {
			if to.alive && to.member.Start == start && to.side == from.side {
				deliver(to)
			}
		})
	}
}

func (f *fleet) gossip(node *simNode) {
	if len(node.view) == 0 {
		return
	}
	digests := node.digests
	for range 2 {
		peer := f.nodeByName[node.view[f.random.Intn(len(node.view))].Name]
		if peer != node {
			f.send(node, peer, func(to *simNode) { f.step(to, PeerDigests{From: node.member.Name, Digests: digests}) })
		}
	}
}

func (f *fleet) read(node *simNode) {
	if node.reader && node.source != nil {
		f.step(node, SourceRead{Set: node.source})
	}
}

func (f *fleet) publish(set *snapshot.Set) {
	for _, node := range f.nodes {
		node.source = set
	}
}

// resume unfreezes a node and delivers the events that it received while
// frozen.
func (f *fleet) resume(node *simNode) {
	node.frozen = false
	inbox := node.inbox
	node.inbox = nil
	for _, event := range inbox {
		f.step(node, event)
	}
}

// agree reports whether all live nodes are fresh with the version in force.
func (f *fleet) agree(v version.Version) bool {
	return !slices.ContainsFunc(f.nodes, func(node *simNode) bool {
		return node.alive && (node.active != v || !node.fresh)
	})
}

package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"sliphead/internal/catalog"
)

var began = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// The network of the fleet, one way.
const (
	inZone    = 250 * time.Microsecond
	crossZone = 600 * time.Microsecond
)

// newsLag is within which nodes in touch hear of a change of the catalog.
const newsLag = 2500 * time.Millisecond

// fleet runs the machines of a mesh in virtual time, with messages that are late, lost and
// overtake each other, and callers who send by chance.
type fleet struct {
	random   *rand.Rand
	settings Settings
	now      time.Time
	nodes    []*fleetNode
	byHost   map[string]*fleetNode
	tenants  []*fleetTenant
	zones    int
	loss     float64
	queue    eventQueue
	serial   uint64
	messages int
	bytes    int // computed from the shape of messages
}

type fleetNode struct {
	host    Host
	machine *Machine
	side    int  // of a cut: nodes reach those on their side; the store is on side 0
	down    bool // without a process
	frozen  bool // suspended: its events wait, its clock goes on
	backlog []func()
	tick    time.Time // when its next tick is queued for
	asked   map[uint64]*fleetTenant
}

// fleetTenant is a tenant with its callers, and what became of their requests.
type fleetTenant struct {
	catalog.Tenant
	demand   float64 // requests a second
	zone     int     // to whose nodes alone callers send; -1: any
	limitAt  time.Time
	level    float64 // of an ideal bucket for the whole mesh
	levelAt  time.Time
	owed     int // requests that the ideal bucket lets pass
	sent     int
	refused  int
	admitted []time.Time
}

type fleetEvent struct {
	at     time.Time
	serial uint64
	run    func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at.Before(q[b].at) || q[a].at.Equal(q[b].at) && q[a].serial < q[b].serial
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleetShape is the size of a fleet and the settings of its machines.
type fleetShape struct {
	nodes, zones, tenants int
	demand                float64 // requests a second of all tenants together
	settings              Settings
}

var exampleSettings = Settings{Window: 5 * time.Second, Overage: 0.25, Slack: 20}

func newFleet(seed uint64, shape fleetShape) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), settings: shape.settings, now: began, byHost: map[string]*fleetNode{}, zones: shape.zones}
	total := 0.0
	for index := range shape.tenants { // the first are large, as in a law of rank and size
		total += 1 / math.Pow(float64(index+1), 0.9)
	}
	for index := range shape.tenants {
		demand := shape.demand / total / math.Pow(float64(index+1), 0.9)
		rate := math.Max(2, 1.6*demand)
		f.tenants = append(f.tenants, &fleetTenant{Tenant: catalog.Tenant{Name: fmt.Sprint("tenant-", index), RatePerSecond: rate, Burst: rate}, demand: demand, zone: -1, level: rate, levelAt: began})
	}
	for index := range shape.nodes {
		f.add(index % shape.zones)
	}
	for _, each := range f.nodes {
		f.start(each)
	}
	f.tellAll()
	f.run(10 * time.Second)
	return f
}

// add adds a machine without a process.
func (f *fleet) add(zone int) *fleetNode {
	index := len(f.nodes)
	added := &fleetNode{host: Host{Address: fmt.Sprintf("10.0.%d.%d", index/250, index%250), Zone: fmt.Sprint("z", zone), Region: "r1"}, down: true}
	f.nodes = append(f.nodes, added)
	f.byHost[added.host.Address] = added
	return added
}

// start starts a process that knows nothing.
func (f *fleet) start(n *fleetNode) {
	n.down, n.frozen, n.backlog, n.asked = false, false, nil, map[uint64]*fleetTenant{}
	n.machine = New(Config{Settings: f.settings, Self: n.host.Address, Zone: n.host.Zone, Region: "r1", Lag: newsLag, Random: rand.NewPCG(f.random.Uint64(), 0)}, f.now)
	n.tick = time.Time{}
	f.step(n, Tick{})
}

// tell has a node know what the catalog says now; it does so once, as news travel.
func (f *fleet) tell(n *fleetNode, lag time.Duration) {
	told := Configured{}
	for _, each := range f.tenants {
		told.Tenants = append(told.Tenants, each.Tenant)
	}
	for _, each := range f.nodes {
		if !each.down {
			told.Hosts = append(told.Hosts, each.host)
		}
	}
	f.after(lag, func() {
		if n.side == 0 {
			f.step(n, told)
		}
	})
}

// tellAll does so for all, each as late as may be.
func (f *fleet) tellAll() {
	for _, each := range f.nodes {
		f.tell(each, time.Duration(f.random.Int64N(int64(newsLag))))
	}
}

func (f *fleet) after(wait time.Duration, run func()) {
	f.serial++
	heap.Push(&f.queue, fleetEvent{at: f.now.Add(wait), serial: f.serial, run: run})
}

// run lets time pass.
func (f *fleet) run(most time.Duration) {
	until := f.now.Add(most)
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		next := heap.Pop(&f.queue).(fleetEvent)
		f.now = next.at
		next.run()
	}
	f.now = until
}

func (f *fleet) step(n *fleetNode, event Event) {
	if n.down {
		return
	}
	if n.frozen {
		n.backlog = append(n.backlog, func() { f.step(n, event) })
		return
	}
	for _, effect := range n.machine.Step(event, f.now) {
		switch effect := effect.(type) {
		case Send:
			f.send(n, effect)
		case Decided:
			f.decided(n, effect)
		}
	}
	if due := n.machine.Due(f.now); n.tick.IsZero() || due.Before(n.tick) || !n.tick.After(f.now) {
		n.tick = due
		machine := n.machine
		f.after(due.Sub(f.now), func() {
			if n.machine == machine && n.tick.Equal(due) {
				f.step(n, Tick{})
			}
		})
	}
}

// thaw ends a suspension: what waited comes at once.
func (f *fleet) thaw(n *fleetNode) {
	n.frozen = false
	for _, run := range n.backlog {
		run()
	}
	n.backlog = nil
	n.tick = time.Time{}
	f.step(n, Tick{})
}

func (f *fleet) send(from *fleetNode, sent Send) {
	address := sent.Host
	if address == "" {
		address = sent.To.Addr().String()
	}
	to := f.byHost[address]
	f.messages++
	f.bytes += lengthOf(sent.Message)
	if to == nil || to.side != from.side || f.random.Float64() < f.loss {
		return
	}
	wait := crossZone
	if to.host.Zone == from.host.Zone {
		wait = inZone
	}
	wait += time.Duration(f.random.ExpFloat64() * float64(wait) / 2)
	const port = 7000
	source := netip.AddrPortFrom(netip.MustParseAddr(from.host.Address), port)
	f.after(wait, func() { f.step(to, Heard{From: source, Message: sent.Message}) })
}

// lengthOf is about the length of a message's line.
func lengthOf(message Message) int {
	const keys, id = 18, 8
	return keys + id + len(message.Tenant)
}

func (f *fleet) decided(n *fleetNode, decided Decided) {
	tenant := n.asked[decided.ID]
	delete(n.asked, decided.ID)
	if decided.Result == Refused {
		tenant.refused++
		return
	}
	tenant.admitted = append(tenant.admitted, f.now)
}

// traffic has callers send for some time. Where a node has no process they go to another.
func (f *fleet) traffic(most time.Duration) {
	until := f.now.Add(most)
	for _, each := range f.tenants {
		f.arrive(each, until)
	}
	f.run(most)
}

// arrive has the tenant's next request come, and those after it.
func (f *fleet) arrive(tenant *fleetTenant, until time.Time) {
	wait := time.Duration(f.random.ExpFloat64() / tenant.demand * float64(time.Second))
	if f.now.Add(wait).After(until) {
		return
	}
	f.after(wait, func() {
		f.request(tenant)
		f.arrive(tenant, until)
	})
}

func (f *fleet) request(tenant *fleetTenant) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	for n.down || tenant.zone >= 0 && n.host.Zone != fmt.Sprint("z", tenant.zone) {
		n = f.nodes[f.random.IntN(len(f.nodes))]
	}
	tenant.sent++
	tenant.level = math.Min(tenant.Burst, tenant.level+tenant.RatePerSecond*f.now.Sub(tenant.levelAt).Seconds())
	tenant.levelAt = f.now
	if tenant.level >= 1 {
		tenant.level--
		tenant.owed++
	}
	f.serial++
	n.asked[f.serial] = tenant
	f.step(n, Wanted{ID: f.serial, Tenant: tenant.Name})
}

// reset forgets what was counted.
func (f *fleet) reset() {
	for _, each := range f.tenants {
		each.sent, each.owed, each.refused, each.admitted = 0, 0, 0, nil
	}
	f.messages, f.bytes = 0, 0
}

// served is the part of what lies within the limits that was let pass, over some tenants.
func served(tenants ...*fleetTenant) float64 {
	owed, passed := 0, 0
	for _, each := range tenants {
		owed += each.owed
		passed += min(each.owed, len(each.admitted))
	}
	return float64(passed) / float64(owed)
}

// worst returns the largest part of its bound that a tenant used in any window that ends at
// or after a moment, and the tenant. The bound is that of the tenant's limit now.
func (f *fleet) worst() (float64, string) {
	worst, name := 0.0, ""
	for _, each := range f.tenants {
		bound := (each.RatePerSecond*f.settings.Window.Seconds()+each.Burst)*(1+f.settings.Overage) + f.settings.Slack
		first := 0
		for index, at := range each.admitted {
			for at.Sub(each.admitted[first]) > f.settings.Window {
				first++
			}
			if each.admitted[first].Before(each.limitAt) {
				continue
			}
			if part := float64(index-first+1) / bound; part > worst {
				worst, name = part, each.Name
			}
		}
	}
	return worst, name
}

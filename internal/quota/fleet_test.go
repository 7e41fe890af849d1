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

var startTime = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// One-way delays of the fleet's network.
const (
	sameZoneDelay  = 250 * time.Microsecond
	crossZoneDelay = 600 * time.Microsecond
)

// maxPropagation is the time within which connected nodes observe a change of the catalog.
const maxPropagation = 2500 * time.Millisecond

// fleet simulates the state machines of a mesh in virtual time. Messages are delayed, lost and
// reordered, and requests arrive at random times.
type fleet struct {
	random   *rand.Rand
	settings Settings
	now      time.Time
	nodes    []*fleetNode
	byHost   map[string]*fleetNode
	tenants  []*fleetTenant
	zones    int
	loss     float64
	events   eventQueue
	serial   uint64
	messages int
	bytes    int // estimated from the fields of the messages
}

type fleetNode struct {
	host      Host
	machine   *Machine
	partition int  // nodes reach only nodes in the same partition; the store is in partition 0
	down      bool // its process does not run
	suspended bool // its events are delayed while its clock continues
	backlog   []func()
	nextTick  time.Time // time of the next scheduled Tick
	requests  map[uint64]*fleetTenant
}

// fleetTenant is a tenant with its offered load and the outcomes of its requests.
type fleetTenant struct {
	catalog.Tenant
	demand        float64 // requests a second
	zone          int     // the only zone that receives its requests; -1: all zones
	boundFrom     time.Time
	idealLevel    float64 // tokens of an ideal bucket for the whole mesh
	idealLevelAt  time.Time
	idealAdmitted int // requests that the ideal bucket admits
	sent          int
	rejected      int
	admitted      []time.Time
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

// fleetShape describes a fleet and the settings of its machines.
type fleetShape struct {
	nodes, zones, tenants int
	demand                float64 // requests a second of all tenants together
	settings              Settings
}

var exampleSettings = Settings{Window: 5 * time.Second, Overage: 0.25, Slack: 20}

func newFleet(seed uint64, shape fleetShape) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), settings: shape.settings, now: startTime, byHost: map[string]*fleetNode{}, zones: shape.zones}
	total := 0.0
	for index := range shape.tenants { // demand follows a power law of the rank
		total += 1 / math.Pow(float64(index+1), 0.9)
	}
	for index := range shape.tenants {
		demand := shape.demand / total / math.Pow(float64(index+1), 0.9)
		rate := math.Max(2, 1.6*demand)
		f.tenants = append(f.tenants, &fleetTenant{Tenant: catalog.Tenant{Name: fmt.Sprint("tenant-", index), RatePerSecond: rate, Burst: rate}, demand: demand, zone: -1, idealLevel: rate, idealLevelAt: startTime})
	}
	for index := range shape.nodes {
		f.add(index % shape.zones)
	}
	for _, each := range f.nodes {
		f.start(each)
	}
	f.configureAll()
	f.run(10 * time.Second)
	return f
}

// add adds a node whose process does not run yet.
func (f *fleet) add(zone int) *fleetNode {
	index := len(f.nodes)
	added := &fleetNode{host: Host{Address: fmt.Sprintf("10.0.%d.%d", index/250, index%250), Zone: fmt.Sprint("z", zone), Region: "r1"}, down: true}
	f.nodes = append(f.nodes, added)
	f.byHost[added.host.Address] = added
	return added
}

// start starts a node's process without any state.
func (f *fleet) start(n *fleetNode) {
	n.down, n.suspended, n.backlog, n.requests = false, false, nil, map[uint64]*fleetTenant{}
	n.machine = New(Config{Settings: f.settings, Self: n.host.Address, Zone: n.host.Zone, Region: "r1", PropagationDelay: maxPropagation, Random: rand.NewPCG(f.random.Uint64(), 0)}, f.now)
	n.nextTick = time.Time{}
	f.step(n, Tick{})
}

// configure delivers the current catalog to a node once, after a delay.
func (f *fleet) configure(n *fleetNode, lag time.Duration) {
	configured := Configured{}
	for _, each := range f.tenants {
		configured.Tenants = append(configured.Tenants, each.Tenant)
	}
	for _, each := range f.nodes {
		if !each.down {
			configured.Hosts = append(configured.Hosts, each.host)
		}
	}
	f.after(lag, func() {
		if n.partition == 0 {
			f.step(n, configured)
		}
	})
}

// configureAll delivers the current catalog to all nodes, each after a random delay of up to
// maxPropagation.
func (f *fleet) configureAll() {
	for _, each := range f.nodes {
		f.configure(each, time.Duration(f.random.Int64N(int64(maxPropagation))))
	}
}

func (f *fleet) after(wait time.Duration, run func()) {
	f.serial++
	heap.Push(&f.events, fleetEvent{at: f.now.Add(wait), serial: f.serial, run: run})
}

// run processes events for a duration of virtual time.
func (f *fleet) run(duration time.Duration) {
	until := f.now.Add(duration)
	for len(f.events) > 0 && !f.events[0].at.After(until) {
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.run()
	}
	f.now = until
}

func (f *fleet) step(n *fleetNode, event Event) {
	if n.down {
		return
	}
	if n.suspended {
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
	if due := n.machine.Due(f.now); n.nextTick.IsZero() || due.Before(n.nextTick) || !n.nextTick.After(f.now) {
		n.nextTick = due
		machine := n.machine
		f.after(due.Sub(f.now), func() {
			if n.machine == machine && n.nextTick.Equal(due) {
				f.step(n, Tick{})
			}
		})
	}
}

// resume ends a suspension: all delayed events are processed at once.
func (f *fleet) resume(n *fleetNode) {
	n.suspended = false
	for _, run := range n.backlog {
		run()
	}
	n.backlog = nil
	n.nextTick = time.Time{}
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
	if to == nil || to.partition != from.partition || f.random.Float64() < f.loss {
		return
	}
	wait := crossZoneDelay
	if to.host.Zone == from.host.Zone {
		wait = sameZoneDelay
	}
	wait += time.Duration(f.random.ExpFloat64() * float64(wait) / 2)
	const port = 7000
	source := netip.AddrPortFrom(netip.MustParseAddr(from.host.Address), port)
	f.after(wait, func() { f.step(to, MessageReceived{From: source, Message: sent.Message}) })
}

// lengthOf estimates the encoded length of a message in bytes.
func lengthOf(message Message) int {
	const keys, id = 18, 8
	return keys + id + len(message.Tenant)
}

func (f *fleet) decided(n *fleetNode, decided Decided) {
	tenant := n.requests[decided.ID]
	delete(n.requests, decided.ID)
	if decided.Result == Rejected {
		tenant.rejected++
		return
	}
	tenant.admitted = append(tenant.admitted, f.now)
}

// traffic runs the fleet for a duration with requests of all tenants. A node whose process does
// not run receives none.
func (f *fleet) traffic(duration time.Duration) {
	until := f.now.Add(duration)
	for _, each := range f.tenants {
		f.scheduleRequest(each, until)
	}
	f.run(duration)
}

// scheduleRequest schedules the tenant's next request, which schedules the one after it.
func (f *fleet) scheduleRequest(tenant *fleetTenant, until time.Time) {
	wait := time.Duration(f.random.ExpFloat64() / tenant.demand * float64(time.Second))
	if f.now.Add(wait).After(until) {
		return
	}
	f.after(wait, func() {
		f.request(tenant)
		f.scheduleRequest(tenant, until)
	})
}

func (f *fleet) request(tenant *fleetTenant) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	for n.down || tenant.zone >= 0 && n.host.Zone != fmt.Sprint("z", tenant.zone) {
		n = f.nodes[f.random.IntN(len(f.nodes))]
	}
	tenant.sent++
	tenant.idealLevel = math.Min(tenant.Burst, tenant.idealLevel+tenant.RatePerSecond*f.now.Sub(tenant.idealLevelAt).Seconds())
	tenant.idealLevelAt = f.now
	if tenant.idealLevel >= 1 {
		tenant.idealLevel--
		tenant.idealAdmitted++
	}
	f.serial++
	n.requests[f.serial] = tenant
	f.step(n, TokenRequested{ID: f.serial, Tenant: tenant.Name})
}

// resetCounts clears all counts.
func (f *fleet) resetCounts() {
	for _, each := range f.tenants {
		each.sent, each.idealAdmitted, each.rejected, each.admitted = 0, 0, 0, nil
	}
	f.messages, f.bytes = 0, 0
}

// servedShare returns the fraction of the requests within the limits of some tenants that were
// admitted.
func servedShare(tenants ...*fleetTenant) float64 {
	ideal, admitted := 0, 0
	for _, each := range tenants {
		ideal += each.idealAdmitted
		admitted += min(each.idealAdmitted, len(each.admitted))
	}
	return float64(admitted) / float64(ideal)
}

// worstBoundUse returns the largest fraction of its bound that any tenant used in a window, and
// the tenant. The bound is that of the tenant's current limit; windows that begin before
// boundFrom do not count.
func (f *fleet) worstBoundUse() (float64, string) {
	worst, name := 0.0, ""
	for _, each := range f.tenants {
		bound := (each.RatePerSecond*f.settings.Window.Seconds()+each.Burst)*(1+f.settings.Overage) + f.settings.Slack
		first := 0
		for index, at := range each.admitted {
			for at.Sub(each.admitted[first]) > f.settings.Window {
				first++
			}
			if each.admitted[first].Before(each.boundFrom) {
				continue
			}
			if used := float64(index-first+1) / bound; used > worst {
				worst, name = used, each.Name
			}
		}
	}
	return worst, name
}

package quota

import (
	"math/rand/v2"
	"time"

	"sliphead/internal/catalog"
)

// Config tunes one node's machine.
type Config struct {
	Settings Settings
	Self     string // IP address by which other nodes reach this one
	Zone     string
	Region   string
	// Lag is the time within which all nodes in touch know a change of the catalog.
	Lag    time.Duration
	Random rand.Source
}

// idleStep is how often time passes for a node that waits for nothing.
const idleStep = time.Second

// Machine is the state of one node. It is not safe for use by several goroutines.
type Machine struct {
	config    Config
	random    *rand.Rand
	started   time.Time
	hosts     *hosts
	tenants   map[string]*tenant   // those with a limit, by name
	creditors map[string]*tenant   // those with tokens in hand
	silent    map[string]time.Time // by host: until when it is asked last
	wants     map[uint64]*want
	questions []*question            // by rising id
	grants    map[grantKey]grantMade // to others, of late
	nextID    uint32
	out       []Effect
}

// New returns the machine of a node that knows nothing.
func New(config Config, now time.Time) *Machine {
	m := &Machine{config: config, random: rand.New(config.Random), started: now, hosts: newHosts(), tenants: map[string]*tenant{}, creditors: map[string]*tenant{}, silent: map[string]time.Time{}, wants: map[uint64]*want{}, grants: map[grantKey]grantMade{}}
	const half = 1 << 31 // so that ids rise for long, and differ from those before a restart
	m.nextID = m.random.Uint32N(half)
	return m
}

// tenant is what a node knows of a tenant.
type tenant struct {
	name       string
	rate       float64   // requests a second
	burst      float64   // requests
	changed    time.Time // when its limit last did, but for the first configuration
	generation uint64    // of the hosts that holders and share were made of, 0: none
	holders    []holder  // of its stripes
	share      int       // tokens that this node may spend alone in a window
	own        *stripe   // nil: the node holds none
	alone      []time.Time
	toldAlone  time.Time // when Unreachable was told last
	credits    []credit
	spent      []credit  // in requests that may still give them back
	demand     float64   // requests a second, of late
	demandAt   time.Time // of demand
}

// Step takes one event and returns the effects, to be carried out in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.out = nil
	switch event := event.(type) {
	case Tick:
		m.expire(now)
	case Configured:
		m.configure(event, now)
	case Wanted:
		m.onWanted(event, now)
	case Cancelled:
		delete(m.wants, event.ID)
	case Returned:
		m.onReturned(event.Tenant, now)
	case Heard:
		m.onMessage(event, now)
	}
	return m.out
}

func (m *Machine) emit(effect Effect) { m.out = append(m.out, effect) }

// configure takes in what the catalog says.
func (m *Machine) configure(event Configured, now time.Time) {
	m.hosts.update(event.Hosts, now)
	first := len(m.tenants) == 0
	named := make(map[string]bool, len(event.Tenants))
	for index := range event.Tenants {
		told := &event.Tenants[index]
		if told.RatePerSecond > 0 {
			named[told.Name] = true
			m.limit(told, first, now)
		}
	}
	for name := range m.tenants {
		if !named[name] {
			delete(m.tenants, name)
			delete(m.creditors, name)
		}
	}
}

// limit takes in a tenant's limit.
func (m *Machine) limit(told *catalog.Tenant, first bool, now time.Time) {
	held := m.tenants[told.Name]
	if held == nil {
		held = &tenant{}
		m.tenants[told.Name] = held
	}
	if held.rate == told.RatePerSecond && held.burst == told.Burst {
		return
	}
	held.name, held.rate, held.burst = told.Name, told.RatePerSecond, told.Burst
	held.generation = 0
	if !first {
		held.changed = now
	}
}

// find returns a tenant with its stripes placed, nil if it is not known or has no limit.
func (m *Machine) find(name string, now time.Time) *tenant {
	held := m.tenants[name]
	if held != nil {
		m.place(held, now)
	}
	return held
}

// place finds the nodes of a tenant's stripes, anew when nodes or limits have changed.
func (m *Machine) place(held *tenant, now time.Time) {
	if held.generation == m.hosts.generation {
		return
	}
	held.generation = m.hosts.generation
	count := m.config.Settings.stripes(held.rate, held.burst, len(m.hosts.byZone), len(m.hosts.known))
	before := held.holders
	held.holders = make([]holder, 0, count)
	own := false
	for _, host := range m.hosts.deal(held.name, count) {
		own = own || host.Address == m.config.Self
		held.holders = append(held.holders, m.holderOf(host, before))
	}
	held.share = m.shareOf(held)
	m.placeOwn(held, own, count, now)
}

// placeOwn starts, limits or drops the stripe of this node.
func (m *Machine) placeOwn(held *tenant, own bool, count int, now time.Time) {
	if !own {
		held.own = nil
		return
	}
	rate, capacity := held.rate/float64(count), m.config.Settings.capacity(held.burst)/float64(count)
	if held.own == nil {
		held.own = newStripe(rate, capacity, m.countsFrom(held))
	}
	held.own.limit(rate, capacity, now)
}

// countsFrom is from when a stripe fills that this node begins to hold. Another node may
// have held it until it heard of what changed. A node that starts doesn't wait for that:
// most had the same stripes before, and a newcomer takes those of a fifth of the others at
// worst when a quarter is added.
func (m *Machine) countsFrom(held *tenant) time.Time {
	from := m.started
	for _, changed := range []time.Time{m.hosts.changed, held.changed} {
		if !changed.IsZero() {
			from = later(from, changed.Add(m.config.Lag))
		}
	}
	return from
}

// Due is when the next Tick is due, if no other event comes before.
func (m *Machine) Due(now time.Time) time.Time {
	due := now.Add(idleStep)
	for _, asked := range m.questions {
		due = earlier(due, asked.until)
	}
	for _, held := range m.creditors {
		due = earlier(due, held.credits[0].at.Add(m.config.Settings.life()/2))
	}
	return later(due, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Status is what a machine tells operators.
type Status struct {
	Tenants int `json:"tenants"` // with a limit
	Stripes int `json:"stripes"` // that this node holds and was asked for
	Credits int `json:"credits"` // tokens in hand
}

// Status tells the state of now.
func (m *Machine) Status() Status {
	status := Status{Tenants: len(m.tenants)}
	for _, held := range m.tenants {
		if held.own != nil {
			status.Stripes++
		}
		for _, each := range held.credits {
			status.Credits += each.tokens
		}
	}
	return status
}

package quota

import (
	"math/rand/v2"
	"time"

	"sliphead/internal/catalog"
)

// Config configures the state machine of one node.
type Config struct {
	Settings Settings
	Self     string // IP address by which other nodes reach this one
	Zone     string
	Region   string
	// PropagationDelay is the time within which all connected nodes observe a change of the catalog.
	PropagationDelay time.Duration
	Random           rand.Source
}

// idleTickInterval is the time until the next Tick when nothing else is due.
const idleTickInterval = time.Second

// Machine is the state of one node. It is not safe for use by several goroutines.
type Machine struct {
	config            Config
	random            *rand.Rand
	started           time.Time
	hosts             *hosts
	tenants           map[string]*tenantState // with a limit, by name
	tenantsWithTokens map[string]*tenantState // with unused tokens, by name
	unresponsiveUntil map[string]time.Time    // by host address; such a host is queried last until then
	waiting           map[uint64]*waitingRequest
	queries           []*query                 // awaiting replies, by ascending id
	recentGrants      map[grantKey]recentGrant // made to other nodes and still cancellable
	lastID            uint32
	out               []Effect
}

// New returns the state machine of a node without any configuration.
func New(config Config, now time.Time) *Machine {
	m := &Machine{config: config, random: rand.New(config.Random), started: now, hosts: newHosts(), tenants: map[string]*tenantState{}, tenantsWithTokens: map[string]*tenantState{}, unresponsiveUntil: map[string]time.Time{}, waiting: map[uint64]*waitingRequest{}, recentGrants: map[grantKey]recentGrant{}}
	const half = 1 << 31 // leaves room to count up, and makes reuse of an id after a restart unlikely
	m.lastID = m.random.Uint32N(half)
	return m
}

// tenantState is a node's state for one tenant with a limit.
type tenantState struct {
	name                string
	rate                float64   // requests a second
	burst               float64   // requests
	limitChanged        time.Time // time of the last change of the limit; zero for the first configuration
	hostsGeneration     uint64    // hosts.generation from which holders and fallbackShare were computed; 0: none
	holders             []holder  // the nodes of its stripes
	fallbackShare       int       // tokens per window that this node may spend while it reaches no stripe
	ownStripe           *stripe   // nil: this node has no stripe
	fallbackSpent       []time.Time
	reportedUnreachable time.Time // time of the last Unreachable effect
	cached              []tokenBatch
	spent               []tokenBatch // tokens of requests that may still be returned
	demand              float64      // recent requests per second
	demandAt            time.Time    // time of the last update of demand
}

// Step processes one event and returns the effects, to be carried out in order.
func (m *Machine) Step(event Event, now time.Time) []Effect {
	m.out = nil
	switch event := event.(type) {
	case Tick:
		m.expire(now)
	case Configured:
		m.onConfigured(event, now)
	case TokenRequested:
		m.onTokenRequested(event, now)
	case Cancelled:
		delete(m.waiting, event.ID)
	case TokenReturned:
		m.onTokenReturned(event.Tenant, now)
	case MessageReceived:
		m.onMessage(event, now)
	}
	return m.out
}

func (m *Machine) emit(effect Effect) { m.out = append(m.out, effect) }

// onConfigured applies a new configuration.
func (m *Machine) onConfigured(event Configured, now time.Time) {
	m.hosts.update(event.Hosts, now)
	first := len(m.tenants) == 0
	limited := make(map[string]bool, len(event.Tenants))
	for index := range event.Tenants {
		configured := &event.Tenants[index]
		if configured.RatePerSecond > 0 {
			limited[configured.Name] = true
			m.setLimit(configured, first, now)
		}
	}
	for name := range m.tenants {
		if !limited[name] {
			delete(m.tenants, name)
			delete(m.tenantsWithTokens, name)
		}
	}
}

// setLimit applies a tenant's limit.
func (m *Machine) setLimit(configured *catalog.Tenant, first bool, now time.Time) {
	tenant := m.tenants[configured.Name]
	if tenant == nil {
		tenant = &tenantState{}
		m.tenants[configured.Name] = tenant
	}
	if tenant.rate == configured.RatePerSecond && tenant.burst == configured.Burst {
		return
	}
	tenant.name, tenant.rate, tenant.burst = configured.Name, configured.RatePerSecond, configured.Burst
	tenant.hostsGeneration = 0
	if !first {
		tenant.limitChanged = now
	}
}

// find returns a tenant with its stripes placed, or nil if it is unknown or has no limit.
func (m *Machine) find(name string, now time.Time) *tenantState {
	tenant := m.tenants[name]
	if tenant != nil {
		m.placeStripes(tenant, now)
	}
	return tenant
}

// placeStripes assigns a tenant's stripes to nodes; it recomputes them after a change of the
// nodes or of the limit.
func (m *Machine) placeStripes(tenant *tenantState, now time.Time) {
	if tenant.hostsGeneration == m.hosts.generation {
		return
	}
	tenant.hostsGeneration = m.hosts.generation
	count := m.config.Settings.stripes(tenant.rate, tenant.burst, len(m.hosts.byZone), len(m.hosts.byAddress))
	previous := tenant.holders
	tenant.holders = make([]holder, 0, count)
	ownsStripe := false
	for _, host := range m.hosts.deal(tenant.name, count) {
		ownsStripe = ownsStripe || host.Address == m.config.Self
		tenant.holders = append(tenant.holders, m.holderOf(host, previous))
	}
	tenant.fallbackShare = m.fallbackShareOf(tenant)
	m.updateOwnStripe(tenant, ownsStripe, count, now)
}

// updateOwnStripe creates, resizes or drops this node's stripe.
func (m *Machine) updateOwnStripe(tenant *tenantState, ownsStripe bool, count int, now time.Time) {
	if !ownsStripe {
		tenant.ownStripe = nil
		return
	}
	rate, capacity := tenant.rate/float64(count), m.config.Settings.capacity(tenant.burst)/float64(count)
	if tenant.ownStripe == nil {
		tenant.ownStripe = newStripe(rate, capacity, m.fillsFrom(tenant))
	}
	tenant.ownStripe.setLimit(rate, capacity, now)
}

// fillsFrom returns the time from which a new stripe of this node fills. Until a change has
// reached all nodes, the previous node of the stripe may still grant its tokens. A node that
// starts does not wait for its own record to propagate: most nodes had the same stripes before
// the restart, and if the number of nodes grows by a quarter, a new node takes over the stripes
// of a fifth of the others at worst.
func (m *Machine) fillsFrom(tenant *tenantState) time.Time {
	from := m.started
	for _, changed := range []time.Time{m.hosts.changedAt, tenant.limitChanged} {
		if !changed.IsZero() {
			from = later(from, changed.Add(m.config.PropagationDelay))
		}
	}
	return from
}

// Due returns the time of the next Tick if no other event comes first.
func (m *Machine) Due(now time.Time) time.Time {
	due := now.Add(idleTickInterval)
	for _, pending := range m.queries {
		due = earlier(due, pending.deadline)
	}
	for _, tenant := range m.tenantsWithTokens {
		due = earlier(due, tenant.cached[0].requestedAt.Add(m.config.Settings.tokenLife()/2))
	}
	return later(due, now)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Status is the state reported to operators.
type Status struct {
	Tenants      int `json:"tenants"` // with a limit
	Stripes      int `json:"stripes"` // on this node, of tenants that had a request or query here
	CachedTokens int `json:"credits"` // unused tokens on this node
}

// Status returns the current state.
func (m *Machine) Status() Status {
	status := Status{Tenants: len(m.tenants)}
	for _, tenant := range m.tenants {
		if tenant.ownStripe != nil {
			status.Stripes++
		}
		for _, batch := range tenant.cached {
			status.CachedTokens += batch.tokens
		}
	}
	return status
}

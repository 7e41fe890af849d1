// Package balance chooses an endpoint for a request. Pick prefers the own zone, then the
// region, then all other endpoints, and uses the power of two choices within these
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001). Cheapest
// compares the expected cost of all endpoints. The package is pure: the caller passes the
// time and a seeded source of randomness.
//
// Reported load is delayed and may be wrong. What this node has observed itself weighs
// more: its own requests in flight, response times and failures.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/closing"
)

// Settings configure a Balancer.
type Settings struct {
	Zone, Region     string        // of this node
	LinkMbps         float64       // capacity of the machine's link in Mbit/s; 0: unknown
	RemoteByteFactor float64       // price of a byte that leaves the region, relative to one that leaves only the zone; below 1 counts as 1
	SlowStart        time.Duration // time over which the share of a cold worker rises to its full value
	BackoffFirst     time.Duration // backoff after the first failure in a row, doubled with each further one
	BackoffMax       time.Duration // maximum backoff
	ReportExpiry     time.Duration // time after which a load report is ignored
	EndpointExpiry   time.Duration // time after which the state of an unused endpoint is evicted
}

// DefaultSettings returns the settings of a node in the given zone.
func DefaultSettings(zone, region string) Settings {
	return Settings{
		Zone: zone, Region: region,
		SlowStart:      10 * time.Second,
		BackoffFirst:   200 * time.Millisecond,
		BackoffMax:     10 * time.Second,
		ReportExpiry:   time.Second,
		EndpointExpiry: 10 * time.Minute,
	}
}

// Load is what a worker's node reports about the worker. Wait and Run are estimates for
// requests like the one that the report came with; 0: unknown.
type Load struct {
	Busy, Slots, Queued int
	Wait, Run           time.Duration
	Link                time.Duration // wait before the node requests a body, because its link is busy
	PausedFor           time.Duration // time for which this node must not send such requests to the worker
	RejectShare         float64       // share of the requests reaching the worker that it rejects, 0 to 1
}

// Observation is the outcome of one request.
type Observation struct {
	Failed bool
	// Unreachable is set if the endpoint's node itself did not respond.
	Unreachable bool
	// Rejected is set if the endpoint's node rejected the request for lack of capacity.
	Rejected  bool
	Latency   time.Duration // 0: not recorded
	Kilobytes float64       // size of the response with its header; 0: not recorded
	Load      Load
	HasLoad   bool            // whether Load was reported
	Urgency   closing.Urgency // of the request
	RoundTrip time.Duration   // of a message to the endpoint's node and the reply, as observed with this request; 0: not observed
}

// Balancer chooses among endpoints. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	random           *rand.Rand
	endpoints        map[Key]*endpointState
	usable           [tiers][]int                 // indices of usable endpoints by tier, reused by choose
	typicalLatency   map[string]time.Duration     // typical response time by route, over all endpoints
	typicalKilobytes map[string]float64           // typical kilobytes of a response by route
	acceptances      map[acceptanceKey]acceptance // of other zones
	distances        map[locality]distance        // of other zones
	regions          map[string]regionState       // of other regions, by region
	pruned           time.Time
}

// endpointState is what this node has observed of an endpoint.
type endpointState struct {
	inFlight     int
	failures     int  // in a row
	unreachable  bool // whether at the last failure the node did not respond
	backoffUntil time.Time
	slowness     float64 // response times relative to the route's typical one
	observed     time.Time
	load         Load
	loadAt       time.Time
	forecasts    map[string]forecast          // by route
	pausedUntil  [closing.Urgencies]time.Time // by urgency: the endpoint takes no such requests until then
	used         time.Time
}

// New returns a balancer without observations.
func New(settings Settings, random *rand.Rand) *Balancer {
	return &Balancer{settings: settings, random: random, endpoints: map[Key]*endpointState{}, typicalLatency: map[string]time.Duration{}, typicalKilobytes: map[string]float64{}, acceptances: map[acceptanceKey]acceptance{}, distances: map[locality]distance{}, regions: map[string]regionState{}}
}

// Pick returns the index of the endpoint for a request and counts the request as in flight
// there until Ended. Indices in tried are skipped. It returns -1 if all endpoints were
// tried.
func (b *Balancer) Pick(now time.Time, endpoints []snapshot.Endpoint, tried []int) int {
	chosen := b.choose(now, endpoints, tried)
	if chosen < 0 {
		return -1
	}
	state := b.stateOf(endpoints[chosen], now)
	state.inFlight++
	state.used = now
	b.prune(now)
	return chosen
}

// HasAlternative reports whether the last Pick had an alternative to the picked endpoint: one that
// was untried, not backed off and had a free slot.
func (b *Balancer) HasAlternative(picked int) bool {
	for _, candidates := range b.usable {
		for _, index := range candidates {
			if index != picked {
				return true
			}
		}
	}
	return false
}

// Key identifies an endpoint. A worker that is replaced at another address is another
// endpoint.
type Key struct{ Worker, Address string }

func keyOf(endpoint snapshot.Endpoint) Key {
	return Key{Worker: endpoint.Worker, Address: endpoint.Address}
}

// tier groups endpoints by locality.
type tier int

const (
	sameZone tier = iota
	sameRegion
	otherRegion
	tiers
)

func (b *Balancer) tierOf(endpoint snapshot.Endpoint) tier {
	switch {
	case endpoint.Zone == b.settings.Zone:
		return sameZone
	case endpoint.Region == b.settings.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// choose picks from the nearest tier that has an endpoint with a free slot. If none has, or
// all are backed off, it returns the cheapest of all: an endpoint that is probably bad is
// better than a certain rejection.
func (b *Balancer) choose(now time.Time, endpoints []snapshot.Endpoint, tried []int) int {
	for level := range b.usable {
		b.usable[level] = b.usable[level][:0]
	}
	fallback, lowest := -1, math.Inf(1)
	for index, endpoint := range endpoints {
		if slices.Contains(tried, index) {
			continue
		}
		state := b.stateOf(endpoint, now)
		cost := b.cost(endpoint, state, now) * (1 + float64(b.tierOf(endpoint)))
		if now.Before(state.backoffUntil) {
			cost += backedOffCost
		} else if !b.saturated(endpoint, state, now) {
			level := b.tierOf(endpoint)
			b.usable[level] = append(b.usable[level], index)
		}
		if cost < lowest {
			fallback, lowest = index, cost
		}
	}
	for _, candidates := range b.usable {
		if len(candidates) > 0 {
			return b.cheaperOfTwo(now, endpoints, candidates)
		}
	}
	return fallback
}

// backedOffCost exceeds any other cost.
const backedOffCost = 1e6

// cheaperOfTwo draws two different candidates at random and returns the cheaper one.
func (b *Balancer) cheaperOfTwo(now time.Time, endpoints []snapshot.Endpoint, candidates []int) int {
	first := b.random.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := b.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	one, other := candidates[first], candidates[second]
	oneCost := b.cost(endpoints[one], b.stateOf(endpoints[one], now), now)
	otherCost := b.cost(endpoints[other], b.stateOf(endpoints[other], now), now)
	if otherCost < oneCost {
		return other
	}
	return one
}

func (b *Balancer) stateOf(endpoint snapshot.Endpoint, now time.Time) *endpointState {
	key := keyOf(endpoint)
	state := b.endpoints[key]
	if state == nil {
		state = &endpointState{slowness: 1, observed: now, used: now}
		b.endpoints[key] = state
	}
	return state
}

// prune evicts endpoints that have not been used for Settings.EndpointExpiry.
func (b *Balancer) prune(now time.Time) {
	if now.Sub(b.pruned) < b.settings.EndpointExpiry/2 {
		return
	}
	b.pruned = now
	for key, state := range b.endpoints {
		if state.inFlight == 0 && now.Sub(state.used) > b.settings.EndpointExpiry {
			delete(b.endpoints, key)
		}
	}
}

// InFlight returns the number of this node's requests in flight at an endpoint.
func (b *Balancer) InFlight(endpoint snapshot.Endpoint) int {
	if state := b.endpoints[keyOf(endpoint)]; state != nil {
		return state.inFlight
	}
	return 0
}

// Len returns the number of tracked endpoints.
func (b *Balancer) Len() int { return len(b.endpoints) }

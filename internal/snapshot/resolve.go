package snapshot

import (
	"slices"
	"strings"
	"time"

	"sliphead/internal/declaration"
)

// ResolveInput is what a set is resolved with.
type ResolveInput struct {
	At          time.Time
	Overlap     time.Duration // how long before and after its window the local worker accepts a route; under a minute
	LocalWorker string        // worker beside this node, "" on an edge
	Endpoints   []Endpoint    // live and ready; Slots and Connections are filled from the declarations
}

// Resolve compiles a set and resolves it once. It refuses a set that is not
// complete. See Compiled.Resolve.
func Resolve(set *Set, input ResolveInput) (*View, error) {
	compiled, err := Compile(set)
	if err != nil {
		return nil, err
	}
	return compiled.Resolve(input), nil
}

// Resolve returns the view of one moment. A route's endpoints are the given
// ones whose workers are declared for its service and selected by any of its
// selectors at that moment.
//
// The local worker is allowed a route while it is selected, was selected an
// overlap ago (the window has just ended, a caller's clock may be behind) or
// will be in an overlap (a caller's clock may be ahead).
func (c *Compiled) Resolve(input ResolveInput) *View {
	live := c.liveByWorker(input.Endpoints)
	now := c.openGates(input.At)
	before := c.openGates(input.At.Add(-input.Overlap))
	after := c.openGates(input.At.Add(input.Overlap))
	local, found := c.workerIndex[input.LocalWorker]
	if !found {
		local = noWorker
	}
	resolved := make([]resolvedPool, len(c.pools))
	for index, pool := range c.pools {
		resolved[index] = resolvedPool{
			endpoints:    pool.endpoints(now, live),
			localAllowed: pool.admits(local, now) || pool.admits(local, before) || pool.admits(local, after),
		}
	}
	return NewView(c.set.Version(), input.At, c.resolvedRoutes(resolved))
}

// resolvedPool is a pool at one moment. Routes of one pool share its endpoints.
type resolvedPool struct {
	endpoints    []Endpoint
	localAllowed bool
}

func (c *Compiled) resolvedRoutes(pools []resolvedPool) []*Route {
	storage := make([]Route, len(c.routes))
	routes := make([]*Route, len(c.routes))
	for index, compiled := range c.routes {
		pool := pools[compiled.pool]
		storage[index] = Route{
			Route:        compiled.declared,
			Credential:   compiled.credential,
			Endpoints:    pool.endpoints,
			LocalAllowed: pool.localAllowed,
		}
		routes[index] = &storage[index]
	}
	return routes
}

// liveByWorker returns the endpoints of each declared worker, by the worker's
// index, with what is declared of the worker. Others are dropped. It counts
// before it places, since sorting them all would cost most of a resolution.
func (c *Compiled) liveByWorker(endpoints []Endpoint) [][]Endpoint {
	indices := make([]int, len(endpoints))
	counts := make([]int, len(c.workers))
	total := 0
	for position := range endpoints {
		index, declared := c.workerIndex[endpoints[position].Worker]
		if !declared {
			indices[position] = noWorker
			continue
		}
		indices[position] = index
		counts[index]++
		total++
	}
	live := divide(make([]Endpoint, total), counts)
	for position, index := range indices {
		if index != noWorker {
			live[index] = append(live[index], filled(endpoints[position], &c.workers[index]))
		}
	}
	for _, group := range live {
		slices.SortFunc(group, func(a, b Endpoint) int { return strings.Compare(a.Node, b.Node) })
	}
	return live
}

// divide cuts the storage into empty slices with the capacities given.
func divide(storage []Endpoint, capacities []int) [][]Endpoint {
	parts := make([][]Endpoint, len(capacities))
	for index, capacity := range capacities {
		parts[index] = storage[:0:capacity]
		storage = storage[capacity:]
	}
	return parts
}

// filled returns the endpoint with the worker's declared capacity.
func filled(endpoint Endpoint, worker *declaration.Worker) Endpoint {
	endpoint.Slots = worker.Slots
	endpoint.Connections = worker.Connections
	return endpoint
}

// openGates evaluates each gate at a moment.
func (c *Compiled) openGates(at time.Time) []bool {
	schedules := make([]bool, len(c.schedules))
	for index, schedule := range c.schedules {
		schedules[index] = schedule.Open(at)
	}
	open := make([]bool, len(c.gates))
	for index, gate := range c.gates {
		open[index] = gate.open(schedules)
	}
	return open
}

// NextResolve returns the first moment after a given one at which Resolve with
// that overlap may give other routes for the same endpoints: a boundary, or the
// begin or end of the overlap round it. It is the zero time when NextBoundary
// is.
func (c *Compiled) NextResolve(after time.Time, overlap time.Duration) time.Time {
	var next time.Time
	for _, shift := range []time.Duration{-overlap, 0, overlap} {
		boundary := c.NextBoundary(after.Add(shift))
		if boundary.IsZero() {
			continue
		}
		if moment := boundary.Add(-shift); next.IsZero() || moment.Before(next) {
			next = moment
		}
	}
	return next
}

// NextBoundary returns the first moment after a given one at which a window
// opens or closes, the zero time if none does within sixteen days: long enough
// for a weekly window that one change of daylight saving time swallows.
func (c *Compiled) NextBoundary(after time.Time) time.Time {
	for _, horizon := range []time.Duration{2 * day, 16 * day} {
		var moments []time.Time
		for _, schedule := range c.schedules {
			moments = append(moments, schedule.Boundaries(after, after.Add(horizon))...)
		}
		if len(moments) > 0 {
			return slices.MinFunc(moments, time.Time.Compare)
		}
	}
	return time.Time{}
}

const day = 24 * time.Hour

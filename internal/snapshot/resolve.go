package snapshot

import (
	"slices"
	"strings"
	"time"

	"sliphead/internal/declaration"
)

// ResolveInput is the input for the resolution of a set.
type ResolveInput struct {
	At          time.Time
	Overlap     time.Duration // how long before and after a window the local worker still accepts its route; less than a minute
	LocalWorker string        // name of the local worker; "" on an edge node
	Endpoints   []Endpoint    // live and ready; Slots and Connections are set from the declarations
}

// Resolve compiles a set and resolves it once. It returns an error if the set is not complete.
// See Compiled.Resolve.
func Resolve(set *Set, input ResolveInput) (*View, error) {
	compiled, err := Compile(set)
	if err != nil {
		return nil, err
	}
	return compiled.Resolve(input), nil
}

// Resolve returns the view at a given time. The endpoints of a route are those given whose
// workers are declared for its service and selected by any of its selectors at that time.
//
// The local worker may serve a route while it is selected, and also if it was selected one
// overlap ago (the window has just closed, and the caller's clock may be behind) or will be
// selected one overlap later (the caller's clock may be ahead).
func (c *Compiled) Resolve(input ResolveInput) *View {
	live := c.liveByWorker(input.Endpoints)
	now := c.openSelectors(input.At)
	before := c.openSelectors(input.At.Add(-input.Overlap))
	after := c.openSelectors(input.At.Add(input.Overlap))
	local, found := c.workerIndex[input.LocalWorker]
	if !found {
		local = noWorker
	}
	resolved := make([]resolvedPool, len(c.pools))
	for index, pool := range c.pools {
		resolved[index] = resolvedPool{
			endpoints:    pool.endpoints(now, live),
			localAllowed: pool.selects(local, now) || pool.selects(local, before) || pool.selects(local, after),
		}
	}
	return NewView(c.set.Version(), input.At, c.resolvedRoutes(resolved))
}

// resolvedPool is a pool at a given time. Routes with the same pool share its endpoints.
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

// liveByWorker groups the endpoints of declared workers by the worker's index and sets the
// declared limits. Endpoints of other workers are dropped. It counts the endpoints of each
// worker first, since sorting all endpoints would take most of the time of a resolution.
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
	live := splitStorage(make([]Endpoint, total), counts)
	for position, index := range indices {
		if index != noWorker {
			live[index] = append(live[index], withDeclaredLimits(endpoints[position], &c.workers[index]))
		}
	}
	for _, group := range live {
		slices.SortFunc(group, func(a, b Endpoint) int { return strings.Compare(a.Node, b.Node) })
	}
	return live
}

// splitStorage divides the storage into empty slices with the given capacities.
func splitStorage(storage []Endpoint, capacities []int) [][]Endpoint {
	parts := make([][]Endpoint, len(capacities))
	for index, capacity := range capacities {
		parts[index] = storage[:0:capacity]
		storage = storage[capacity:]
	}
	return parts
}

// withDeclaredLimits returns the endpoint with the worker's declared slots and connections.
func withDeclaredLimits(endpoint Endpoint, worker *declaration.Worker) Endpoint {
	endpoint.Slots = worker.Slots
	endpoint.Connections = worker.Connections
	return endpoint
}

// openSelectors returns which zone selectors are open at a given time.
func (c *Compiled) openSelectors(at time.Time) []bool {
	schedules := make([]bool, len(c.schedules))
	for index, schedule := range c.schedules {
		schedules[index] = schedule.Open(at)
	}
	open := make([]bool, len(c.zoneSelectors))
	for index, selector := range c.zoneSelectors {
		open[index] = selector.open(schedules)
	}
	return open
}

// NextResolve returns the first time after a given one at which Resolve with that overlap may
// return other routes for the same endpoints: a boundary, or the start or end of the overlap
// around it. It returns the zero time if NextBoundary does.
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

// NextBoundary returns the first time after a given one at which a window opens or closes, or
// the zero time if there is none within sixteen days. This covers a weekly window of which one
// occurrence is skipped by a change to daylight saving time.
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

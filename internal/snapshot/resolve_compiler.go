package snapshot

import (
	"cmp"
	"slices"
	"strings"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// compiler builds a Compiled and remembers what it has built already.
type compiler struct {
	compiled  *Compiled
	zones     map[string]declaration.Zone
	services  map[string]bool
	selectors map[string]declaration.Selector
	byService map[string][]int // indices of workers
	schedules map[declaration.Schedule]int
	gates     map[gateKey]int
	pools     map[string]int // by the sorted names of their selectors
}

type gateKey struct{ selector, zone string }

func newCompiler(set *Set, document *declaration.Document) *compiler {
	result := &compiler{
		compiled:  &Compiled{set: set, workers: slices.Clone(document.Workers), workerIndex: make(map[string]int)},
		zones:     make(map[string]declaration.Zone),
		services:  make(map[string]bool),
		selectors: make(map[string]declaration.Selector),
		byService: make(map[string][]int),
		schedules: make(map[declaration.Schedule]int),
		gates:     make(map[gateKey]int),
		pools:     make(map[string]int),
	}
	result.index(document)
	return result
}

func (c *compiler) index(document *declaration.Document) {
	for _, zone := range document.Zones {
		c.zones[zone.Name] = zone
	}
	for _, service := range document.Services {
		c.services[service.Name] = true
	}
	for _, selector := range document.Selectors {
		c.selectors[selector.Name] = selector
	}
	workers := c.compiled.workers
	slices.SortFunc(workers, func(a, b declaration.Worker) int { return strings.Compare(a.Name, b.Name) })
	for index, worker := range workers {
		c.compiled.workerIndex[worker.Name] = index
		c.byService[worker.Service] = append(c.byService[worker.Service], index)
	}
}

func (c *compiler) addRoute(route declaration.Route) error {
	if !c.services[route.Service] {
		return lacking(route, KindService, route.Service)
	}
	credential := ""
	if route.Secret != "" {
		value, held := c.compiled.set.SecretValue(route.Secret)
		if !held {
			return lacking(route, KindSecret, route.Secret)
		}
		credential = value
	}
	pool, err := c.pool(route)
	if err != nil {
		return err
	}
	c.compiled.routes = append(c.compiled.routes, compiledRoute{declared: route, credential: credential, pool: pool})
	return nil
}

func lacking(route declaration.Route, kind Kind, name string) error {
	return fault.New(fault.Unready, "wait for it, or check that the source serves it",
		"route %q needs %s %q, which is not held", route.Name, kind, name)
}

// pool returns the index of the pool of a route's selectors.
func (c *compiler) pool(route declaration.Route) (int, error) {
	names := slices.Sorted(slices.Values(route.Selectors))
	key := route.Service + " " + strings.Join(names, " ")
	if index, found := c.pools[key]; found {
		return index, nil
	}
	gatesOf := make(map[int][]int)
	for _, name := range names {
		selector, held := c.selectors[name]
		if !held {
			return 0, lacking(route, KindSelector, name)
		}
		if err := c.connect(selector, c.byService[route.Service], gatesOf); err != nil {
			return 0, err
		}
	}
	c.pools[key] = len(c.compiled.pools)
	c.compiled.pools = append(c.compiled.pools, newPool(gatesOf))
	return c.pools[key], nil
}

func newPool(gatesOf map[int][]int) pool {
	candidates := make([]candidate, 0, len(gatesOf))
	for worker, gates := range gatesOf {
		candidates = append(candidates, candidate{worker: worker, gates: gates})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.worker, b.worker) })
	return pool{candidates: candidates}
}

// connect notes the gates through which a selector may select each worker.
func (c *compiler) connect(selector declaration.Selector, workers []int, gatesOf map[int][]int) error {
	for _, index := range workers {
		worker := c.compiled.workers[index]
		zone, held := c.zones[worker.Zone]
		if !held || !selector.MatchesWorker(worker) || !selector.MatchesZone(zone) {
			continue
		}
		gate, err := c.gate(selector, zone)
		if err != nil {
			return err
		}
		gatesOf[index] = append(gatesOf[index], gate)
	}
	return nil
}

// gate returns the index of the gate of a selector in a zone.
func (c *compiler) gate(selector declaration.Selector, zone declaration.Zone) (int, error) {
	key := gateKey{selector: selector.Name, zone: zone.Name}
	if index, found := c.gates[key]; found {
		return index, nil
	}
	schedules, err := selector.Schedules(zone)
	if err != nil {
		return 0, err
	}
	built := gate{always: len(schedules) == 0}
	for _, schedule := range schedules {
		built.schedules = append(built.schedules, c.schedule(schedule))
	}
	c.gates[key] = len(c.compiled.gates)
	c.compiled.gates = append(c.compiled.gates, built)
	return c.gates[key], nil
}

func (c *compiler) schedule(schedule declaration.Schedule) int {
	index, found := c.schedules[schedule]
	if !found {
		index = len(c.compiled.schedules)
		c.schedules[schedule] = index
		c.compiled.schedules = append(c.compiled.schedules, schedule)
	}
	return index
}

package snapshot

import (
	"cmp"
	"slices"
	"strings"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// compiler builds a Compiled. Its maps avoid building the same part twice.
type compiler struct {
	compiled      *Compiled
	zones         map[string]declaration.Zone
	services      map[string]bool
	selectors     map[string]declaration.Selector
	byService     map[string][]int // indices of workers
	schedules     map[declaration.Schedule]int
	zoneSelectors map[zoneSelectorKey]int
	pools         map[string]int // by service and sorted names of selectors
}

type zoneSelectorKey struct{ selector, zone string }

func newCompiler(set *Set, document *declaration.Document) *compiler {
	result := &compiler{
		compiled:      &Compiled{set: set, workers: slices.Clone(document.Workers), workerIndex: make(map[string]int)},
		zones:         make(map[string]declaration.Zone),
		services:      make(map[string]bool),
		selectors:     make(map[string]declaration.Selector),
		byService:     make(map[string][]int),
		schedules:     make(map[declaration.Schedule]int),
		zoneSelectors: make(map[zoneSelectorKey]int),
		pools:         make(map[string]int),
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
		return missingReference(route, KindService, route.Service)
	}
	credential := ""
	if route.Secret != "" {
		value, found := c.compiled.set.SecretValue(route.Secret)
		if !found {
			return missingReference(route, KindSecret, route.Secret)
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

func missingReference(route declaration.Route, kind Kind, name string) error {
	return fault.New(fault.Unready, "wait for it, or check that the source serves it",
		"route %q needs %s %q, which is not held", route.Name, kind, name)
}

// pool returns the index of the pool of a route's selectors, which it builds if needed.
func (c *compiler) pool(route declaration.Route) (int, error) {
	names := slices.Sorted(slices.Values(route.Selectors))
	key := route.Service + " " + strings.Join(names, " ")
	if index, found := c.pools[key]; found {
		return index, nil
	}
	selectorsOf := make(map[int][]int)
	for _, name := range names {
		selector, found := c.selectors[name]
		if !found {
			return 0, missingReference(route, KindSelector, name)
		}
		if err := c.addCandidates(selector, c.byService[route.Service], selectorsOf); err != nil {
			return 0, err
		}
	}
	c.pools[key] = len(c.compiled.pools)
	c.compiled.pools = append(c.compiled.pools, newPool(selectorsOf))
	return c.pools[key], nil
}

func newPool(selectorsOf map[int][]int) pool {
	candidates := make([]candidate, 0, len(selectorsOf))
	for worker, selectors := range selectorsOf {
		candidates = append(candidates, candidate{worker: worker, selectors: selectors})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.worker, b.worker) })
	return pool{candidates: candidates}
}

// addCandidates adds, for each worker that the selector matches, the index of the zone
// selector.
func (c *compiler) addCandidates(selector declaration.Selector, workers []int, selectorsOf map[int][]int) error {
	for _, index := range workers {
		worker := c.compiled.workers[index]
		zone, found := c.zones[worker.Zone]
		if !found || !selector.MatchesWorker(worker) || !selector.MatchesZone(zone) {
			continue
		}
		selectorIndex, err := c.zoneSelector(selector, zone)
		if err != nil {
			return err
		}
		selectorsOf[index] = append(selectorsOf[index], selectorIndex)
	}
	return nil
}

// zoneSelector returns the index of a selector in a zone, which it builds if needed.
func (c *compiler) zoneSelector(selector declaration.Selector, zone declaration.Zone) (int, error) {
	key := zoneSelectorKey{selector: selector.Name, zone: zone.Name}
	if index, found := c.zoneSelectors[key]; found {
		return index, nil
	}
	schedules, err := selector.Schedules(zone)
	if err != nil {
		return 0, err
	}
	built := zoneSelector{always: len(schedules) == 0}
	for _, schedule := range schedules {
		built.schedules = append(built.schedules, c.schedule(schedule))
	}
	c.zoneSelectors[key] = len(c.compiled.zoneSelectors)
	c.compiled.zoneSelectors = append(c.compiled.zoneSelectors, built)
	return c.zoneSelectors[key], nil
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

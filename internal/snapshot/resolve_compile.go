package snapshot

import (
	"cmp"
	"slices"
	"strings"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// Compiled is a complete set in a form that can be resolved repeatedly, as endpoints change and
// windows open and close. It is immutable.
type Compiled struct {
	set           *Set
	workers       []declaration.Worker // sorted by name
	workerIndex   map[string]int
	schedules     []declaration.Schedule // without duplicates
	zoneSelectors []zoneSelector         // one for each selector and each zone that it matches
	pools         []pool                 // one for each distinct combination of service and selectors
	routes        []compiledRoute        // in matching order
}

// noWorker is an index that refers to no worker.
const noWorker = -1

// zoneSelector is a selector in one zone. It selects matching workers of that zone while one of
// its schedules is open.
type zoneSelector struct {
	always    bool
	schedules []int // indices into Compiled.schedules
}

func (s zoneSelector) open(schedules []bool) bool {
	return s.always || slices.ContainsFunc(s.schedules, func(index int) bool { return schedules[index] })
}

// candidate is a worker that may be selected.
type candidate struct {
	worker    int
	selectors []int // indices into Compiled.zoneSelectors; the worker is selected while one of them is open
}

func (c candidate) selected(open []bool) bool {
	return slices.ContainsFunc(c.selectors, func(index int) bool { return open[index] })
}

// pool is the union of the workers of several selectors.
type pool struct {
	candidates []candidate // sorted by worker
}

// endpoints returns the live endpoints of the selected workers, sorted by worker name.
func (p pool) endpoints(open []bool, live [][]Endpoint) []Endpoint {
	endpoints := make([]Endpoint, 0, len(p.candidates))
	for _, candidate := range p.candidates {
		if len(live[candidate.worker]) > 0 && candidate.selected(open) {
			endpoints = append(endpoints, live[candidate.worker]...)
		}
	}
	return slices.Clip(endpoints)
}

// selects reports whether the worker is selected.
func (p pool) selects(worker int, open []bool) bool {
	index, found := slices.BinarySearchFunc(p.candidates, worker, func(c candidate, wanted int) int {
		return cmp.Compare(c.worker, wanted)
	})
	return found && p.candidates[index].selected(open)
}

// compiledRoute is the part of a route that does not depend on time or endpoints.
type compiledRoute struct {
	declared   declaration.Route
	credential string
	pool       int
}

// Compile prepares a set for Resolve. If resources are missing, or if a route refers to a
// service, selector or secret that is not in the set, it returns an error of kind fault.Unready
// that names them.
func Compile(set *Set) (*Compiled, error) {
	if missing := set.Missing(); len(missing) > 0 {
		return nil, fault.New(fault.Unready, "wait for them, or check that the source serves them",
			"version %s lacks %d resources, first %s", set.Version(), len(missing), missing[0])
	}
	document := set.Document()
	compiler := newCompiler(set, document)
	for _, route := range document.Routes {
		if err := compiler.addRoute(route); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(compiler.compiled.routes, compareRoutes)
	return compiler.compiled, nil
}

// compareRoutes orders routes by prefix, the longest first, then puts routes for a given host
// before those for any host, then orders by name.
func compareRoutes(a, b compiledRoute) int {
	return cmp.Or(
		cmp.Compare(len(b.declared.PathPrefix), len(a.declared.PathPrefix)),
		cmp.Compare(boolRank(a.declared.Host == ""), boolRank(b.declared.Host == "")),
		strings.Compare(a.declared.Name, b.declared.Name),
	)
}

func boolRank(last bool) int {
	if last {
		return 1
	}
	return 0
}

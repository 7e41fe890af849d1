package snapshot

import (
	"cmp"
	"slices"
	"strings"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
)

// Compiled is a complete set in the form in which it is resolved again and
// again, as endpoints change and windows open and close. It is immutable.
type Compiled struct {
	set         *Set
	workers     []declaration.Worker // sorted by name
	workerIndex map[string]int
	schedules   []declaration.Schedule // each distinct one once
	gates       []gate                 // one for each selector and zone that match
	pools       []pool                 // one for each distinct set of selectors
	routes      []compiledRoute        // in the order in which they are matched
}

// noWorker is the index of no worker.
const noWorker = -1

// gate is a selector in one zone: it lets that zone's matching workers through
// while one of its schedules is open.
type gate struct {
	always    bool
	schedules []int // indices into Compiled.schedules
}

func (g gate) open(schedules []bool) bool {
	return g.always || slices.ContainsFunc(g.schedules, func(index int) bool { return schedules[index] })
}

// candidate is a worker that some selector may select.
type candidate struct {
	worker int
	gates  []int // selected while one of them is open
}

func (c candidate) selected(open []bool) bool {
	return slices.ContainsFunc(c.gates, func(index int) bool { return open[index] })
}

// pool is the union of the workers of a set of selectors.
type pool struct {
	candidates []candidate // sorted by worker
}

// endpoints returns the live endpoints of the workers selected, by worker name.
func (p pool) endpoints(open []bool, live [][]Endpoint) []Endpoint {
	endpoints := make([]Endpoint, 0, len(p.candidates))
	for _, candidate := range p.candidates {
		if len(live[candidate.worker]) > 0 && candidate.selected(open) {
			endpoints = append(endpoints, live[candidate.worker]...)
		}
	}
	return slices.Clip(endpoints)
}

// admits reports whether the worker is selected.
func (p pool) admits(worker int, open []bool) bool {
	index, found := slices.BinarySearchFunc(p.candidates, worker, func(c candidate, wanted int) int {
		return cmp.Compare(c.worker, wanted)
	})
	return found && p.candidates[index].selected(open)
}

// compiledRoute is a route with what does not depend on time or endpoints.
type compiledRoute struct {
	declared   declaration.Route
	credential string
	pool       int
}

// Compile prepares a set for Resolve. It refuses a set with missing resources,
// or with a route whose service, selector or secret the set does not name, with
// an error of kind fault.Unready that names them.
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

// compareRoutes puts the longest prefix first, then routes of one host, then
// goes by name.
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

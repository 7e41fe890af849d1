package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sliphead/internal/declaration"
)

// change is what routes gain and lose, by worker name.
type change struct{ gained, lost []string }

func (c change) empty() bool { return len(c.gained) == 0 && len(c.lost) == 0 }

func (c change) equal(other change) bool {
	return slices.Equal(c.gained, other.gained) && slices.Equal(c.lost, other.lost)
}

// String returns "+gained,… -lost,…".
func (c change) String() string {
	var parts []string
	if len(c.gained) > 0 {
		parts = append(parts, "+"+strings.Join(c.gained, ","))
	}
	if len(c.lost) > 0 {
		parts = append(parts, "-"+strings.Join(c.lost, ","))
	}
	if c.empty() {
		return "as before the change"
	}
	return strings.Join(parts, " ")
}

// routesChange is one change of several routes.
type routesChange struct {
	routes []string
	change change
}

// step holds the routes whose change differs from the moment before.
type step struct {
	at      time.Time
	changes []routesChange
}

// add notes a route's change next to the routes that change alike.
func (s *step) add(route string, each change) {
	for index := range s.changes {
		if s.changes[index].change.equal(each) {
			s.changes[index].routes = append(s.changes[index].routes, route)
			return
		}
	}
	s.changes = append(s.changes, routesChange{routes: []string{route}, change: each})
}

// stepsOf compares two documents at a moment and at each boundary of either
// within the horizon.
func stepsOf(from, to *declaration.Document, at time.Time) []step {
	end := at.Add(Horizon)
	moments := append(declaration.Boundaries(from, at, end), declaration.Boundaries(to, at, end)...)
	moments = slices.Insert(declaration.SortedMoments(moments), 0, at)
	before := newSide(from)
	after := newSide(to)
	previous := make(map[string]change)
	var steps []step
	for _, moment := range moments {
		current := step{at: moment.In(at.Location())}
		for _, name := range routeNames(from, to) {
			each := compare(before.workers(name, moment), after.workers(name, moment))
			if last, known := previous[name]; known && !each.equal(last) || !known && !each.empty() {
				current.add(name, each)
			}
			previous[name] = each
		}
		if len(current.changes) > 0 {
			steps = append(steps, current)
		}
	}
	return steps
}

// side is one of the two documents.
type side struct {
	evaluator *declaration.Evaluator
	routes    map[string]declaration.Route
}

func newSide(document *declaration.Document) side {
	return side{evaluator: declaration.NewEvaluator(document), routes: routesByName(document)}
}

// workers returns the workers of a route, none when the side lacks it.
func (s side) workers(route string, at time.Time) []string {
	declared, found := s.routes[route]
	if !found {
		return nil
	}
	return s.evaluator.Workers(declared, at)
}

// compare takes sorted names.
func compare(before, after []string) change {
	return change{gained: without(after, before), lost: without(before, after)}
}

// without returns the names that the sorted others lack.
func without(names, others []string) []string {
	var left []string
	for _, name := range names {
		if _, found := slices.BinarySearch(others, name); !found {
			left = append(left, name)
		}
	}
	return left
}

func routesByName(document *declaration.Document) map[string]declaration.Route {
	routes := make(map[string]declaration.Route, len(document.Routes))
	for _, route := range document.Routes {
		routes[route.Name] = route
	}
	return routes
}

// routeNames returns the names of the routes of both documents, sorted.
func routeNames(from, to *declaration.Document) []string {
	var names []string
	for _, route := range slices.Concat(from.Routes, to.Routes) {
		names = append(names, route.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// routeChanges says which routes are new, dropped or matched and treated in
// another way.
func routeChanges(from, to *declaration.Document) []string {
	before := routesByName(from)
	after := routesByName(to)
	var lines []string
	for _, name := range routeNames(from, to) {
		old, had := before[name]
		latest, has := after[name]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("route %s: new", name))
		case !has:
			lines = append(lines, fmt.Sprintf("route %s: dropped", name))
		default:
			lines = append(lines, fieldChanges(old, latest)...)
		}
	}
	return lines
}

package plan

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"sliphead/internal/declaration"
)

// change holds the names of the workers that a route gains and loses, sorted.
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

// changeOfRoutes is a change that several routes have in common.
type changeOfRoutes struct {
	routes []string
	change change
}

// step holds, for one moment, the routes whose change differs from that at the moment
// before.
type step struct {
	at      time.Time
	changes []changeOfRoutes
}

// add records a route's change, grouped with routes that have the same change.
func (s *step) add(route string, each change) {
	for index := range s.changes {
		if s.changes[index].change.equal(each) {
			s.changes[index].routes = append(s.changes[index].routes, route)
			return
		}
	}
	s.changes = append(s.changes, changeOfRoutes{routes: []string{route}, change: each})
}

// computeSteps compares two documents at a moment and at each boundary of either document
// up to Horizon later.
func computeSteps(from, to *declaration.Document, at time.Time) []step {
	end := at.Add(Horizon)
	moments := append(declaration.Boundaries(from, at, end), declaration.Boundaries(to, at, end)...)
	moments = slices.Insert(declaration.SortedMoments(moments), 0, at)
	before := newDocumentView(from)
	after := newDocumentView(to)
	previous := make(map[string]change)
	var steps []step
	for _, moment := range moments {
		current := step{at: moment.In(at.Location())}
		for _, name := range routeNames(from, to) {
			each := compare(before.workers(name, moment), after.workers(name, moment))
			if last, found := previous[name]; found && !each.equal(last) || !found && !each.empty() {
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

// documentView is one of the two compared documents, prepared for evaluation.
type documentView struct {
	evaluator *declaration.Evaluator
	routes    map[string]declaration.Route
}

func newDocumentView(document *declaration.Document) documentView {
	return documentView{evaluator: declaration.NewEvaluator(document), routes: routesByName(document)}
}

// workers returns the workers that a route selects, none if the document lacks the
// route.
func (s documentView) workers(route string, at time.Time) []string {
	declared, found := s.routes[route]
	if !found {
		return nil
	}
	return s.evaluator.Workers(declared, at)
}

// compare returns the difference of two sorted lists of worker names.
func compare(before, after []string) change {
	return change{gained: difference(after, before), lost: difference(before, after)}
}

// difference returns the names that are not in others, which must be sorted.
func difference(names, others []string) []string {
	var missing []string
	for _, name := range names {
		if _, found := slices.BinarySearch(others, name); !found {
			missing = append(missing, name)
		}
	}
	return missing
}

func routesByName(document *declaration.Document) map[string]declaration.Route {
	routes := make(map[string]declaration.Route, len(document.Routes))
	for _, route := range document.Routes {
		routes[route.Name] = route
	}
	return routes
}

// routeNames returns the sorted names of the routes of both documents.
func routeNames(from, to *declaration.Document) []string {
	var names []string
	for _, route := range slices.Concat(from.Routes, to.Routes) {
		names = append(names, route.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// routeChanges describes the routes that are new, dropped or have changed fields, one
// change per line.
func routeChanges(from, to *declaration.Document) []string {
	before := routesByName(from)
	after := routesByName(to)
	var lines []string
	for _, name := range routeNames(from, to) {
		old, inBefore := before[name]
		latest, inAfter := after[name]
		switch {
		case !inBefore:
			lines = append(lines, fmt.Sprintf("route %s: new", name))
		case !inAfter:
			lines = append(lines, fmt.Sprintf("route %s: dropped", name))
		default:
			lines = append(lines, fieldChanges(old, latest)...)
		}
	}
	return lines
}

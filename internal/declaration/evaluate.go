package declaration

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Evaluator answers which workers the routes of a valid document reach.
type Evaluator struct {
	zones     map[string]Zone
	selectors map[string]Selector
	byService map[string][]Worker // sorted by name
}

// NewEvaluator prepares a valid document. The document must not change while
// the evaluator is in use.
func NewEvaluator(document *Document) *Evaluator {
	evaluator := &Evaluator{
		zones:     make(map[string]Zone, len(document.Zones)),
		selectors: make(map[string]Selector, len(document.Selectors)),
		byService: make(map[string][]Worker, len(document.Services)),
	}
	for _, zone := range document.Zones {
		evaluator.zones[zone.Name] = zone
	}
	for _, selector := range document.Selectors {
		evaluator.selectors[selector.Name] = selector
	}
	for _, worker := range document.Workers {
		evaluator.byService[worker.Service] = append(evaluator.byService[worker.Service], worker)
	}
	for _, workers := range evaluator.byService {
		slices.SortFunc(workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	}
	return evaluator
}

// Workers returns the names of the workers that a route's selectors select at a
// moment, sorted.
func (e *Evaluator) Workers(route Route, at time.Time) []string {
	open := e.openZones(route, at)
	var names []string
	for _, worker := range e.byService[route.Service] {
		selected := slices.ContainsFunc(route.Selectors, func(name string) bool {
			selector := e.selectors[name]
			return open[selectorZone{selector: name, zone: worker.Zone}] && selector.MatchesWorker(worker)
		})
		if selected {
			names = append(names, worker.Name)
		}
	}
	return names
}

type selectorZone struct{ selector, zone string }

// openZones evaluates each selector of a route once for each zone.
func (e *Evaluator) openZones(route Route, at time.Time) map[selectorZone]bool {
	open := make(map[selectorZone]bool, len(route.Selectors)*len(e.zones))
	for _, name := range route.Selectors {
		selector := e.selectors[name]
		for _, zone := range e.zones {
			open[selectorZone{selector: name, zone: zone.Name}] = selector.MatchesZone(zone) && selector.open(zone, at)
		}
	}
	return open
}

// Selection says whether one selector selects one worker, and why.
type Selection struct {
	Selector string
	Selected bool
	Reasons  []string // why not, in the order of the checks; empty when selected
}

// WorkerSelection holds what each selector of a route makes of a worker.
type WorkerSelection struct {
	Worker    Worker
	Selected  bool
	Selectors []Selection
}

// Explain evaluates each worker of a route's service at a moment, sorted by name.
func (e *Evaluator) Explain(route Route, at time.Time) []WorkerSelection {
	workers := e.byService[route.Service]
	selections := make([]WorkerSelection, 0, len(workers))
	for _, worker := range workers {
		selection := WorkerSelection{Worker: worker}
		for _, name := range route.Selectors {
			each := e.evaluate(e.selectors[name], worker, at)
			selection.Selected = selection.Selected || each.Selected
			selection.Selectors = append(selection.Selectors, each)
		}
		selections = append(selections, selection)
	}
	return selections
}

func (e *Evaluator) evaluate(selector Selector, worker Worker, at time.Time) Selection {
	zone := e.zones[worker.Zone]
	reasons := missingLabels("worker", worker.Labels, selector.WorkerLabels)
	reasons = append(reasons, missingLabels("zone", zone.Labels, selector.ZoneLabels)...)
	if !selector.open(zone, at) {
		reasons = append(reasons, closedReason(selector, zone, at))
	}
	return Selection{Selector: selector.Name, Selected: len(reasons) == 0, Reasons: reasons}
}

// missingLabels says which wanted labels are not held, sorted by key.
func missingLabels(holder string, held, wanted Labels) []string {
	var reasons []string
	for key, value := range wanted {
		has, found := held[key]
		switch {
		case !found:
			reasons = append(reasons, fmt.Sprintf("%s has no label %s, wanted is %s", holder, key, value))
		case has != value:
			reasons = append(reasons, fmt.Sprintf("%s label %s is %s, wanted is %s", holder, key, has, value))
		}
	}
	slices.Sort(reasons)
	return reasons
}

// closedReason says when a closed selector opens again.
func closedReason(selector Selector, zone Zone, at time.Time) string {
	const (
		horizon = 16 * 24 * time.Hour // see Schedule.Boundaries: a weekly window may miss a week
		shown   = "Mon 2006-01-02 15:04 MST"
	)
	schedules, err := selector.Schedules(zone)
	if err != nil {
		return "its windows are malformed"
	}
	var opens []time.Time
	for _, schedule := range schedules {
		opens = append(opens, schedule.Boundaries(at, at.Add(horizon))...)
	}
	opens = slices.DeleteFunc(opens, func(moment time.Time) bool { return !selector.open(zone, moment) })
	if len(opens) == 0 {
		return "no window is open, and none opens soon"
	}
	next := slices.MinFunc(opens, time.Time.Compare)
	return "no window is open; the next opens " + next.In(schedules[0].location).Format(shown)
}

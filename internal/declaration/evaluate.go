package declaration

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Evaluator determines the workers that the routes of a valid document select. It
// is safe for concurrent use.
type Evaluator struct {
	zones            map[string]Zone
	selectors        map[string]Selector
	workersByService map[string][]Worker // sorted by name
}

// NewEvaluator returns an evaluator of a valid document. The document must not be
// modified while the evaluator is in use.
func NewEvaluator(document *Document) *Evaluator {
	evaluator := &Evaluator{
		zones:            make(map[string]Zone, len(document.Zones)),
		selectors:        make(map[string]Selector, len(document.Selectors)),
		workersByService: make(map[string][]Worker, len(document.Services)),
	}
	for _, zone := range document.Zones {
		evaluator.zones[zone.Name] = zone
	}
	for _, selector := range document.Selectors {
		evaluator.selectors[selector.Name] = selector
	}
	for _, worker := range document.Workers {
		evaluator.workersByService[worker.Service] = append(evaluator.workersByService[worker.Service], worker)
	}
	for _, workers := range evaluator.workersByService {
		slices.SortFunc(workers, func(a, b Worker) int { return strings.Compare(a.Name, b.Name) })
	}
	return evaluator
}

// Workers returns the sorted names of the workers that a route's selectors select
// at a moment.
func (e *Evaluator) Workers(route Route, at time.Time) []string {
	open := e.openZones(route, at)
	var names []string
	for _, worker := range e.workersByService[route.Service] {
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

// selectorZone is a pair of names.
type selectorZone struct{ selector, zone string }

// openZones reports for each selector of a route and each zone whether the selector
// matches the zone and is open.
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

// Selection is the result of evaluating one selector for one worker.
type Selection struct {
	Selector string
	Selected bool
	Reasons  []string // why the worker is not selected, in the order of the checks; empty when selected
}

// WorkerSelection holds the results of all selectors of a route for one worker.
type WorkerSelection struct {
	Worker    Worker
	Selected  bool // whether at least one selector selects the worker
	Selectors []Selection
}

// Explain evaluates a route's selectors for each worker of its service at a moment.
// The result is sorted by the workers' names.
func (e *Evaluator) Explain(route Route, at time.Time) []WorkerSelection {
	workers := e.workersByService[route.Service]
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

// missingLabels returns a message for each wanted label that is absent or has
// another value, sorted by key.
func missingLabels(kind string, labels, wanted Labels) []string {
	var reasons []string
	for key, value := range wanted {
		actual, found := labels[key]
		switch {
		case !found:
			reasons = append(reasons, fmt.Sprintf("%s has no label %s, wanted is %s", kind, key, value))
		case actual != value:
			reasons = append(reasons, fmt.Sprintf("%s label %s is %s, wanted is %s", kind, key, actual, value))
		}
	}
	slices.Sort(reasons)
	return reasons
}

// closedReason returns a message that says when a closed selector opens next.
func closedReason(selector Selector, zone Zone, at time.Time) string {
	const (
		horizon = 16 * 24 * time.Hour // two weeks and a margin: a weekly window may be skipped once by a change of the clock
		layout  = "Mon 2006-01-02 15:04 MST"
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
	return "no window is open; the next opens " + next.In(schedules[0].location).Format(layout)
}

package traffic

import (
	"slices"
	"sync"

	"sliphead/internal/snapshot"
)

// weights deals the requests of each route to its services in turn, so that
// each gets its share over any longer stretch (smooth weighted round robin).
type weights struct {
	mutex   sync.Mutex
	credits map[string][]int // by route, in the order of its targets
}

// order returns the route's targets, the one whose turn it is first.
func (w *weights) order(route *snapshot.Route) []snapshot.Target {
	if len(route.Targets) <= 1 {
		return route.Targets
	}
	first := w.next(route)
	ordered := []snapshot.Target{route.Targets[first]}
	return append(ordered, slices.Delete(slices.Clone(route.Targets), first, first+1)...)
}

func (w *weights) next(route *snapshot.Route) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	credits := w.credits[route.Name]
	if len(credits) != len(route.Targets) {
		credits = make([]int, len(route.Targets))
		w.credits[route.Name] = credits
	}
	total, first := 0, 0
	for index, target := range route.Targets {
		credits[index] += target.Weight
		total += target.Weight
		if credits[index] > credits[first] {
			first = index
		}
	}
	credits[first] -= total
	return first
}

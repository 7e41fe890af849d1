package traffic

import (
	"math/rand/v2"
	"slices"
	"sync"

	"sliphead/internal/snapshot"
)

// weights deals the requests of each route to its services in turn, so that
// each gets its share over any longer stretch (smooth weighted round robin).
//
// Each node begins at a random place of the turn, and anew when the weights change: nodes
// that all began at the first place would send their first requests to the same service,
// and over the first few requests of each of 83 nodes a service of a tenth would get none.
type weights struct {
	random *rand.Rand
	mutex  sync.Mutex
	deals  map[string]*deal // by route
}

// deal is the turn of one route's requests.
type deal struct {
	weights []int // of its targets, in their order
	credits []int
	total   int
}

// mostDealSteps bounds the steps to a random place of the turn: weights are mostly parts
// of a hundred, and the turn of larger ones is entered among its first places.
const mostDealSteps = 1000

func newWeights(random *rand.Rand) *weights {
	return &weights{random: random, deals: map[string]*deal{}}
}

// target returns the service whose turn it is, false when the route has none. What
// finds no room there is refused: on its way to another service it would change the
// shares that the operator has set.
func (w *weights) target(route *snapshot.Route) (snapshot.Target, bool) {
	switch len(route.Targets) {
	case 0:
		return snapshot.Target{}, false
	case 1:
		return route.Targets[0], true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	held := w.deals[route.Name]
	if held == nil || !slices.EqualFunc(held.weights, route.Targets, func(weight int, target snapshot.Target) bool { return weight == target.Weight }) {
		held = w.begin(route.Targets)
		w.deals[route.Name] = held
	}
	return route.Targets[held.next()], true
}

// begin returns the turn of targets, at a random place.
func (w *weights) begin(targets []snapshot.Target) *deal {
	begun := &deal{credits: make([]int, len(targets))}
	for _, target := range targets {
		begun.weights = append(begun.weights, target.Weight)
		begun.total += target.Weight
	}
	for range w.random.IntN(min(max(1, begun.total), mostDealSteps)) {
		begun.next()
	}
	return begun
}

// next returns the place of the target whose turn it is.
func (d *deal) next() int {
	first := 0
	for index, weight := range d.weights {
		d.credits[index] += weight
		if d.credits[index] > d.credits[first] {
			first = index
		}
	}
	d.credits[first] -= d.total
	return first
}

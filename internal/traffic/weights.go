package traffic

import (
	"math/rand/v2"
	"slices"
	"sync"

	"sliphead/internal/snapshot"
)

// weights distributes the requests of each route over its services by smooth weighted round
// robin, so that each service gets its share over any longer period.
//
// Each node starts at a random position of the cycle, and again when the weights change. Nodes
// that all started at the first position would send their first requests to the same service:
// over the first few requests of each of 83 nodes, a service with a weight of one tenth would
// get none.
type weights struct {
	random       *rand.Rand
	mutex        sync.Mutex
	dealsByRoute map[string]*deal
}

// deal is the cycle of one route's requests.
type deal struct {
	weights []int // of its targets, in their order
	credits []int
	total   int
}

// maxDealSteps bounds the steps to a random position of the cycle. Weights usually add up to
// 100; a longer cycle starts within its first maxDealSteps positions.
const maxDealSteps = 1000

func newWeights(random *rand.Rand) *weights {
	return &weights{random: random, dealsByRoute: map[string]*deal{}}
}

// target returns the service for the next request, false if the route has none. A request that
// finds no capacity there is refused: sent to another service, it would change the shares that
// the operator has set.
func (w *weights) target(route *snapshot.Route) (snapshot.Target, bool) {
	switch len(route.Targets) {
	case 0:
		return snapshot.Target{}, false
	case 1:
		return route.Targets[0], true
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	current := w.dealsByRoute[route.Name]
	if current == nil || !slices.EqualFunc(current.weights, route.Targets, func(weight int, target snapshot.Target) bool { return weight == target.Weight }) {
		current = w.begin(route.Targets)
		w.dealsByRoute[route.Name] = current
	}
	return route.Targets[current.next()], true
}

// begin returns a cycle over the targets, at a random position.
func (w *weights) begin(targets []snapshot.Target) *deal {
	begun := &deal{credits: make([]int, len(targets))}
	for _, target := range targets {
		begun.weights = append(begun.weights, target.Weight)
		begun.total += target.Weight
	}
	for range w.random.IntN(min(max(1, begun.total), maxDealSteps)) {
		begun.next()
	}
	return begun
}

// next returns the index of the target for the next request.
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

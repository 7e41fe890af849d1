package traffic

import "sync"

// serviceBudget bounds, for each service, the arrivals at workers beyond the
// first of each request to a share of the requests, with a small allowance that
// the nodes of the mesh divide among them. A node that restarts starts with its
// part of the allowance and no more.
type serviceBudget struct {
	mutex  sync.Mutex
	ratio  float64
	slack  float64 // of the whole mesh
	tokens map[string]float64
}

// budgetRoom is the part of the bounds that a node uses: windows of counting
// differ between nodes, and a repeated run repeats its calls.
const budgetRoom = 0.6

func newServiceBudget(limits Limits) *serviceBudget {
	return &serviceBudget{ratio: limits.RetryRatio * budgetRoom, slack: float64(limits.RetrySlack) * budgetRoom, tokens: map[string]float64{}}
}

// count notes a request for a service.
func (b *serviceBudget) count(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[service] += b.ratio
}

// take reports whether one more arrival is allowed and counts it. Below zero,
// the node lives on its part of the mesh's allowance.
func (b *serviceBudget) take(service string, nodes int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	held, allowed := b.held(service, nodes)
	if allowed {
		held--
	}
	b.tokens[service] = held
	return allowed
}

// allows reports whether take would allow one more arrival now.
func (b *serviceBudget) allows(service string, nodes int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	_, allowed := b.held(service, nodes)
	return allowed
}

// held returns the tokens of a service and whether they allow one more arrival.
func (b *serviceBudget) held(service string, nodes int) (float64, bool) {
	allowance := b.slack / float64(max(1, nodes))
	held := min(b.tokens[service], allowance)
	return held, held >= 1-allowance
}

// giveBack undoes a take whose request reached no worker.
func (b *serviceBudget) giveBack(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[service]++
}

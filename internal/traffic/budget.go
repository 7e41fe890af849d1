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
	allowance := b.slack / float64(max(1, nodes))
	held := min(b.tokens[service], allowance)
	if held < 1-allowance {
		b.tokens[service] = held
		return false
	}
	b.tokens[service] = held - 1
	return true
}

// giveBack undoes a take whose request reached no worker.
func (b *serviceBudget) giveBack(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens[service]++
}

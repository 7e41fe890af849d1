package traffic

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// budgetMesh holds the budgets of all nodes for one service in virtual time, and counts the
// arrivals at the workers of that service.
type budgetMesh struct {
	nodes    []*serviceBudget
	limits   Limits
	random   *rand.Rand
	now      time.Time
	requests []int // per step
	repeats  []int // per step
}

// budgetStep is the length of a step of virtual time; a window has budgetWindow steps.
const (
	budgetStep   = 100 * time.Millisecond
	budgetWindow = 100
)

func newBudgetMesh(count int, limits Limits, seed uint64) *budgetMesh {
	m := &budgetMesh{limits: limits, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0), nodes: make([]*serviceBudget, count)}
	m.restart(1)
	return m
}

// restart replaces the budgets of a share of the nodes by new ones.
func (m *budgetMesh) restart(share float64) {
	for index := range m.nodes {
		if m.random.Float64() < share {
			m.nodes[index] = newServiceBudget(m.limits)
		}
	}
}

// step sends requests to the first inUse nodes; each attempt is rejected with the given
// probability.
func (m *budgetMesh) step(requests, inUse int, rejected float64) {
	m.now = m.now.Add(budgetStep)
	repeats := 0
	for range requests {
		node := m.nodes[m.random.IntN(inUse)]
		node.deposit("shop", len(m.nodes), m.now)
		lastAttempt := m.random.IntN(2) == 0
		for m.random.Float64() < rejected && node.take("shop", len(m.nodes), lastAttempt, m.now) {
			repeats++
		}
	}
	m.requests = append(m.requests, requests)
	m.repeats = append(m.repeats, repeats)
}

// maxExcess returns by how many arrivals the bound was exceeded in the worst window; a
// negative value means that it was not. The bound counts the requests of the window itself, of
// the one before, or of one that overlaps both by half.
func (m *budgetMesh) maxExcess() float64 {
	worst := -1e9
	sum := func(of []int, end int) (total int) {
		for index := max(0, end-budgetWindow); index < min(max(0, end), len(of)); index++ {
			total += of[index]
		}
		return total
	}
	for end := 1; end < len(m.repeats)+budgetWindow; end++ {
		counted := max(sum(m.requests, end), sum(m.requests, end-budgetWindow), sum(m.requests, end-budgetWindow/2))
		worst = max(worst, float64(sum(m.repeats, end))-m.limits.RetryRatio*float64(counted)-float64(m.limits.RetrySlack))
	}
	return worst
}

// The retries of all nodes together must stay within the bound under any load: workers that
// reject all or half, bursts after an idle period, clients that move to a few nodes, nodes
// that restart together under load, and meshes of more nodes than the allowance has retries.
func TestServiceBudgetBoundsMeshRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 3, 82, 850}).Draw(t, "nodes")
		limits := Limits{RetryRatio: 0.2, RetrySlack: rapid.SampledFrom([]int{64, 186, 204}).Draw(t, "slack")}
		m := newBudgetMesh(count, limits, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			requests := rapid.SampledFrom([]int{0, 1, 10, 300}).Draw(t, "requests")
			inUse := max(1, int(float64(count)*rapid.SampledFrom([]float64{1, 0.5, 0.05}).Draw(t, "in use")))
			rejected := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "rejected")
			for range rapid.SampledFrom([]int{5, 60, 250}).Draw(t, "steps") {
				m.step(requests, inUse, rejected)
			}
			if rapid.Bool().Draw(t, "restart") {
				m.restart(rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "share"))
			}
		}
		must.LessEq(t, 0, m.maxExcess())
	})
}

// A busy service whose workers reject half of the requests must get most of the retries that
// the bound allows, in a small mesh and in one of more nodes than the allowance has retries.
func TestServiceBudgetAllowsMostOfTheBound(t *testing.T) {
	for count, least := range map[int]float64{3: 0.16, 82: 0.16, 850: 0.14} {
		m := newBudgetMesh(count, Limits{RetryRatio: 0.2, RetrySlack: 204}, 7)
		requests, repeats := 0, 0
		for range 3 * budgetWindow {
			m.step(300, count, 0.5)
			requests += 300
			repeats += m.repeats[len(m.repeats)-1]
		}
		must.Between(t, least, float64(repeats)/float64(requests), 0.2, must.Sprint(count))
	}
}

// Scarce retries are reserved for requests with lastAttempt; otherwise any request gets one.
func TestScarceRetriesAreReservedForLastAttempts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newServiceBudget(Limits{RetryRatio: 0.2, RetrySlack: 204})
	for range 40 {
		b.deposit("shop", 82, now)
	}
	must.True(t, b.take("shop", 82, false, now)) // no request with lastAttempt competes for it
	for range 4 {
		b.deposit("shop", 82, now)
	}
	must.True(t, b.take("shop", 82, true, now))
	for range 3 {
		b.deposit("shop", 82, now)
	}
	must.False(t, b.take("shop", 82, false, now))
	must.True(t, b.take("shop", 82, true, now))
}

// Failed runs are repeated and make their calls again. These calls count as arrivals at the
// called service, whose workers reject half of the requests. Its bound must hold whatever
// share of the runs fails.
func TestServiceBudgetBoundsCallsOfRepeatedRuns(t *testing.T) {
	const callsOfRun = 2
	for seed, failing := range []float64{0, 0.05, 0.2, 0.6, 0.6, 1} {
		m := newBudgetMesh(82, Limits{RetryRatio: 0.2, RetrySlack: 204}, uint64(seed))
		for range 3 * budgetWindow {
			m.step(0, 82, 0)
			last := len(m.repeats) - 1
			runs := 100
			for run := 0; run < runs; run++ {
				first, worker := m.nodes[m.random.IntN(82)], m.nodes[m.random.IntN(82)]
				repeat := run >= 100
				if repeat {
					worker.charge("shop", 82, callsOfRun, m.now)
					m.repeats[last] += callsOfRun
				} else {
					first.deposit("ledger", 82, m.now)
					m.requests[last] += callsOfRun
				}
				for range callsOfRun {
					worker.deposit("shop", 82, m.now)
					for m.random.Float64() < 0.5 && worker.take("shop", 82, true, m.now) {
						m.repeats[last]++
					}
				}
				if m.random.Float64() < failing && !repeat && first.take("ledger", 82, true, m.now) {
					runs++
				}
			}
		}
		must.LessEq(t, 0, m.maxExcess(), must.Sprint(failing))
	}
}

// The calls of a repeated run are charged to the budget of the called service, even if it
// becomes negative; no retry is allowed until the debt has been earned back.
func TestServiceBudgetChargesCallsOfRepeatedRuns(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	nested := newNestedCalls()
	for range 10 {
		nested.recordRun()
		nested.recordCall("dunning")
		nested.recordCall("dunning")
	}
	must.Eq(t, map[string]float64{"dunning": 2}, nested.callsPerRun())
	b := newServiceBudget(Limits{RetryRatio: 0.2, RetrySlack: 10})
	must.True(t, b.take("dunning", 1, true, now))
	b.charge("dunning", 1, 3, now)
	must.False(t, b.take("dunning", 1, true, now))
	for range 30 {
		b.deposit("dunning", 1, now)
	}
	must.True(t, b.take("dunning", 1, true, now))
}

package traffic

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// budgetMesh is the budgets of all nodes for one service in virtual time, and what the
// workers of that service see.
type budgetMesh struct {
	nodes    []*serviceBudget
	limits   Limits
	random   *rand.Rand
	now      time.Time
	requests []int // in each step
	repeats  []int
}

// budgetStep is the length of a step of the mesh's time; a window has budgetWindow of them.
const (
	budgetStep   = 100 * time.Millisecond
	budgetWindow = 100
)

func newBudgetMesh(count int, limits Limits, seed uint64) *budgetMesh {
	m := &budgetMesh{limits: limits, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0), nodes: make([]*serviceBudget, count)}
	m.restart(1)
	return m
}

// restart starts a share of the nodes anew.
func (m *budgetMesh) restart(share float64) {
	for index := range m.nodes {
		if m.random.Float64() < share {
			m.nodes[index] = newServiceBudget(m.limits)
		}
	}
}

// step lets requests come, of which each try is rejected with the given chance, to the
// first of the nodes that are in use.
func (m *budgetMesh) step(requests, inUse int, rejected float64) {
	m.now = m.now.Add(budgetStep)
	repeats := 0
	for range requests {
		node := m.nodes[m.random.IntN(inUse)]
		node.count("shop", len(m.nodes), m.now)
		lastChance := m.random.IntN(2) == 0
		for m.random.Float64() < rejected && node.take("shop", len(m.nodes), lastChance, m.now) {
			repeats++
		}
	}
	m.requests = append(m.requests, requests)
	m.repeats = append(m.repeats, repeats)
}

// worst is by how many arrivals the bound was exceeded in the worst window; below zero it
// was kept. The requests are those of the window or of the one before.
func (m *budgetMesh) worst() float64 {
	worst := -1e9
	sum := func(of []int, end int) (total int) {
		for index := max(0, end-budgetWindow); index < min(max(0, end), len(of)); index++ {
			total += of[index]
		}
		return total
	}
	for end := 1; end < len(m.repeats)+budgetWindow; end++ {
		owed := max(sum(m.requests, end), sum(m.requests, end-budgetWindow), sum(m.requests, end-budgetWindow/2))
		worst = max(worst, float64(sum(m.repeats, end))-m.limits.RetryRatio*float64(owed)-float64(m.limits.RetrySlack))
	}
	return worst
}

// The bound on repeats is kept over all nodes together, whatever comes when: workers that
// reject all or half, herds after a calm, clients that move to a few nodes, nodes that
// start together in mid-flood, and meshes of more nodes than the allowance has repeats.
func TestRepeatsOfTheWholeMeshAreBounded(t *testing.T) {
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
		must.LessEq(t, 0, m.worst())
	})
}

// A service that is asked often and whose workers reject half gets most of the repeats that
// the bound allows, in a small mesh and in one of more nodes than the allowance.
func TestRepeatsOfTheWholeMeshAreUsed(t *testing.T) {
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

// While repeats are short they go to last chances; while they are not, to all.
func TestShortRepeatsAreKeptForLastChances(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	b := newServiceBudget(Limits{RetryRatio: 0.2, RetrySlack: 204})
	for range 40 {
		b.count("shop", 82, now)
	}
	must.True(t, b.take("shop", 82, false, now)) // nobody else wants one
	for range 4 {
		b.count("shop", 82, now)
	}
	must.True(t, b.take("shop", 82, true, now))
	for range 3 {
		b.count("shop", 82, now)
	}
	must.False(t, b.take("shop", 82, false, now))
	must.True(t, b.take("shop", 82, true, now))
}

// Runs that fail are repeated, and their calls are made again: these count at the called
// service, of whose requests its workers reject half. Its bound holds all the same, whatever
// share of the runs fails.
func TestCallsOfRepeatedRunsStayInTheBound(t *testing.T) {
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
					first.count("ledger", 82, m.now)
					m.requests[last] += callsOfRun
				}
				for range callsOfRun {
					worker.count("shop", 82, m.now)
					for m.random.Float64() < 0.5 && worker.take("shop", 82, true, m.now) {
						m.repeats[last]++
					}
				}
				if m.random.Float64() < failing && !repeat && first.take("ledger", 82, true, m.now) {
					runs++
				}
			}
		}
		must.LessEq(t, 0, m.worst(), must.Sprint(failing))
	}
}

// The calls of a run that is itself a repeat are taken off the budget of the service that it
// calls, also where nothing is left; repeats are earned anew before any is made.
func TestCallsOfRepeatedRunsAreCharged(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	nested := newNestedCalls()
	for range 10 {
		nested.ran()
		nested.called("dunning")
		nested.called("dunning")
	}
	must.Eq(t, map[string]float64{"dunning": 2}, nested.callsOfRun())
	b := newServiceBudget(Limits{RetryRatio: 0.2, RetrySlack: 10})
	must.True(t, b.take("dunning", 1, true, now))
	b.charge("dunning", 1, 3, now)
	must.False(t, b.take("dunning", 1, true, now))
	for range 30 {
		b.count("dunning", 1, now)
	}
	must.True(t, b.take("dunning", 1, true, now))
}

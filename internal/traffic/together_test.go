package traffic

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// spend is how repeats are spent on the calls of one run, of which the first tries were
// rejected or not. It returns whether all calls were taken in the end.
type spend func(m *runModel, rejected []bool) bool

// runModel is runs of two calls each at a service that rejects some, in virtual time.
type runModel struct {
	random   *rand.Rand
	budget   *serviceBudget
	now      time.Time
	rejects  float64
	repeats  int
	answered int
}

// again sends one call once more, where the budget allows it.
func (m *runModel) again() bool {
	if !m.budget.take("dunning", 1, true, m.now) {
		return false
	}
	m.repeats++
	return m.random.Float64() >= m.rejects
}

// firstCome repeats each rejected call while there are repeats. Its run ends with the
// first call that fails.
func firstCome(m *runModel, rejected []bool) bool {
	for _, was := range rejected {
		if was && !m.again() {
			return false
		}
	}
	return true
}

// oneOfGroup repeats a rejected call where it is the only one of its group.
func oneOfGroup(m *runModel, rejected []bool) bool {
	out := newTogether()
	var group *callGroup
	for _, was := range rejected {
		group = out.join("status", m.now)
		if was {
			group.add(0, 1)
		}
	}
	switch _, count := group.has(); count {
	case 0:
		return true
	case 1:
		return m.again()
	default:
		return false
	}
}

func (m *runModel) run(runs int, policy spend) {
	for range runs {
		m.now = m.now.Add(20 * time.Millisecond)
		rejected := make([]bool, 2)
		for index := range rejected {
			m.budget.count("dunning", 1, m.now)
			rejected[index] = m.random.Float64() < m.rejects
		}
		if policy(m, rejected) {
			m.answered++
		}
	}
}

// Where half of the calls are rejected, the same repeats answer more runs if they go to
// calls of which no other of the same run was rejected.
func TestRepeatsForOneOfAGroupAnswerMoreRuns(t *testing.T) {
	play := func(policy spend) *runModel {
		m := &runModel{random: rand.New(rand.NewPCG(7, 7)), budget: newServiceBudget(Limits{RetryRatio: 0.2, RetrySlack: 2}), now: time.Unix(1_000_000, 0), rejects: 0.55}
		m.run(20_000, policy)
		return m
	}
	first, grouped := play(firstCome), play(oneOfGroup)
	t.Logf("of 20,000 runs answered, with repeats: first come %d, %d; one of a group %d, %d", first.answered, first.repeats, grouped.answered, grouped.repeats)
	must.LessEq(t, first.repeats, grouped.repeats)
	must.Greater(t, first.answered*11/10, grouped.answered)
}

// Calls that begin at once on one route are one group; later ones and others are not.
func TestCallsThatBeginAtOnceAreAGroup(t *testing.T) {
	calls, now := newTogether(), time.Unix(1_000_000, 0)
	first := calls.join("status", now)
	must.True(t, first == calls.join("status", now.Add(togetherFor)))
	must.True(t, first != calls.join("price", now))
	must.True(t, first != calls.join("status", now.Add(togetherFor+1)))
	count, rejected := first.has()
	must.Eq(t, 2, count)
	must.Zero(t, rejected)
}

// While repeats are short, a rejected call is not sent again if another of its group was
// rejected, nor once its run has given up; while they are not, it is.
func TestRepeatsOfAGroup(t *testing.T) {
	m := newCatalogMesh(t, 1)
	out := m.nodes[0].out
	call := func(rejected int) *dispatch {
		x := &exchange{context: t.Context(), started: time.Now(), group: &callGroup{calls: 2, rejected: rejected}}
		return &dispatch{out: out, x: x, service: "shop", rejectedOnce: true}
	}
	must.True(t, call(2).worthRepeat())
	out.budget = newServiceBudget(Limits{})
	must.False(t, out.budget.take("shop", 1, true, time.Now()))
	must.True(t, call(1).worthRepeat())
	must.False(t, call(2).worthRepeat())
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

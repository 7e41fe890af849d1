package overload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/lab/load"
)

func TestCountLeavesTheWarmUpOut(t *testing.T) {
	from := time.Unix(1000, 0)
	attempts := []load.Attempt{{Class: "a", Start: from.Add(-time.Second), Ending: load.EndingAnswered}}
	for _, ending := range []load.Ending{load.EndingAnswered, load.EndingNotRun, load.EndingWrong, load.EndingFailed} {
		attempts = append(attempts, load.Attempt{Class: "a", Start: from, Ending: ending})
	}
	tallies := count(attempts, from)
	must.Eq(t, map[string]tally{"a": {Offered: 4, Answered: 1, NotRun: 1, Wrong: 1}}, tallies)
	must.Eq(t, 0.25, tallies["a"].share())
}

// Both ways of choice carry requests to workers and back whole.
func TestFleetAnswers(t *testing.T) {
	routes := []declaration.Route{route("price-check", declaration.PriorityInternal, time.Minute)}
	fleet, err := startFleet(2, 0, routes)
	must.NoError(t, err)
	defer fleet.close()
	targets, err := fleet.target(fleet.edge(routes, fleet.endpoints))
	must.NoError(t, err)
	random, err := fleet.target(fleet.randomEdge(routes, 1))
	must.NoError(t, err)
	for _, target := range append(targets, random...) {
		counted := offer(t.Context(), []load.Target{target}, []load.Class{class(routes[0], 200)}, target.Address, 0, 100*time.Millisecond)
		got := counted["price-check"]
		must.Positive(t, got.Offered)
		must.Eq(t, got.Offered, got.Answered)
	}
}

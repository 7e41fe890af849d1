package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

func TestShareOfRunsWithinATime(t *testing.T) {
	run := Run{Mean: 100 * time.Millisecond, Spread: 0.8}
	must.Zero(t, run.within(0))
	must.Eq(t, 1, Run{}.within(time.Millisecond))                                         // nothing is known: it is to be tried
	must.InDelta(t, 0.5, run.within(time.Duration(72.6*float64(time.Millisecond))), 0.01) // the median: mean / exp(0.32)
	must.InDelta(t, 0.66, run.within(100*time.Millisecond), 0.01)
	must.InDelta(t, 0.98, run.within(400*time.Millisecond), 0.01)
}

// A worker whose mean is well within the objective but a third of whose answers
// come late is left for one in another zone that is in time; one that is in time as
// well is not.
func TestCreditOutweighsBytesWhereAnswersAreLate(t *testing.T) {
	near, far := endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")
	need := Need{Route: "read", Objective: 400 * time.Millisecond, Deadline: 1200 * time.Millisecond}
	choose := func(mean time.Duration) int {
		b := newBalancer()
		endpoints := []snapshot.Endpoint{near, far}
		for index, run := range []Run{{Mean: mean, Spread: 0.8}, {Mean: 100 * time.Millisecond, Spread: 0.8}} {
			b.Ended(start, "read", endpoints[index], Observation{Loaded: true, Load: Load{Slots: 6, Run: run}})
		}
		return b.Cheapest(start, need, endpoints, nil).Index
	}
	must.Eq(t, 1, choose(300*time.Millisecond))
	must.Eq(t, 0, choose(110*time.Millisecond))
}

// A large request stays in its zone where a small one would leave it.
func TestBytesWeigh(t *testing.T) {
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")}
	choose := func(kilobytes float64) int {
		b := newBalancer()
		for index, mean := range []time.Duration{300 * time.Millisecond, 100 * time.Millisecond} {
			b.Ended(start, "save", endpoints[index], Observation{Loaded: true, Load: Load{Slots: 6, Run: Run{Mean: mean, Spread: 0.5}}})
		}
		need := Need{Route: "save", Objective: 400 * time.Millisecond, Deadline: time.Second, Kilobytes: kilobytes}
		return b.Cheapest(start, need, endpoints, nil).Index
	}
	must.Eq(t, 1, choose(1))
	must.Eq(t, 0, choose(60))
}

// An endpoint that nobody knows is tried by one request, and not by more before
// that one has come back.
func TestUnknownEndpointIsTriedByOne(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")}
	need := Need{Route: "read", Objective: 400 * time.Millisecond, Deadline: time.Second}
	known := Load{Slots: 6, Run: Run{Mean: 350 * time.Millisecond, Spread: 0.5}}
	b.Ended(start, "read", endpoints[0], Observation{Latency: 350 * time.Millisecond, Loaded: true, Load: known})
	must.Eq(t, 1, b.Cheapest(start, need, endpoints, nil).Index)
	must.Eq(t, 0, b.Cheapest(start, need, endpoints, nil).Index)
	slow := Load{Slots: 6, Run: Run{Mean: 700 * time.Millisecond, Spread: 0.5}}
	b.Ended(start, "read", endpoints[1], Observation{Latency: 700 * time.Millisecond, Loaded: true, Load: slow})
	must.Eq(t, 0, b.Cheapest(start, need, endpoints, nil).Index)
}

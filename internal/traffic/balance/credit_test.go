package balance

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

func TestShareOfRunsWithinLimit(t *testing.T) {
	const mean = 100 * time.Millisecond
	must.Zero(t, shareWithin(mean, 0))
	must.Eq(t, 1, shareWithin(0, time.Millisecond))                                              // unknown mean: it is to be tried
	must.InDelta(t, 0.5, shareWithin(mean, time.Duration(88.2*float64(time.Millisecond))), 0.01) // the median: mean / exp(0.125)
	must.InDelta(t, 0.6, shareWithin(mean, mean), 0.01)
	must.InDelta(t, 0.997, shareWithin(mean, 4*mean), 0.002)
}

// A worker whose mean run time is below the objective, but a third of whose responses are
// late, loses to an in-time worker in another zone in spite of the bytes. A worker that is
// in time does not.
func TestInTimeEndpointInOtherZoneBeatsLateOneNearby(t *testing.T) {
	near, far := endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")
	need := Need{Route: "read", Objective: 400 * time.Millisecond, Deadline: 1200 * time.Millisecond}
	choose := func(mean time.Duration) int {
		b := newBalancer()
		endpoints := []snapshot.Endpoint{near, far}
		for index, run := range []time.Duration{mean, 100 * time.Millisecond} {
			b.Ended(start, "read", endpoints[index], Observation{HasLoad: true, Load: Load{Slots: 6, Run: run}})
		}
		return b.Cheapest(start, need, endpoints, nil).Index
	}
	must.Eq(t, 1, choose(300*time.Millisecond))
	must.Eq(t, 0, choose(110*time.Millisecond))
}

// A large request stays in its zone where a small one would leave it.
func TestLargeRequestStaysInItsZone(t *testing.T) {
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")}
	choose := func(kilobytes float64) int {
		b := newBalancer()
		for index, mean := range []time.Duration{300 * time.Millisecond, 100 * time.Millisecond} {
			b.Ended(start, "save", endpoints[index], Observation{HasLoad: true, Load: Load{Slots: 6, Run: mean}})
		}
		need := Need{Route: "save", Objective: 400 * time.Millisecond, Deadline: time.Second, Kilobytes: kilobytes}
		return b.Cheapest(start, need, endpoints, nil).Index
	}
	must.Eq(t, 1, choose(1))
	must.Eq(t, 0, choose(60))
}

// An endpoint without observations is tried with one request, and gets no further ones
// until that has ended.
func TestUnknownEndpointIsProbedByOneRequest(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")}
	need := Need{Route: "read", Objective: 400 * time.Millisecond, Deadline: time.Second}
	reported := Load{Slots: 6, Run: 350 * time.Millisecond}
	b.Ended(start, "read", endpoints[0], Observation{Latency: 350 * time.Millisecond, HasLoad: true, Load: reported})
	must.Eq(t, 1, b.Cheapest(start, need, endpoints, nil).Index)
	must.Eq(t, 0, b.Cheapest(start, need, endpoints, nil).Index)
	slow := Load{Slots: 6, Run: 700 * time.Millisecond}
	b.Ended(start, "read", endpoints[1], Observation{Latency: 700 * time.Millisecond, HasLoad: true, Load: slow})
	must.Eq(t, 0, b.Cheapest(start, need, endpoints, nil).Index)
}

// The table of shares agrees with the exact function within 0.001.
func TestRunShareTableMatchesExactFunction(t *testing.T) {
	const mean = 100 * time.Millisecond
	for limit := time.Millisecond; limit < time.Second; limit += time.Millisecond {
		median := float64(mean) * math.Exp(-runSpread*runSpread/2)
		exact := math.Erfc(-math.Log(float64(limit)/median)/(runSpread*math.Sqrt2)) / 2
		must.InDelta(t, exact, shareWithin(mean, limit), 0.001)
	}
	must.Zero(t, shareWithin(mean, 0))
	must.Eq(t, 1, shareWithin(0, mean))
}

package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// distantWorkers are workers of another region, each beside a node of its own.
func distantWorkers(count int) []snapshot.Endpoint {
	var endpoints []snapshot.Endpoint
	for index := range count {
		endpoints = append(endpoints, endpoint(fmt.Sprintf("far-%d", index), fmt.Sprintf("z%d", 5+index%2), "r2"))
	}
	return endpoints
}

var lost = Observation{Failed: true, Unreachable: true}

// Two regions can't talk for an hour, and all of the own region's workers are busy: the
// other region's thirty nodes are not found out one by one, by a request each time, but as
// a whole, by one request in half of the longest back-off at most.
func TestLostRegionCostsFewRequests(t *testing.T) {
	const busy = 50 * time.Millisecond // between requests that have nowhere else to go
	b := newBalancer()
	endpoints := distantWorkers(30)
	need := Need{Route: "read", Objective: time.Second}
	tries := 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(busy) {
		chosen := b.Cheapest(now, need, endpoints, nil).Index
		if chosen < 0 {
			continue
		}
		tries++
		b.Ended(now, "read", endpoints[chosen], lost)
	}
	most := int(2*time.Hour/b.settings.BackoffMost) + 20
	must.Less(t, most, tries)
	must.Positive(t, tries)
}

// While one request finds out, no other is sent after it. A sign of life makes the region
// count again; workers that failed then are left alone for themselves, so the others' share
// comes back first.
func TestRegionComesBackWithoutAWave(t *testing.T) {
	b := newBalancer()
	endpoints := distantWorkers(6)
	need := Need{Route: "read", Objective: time.Second}
	for index := range silentEndpoints {
		b.Ended(start, "read", endpoints[index], lost)
	}
	must.Eq(t, -1, b.Cheapest(start, need, endpoints, nil).Index)
	healed := start.Add(b.settings.BackoffMost)
	first := b.Cheapest(healed, need, endpoints, nil).Index
	must.NotEq(t, -1, first)
	must.Eq(t, -1, b.Cheapest(healed, need, endpoints, nil).Index)

	b.Ended(healed, "read", endpoints[first], Observation{RoundTrip: longWay})
	must.NotEq(t, -1, b.Cheapest(healed, need, endpoints, nil).Index)
}

// A refusal is a sign of life, and so is a worker's failure: machines that are down, or
// full, don't make their region lost.
func TestSomeNodesAreNotTheirRegion(t *testing.T) {
	for _, sign := range []Observation{{RoundTrip: longWay}, {Refused: true, Loaded: true}, {Failed: true, RoundTrip: longWay}} {
		b := newBalancer()
		endpoints := distantWorkers(8)
		for index := range 2 * (silentEndpoints - 1) {
			b.Ended(start, "read", endpoints[index], lost)
			if index == silentEndpoints-2 {
				b.Ended(start, "read", endpoints[7], sign)
			}
		}
		must.NotEq(t, -1, b.Cheapest(start, Need{Route: "read", Objective: time.Second}, endpoints, nil).Index)
	}
}

// A try that its caller left, or that ended with its time, finds nothing out: the region
// stays lost, and the next request tries it.
func TestTryWithoutAnEndFindsNothingOut(t *testing.T) {
	b := newBalancer()
	endpoints := distantWorkers(4)
	need := Need{Route: "read", Objective: time.Second}
	for index := range silentEndpoints {
		b.Ended(start, "read", endpoints[index], lost)
	}
	later := start.Add(time.Minute)
	for range 3 {
		chosen := b.Cheapest(later, need, endpoints, nil).Index
		must.NotEq(t, -1, chosen)
		must.Eq(t, -1, b.Cheapest(later, need, endpoints, nil).Index)
		b.Ended(later, "read", endpoints[chosen], Observation{})
	}
	must.True(t, b.Lost("r2"))
}

// A choice to which no request was sent finds nothing out: the next one may.
func TestReleasedChoiceFindsNothingOut(t *testing.T) {
	b := newBalancer()
	endpoints := distantWorkers(4)
	need := Need{Route: "read", Objective: time.Second}
	for index := range silentEndpoints {
		b.Ended(start, "read", endpoints[index], lost)
	}
	later := start.Add(time.Minute)
	chosen := b.Cheapest(later, need, endpoints, nil).Index
	must.NotEq(t, -1, chosen)
	b.Release(later, endpoints[chosen])
	must.NotEq(t, -1, b.Cheapest(later, need, endpoints, nil).Index)
}

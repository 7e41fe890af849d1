package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// remoteWorkers returns workers of another region, each at a node of its own.
func remoteWorkers(count int) []snapshot.Endpoint {
	var endpoints []snapshot.Endpoint
	for index := range count {
		endpoints = append(endpoints, endpoint(fmt.Sprintf("far-%d", index), fmt.Sprintf("z%d", 5+index%2), "r2"))
	}
	return endpoints
}

var unreachable = Observation{Failed: true, Unreachable: true}

// Two regions are disconnected for an hour while all workers of the own region are busy.
// The thirty nodes of the other region are not detected as unreachable one by one, each by
// a request, but as a whole: by at most one request in half of the maximum backoff.
func TestUnreachableRegionCostsFewRequests(t *testing.T) {
	const busy = 50 * time.Millisecond // between requests that have no other endpoint
	b := newBalancer()
	endpoints := remoteWorkers(30)
	need := Need{Route: "read", Objective: time.Second}
	attempts := 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(busy) {
		chosen := b.Cheapest(now, need, endpoints, nil).Index
		if chosen < 0 {
			continue
		}
		attempts++
		b.Ended(now, "read", endpoints[chosen], unreachable)
	}
	maxAttempts := int(2*time.Hour/b.settings.BackoffMax) + 20
	must.Less(t, maxAttempts, attempts)
	must.Positive(t, attempts)
}

// While one request probes an unreachable region, no other is sent there. The first
// response makes the region available again; endpoints that failed keep their own backoff,
// so that the others get requests first.
func TestRegionRecoversWithoutBurst(t *testing.T) {
	b := newBalancer()
	endpoints := remoteWorkers(6)
	need := Need{Route: "read", Objective: time.Second}
	for index := range unreachableThreshold {
		b.Ended(start, "read", endpoints[index], unreachable)
	}
	must.Eq(t, -1, b.Cheapest(start, need, endpoints, nil).Index)
	healed := start.Add(b.settings.BackoffMax)
	first := b.Cheapest(healed, need, endpoints, nil).Index
	must.NotEq(t, -1, first)
	must.Eq(t, -1, b.Cheapest(healed, need, endpoints, nil).Index)

	b.Ended(healed, "read", endpoints[first], Observation{RoundTrip: remoteRoundTrip})
	must.NotEq(t, -1, b.Cheapest(healed, need, endpoints, nil).Index)
}

// Rejections and worker failures are responses: machines that are down or full do not make
// their region unreachable.
func TestResponsiveNodesKeepRegionReachable(t *testing.T) {
	for _, response := range []Observation{{RoundTrip: remoteRoundTrip}, {Rejected: true, HasLoad: true}, {Failed: true, RoundTrip: remoteRoundTrip}} {
		b := newBalancer()
		endpoints := remoteWorkers(8)
		for index := range 2 * (unreachableThreshold - 1) {
			b.Ended(start, "read", endpoints[index], unreachable)
			if index == unreachableThreshold-2 {
				b.Ended(start, "read", endpoints[7], response)
			}
		}
		must.NotEq(t, -1, b.Cheapest(start, Need{Route: "read", Objective: time.Second}, endpoints, nil).Index)
	}
}

// An attempt that its caller or its deadline ended shows nothing: the region stays
// unreachable, and the next request probes it.
func TestAbandonedAttemptKeepsRegionUnreachable(t *testing.T) {
	b := newBalancer()
	endpoints := remoteWorkers(4)
	need := Need{Route: "read", Objective: time.Second}
	for index := range unreachableThreshold {
		b.Ended(start, "read", endpoints[index], unreachable)
	}
	later := start.Add(time.Minute)
	for range 3 {
		chosen := b.Cheapest(later, need, endpoints, nil).Index
		must.NotEq(t, -1, chosen)
		must.Eq(t, -1, b.Cheapest(later, need, endpoints, nil).Index)
		b.Ended(later, "read", endpoints[chosen], Observation{})
	}
	must.True(t, b.RegionUnreachable("r2"))
}

// A choice to which no request was sent is no probe of the region: the next request may
// probe it.
func TestReleasedChoiceIsNoProbeOfRegion(t *testing.T) {
	b := newBalancer()
	endpoints := remoteWorkers(4)
	need := Need{Route: "read", Objective: time.Second}
	for index := range unreachableThreshold {
		b.Ended(start, "read", endpoints[index], unreachable)
	}
	later := start.Add(time.Minute)
	chosen := b.Cheapest(later, need, endpoints, nil).Index
	must.NotEq(t, -1, chosen)
	b.Release(later, endpoints[chosen])
	must.NotEq(t, -1, b.Cheapest(later, need, endpoints, nil).Index)
}

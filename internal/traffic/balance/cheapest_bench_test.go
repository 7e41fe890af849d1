package balance

import (
	"fmt"
	"testing"
	"time"

	"sliphead/internal/snapshot"
)

// BenchmarkCheapest measures a choice among the 58 endpoints of a service, all with
// reported load.
func BenchmarkCheapest(b *testing.B) {
	balancer := newBalancer()
	var endpoints []snapshot.Endpoint
	for worker := range 58 {
		endpoints = append(endpoints, endpoint(fmt.Sprintf("w%d", worker), fmt.Sprintf("z%d", worker%6), "r1"))
		balancer.Ended(start, "read", endpoints[worker], Observation{Latency: 100 * time.Millisecond, HasLoad: true, Load: Load{Busy: 3, Slots: 4, Run: 100 * time.Millisecond}})
	}
	need := Need{Route: "read", Objective: 400 * time.Millisecond, Deadline: time.Second, Kilobytes: 0.4}
	b.ReportAllocs()
	for b.Loop() {
		choice := balancer.Cheapest(start, need, endpoints, nil)
		balancer.Release(start, endpoints[choice.Index])
	}
}

package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

var start = time.Unix(1_000_000, 0)

func endpoint(worker, zone, region string) snapshot.Endpoint {
	return snapshot.Endpoint{Worker: worker, Zone: zone, Region: region, Address: worker, Slots: 6}
}

func newBalancer() *Balancer {
	return New(DefaultSettings("z1", "r1"), rand.New(rand.NewPCG(7, 7)))
}

func TestNearestEndpointWithFreeSlotIsPicked(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("far", "z9", "r2"), endpoint("mid", "z2", "r1"), endpoint("near", "z1", "r1")}
	counts := map[string]int{}
	for range 15 {
		counts[endpoints[b.Pick(start, endpoints, nil)].Worker]++
	}
	must.Eq(t, map[string]int{"near": 6, "mid": 6, "far": 3}, counts)
}

// A reported request of another node occupies a slot until the report has expired: five in
// flight and one reported fill six slots.
func TestReportedRequestsOccupySlots(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("far", "z9", "r2")}
	for range 6 {
		must.Eq(t, 0, b.Pick(start, endpoints, nil))
	}
	must.True(t, b.HasAlternative(0))
	b.Ended(start, "", endpoints[0], Observation{HasLoad: true, Load: Load{Busy: 6, Slots: 6}})
	must.Eq(t, 1, b.Pick(start.Add(10*time.Millisecond), endpoints, nil))
	must.False(t, b.HasAlternative(1))
	must.Eq(t, 0, b.Pick(start.Add(time.Second), endpoints, nil))
}

func TestPickReturnsNoneWhenAllWereTried(t *testing.T) {
	b := newBalancer()
	must.Eq(t, -1, b.Pick(start, []snapshot.Endpoint{endpoint("a", "z1", "r1")}, []int{0}))
	must.Eq(t, -1, b.Pick(start, nil, nil))
}

func TestBackedOffEndpointIsPickedIfThereIsNoOther(t *testing.T) {
	b := newBalancer()
	only := []snapshot.Endpoint{endpoint("a", "z1", "r1")}
	must.Eq(t, 0, b.Pick(start, only, nil))
	b.Ended(start, "", only[0], Observation{Failed: true})
	must.Eq(t, 0, b.Pick(start, only, nil))
}

// share runs requests one after the other, with the outcomes that observe returns, and
// counts the requests by endpoint.
func share(b *Balancer, endpoints []snapshot.Endpoint, count int, observe func(worker string) Observation) map[string]int {
	counts := map[string]int{}
	now := start
	for range count {
		now = now.Add(5 * time.Millisecond)
		chosen := endpoints[b.Pick(now, endpoints, nil)]
		counts[chosen.Worker]++
		b.Ended(now, "route", chosen, observe(chosen.Worker))
	}
	return counts
}

func three() []snapshot.Endpoint {
	return []snapshot.Endpoint{endpoint("a", "z1", "r1"), endpoint("b", "z1", "r1"), endpoint("c", "z1", "r1")}
}

func TestFailingEndpointIsBackedOff(t *testing.T) {
	counts := share(newBalancer(), three(), 1000, func(worker string) Observation {
		return Observation{Failed: worker == "b", Latency: time.Millisecond}
	})
	must.Less(t, 30, counts["b"])
	must.Positive(t, counts["b"]) // it is tried again from time to time
}

// A failed endpoint is probed by one request at a time after its backoff. Fault: all requests
// sent there before the first of them had failed were lost.
func TestFailedEndpointIsProbedByOneRequest(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("a", "z1", "r1"), endpoint("b", "z2", "r1")}
	need := Need{Route: "route", Objective: time.Second}
	first := b.Cheapest(start, need, endpoints, nil)
	must.Eq(t, 0, first.Index)
	b.Ended(start, "route", endpoints[0], Observation{Failed: true})
	later := start.Add(time.Minute)
	must.Eq(t, 0, b.Cheapest(later, need, endpoints, nil).Index)
	must.Eq(t, 1, b.Cheapest(later, need, endpoints, nil).Index)
	b.Ended(later, "route", endpoints[0], Observation{Latency: time.Millisecond})
	must.Eq(t, 0, b.Cheapest(later, need, endpoints, nil).Index)
}

// An unresponsive node gets no request until its backoff is over, and then only one, even
// if all other endpoints reject. Fault: requests spent their time on such nodes.
func TestUnresponsiveNodeIsBackedOff(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("a", "z1", "r1")}
	need := Need{Route: "route", Objective: time.Second}
	must.Eq(t, 0, b.Cheapest(start, need, endpoints, nil).Index)
	b.Ended(start, "route", endpoints[0], Observation{Failed: true, Unreachable: true})
	must.Eq(t, -1, b.Cheapest(start, need, endpoints, nil).Index)
	later := start.Add(time.Minute)
	must.Eq(t, 0, b.Cheapest(later, need, endpoints, nil).Index)
	must.Eq(t, -1, b.Cheapest(later, need, endpoints, nil).Index)
	b.Ended(later, "route", endpoints[0], Observation{Failed: true}) // the node responds, its worker failed
	must.Eq(t, 0, b.Cheapest(later, need, endpoints, nil).Index)
}

// A choice to which no request was sent changes nothing: its slot is free again, and an
// endpoint that had failed is not taken for healthy.
func TestReleasedChoiceKeepsEndpointState(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("a", "z1", "r1")}
	need := Need{Route: "route", Objective: time.Second}
	b.Cheapest(start, need, endpoints, nil)
	b.Ended(start, "route", endpoints[0], Observation{Failed: true, Unreachable: true})
	later := start.Add(time.Minute)
	must.Eq(t, 0, b.Cheapest(later, need, endpoints, nil).Index)
	b.Release(later, endpoints[0])
	must.Eq(t, 0, b.Cheapest(later, need, endpoints, nil).Index)  // the next probe is allowed
	must.Eq(t, -1, b.Cheapest(later, need, endpoints, nil).Index) // still one at a time
}

func TestSlowEndpointGetsFewerRequests(t *testing.T) {
	counts := share(newBalancer(), three(), 1000, func(worker string) Observation {
		if worker == "b" {
			return Observation{Latency: 10 * time.Millisecond}
		}
		return Observation{Latency: time.Millisecond}
	})
	must.Less(t, 100, counts["b"])
}

// An endpoint that reports to be idle but is slow gets only the share that its observed
// response times justify.
func TestObservedLatencyOutweighsReportedLoad(t *testing.T) {
	counts := share(newBalancer(), three(), 1000, func(worker string) Observation {
		if worker == "b" {
			return Observation{Latency: 10 * time.Millisecond, HasLoad: true, Load: Load{Busy: 0, Slots: 6}}
		}
		return Observation{Latency: time.Millisecond, HasLoad: true, Load: Load{Busy: 1, Slots: 6}}
	})
	must.Less(t, 150, counts["b"])
}

func TestColdEndpointGetsSlowStart(t *testing.T) {
	endpoints := three()
	endpoints[1].ReadySince = start
	counts := share(newBalancer(), endpoints, 100, func(string) Observation { return Observation{Latency: time.Millisecond} })
	must.Less(t, 10, counts["b"])
	endpoints[1].ReadySince = start.Add(-time.Minute)
	counts = share(newBalancer(), endpoints, 900, func(string) Observation { return Observation{Latency: time.Millisecond} })
	must.Between(t, 200, counts["b"], 400)
}

func TestUnusedEndpointsAreEvicted(t *testing.T) {
	b := newBalancer()
	only := []snapshot.Endpoint{endpoint("a", "z1", "r1")}
	b.Pick(start, only, nil)
	b.Ended(start, "", only[0], Observation{})
	other := []snapshot.Endpoint{endpoint("b", "z1", "r1")}
	b.Pick(start.Add(time.Hour), other, nil)
	must.Eq(t, 1, b.Len())
}

// An endpoint with free slots but a busy link is skipped in favour of one with a free link,
// until the reported wait is over.
func TestEndpointWithBusyLinkIsAvoided(t *testing.T) {
	b := newBalancer()
	both := []snapshot.Endpoint{endpoint("a", "z1", "r1"), endpoint("b", "z1", "r1")}
	need := Need{Route: "upload", Objective: 500 * time.Millisecond, Deadline: time.Second}
	for index, link := range []time.Duration{400 * time.Millisecond, 0} {
		reported := Load{Slots: 6, Run: 100 * time.Millisecond, Link: link}
		b.Cheapest(start, need, both[index:index+1], nil)
		b.Ended(start, "upload", both[index], Observation{HasLoad: true, Load: reported})
	}
	for range 5 {
		choice := b.Cheapest(start.Add(50*time.Millisecond), need, both, nil)
		must.Eq(t, 1, choice.Index)
		b.Release(start, both[1])
	}
	chosen := map[int]bool{}
	for range 100 {
		choice := b.Cheapest(start.Add(450*time.Millisecond), need, both, nil)
		chosen[choice.Index] = true
		b.Release(start, both[choice.Index])
	}
	must.True(t, chosen[0])
}

// Bytes to other nodes have a price that rises with their number and with slower links: a
// long body goes to the local worker even if another one is faster.
func TestBytesToOtherNodesHaveAPrice(t *testing.T) {
	chosen := func(megabits, kilobytes float64) int {
		settings := DefaultSettings("z1", "r1")
		settings.LinkMbps = megabits
		b := New(settings, rand.New(rand.NewPCG(7, 7)))
		both := []snapshot.Endpoint{endpoint("local", "z1", "r1"), endpoint("near", "z1", "r1")}
		both[0].Local = true
		need := Need{Route: "upload", Objective: time.Second, Deadline: 2 * time.Second, Kilobytes: kilobytes}
		for index, run := range []time.Duration{900 * time.Millisecond, 200 * time.Millisecond} {
			b.Cheapest(start, need, both[index:index+1], nil)
			b.Ended(start, "upload", both[index], Observation{HasLoad: true, Load: Load{Slots: 6, Run: run}})
		}
		return b.Cheapest(start, need, both, nil).Index
	}
	must.Eq(t, 0, chosen(5, 60))
	must.Eq(t, 1, chosen(5, 0.5))
	must.Eq(t, 1, chosen(1000, 60))
	must.Eq(t, 1, chosen(0, 60)) // link capacity unknown
}

package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A request that was refused is not offered to zones that refused others of its route
// just before; it still is to zones that served them, and later to all.
func TestZonesWithoutRoomAreLeftAlone(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("full", "z2", "r1"), endpoint("free", "z3", "r1")}
	excluded := []int{0}
	again := Need{Route: "read", Objective: time.Second, Refused: true}
	for range 20 {
		b.noteRoom(start, "z2", "read", false)
		b.noteRoom(start, "z3", "read", true)
	}
	for range 20 {
		must.Eq(t, 2, b.Cheapest(start, again, endpoints, excluded).Index)
	}
	later := start.Add(3 * roomMemory)
	must.True(t, b.hasRoom(later, "z2", "read")) // it is asked again
}

// In an overload of the whole mesh, what some zones refuse is expected of all, and few
// requests are offered there until one is taken.
func TestOverloadIsNotAskedForByEachRequest(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("a", "z2", "r1"), endpoint("b", "z3", "r1"), endpoint("c", "z4", "r1")}
	need := Need{Route: "read", Objective: time.Second, Refused: true}
	asked := 0
	for request := range 100 { // in two seconds
		now := start.Add(time.Duration(request) * 20 * time.Millisecond)
		if chosen := b.Cheapest(now, need, endpoints, nil).Index; chosen >= 0 {
			asked++
			b.Ended(now, "read", endpoints[chosen], Observation{Refused: true})
		}
	}
	must.Between(t, 8, asked, 40)
	now := start.Add(2 * time.Second)
	first := need
	first.Refused = false
	must.NotEq(t, -1, b.Cheapest(now, first, endpoints, nil).Index) // one is always asked
	other := need
	other.Route = "order" // of another rank, say
	must.NotEq(t, -1, b.Cheapest(now, other, endpoints, nil).Index)
	for range 3 {
		b.Ended(now, "read", endpoints[0], Observation{})
	}
	must.NotEq(t, -1, b.Cheapest(now, need, endpoints, nil).Index)
}

// Once enough nodes of other zones were asked, a request stays in its zone.
func TestNearStaysInItsZone(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("far", "z2", "r1"), endpoint("near", "z1", "r1")}
	need := Need{Route: "read", Objective: time.Second, Near: true}
	must.Eq(t, 1, b.Cheapest(start, need, endpoints, nil).Index)
	must.Eq(t, -1, b.Cheapest(start, need, endpoints, []int{1}).Index)
}

// What an endpoint of another zone answers is remembered of its zone.
func TestRoomIsLearntFromOffers(t *testing.T) {
	b := newBalancer()
	far, near := endpoint("far", "z2", "r1"), endpoint("near", "z1", "r1")
	for range 20 {
		b.Ended(start, "read", far, Observation{Refused: true})
		b.Ended(start, "read", near, Observation{Refused: true})
	}
	must.False(t, b.hasRoom(start, "z2", "read"))
	need := Need{Route: "read", Objective: time.Second, Refused: true}
	must.Eq(t, 1, b.Cheapest(start, need, []snapshot.Endpoint{far, near}, nil).Index) // the own zone always is
	for range 3 {
		b.Ended(start, "read", far, Observation{})
	}
	must.True(t, b.hasRoom(start, "z2", "read"))
}

package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A rejected request is not offered to zones that have just rejected others of its route.
// It is offered to zones that accepted them, and after a while to all zones again.
func TestZonesWithoutCapacityGetNoOffers(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("full", "z2", "r1"), endpoint("free", "z3", "r1")}
	excluded := []int{0}
	rejected := Need{Route: "read", Objective: time.Second, Rejected: true}
	for range 20 {
		b.recordOffer(start, "z2", "read", false)
		b.recordOffer(start, "z3", "read", true)
	}
	for range 20 {
		must.Eq(t, 2, b.Cheapest(start, rejected, endpoints, excluded).Index)
	}
	later := start.Add(3 * acceptanceDecay)
	must.True(t, b.mayAccept(later, "z2", "read")) // it gets offers again
}

// In an overload of the whole mesh, rejections by some zones lower the probability for all,
// and few requests are offered to other zones until one is accepted.
func TestMeshOverloadLimitsOffersToOtherZones(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("a", "z2", "r1"), endpoint("b", "z3", "r1"), endpoint("c", "z4", "r1")}
	need := Need{Route: "read", Objective: time.Second, Rejected: true}
	offered := 0
	for request := range 100 { // in two seconds
		now := start.Add(time.Duration(request) * 20 * time.Millisecond)
		if chosen := b.Cheapest(now, need, endpoints, nil).Index; chosen >= 0 {
			offered++
			b.Ended(now, "read", endpoints[chosen], Observation{Rejected: true})
		}
	}
	must.Between(t, 8, offered, 40)
	now := start.Add(2 * time.Second)
	first := need
	first.Rejected = false
	must.NotEq(t, -1, b.Cheapest(now, first, endpoints, nil).Index) // a first attempt is always made
	other := need
	other.Route = "order" // e.g. of another priority
	must.NotEq(t, -1, b.Cheapest(now, other, endpoints, nil).Index)
	for range 3 {
		b.Ended(now, "read", endpoints[0], Observation{})
	}
	must.NotEq(t, -1, b.Cheapest(now, need, endpoints, nil).Index)
}

// A request that must not leave its zone any more stays there.
func TestRequestConfinedToItsZoneStaysThere(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("far", "z2", "r1"), endpoint("near", "z1", "r1")}
	need := Need{Route: "read", Objective: time.Second, StayInZone: true}
	must.Eq(t, 1, b.Cheapest(start, need, endpoints, nil).Index)
	must.Eq(t, -1, b.Cheapest(start, need, endpoints, []int{1}).Index)
}

// Responses of an endpoint in another zone count for the whole zone.
func TestOfferOutcomesCountForTheZone(t *testing.T) {
	b := newBalancer()
	far, near := endpoint("far", "z2", "r1"), endpoint("near", "z1", "r1")
	for range 20 {
		b.Ended(start, "read", far, Observation{Rejected: true})
		b.Ended(start, "read", near, Observation{Rejected: true})
	}
	must.False(t, b.mayAccept(start, "z2", "read"))
	need := Need{Route: "read", Objective: time.Second, Rejected: true}
	must.Eq(t, 1, b.Cheapest(start, need, []snapshot.Endpoint{far, near}, nil).Index) // the own zone is never skipped
	for range 3 {
		b.Ended(start, "read", far, Observation{})
	}
	must.True(t, b.mayAccept(start, "z2", "read"))
}

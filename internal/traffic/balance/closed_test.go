package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// After all workers of a service started anew at once, their nodes tell callers' nodes to
// stay away. A caller at its last try is offered there all the same, but only while no
// other endpoint is left, however slow that is.
func TestClosedEndpointsAreTheLastResort(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("cold", "z1", "r1"), endpoint("slow", "z2", "r1")}
	b.Ended(start, "read", endpoints[0], Observation{Refused: true, Loaded: true, Load: Load{Slots: 6, Closed: time.Second}})
	need := Need{Route: "read", Objective: time.Second}
	last := need
	last.Last = true
	refused := b.Cheapest(start, need, endpoints, []int{1})
	must.Eq(t, -1, refused.Index)
	must.Eq(t, time.Second, refused.Opens)
	must.Eq(t, 0, b.Cheapest(start, last, endpoints, []int{1}).Index)
	for range 20 {
		must.Eq(t, 1, b.Cheapest(start, last, endpoints, nil).Index)
	}
}

package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// When all workers of a service have restarted at once, their nodes ask callers' nodes to
// send no requests for a while. A request whose caller will not retry is still sent there,
// but only if no other endpoint is left, however slow.
func TestPausedEndpointsAreTheLastResort(t *testing.T) {
	b := newBalancer()
	endpoints := []snapshot.Endpoint{endpoint("cold", "z1", "r1"), endpoint("slow", "z2", "r1")}
	b.Ended(start, "read", endpoints[0], Observation{Rejected: true, HasLoad: true, Load: Load{Slots: 6, PausedFor: time.Second}})
	need := Need{Route: "read", Objective: time.Second}
	last := need
	last.FinalAttempt = true
	refused := b.Cheapest(start, need, endpoints, []int{1})
	must.Eq(t, -1, refused.Index)
	must.Eq(t, time.Second, refused.ResumesAfter)
	must.Eq(t, 0, b.Cheapest(start, last, endpoints, []int{1}).Index)
	for range 20 {
		must.Eq(t, 1, b.Cheapest(start, last, endpoints, nil).Index)
	}
}

package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A worker that rejects half of its requests loses to one that rejects none, also in
// another zone. If all reject half, the nearest is chosen. A worker is tried again when its
// report is old.
func TestWorkersWithFewerRejectionsArePreferred(t *testing.T) {
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")}
	need := Need{Route: "read", Objective: 400 * time.Millisecond, Deadline: time.Second}
	choose := func(near, far float64, age time.Duration) int {
		b := newBalancer()
		for index, share := range []float64{near, far} {
			reported := Load{Slots: 6, Run: 50 * time.Millisecond, RejectShare: share}
			b.Ended(start, "read", endpoints[index], Observation{HasLoad: true, Load: reported})
		}
		return b.Cheapest(start.Add(age), need, endpoints, nil).Index
	}
	must.Eq(t, 1, choose(0.5, 0, 0))
	must.Eq(t, 0, choose(0.5, 0.5, 0))
	must.Eq(t, 0, choose(0.5, 0.45, 0)) // the gain does not outweigh the bytes
	must.Eq(t, 0, choose(0.5, 0, 8*time.Second))
}

package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A worker that rejects half is left for one that takes all, also in another zone. Where
// all reject half the nearest is asked; and one is asked again when what it told is old.
func TestWorkersThatRejectLessAreChosen(t *testing.T) {
	endpoints := []snapshot.Endpoint{endpoint("near", "z1", "r1"), endpoint("far", "z2", "r1")}
	need := Need{Route: "read", Objective: 400 * time.Millisecond, Deadline: time.Second}
	choose := func(near, far float64, age time.Duration) int {
		b := newBalancer()
		for index, share := range []float64{near, far} {
			told := Load{Slots: 6, Run: 50 * time.Millisecond, Rejects: share}
			b.Ended(start, "read", endpoints[index], Observation{Loaded: true, Load: told})
		}
		return b.Cheapest(start.Add(age), need, endpoints, nil).Index
	}
	must.Eq(t, 1, choose(0.5, 0, 0))
	must.Eq(t, 0, choose(0.5, 0.5, 0))
	must.Eq(t, 0, choose(0.5, 0.45, 0)) // not worth the bytes
	must.Eq(t, 0, choose(0.5, 0, 8*time.Second))
}

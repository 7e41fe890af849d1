package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The share rises soon after a worker begins to reject half of its requests and returns to
// 0 soon after it has stopped.
func TestRejectShareFollowsRecentRejections(t *testing.T) {
	var rejects RejectionRate
	now := time.Unix(1_000_000, 0)
	run := func(requests int, rejected func(int) bool) float64 {
		for index := range requests {
			now = now.Add(10 * time.Millisecond)
			rejects.Record(rejected(index), now)
		}
		return rejects.Share(now)
	}
	none := func(int) bool { return false }
	half := func(index int) bool { return index%2 == 0 }
	must.Zero(t, run(200, none))
	must.Between(t, 0.1, run(30, half), 0.3)
	must.InDelta(t, 0.49, run(500, half), 0.02)
	must.Less(t, 0.1, run(200, none))
	must.Zero(t, run(300, none))
}

// Because of the prior, a single rejection gives a share of 0.25, not 1.
func TestSingleRejectionIsWeightedByPrior(t *testing.T) {
	var rejects RejectionRate
	now := time.Unix(1_000_000, 0)
	rejects.Record(true, now)
	must.Eq(t, 0.25, rejects.Share(now))
}

package latency

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/lab/load"
)

func TestTallyCountsWrongAndFailedRequestsSeparately(t *testing.T) {
	counted := newTally()
	for _, ending := range []load.Ending{load.EndingAnswered, load.EndingWrong, load.EndingUnknown, load.EndingFailed} {
		counted.add(load.Attempt{Ending: ending, Latency: 3 * time.Millisecond})
	}
	must.Eq(t, 4, counted.requests)
	must.Eq(t, 1, counted.wrong)
	must.Eq(t, 2, counted.failed)
	must.Eq(t, int64(1), counted.histogram.TotalCount())
	must.Between(t, 2990*time.Microsecond, counted.quantiles().P99, 3010*time.Microsecond)
}

// The CPU time that the nodes use during direct spans must not count as the cost of
// requests.
func TestCPUPerRequestExcludesIdleUse(t *testing.T) {
	through := &tally{requests: 100, cpu: 30 * time.Millisecond, elapsed: 2 * time.Second}
	direct := &tally{requests: 100, cpu: 5 * time.Millisecond, elapsed: time.Second}
	must.Eq(t, 200*time.Microsecond, cpuPerRequest(through, direct))
	must.Zero(t, cpuPerRequest(&tally{}, direct))
}

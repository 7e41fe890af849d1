package source

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/internal/logging"
)

// Poll reads the machine list until ctx ends, at intervals drawn between half
// and one and a half of interval so that a fleet does not ask in step. Each
// list read is emitted; a failure is logged once until it changes and emits
// nothing, so that the last list stays in use.
func (m *Machines) Poll(ctx context.Context, interval time.Duration, random *rand.Rand, logger log.Interface, emit func([]Machine)) {
	known := newProblems(logger)
	for ctx.Err() == nil {
		machines, err := m.Fetch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			known.log("machines.failed", "", err, logging.Fields{"kind": fault.KindOf(err)})
		} else {
			known.settled("machines.failed", "")
			emit(machines)
		}
		sleep(ctx, max(RetryAfter(err), jittered(random, interval)))
	}
}

// jittered returns a wait between half and one and a half of the middle.
func jittered(random *rand.Rand, middle time.Duration) time.Duration {
	return middle/2 + time.Duration(random.Int64N(int64(middle)+1))
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

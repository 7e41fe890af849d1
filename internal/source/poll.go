package source

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/sleep"
)

// PollPolicy decides whether the machine list is requested now, and returns the mean wait
// before the next decision.
type PollPolicy func() (read bool, interval time.Duration)

// Poll requests the machine list until ctx ends, whenever policy decides so. The waits
// are drawn between 0.5 and 1.5 times the interval, so that the nodes of a fleet do
// not send their requests at the same time. Each list is emitted. A failure is logged
// once until its text changes and emits nothing, so that the last list stays in use.
func (m *Machines) Poll(ctx context.Context, policy PollPolicy, random *rand.Rand, logger log.Interface, emit func([]Machine)) {
	problems := logging.NewProblems(logger)
	for ctx.Err() == nil {
		read, interval := policy()
		var err error
		if read {
			err = m.pollOnce(ctx, problems, emit)
		}
		sleep.For(ctx, max(RetryAfter(err), jittered(random, interval)))
	}
}

// pollOnce requests the list once and emits it, or logs the failure.
func (m *Machines) pollOnce(ctx context.Context, problems *logging.Problems, emit func([]Machine)) error {
	machines, err := m.Fetch(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		problems.Log("machines.failed", "", err, logging.Fields{"kind": fault.KindOf(err)})
	default:
		problems.Resolve("machines.failed", "")
		emit(machines)
	}
	return err
}

// jittered returns a wait between 0.5 and 1.5 times mean, uniformly distributed.
func jittered(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)+1))
}

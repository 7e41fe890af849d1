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

// Due tells a poll whether to read the list now, and the middle of the wait
// until the next question.
type Due func() (read bool, interval time.Duration)

// Poll reads the machine list until ctx ends whenever that is due, at intervals
// drawn between half and one and a half of the one due so that a fleet does not
// ask in step. Each list read is emitted; a failure is logged once until it
// changes and emits nothing, so that the last list stays in use.
func (m *Machines) Poll(ctx context.Context, due Due, random *rand.Rand, logger log.Interface, emit func([]Machine)) {
	known := logging.NewProblems(logger)
	for ctx.Err() == nil {
		read, interval := due()
		var err error
		if read {
			err = m.pollOnce(ctx, known, emit)
		}
		sleep.For(ctx, max(RetryAfter(err), jittered(random, interval)))
	}
}

// pollOnce reads the list once and emits it, or logs the failure.
func (m *Machines) pollOnce(ctx context.Context, known *logging.Problems, emit func([]Machine)) error {
	machines, err := m.Fetch(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		known.Log("machines.failed", "", err, logging.Fields{"kind": fault.KindOf(err)})
	default:
		known.Settled("machines.failed", "")
		emit(machines)
	}
	return err
}

// jittered returns a wait between half and one and a half of the middle.
func jittered(random *rand.Rand, middle time.Duration) time.Duration {
	return middle/2 + time.Duration(random.Int64N(int64(middle)+1))
}

package overload

import (
	"context"
	"net/netip"
	"time"

	"sliphead/lab/load"
)

// tally counts the requests of one class.
type tally struct{ Offered, Answered, NotRun, Wrong int }

func (t tally) share() float64 { return float64(t.Answered) / float64(max(1, t.Offered)) }

// offer sends open-loop load for a time and counts by class what was intended
// to start after the warm-up. An answer counts only by its deadline.
func offer(ctx context.Context, targets []load.Target, classes []load.Class, prefix string, warm, length time.Duration) map[string]tally {
	caller := load.NewCaller(netip.Addr{})
	defer caller.Close()
	generator := load.NewGenerator(caller, targets, prefix)
	began := time.Now()
	generator.Start(classes)
	select {
	case <-time.After(warm + length):
	case <-ctx.Done():
	}
	generator.Stop()
	return count(generator.Result.Attempts(), began.Add(warm))
}

func count(attempts []load.Attempt, from time.Time) map[string]tally {
	tallies := map[string]tally{}
	for _, attempt := range attempts {
		if attempt.Start.Before(from) {
			continue
		}
		counted := tallies[attempt.Class]
		counted.Offered++
		switch attempt.Ending {
		case load.EndingAnswered:
			counted.Answered++
		case load.EndingNotRun:
			counted.NotRun++
		case load.EndingWrong:
			counted.Wrong++
		}
		tallies[attempt.Class] = counted
	}
	return tallies
}

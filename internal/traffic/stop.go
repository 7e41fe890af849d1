package traffic

import (
	"context"
	"time"
)

// stopSchedule states which requests a stopping node accepts, and until when.
type stopSchedule struct {
	strictFrom time.Time // from then on, accept only requests whose deadline is before end
	end        time.Time // when requests that still run are cancelled
}

// StopBy begins a planned stop. The handler closes each caller's connection with its next
// response; idle connections stay open, since a request may be on its way. It accepts only
// requests that are going to complete before end: until strict, those whose latency objective
// ends before it; from then on, those whose deadline does. Others are refused with outcome
// not-run, so that callers retry at another node.
func (out *Outbound) StopBy(strict, end time.Time) {
	out.stopSchedule.Store(&stopSchedule{strictFrom: strict, end: end})
}

// stopping reports whether a planned stop has begun.
func (out *Outbound) stopping() bool { return out.stopSchedule.Load() != nil }

// refuseBeyondStop refuses requests that a stopping node could not complete, and cancels a request
// that still runs when CancelRunning is called.
func (out *Outbound) refuseBeyondStop(next stage) stage {
	return func(x *exchange) result {
		schedule := out.stopSchedule.Load()
		x.closeConnection = schedule != nil
		if schedule != nil && !schedule.allows(x) {
			refused := refuse(causeDraining, 0, "send it again through another node")
			refused.retryAfter = minRetryAfter
			return refused
		}
		bounded, cancel := context.WithCancel(x.context)
		defer cancel()
		defer context.AfterFunc(out.nodeContext, cancel)()
		x.context = bounded
		return next(x)
	}
}

// CancelRunning cancels all requests that still run: each gets its final response now.
func (out *Outbound) CancelRunning() { out.cancelNode() }

func (d *stopSchedule) allows(x *exchange) bool {
	if x.started.Before(d.strictFrom) {
		return x.started.Add(x.route.Objective).Before(d.end)
	}
	return x.deadline.Before(d.end)
}

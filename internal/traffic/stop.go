package traffic

import (
	"context"
	"time"
)

// departure says which requests a stopping node accepts, and until when.
type departure struct {
	strictFrom time.Time // from then on, accept only requests whose deadline is before end
	end        time.Time // when requests that still run are cancelled
}

// LeaveBy begins a planned stop. The handler closes each caller's connection with its next
// response; idle connections stay open, since a request may be on its way. It accepts only
// requests that are going to complete before end: until strict, those whose latency objective
// ends before it; from then on, those whose deadline does. Others are refused with outcome
// not-run, so that callers retry at another node.
func (out *Outbound) LeaveBy(strict, end time.Time) {
	out.departure.Store(&departure{strictFrom: strict, end: end})
}

// leaving reports whether a planned stop has begun.
func (out *Outbound) leaving() bool { return out.departure.Load() != nil }

// leaveInTime refuses requests that a stopping node could not complete, and cancels a request
// that still runs when End is called.
func (out *Outbound) leaveInTime(next stage) stage {
	return func(x *exchange) result {
		schedule := out.departure.Load()
		x.closing = schedule != nil
		if schedule != nil && !schedule.allows(x) {
			refused := refuse(causeDraining, 0, "send it again through another node")
			refused.retryAfter = leastWait
			return refused
		}
		bounded, cancel := context.WithCancel(x.context)
		defer cancel()
		defer context.AfterFunc(out.ending, cancel)()
		x.context = bounded
		return next(x)
	}
}

// End cancels all requests that still run: each gets its final response now.
func (out *Outbound) End() { out.end() }

func (d *departure) allows(x *exchange) bool {
	if x.started.Before(d.strictFrom) {
		return x.started.Add(x.route.Objective).Before(d.end)
	}
	return x.deadline.Before(d.end)
}

package traffic

import (
	"context"
	"time"
)

// departure says until when a stopping node takes which requests.
type departure struct {
	strict time.Time // from then on, only requests whose whole time ends before end
	end    time.Time // when what still runs is cut
}

// LeaveBy has the handler close each caller's connection with its next answer;
// idle ones stay open, since a request may be on its way. It has it take only
// what is going to end in time: until strict, requests whose latency objective
// ends before end; from then on, those whose deadline does. Others are refused as
// not run, so that callers go elsewhere.
func (out *Outbound) LeaveBy(strict, end time.Time) {
	out.departure.Store(&departure{strict: strict, end: end})
}

// leaving reports whether a planned stop has begun.
func (out *Outbound) leaving() bool { return out.departure.Load() != nil }

// leaveInTime refuses what a stopping node could not finish, and ends what still
// runs at its end.
func (out *Outbound) leaveInTime(next stage) stage {
	return func(x *exchange) result {
		until := out.departure.Load()
		x.closing = until != nil
		if until != nil && !until.allows(x) {
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

// End gives each request that still runs its final answer now.
func (out *Outbound) End() { out.end() }

func (d *departure) allows(x *exchange) bool {
	if x.started.Before(d.strict) {
		return x.started.Add(x.route.Objective).Before(d.end)
	}
	return x.deadline.Before(d.end)
}

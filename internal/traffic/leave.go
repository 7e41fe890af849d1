package traffic

import (
	"sync/atomic"
	"time"
)

// departure says until when a stopping node takes which requests.
type departure struct {
	strict time.Time // from then on, only requests whose whole time ends before end
	end    time.Time // when what still runs is cut
}

// LeaveBy has the handler take only what is going to end in time: until strict,
// requests whose latency objective ends before end; from then on, those whose
// deadline does. Others are refused as not run, so that callers go elsewhere.
func (out *Outbound) LeaveBy(strict, end time.Time) {
	out.departure.Store(&departure{strict: strict, end: end})
}

// leaveInTime refuses what a stopping node could not finish.
func leaveInTime(leaving *atomic.Pointer[departure]) filter {
	return func(next stage) stage {
		return func(x *exchange) result {
			if until := leaving.Load(); until != nil && !until.allows(x) {
				refused := refuse(causeDraining, 0, "send it again through another node")
				refused.retryAfter = leastWait
				return refused
			}
			return next(x)
		}
	}
}

func (d *departure) allows(x *exchange) bool {
	if x.started.Before(d.strict) {
		return x.started.Add(x.route.Objective).Before(d.end)
	}
	return x.deadline.Before(d.end)
}

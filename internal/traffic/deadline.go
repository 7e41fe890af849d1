package traffic

import (
	"context"
	"net/http"
	"time"

	"sliphead/internal/outcome"
)

// applyDeadline ends the exchange at the earlier of the route's deadline and the one received
// from the caller's node, so that a deadline never grows along the call tree.
func applyDeadline(next stage) stage {
	return func(x *exchange) result {
		allowed := time.Duration(x.route.DeadlineMS) * time.Millisecond
		received := number(x.request.Header, outcome.Deadline, -1)
		if received >= 0 {
			x.callerTimeout = time.Duration(received) * time.Millisecond
			allowed = min(allowed, x.callerTimeout)
		}
		if allowed <= 0 {
			return refuse(causeDeadline, time.Second, "the deadline has passed, send it again with more time")
		}
		x.deadline = x.started.Add(allowed)
		limited, cancel := context.WithDeadline(x.request.Context(), x.deadline)
		defer cancel()
		x.context = limited
		x.limitWriting(x.deadline)
		return next(x)
	}
}

// limitDepth rejects requests at a call depth of levels or more, which stops services that
// call each other in a loop.
func limitDepth(levels int) filter {
	return func(next stage) stage {
		return func(x *exchange) result {
			if x.depth >= levels {
				return reject(http.StatusLoopDetected, causeDepth, "look for services that call each other in a loop")
			}
			return next(x)
		}
	}
}

// millisecondsLeft returns the time until the deadline, negative once it has passed.
func (x *exchange) millisecondsLeft() int64 { return time.Until(x.deadline).Milliseconds() }

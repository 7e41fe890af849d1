package traffic

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/outcome"
)

// applyDeadline ends the exchange at the earlier of the route's deadline and the one received
// from the caller's node, so that a deadline never grows along the call tree.
func applyDeadline(next stage) stage {
	return func(x *exchange) result {
		allowed := time.Duration(x.route.DeadlineMS) * time.Millisecond
		if timeout, given := readTimeout(get(x.request.Header, outcome.Deadline)); given {
			x.callerTimeout = timeout
			allowed = min(allowed, timeout)
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

// readTimeout reads a timeout in milliseconds, which may have a fraction. One below zero has passed;
// one above maxDeadline stands for maxDeadline. It returns false if the text is no number.
func readTimeout(text string) (time.Duration, bool) {
	milliseconds, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(milliseconds) {
		return 0, false
	}
	bounded := min(max(0, milliseconds), float64(maxDeadline.Milliseconds()))
	return time.Duration(bounded * float64(time.Millisecond)), true
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

package traffic

import (
	"net/http"
	"time"
)

// alternativeHeader on an attempt between nodes states that the caller's node has another
// endpoint that seems to be free: the node of a full worker then refuses the attempt
// immediately instead of queueing it. On a refusal the header states that this was the reason.
// Without it, on the last attempt, the request is queued.
const alternativeHeader = "Sliphead-Elsewhere"

// maxReroutes is the maximum number of times that a request goes to another endpoint because one
// was full. This costs neither the retry budget of the call tree nor that of the node, since
// nothing ran. In overload a request is thus sent three times at most.
const maxReroutes = 2

// markFull gives a refusal by the node of a full worker its own cause.
func markFull(refused *result, response *http.Response) *result {
	if refused != nil && hasHeader(response.Header, alternativeHeader) {
		refused.cause = causeFull
	}
	return refused
}

// heldByCallers reports whether all slots are held by requests of the same call tree, each on
// another level above this one: they wait for this request, and it would wait for them until
// its deadline. Two holders on one level cannot both be its callers.
func (a *admitter) heldByCallers(x *exchange) bool {
	levels := map[int]bool{}
	for holder := range a.holders {
		if holder.id != x.id || holder.depth >= x.depth || levels[holder.depth] {
			return false
		}
		levels[holder.depth] = true
	}
	return len(levels) > 0
}

// isShortWait reports whether a request is expected to get a slot here before it could reach
// another endpoint: a worker with 13 slots frees one every 15 ms, and on a full link the
// transfer to another node takes longer. With immediate refusals, over half of the attempts
// between nodes were refused, even in seconds without overload.
func (a *admitter) isShortWait(x *exchange) bool {
	if x.rerouteTime <= 0 {
		return false
	}
	wait, _ := a.queue.Forecast(a.classOf(x), x.route.Name, time.Now())
	return wait <= x.rerouteTime
}

// refuseUnlessQueued returns the refusal of a request that must not queue at a full worker, nil
// if it may be granted a slot or queued.
func (a *admitter) refuseUnlessQueued(x *exchange) *result {
	now := time.Now()
	if a.queue.Free(now) {
		return nil
	}
	var refused result
	switch {
	case x.hasAlternative && a.isShortWait(x):
		return nil
	case x.hasAlternative && a.queue.RateLimited(now):
		refused = a.refuseLimited(x, 0, now)
	case x.hasAlternative:
		if !x.fromNode {
			newFields(x.writer.Header()).set(alternativeHeader, "1")
		}
		refused = refuse(causeFull, 0, "send it to another worker, this one is full")
	case a.heldByCallers(x):
		refused = refuse(causeNested, 0, "declare slots for the depth of calls, the callers of this one hold all slots of the worker")
	default:
		return nil
	}
	return &refused
}

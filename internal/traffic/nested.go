package traffic

import (
	"net/http"
	"sync"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/traffic/balance"
)

// nestedCalls tracks the calls that the local worker makes while it runs requests. Calls do not
// name the request that they belong to, so they are recognized by route and time: the nodes of
// the called workers report which routes only other services call. It is safe for concurrent
// use.
type nestedCalls struct {
	mutex       sync.Mutex
	internalAt  map[string]time.Time // by route: when a node last reported that only other services call it
	lastFailure time.Time            // when a call last failed permanently
	runs        float64              // requests run by the worker
	calls       map[string]float64   // made by these runs, by called service
}

// maxRunCount is the number of runs at which all counts are halved, so that older runs lose
// weight.
const maxRunCount = 400

// internalRetention is how long a node's report that a route is internal stays valid.
const internalRetention = 10 * time.Second

func newNestedCalls() *nestedCalls {
	return &nestedCalls{internalAt: map[string]time.Time{}, calls: map[string]float64{}}
}

// recordInternal records the time of a node's report that a route is internal. Other reports
// are ignored.
func (n *nestedCalls) recordInternal(route string, internal bool, now time.Time) {
	if !internal {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.internalAt) >= maxTrackedRoutes {
		clear(n.internalAt)
	}
	n.internalAt[route] = now
}

// internal reports whether a route was reported as internal within internalRetention.
func (n *nestedCalls) internal(route string, now time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	reported, found := n.internalAt[route]
	return found && now.Sub(reported) < internalRetention
}

// recordEnd records the final status of a call; statuses from 500 are failures.
func (n *nestedCalls) recordEnd(status int, now time.Time) {
	if status < http.StatusInternalServerError {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.lastFailure = now
}

// recordCall counts a call to a service.
func (n *nestedCalls) recordCall(service string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.calls) >= maxTrackedRoutes {
		clear(n.calls)
	}
	n.calls[service]++
}

// recordRun counts a request run by the worker.
func (n *nestedCalls) recordRun() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.runs++
	if n.runs < maxRunCount {
		return
	}
	n.runs /= 2
	for service := range n.calls {
		n.calls[service] /= 2
	}
}

// callsPerRun returns the average number of calls per run, by called service.
func (n *nestedCalls) callsPerRun() map[string]float64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	made := make(map[string]float64, len(n.calls))
	for service, calls := range n.calls {
		made[service] = calls / max(1, n.runs)
	}
	return made
}

// countRun counts a run that begins at the worker. The calls of a retried run are retries at the
// services that it calls, so they are charged to this node's retry budgets.
func (in *Inbound) countRun(x *exchange) {
	in.nested.recordRun()
	if !x.repeated || in.charge == nil {
		return
	}
	for service, calls := range in.nested.callsPerRun() {
		in.charge(service, calls)
	}
}

// failedSince reports whether a call has failed permanently at or after a time.
func (n *nestedCalls) failedSince(began time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.lastFailure.Before(began)
}

// markNestedFailure marks a worker's failure if calls that the worker made during the run had
// failed. A retry of such a run would repeat its calls at a service that rejects them: each
// call costs that service a retry of its own, and the work of the run is lost again.
func (in *Inbound) markNestedFailure(x *exchange, got *answer, began time.Time) {
	if got.response.StatusCode < http.StatusInternalServerError {
		return
	}
	x.callFailed = in.nested.failedSince(began)
	got.callFailed = x.callFailed
}

// recordRejection records whether the worker rejected a request that reached it.
func (in *Inbound) recordRejection(failure *result) {
	if failure != nil && !failure.rejected {
		return
	}
	a := in.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rejects.Record(failure != nil, time.Now())
}

// isLastAttempt reports whether the request will not be retried if it is refused: either a running
// request waits for it as one of its calls, or an earlier attempt of its caller has failed.
func (out *Outbound) isLastAttempt(x *exchange) bool {
	now := time.Now()
	if out.nested.internal(x.route.Name, now) {
		x.madeByLocalRun = true
		return true
	}
	if !out.recentFailures.any(now) {
		return false
	}
	failure, retried := out.recentFailures.find(x.fingerprint(), now)
	x.class.callerRetried, x.class.callsFailedBefore = retried, failure.callsFailed
	return retried
}

// recordEnd records how a request to a service ended at this node.
func (out *Outbound) recordEnd(x *exchange, service string, ended *result) {
	now := time.Now()
	if out.local != nil && x.madeByLocalRun {
		out.local.nested.recordEnd(ended.status, now)
		out.local.nested.recordCall(service)
	}
	if ended.status >= http.StatusInternalServerError && !x.lastAttempt {
		out.recentFailures.record(x.fingerprint(), failureInfo{callsFailed: x.callFailed}, now)
	}
}

// isRejection reports whether a worker with free slots rejected the request. Trying another
// endpoint, or retrying immediately, is then as likely to succeed as a later retry.
func isRejection(failure *result, load balance.Load) bool {
	return failure != nil && failure.outcome == outcome.NotRun && failure.rejected && load.Busy < load.Slots
}

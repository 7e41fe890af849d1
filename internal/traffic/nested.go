package traffic

import (
	"net/http"
	"sync"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/traffic/balance"
)

// nestedCalls is what a node knows of the calls that its worker makes while it runs
// requests. Calls name no run, so a node goes by routes and times: the nodes beside called
// workers tell which routes only other services call.
type nestedCalls struct {
	mutex  sync.Mutex
	routes map[string]time.Time // when a node said last that only runs call it
	failed time.Time            // when the last call failed for good
	runs   float64              // of the worker
	calls  map[string]float64   // that these made, by service
}

// mostRunsCounted is how many runs are counted before all counts are halved, so that older
// ones fade.
const mostRunsCounted = 400

// internalFor is how long a node's word counts that only runs call a route.
const internalFor = 10 * time.Second

func newNestedCalls() *nestedCalls {
	return &nestedCalls{routes: map[string]time.Time{}, calls: map[string]float64{}}
}

// learn takes in what a node said of a route.
func (n *nestedCalls) learn(route string, internal bool, now time.Time) {
	if !internal {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.routes) >= mostCallsRoutes {
		clear(n.routes)
	}
	n.routes[route] = now
}

// internal reports whether only runs call a route, as far as is known.
func (n *nestedCalls) internal(route string, now time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	told, found := n.routes[route]
	return found && now.Sub(told) < internalFor
}

// ended notes a call that has ended with a status.
func (n *nestedCalls) ended(status int, now time.Time) {
	if status < http.StatusInternalServerError {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.failed = now
}

// called counts a call for a service.
func (n *nestedCalls) called(service string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if len(n.calls) >= mostCallsRoutes {
		clear(n.calls)
	}
	n.calls[service]++
}

// ran counts a run of the worker.
func (n *nestedCalls) ran() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.runs++
	if n.runs < mostRunsCounted {
		return
	}
	n.runs /= 2
	for service := range n.calls {
		n.calls[service] /= 2
	}
}

// callsOfRun returns how many calls a run makes on average, by service.
func (n *nestedCalls) callsOfRun() map[string]float64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	made := make(map[string]float64, len(n.calls))
	for service, calls := range n.calls {
		made[service] = calls / max(1, n.runs)
	}
	return made
}

// countRun counts a run that begins at the worker. Calls of a run that is itself a repeat are
// repeats at the services that it calls: they are charged to this node's budgets.
func (in *Inbound) countRun(x *exchange) {
	in.nested.ran()
	if !x.repeat || in.charge == nil {
		return
	}
	for service, calls := range in.nested.callsOfRun() {
		in.charge(service, calls)
	}
}

// failedSince reports whether a call has failed for good since a time.
func (n *nestedCalls) failedSince(began time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return !n.failed.Before(began)
}

// markNested notes on a worker's failure whether calls that the worker made meanwhile had
// failed. Then a repeat of the run would make its calls once more, at a service that turns
// calls away: each costs that service a repeat of its own, and the run's work is lost again.
func (in *Inbound) markNested(x *exchange, got *answer, began time.Time) {
	if got.response.StatusCode < http.StatusInternalServerError {
		return
	}
	x.callFailed = in.nested.failedSince(began)
	got.callFailed = x.callFailed
}

// noteRejection takes in whether the worker rejected a request that reached it.
func (in *Inbound) noteRejection(failure *result) {
	if failure != nil && !failure.rejected {
		return
	}
	a := in.admitter
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.rejects.Note(failure != nil, time.Now())
}

// lastChance reports whether nobody sends the request again if it is refused: it is a call
// of a run, which waits for it, or its caller has been turned away before.
func (out *Outbound) lastChance(x *exchange) bool {
	now := time.Now()
	if out.nested.internal(x.route.Name, now) {
		x.callOfRun = true
		return true
	}
	if !out.turned.any(now) {
		return false
	}
	how, returned := out.turned.find(x.fingerprint(), now)
	x.class.returned, x.class.unlikely = returned, how.callsFailed
	return returned
}

// noteEnd takes in how a request ended here.
func (out *Outbound) noteEnd(x *exchange, service string, ended *result) {
	now := time.Now()
	if out.local != nil && x.callOfRun {
		out.local.nested.ended(ended.status, now)
		out.local.nested.called(service)
	}
	if ended.status >= http.StatusInternalServerError && !x.lastChance {
		out.turned.note(x.fingerprint(), turn{callsFailed: x.callFailed}, now)
	}
}

// isRejection reports whether a worker with free slots rejected the request: going on, or
// coming back at once, is as good as later.
func isRejection(failure *result, load balance.Load) bool {
	return failure != nil && failure.outcome == outcome.NotRun && failure.rejected && load.Busy < load.Slots
}

package traffic

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/admission"
)

// A route is internal after enough requests from other services only, and no longer once a
// machine of the worker's own service calls it.
func TestRouteCalledByOtherServicesOnlyIsInternal(t *testing.T) {
	c := newCallers()
	for range minInternalCalls - 1 {
		c.record("price", false)
	}
	must.False(t, c.internal("price"))
	c.record("price", false)
	must.True(t, c.internal("price"))
	c.record("price", true)
	must.False(t, c.internal("price"))
	must.False(t, c.internal("unknown"))
}

// A single call from the worker's own service loses its weight after enough other calls.
func TestOldOwnCallsLoseWeight(t *testing.T) {
	c := newCallers()
	c.record("price", true)
	for range maxCallCount {
		c.record("price", false)
	}
	must.True(t, c.internal("price"))
}

// The number of tracked routes must not exceed its bound.
func TestTrackedRoutesAreBounded(t *testing.T) {
	c := newCallers()
	for range 3 * maxTrackedRoutes {
		c.record(time.Now().String(), false)
	}
	must.LessEq(t, maxTrackedRoutes, len(c.routes))
}

// A call made by a running request is admitted before earlier requests of callers.
func TestInternalCallsAreAdmittedFirst(t *testing.T) {
	a := newAdmitter("shop", Limits{Slots: 1, QueueLength: 10})
	request := func(route, caller string) *exchange {
		now := time.Now()
		return &exchange{
			instance: "i-1", caller: caller, started: now, deadline: now.Add(time.Minute),
			route: &snapshot.Route{Route: declaration.Route{Name: route}}, class: class{rank: 1, waitsForDeadline: true},
		}
	}
	for range minInternalCalls {
		a.callers.record("price", false)
	}
	running, refused := a.arrive(request("order", "shop"))
	must.Nil(t, refused)
	order, refused := a.arrive(request("order", "shop"))
	must.Nil(t, refused)
	price, refused := a.arrive(request("price", "front"))
	must.Nil(t, refused)
	a.release(running)
	must.Eq(t, admission.Granted, price.Verdict)
	must.Eq(t, admission.Queued, order.Verdict)
}

// With few slots, a retry of a run that failed because its calls had failed is admitted last: it
// is more likely to fail again than a first attempt.
func TestRunsWithFailedCallsAreAdmittedLast(t *testing.T) {
	a := newAdmitter("shop", Limits{Slots: 1, QueueLength: 10})
	request := func(callsFailed bool) *exchange {
		now := time.Now()
		return &exchange{
			instance: "i-1", caller: "shop", started: now, deadline: now.Add(time.Hour),
			route: &snapshot.Route{Route: declaration.Route{Name: "order"}},
			class: class{rank: 1, objective: time.Hour, callerRetried: callsFailed, callsFailedBefore: callsFailed},
		}
	}
	running, refused := a.arrive(request(false))
	must.Nil(t, refused)
	again, refused := a.arrive(request(true))
	must.Nil(t, refused)
	first, refused := a.arrive(request(false))
	must.Nil(t, refused)
	a.release(running)
	must.Eq(t, admission.Granted, first.Verdict)
	must.Eq(t, admission.Queued, again.Verdict)
	a.release(first)
	must.Eq(t, admission.Granted, again.Verdict)
}

package traffic

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/admission"
)

// A route counts as internal once enough requests have come from other services
// alone, and no more as soon as the own service's machines call it.
func TestCallersTellInternalRoutes(t *testing.T) {
	c := newCallers()
	for range enoughCalls - 1 {
		c.note("price", false)
	}
	must.False(t, c.internal("price"))
	c.note("price", false)
	must.True(t, c.internal("price"))
	c.note("price", true)
	must.False(t, c.internal("price"))
	must.False(t, c.internal("unknown"))
}

// One call from the own service is forgotten in time.
func TestCallersForget(t *testing.T) {
	c := newCallers()
	c.note("price", true)
	for range mostCalls {
		c.note("price", false)
	}
	must.True(t, c.internal("price"))
}

// Routes beyond the bound push the older ones out.
func TestCallersAreBounded(t *testing.T) {
	c := newCallers()
	for range 3 * mostCallsRoutes {
		c.note(time.Now().String(), false)
	}
	must.LessEq(t, mostCallsRoutes, len(c.routes))
}

// A call of a run is admitted before what callers sent earlier.
func TestCallsOfRunsGoFirst(t *testing.T) {
	a := newAdmitter("shop", Limits{Slots: 1, QueueLength: 10})
	request := func(route, caller string) *exchange {
		now := time.Now()
		return &exchange{
			instance: "i-1", caller: caller, started: now, deadline: now.Add(time.Minute),
			route: &snapshot.Route{Route: declaration.Route{Name: route}}, class: class{rank: 1, patient: true},
		}
	}
	for range enoughCalls {
		a.callers.note("price", false)
	}
	running, refused := a.arrive(request("order", "shop"))
	must.Nil(t, refused)
	order, refused := a.arrive(request("order", "shop"))
	must.Nil(t, refused)
	price, refused := a.arrive(request("price", "front"))
	must.Nil(t, refused)
	a.done(running)
	must.Eq(t, admission.Granted, price.Verdict)
	must.Eq(t, admission.Queued, order.Verdict)
}

// Where slots are short, a run that failed before since its calls had comes last: it is
// likelier to fail again than one that comes for the first time.
func TestRunsWhoseCallsFailedComeLast(t *testing.T) {
	a := newAdmitter("shop", Limits{Slots: 1, QueueLength: 10})
	request := func(unlikely bool) *exchange {
		now := time.Now()
		return &exchange{
			instance: "i-1", caller: "shop", started: now, deadline: now.Add(time.Hour),
			route: &snapshot.Route{Route: declaration.Route{Name: "order"}},
			class: class{rank: 1, objective: time.Hour, returned: unlikely, unlikely: unlikely},
		}
	}
	running, refused := a.arrive(request(false))
	must.Nil(t, refused)
	again, refused := a.arrive(request(true))
	must.Nil(t, refused)
	first, refused := a.arrive(request(false))
	must.Nil(t, refused)
	a.done(running)
	must.Eq(t, admission.Granted, first.Verdict)
	must.Eq(t, admission.Queued, again.Verdict)
	a.done(first)
	must.Eq(t, admission.Granted, again.Verdict)
}

package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// coldLocal is the record of a worker that may be sent hardly any requests while it is cold.
func coldLocal(id string) snapshot.Local {
	return snapshot.Local{Instance: id, ID: id, Service: "shop", Slots: 2, Connections: 130, ColdPerSecond: 0.01, ColdStart: time.Hour, HealthPath: "/health"}
}

// After all workers have restarted, callers retry while these are still cold. A request at its
// last attempt waits until the worker is warm if its deadline allows; others are refused
// immediately.
func TestLastAttemptWaitsUntilWorkerIsWarm(t *testing.T) {
	m := newCatalogMesh(t, 1)
	in := m.nodes[0].in
	in.UpdateLocal(coldLocal(m.nodes[0].worker.id))
	in.admitter.cold.RecordProbe(time.Hour, time.Now())
	order := func(deadline string) int {
		response, _, err := m.call(http.MethodPost, "/order/1", "two", testProtocol.Deadline, deadline)
		must.NoError(t, err)
		return response.StatusCode
	}
	must.Eq(t, http.StatusOK, order("20000")) // the whole capacity of the cold worker
	must.Eq(t, http.StatusServiceUnavailable, order("20000"))
	must.Eq(t, http.StatusServiceUnavailable, order("10000")) // the last attempt, but an hour is too long
	in.admitter.cold.RecordProbe(200*time.Millisecond, time.Now())
	must.Eq(t, http.StatusOK, order("10000"))
	must.Eq(t, 2, m.runs())
}

// The requests that wait for a warm worker are limited to its slots. Requests that would exceed
// their deadline, and those that may still be retried, do not wait.
func TestWarmWaitsAreLimited(t *testing.T) {
	in := NewInbound(Config{Holder: &snapshot.Holder{}, Service: "shop", Protocol: testProtocol, Limits: Limits{Slots: 2}, Logger: discardLogger()})
	in.UpdateLocal(coldLocal("i-0"))
	now := time.Now()
	in.admitter.cold.RecordProbe(time.Second, now)
	request := func(left time.Duration, retried bool) *exchange {
		return &exchange{instance: "i-0", route: &snapshot.Route{}, deadline: now.Add(left), class: class{callerRetried: retried}}
	}
	joins := func(x *exchange) bool {
		_, joined := in.admitter.reserveWarmWait(x, now)
		return joined
	}
	must.False(t, joins(request(2*time.Second, false)))
	must.False(t, joins(request(900*time.Millisecond, true)))
	wait, joined := in.admitter.reserveWarmWait(request(2*time.Second, true), now)
	must.True(t, joined)
	must.Eq(t, time.Second, wait)
	must.True(t, joins(request(2*time.Second, true)))
	must.False(t, joins(request(2*time.Second, true)))
	in.admitter.releaseWarmWait()
	must.True(t, joins(request(2*time.Second, true)))
}

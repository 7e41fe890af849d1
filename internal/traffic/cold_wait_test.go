package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// coldLocal is a worker that bears next to nothing while it is cold.
func coldLocal(id string) snapshot.Local {
	return snapshot.Local{Instance: id, ID: id, Service: "shop", Slots: 2, Connections: 130, ColdPerSecond: 0.01, ColdStart: time.Hour, HealthPath: "/health"}
}

// After all workers have started anew, callers come back while these are still cold. One
// that won't come again waits until the worker is warm, if its time reaches so far; others
// are refused at once.
func TestLastTryWaitsUntilTheWorkerIsWarm(t *testing.T) {
	m := newCatalogMesh(t, 1)
	in := m.nodes[0].in
	in.Recorded(coldLocal(m.nodes[0].worker.id))
	in.admitter.cold.Probed(time.Hour, time.Now())
	order := func(deadline string) int {
		response, _, err := m.call(http.MethodPost, "/order/1", "two", testProtocol.Deadline, deadline)
		must.NoError(t, err)
		return response.StatusCode
	}
	must.Eq(t, http.StatusOK, order("20000")) // all that the worker bears
	must.Eq(t, http.StatusServiceUnavailable, order("20000"))
	must.Eq(t, http.StatusServiceUnavailable, order("10000")) // its last try, and an hour is too long
	in.admitter.cold.Probed(200*time.Millisecond, time.Now())
	must.Eq(t, http.StatusOK, order("10000"))
	must.Eq(t, 2, m.runs())
}

// No more wait than the worker has slots, none that would run out of time, and none that
// may come back.
func TestPlacesToWaitForAWarmWorker(t *testing.T) {
	in := NewInbound(Config{Holder: &snapshot.Holder{}, Service: "shop", Protocol: testProtocol, Limits: Limits{Slots: 2}, Logger: quiet()})
	in.Recorded(coldLocal("i-0"))
	now := time.Now()
	in.admitter.cold.Probed(time.Second, now)
	request := func(left time.Duration, returned bool) *exchange {
		return &exchange{instance: "i-0", route: &snapshot.Route{}, deadline: now.Add(left), class: class{returned: returned}}
	}
	joins := func(x *exchange) bool {
		_, joined := in.admitter.joinWarming(x, now)
		return joined
	}
	must.False(t, joins(request(2*time.Second, false)))
	must.False(t, joins(request(900*time.Millisecond, true)))
	wait, joined := in.admitter.joinWarming(request(2*time.Second, true), now)
	must.True(t, joined)
	must.Eq(t, time.Second, wait)
	must.True(t, joins(request(2*time.Second, true)))
	must.False(t, joins(request(2*time.Second, true)))
	in.admitter.leaveWarming()
	must.True(t, joins(request(2*time.Second, true)))
}

package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A worker that has just been recorded gets no more than a cold one bears: what comes
// beyond is refused as not run, with the time after which to come back.
func TestColdWorkerIsHeldToItsBound(t *testing.T) {
	m := newCatalogMesh(t, 1)
	const bears = 5 // a second; one may go out at once
	cold := snapshot.Local{Instance: m.nodes[0].worker.id, Service: "shop", Slots: 2, Connections: 130, ColdPerSecond: bears, ColdStart: time.Hour, HealthPath: "/health"}
	m.nodes[0].in.Recorded(cold)
	m.nodes[0].in.admitter.cold.Probed(time.Hour, time.Now())
	statuses := map[int]int{}
	began := time.Now()
	for range 40 {
		response, _, err := m.call(http.MethodPost, "/order/1", "two")
		must.NoError(t, err)
		statuses[response.StatusCode]++
		if response.StatusCode == http.StatusServiceUnavailable {
			must.NotEq(t, "", response.Header.Get("Retry-After"))
		}
	}
	borne := 1 + int(bears*time.Since(began).Seconds())
	must.Eq(t, 40, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable])
	must.LessEq(t, borne, m.runs())
	must.Eq(t, statuses[http.StatusOK], m.runs())
}

// A worker whose zone was evacuated until now is taken for cold: it may have started anew
// while it was sent nothing.
func TestWorkerIsTakenForColdAfterAnEvacuation(t *testing.T) {
	m := newCatalogMesh(t, 1)
	in := m.nodes[0].in
	local := snapshot.Local{Instance: "i-0", ColdPerSecond: 5, ColdStart: time.Minute}
	in.Recorded(local)
	in.admitter.cold.Probed(0, time.Now())
	must.False(t, in.admitter.cold.Limits(time.Now()))
	local.Evacuated = true
	in.Recorded(local)
	must.False(t, in.admitter.cold.Limits(time.Now()))
	local.Evacuated = false
	in.Recorded(local)
	must.True(t, in.admitter.cold.Limits(time.Now()))
}

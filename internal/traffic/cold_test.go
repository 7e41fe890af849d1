package traffic

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// A worker with a new catalog record gets no more requests than the capacity of a cold worker.
// Requests beyond it are refused with outcome not-run and Retry-After.
func TestColdWorkerRateIsLimited(t *testing.T) {
	m := newCatalogMesh(t, 1)
	const capacity = 5 // requests per second; one may be sent at once
	cold := snapshot.Local{Instance: m.nodes[0].worker.id, ID: m.nodes[0].worker.id, Service: "shop", Slots: 2, Connections: 130, ColdPerSecond: capacity, ColdStart: time.Hour, HealthPath: "/health"}
	m.nodes[0].in.UpdateLocal(cold)
	m.nodes[0].in.admitter.cold.RecordProbe(time.Hour, time.Now())
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
	allowed := 1 + int(capacity*time.Since(began).Seconds())
	must.Eq(t, 40, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable])
	must.LessEq(t, allowed, m.runs())
	must.Eq(t, statuses[http.StatusOK], m.runs())
}

// A worker is treated as cold when the evacuation of its zone ends, since it may have restarted
// while it received no requests.
func TestWorkerIsColdAfterZoneEvacuation(t *testing.T) {
	m := newCatalogMesh(t, 1)
	in := m.nodes[0].in
	local := snapshot.Local{Instance: "i-0", ColdPerSecond: 5, ColdStart: time.Minute}
	in.UpdateLocal(local)
	in.admitter.cold.RecordProbe(0, time.Now())
	must.False(t, in.admitter.cold.Limited(time.Now()))
	local.Evacuated = true
	in.UpdateLocal(local)
	must.False(t, in.admitter.cold.Limited(time.Now()))
	local.Evacuated = false
	in.UpdateLocal(local)
	must.True(t, in.admitter.cold.Limited(time.Now()))
}

// The header of a worker's health response gives its remaining cold time. A response without the
// header means a warm worker, and an invalid header is an error.
func TestHealthResponseReportsColdTime(t *testing.T) {
	for header, wanted := range map[string]time.Duration{"": 0, "1500": 1500 * time.Millisecond, "0.5": 500 * time.Microsecond} {
		remaining, err := healthOf(t, header)
		must.NoError(t, err)
		must.Eq(t, wanted, remaining)
	}
	_, err := healthOf(t, "soon")
	must.Error(t, err)
}

// A health response of another worker that now has the address must not make a cold worker appear
// warm.
func TestHealthResponseOfAnotherWorkerIsRejected(t *testing.T) {
	remaining, err := healthOf(t, "1500", "i-local")
	must.NoError(t, err)
	must.Eq(t, 1500*time.Millisecond, remaining)
	_, err = healthOf(t, "", "i-other")
	must.Error(t, err)
}

// healthOf returns the remaining cold time read from a health response with the given header
// value and, if given, worker id.
func healthOf(t *testing.T, coldHeader string, id ...string) (time.Duration, error) {
	worker := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		must.Eq(t, "/health", request.URL.Path)
		if coldHeader != "" {
			writer.Header().Set("X-Test-Cold", coldHeader)
		}
		for _, each := range id {
			writer.Header().Set(testProtocol.Instance, each)
		}
	}))
	t.Cleanup(worker.Close)
	protocol := testProtocol
	protocol.ColdRemaining = "X-Test-Cold"
	in := NewInbound(Config{Holder: &snapshot.Holder{}, Service: "shop", Protocol: protocol, WorkerAddress: address(worker.URL), Logger: discardLogger()})
	return in.coldRemaining(t.Context(), snapshot.Local{ID: "i-local", HealthPath: "/health"})
}

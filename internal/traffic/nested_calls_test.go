package traffic

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/quarantine"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// A worker that rejects every other request although it has free slots must not count as a failing
// endpoint. Fault: nodes backed off from each such worker for up to ten seconds and sent requests
// to other regions.
func TestRejectionIsNotAnEndpointFailure(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.publish(func(route *snapshot.Route) { route.MaxAttempts = 1 })
	for range 4 {
		m.script("shed")
		response, _, err := m.call("POST", "/order/", "cards")
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
		must.Eq(t, "0.020", response.Header.Get("Retry-After")) // immediately, since slots are free
		response, _, err = m.call("POST", "/order/", "cards")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
	}
}

// A worker that responds that it is another instance counts as a failed endpoint.
func TestMisdirectedResponseIsAnEndpointFailure(t *testing.T) {
	misdirected := &result{cause: causeRefused, reachedWorker: true}
	observation := balance.Observation{HasLoad: true, Load: balance.Load{Busy: 0, Slots: 2}}
	must.True(t, countsAgainstCatalogEndpoint(misdirected, observation))
	must.False(t, countsAgainstCatalogEndpoint(&result{cause: causeRefused, reachedWorker: true, rejected: true}, observation))
}

// The mesh must not retry a run whose calls have failed, since it would repeat the calls at a
// service that rejects them. It retries a run that failed by itself.
func TestRunWithFailedCallsIsNotRetried(t *testing.T) {
	for _, callFails := range []bool{false, true} {
		m := newCatalogMesh(t, 2)
		m.script("wait-error")
		answered := make(chan int, 1)
		go func() {
			response, _, err := m.call("GET", "/lookup/", "")
			must.NoError(t, err)
			answered <- response.StatusCode
		}()
		waitFor(t, func() bool { return m.runs() == 1 })
		if callFails {
			for _, node := range m.nodes {
				node.in.nested.recordEnd(http.StatusServiceUnavailable, time.Now())
			}
		}
		for _, node := range m.nodes {
			close(node.worker.unblock)
		}
		if callFails {
			must.Eq(t, http.StatusInternalServerError, <-answered)
			must.Eq(t, 1, m.runs())
		} else {
			<-answered
			must.Eq(t, 2, m.runs())
		}
	}
}

// A copy of a refused request, under another id, must be recognized.
func TestCopyOfFailedRequestIsLastAttempt(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.publish(func(route *snapshot.Route) { route.MaxAttempts = 1 })
	out := m.nodes[0].out
	must.False(t, out.recentFailures.any(time.Now()))
	m.script("shed")
	_, _, err := m.call("POST", "/order/", "cards")
	must.NoError(t, err)
	must.True(t, out.isLastAttempt(requestWithBody("cards", 0)))
	must.False(t, out.isLastAttempt(requestWithBody("letters", 0)))
}

// The tracked failures must expire, and their number is bounded.
func TestRecentFailuresExpire(t *testing.T) {
	failures, now := newRecentFailures(), time.Unix(1_000_000, 0)
	for index := range 3 * maxRecentFailures {
		failures.record(quarantine.Fingerprint{byte(index), byte(index >> 8)}, failureInfo{callsFailed: true}, now)
	}
	must.Eq(t, maxRecentFailures, len(failures.recent))
	failure, found := failures.find(quarantine.Fingerprint{}, now.Add(failureRetention))
	must.True(t, found && failure.callsFailed)
	_, found = failures.find(quarantine.Fingerprint{}, now.Add(2*failureRetention))
	must.False(t, found)
	must.False(t, failures.any(now.Add(4*failureRetention)))
}

// A node's report that a route is internal is valid for a limited time.
func TestInternalRouteReportExpires(t *testing.T) {
	nested, now := newNestedCalls(), time.Unix(1_000_000, 0)
	nested.recordInternal("price", false, now)
	must.False(t, nested.internal("price", now))
	nested.recordInternal("price", true, now)
	must.True(t, nested.internal("price", now))
	must.False(t, nested.internal("price", now.Add(internalRetention)))
}

// requestWithBody returns a request with the given body and the given timeout of its caller.
func requestWithBody(body string, given time.Duration) *exchange {
	x := &exchange{request: httptest.NewRequest("POST", "/order/", nil), started: time.Now(), callerTimeout: given, route: &snapshot.Route{}}
	x.request.Host = "shop.example"
	x.body.whole = []byte(body)
	return x
}

// Retries must be distinguished from new requests, also when there are many, and whatever their
// timeouts: callers of one route send from 0.85 of the deadline to all of it, or none. Fault: first
// requests with short timeouts were mistaken for retries.
func TestRetriesAreRecognized(t *testing.T) {
	out := newCatalogMesh(t, 1).nodes[0].out
	out.recentFailures.rotated = time.Now().Add(time.Hour) // no request expires during the test
	random := rand.New(rand.NewPCG(1, 2))
	for index := range 400 {
		given := time.Duration(random.IntN(300)) * time.Millisecond // 0: not sent
		first := requestWithBody(fmt.Sprint("cards ", index), given)
		must.False(t, out.isLastAttempt(first))
		must.False(t, first.class.callerRetried)
		if random.IntN(10) >= 4 {
			continue
		}
		out.recordEnd(first, "shop", &result{status: http.StatusServiceUnavailable})
		again := requestWithBody(fmt.Sprint("cards ", index), max(0, given-time.Duration(random.IntN(100))*time.Millisecond))
		must.True(t, out.isLastAttempt(again))
		must.True(t, again.class.callerRetried)
		must.False(t, again.class.callsFailedBefore)
	}
}

// A retry of a request whose run failed because its calls had failed must be recognized as such.
func TestRetryOfRunWithFailedCallsIsRecognized(t *testing.T) {
	out := newCatalogMesh(t, 1).nodes[0].out
	failed := requestWithBody("cards", time.Second)
	failed.callFailed = true
	out.recordEnd(failed, "shop", &result{status: http.StatusInternalServerError})
	again := requestWithBody("cards", time.Second)
	must.True(t, out.isLastAttempt(again))
	must.True(t, again.class.callsFailedBefore)
}

package traffic

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// A caller gets no status that promises that its request has not run, unless the worker says so.
// Fault: a worker's own 408, 429 or 503 was passed on after the worker had run the order, and the
// caller, who trusts the promise, sent the order again.
func TestOwnStatusOfWorkerIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, body := range []string{"", "cards"} {
			for entry, where := range []string{"local worker", "other node's worker"} {
				t.Run(fmt.Sprint(status, " ", len(body), " bytes, ", where), func(t *testing.T) {
					m := newCatalogMesh(t, 2)
					m.onlyFirstWorker(entry)
					m.entry = entry
					m.nodes[0].worker.setScript(fmt.Sprint("status ", status))
					response, _, err := m.call("POST", "/order/", body)
					must.NoError(t, err)
					must.Eq(t, 1, m.runs())
					must.Eq(t, http.StatusBadGateway, response.StatusCode)
					must.Eq(t, "", response.Header.Get(testProtocol.Signature), must.Sprint("a signature vouches for the worker's own status"))
				})
			}
		}
	}
}

// A request that may be repeated is sent to another worker instead.
func TestRepeatableRequestFollowsAmbiguousStatus(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		m := newCatalogMesh(t, 2)
		m.publish(func(route *snapshot.Route) { route.Targets[0].Endpoints[1].Zone = "z2" }) // the second choice
		m.nodes[0].worker.setScript(fmt.Sprint("status ", status))
		response, text, err := m.call("GET", "/lookup/", "")
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode)
		must.Eq(t, "answer to r-1", text)
		must.Eq(t, 2, m.runs())
	}
}

// A caller whose request may have run is told to check that first, whichever node the worker is at.
// Fault: if it was at another node, the 502 said "send it again later".
func TestMayHaveRunIsNotAdvisedToBeSentAgain(t *testing.T) {
	for _, behaviour := range []string{"close", "reset", "half", "garbage", "unsigned", "status 503"} {
		for entry, where := range []string{"local worker", "other node's worker"} {
			t.Run(behaviour+", "+where, func(t *testing.T) {
				m := newCatalogMesh(t, 2)
				m.onlyFirstWorker(entry)
				m.entry = entry
				m.nodes[0].worker.setScript(behaviour)
				response, text, err := m.call("POST", "/order/", "cards")
				must.NoError(t, err)
				must.Eq(t, http.StatusBadGateway, response.StatusCode)
				must.StrHasPrefix(t, "check whether it ran", response.Header.Get(outcome.Remedy))
				must.StrContains(t, text, response.Header.Get(outcome.Remedy))
			})
		}
	}
}

// A reply by which a request may have run names no time to come back, however busy its node is.
func TestReplyOfUnknownOutcomeHasNoRetryAfter(t *testing.T) {
	busy := balance.Load{Wait: time.Second, Link: time.Second, PausedFor: time.Second}
	response := &http.Response{StatusCode: http.StatusBadGateway}
	must.Zero(t, hopReply{outcome: outcome.Unknown, load: busy}.refusal(response).retryAfter)
	must.Eq(t, 3*time.Second, hopReply{outcome: outcome.NotRun, load: busy}.refusal(response).retryAfter)
}

package traffic

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
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
					m.nodes[0].worker.script = []string{fmt.Sprint("status ", status)}
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
		m.nodes[0].worker.script = []string{fmt.Sprint("status ", status)}
		for range 2 { // one of the two is sent to the first worker
			response, text, err := m.call("GET", "/lookup/", "")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.StrHasPrefix(t, "answer to ", text)
		}
	}
}

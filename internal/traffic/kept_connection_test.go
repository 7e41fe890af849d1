package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// limitConnections lets each node open two connections to its worker: one of the pool, and one of
// the transport of net/http for requests that find the pool in use.
func (m *catalogMesh) limitConnections() {
	const connections = 2
	for _, node := range m.nodes {
		view, _ := node.holder.Current(time.Now())
		limited := *view
		limited.Local.Connections = connections
		node.holder.Store(&limited)
	}
}

// occupyPool lets a request hold the only connection of the first node's pool, and another one leave
// a kept connection in its transport. The function that it returns ends the first request.
func (m *catalogMesh) occupyPool(t *testing.T) (release func()) {
	worker := m.nodes[0].worker
	m.limitConnections()
	worker.setScript("wait")
	held := make(chan error, 1)
	go func() {
		_, _, err := m.call("POST", "/order/held", "cards")
		held <- err
	}()
	waitFor(t, func() bool { return worker.runs() == 1 })
	response, _, err := m.call("POST", "/order/kept", "cards")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	return func() {
		close(worker.unblock)
		must.NoError(t, <-held)
	}
}

// A request that must not run twice is sent once also on a kept connection that the worker ends
// after the run, whatever its method and its headers. Guards against the resend of net/http, which
// takes GET, HEAD and requests with an Idempotency-Key for repeatable.
func TestRequestOnKeptConnectionRunsOnce(t *testing.T) {
	forms := map[string]struct {
		method, body string
		headers      []string
	}{
		"GET":                      {"GET", "", nil},
		"HEAD":                     {"HEAD", "", nil},
		"OPTIONS":                  {"OPTIONS", "", nil},
		"POST":                     {"POST", "cards", nil},
		"POST with a key":          {"POST", "cards", []string{"Idempotency-Key", "k-1"}},
		"POST with an X-key":       {"POST", "cards", []string{"X-Idempotency-Key", "k-1"}},
		"POST with a key, no body": {"POST", "", []string{"Idempotency-Key", "k-1"}},
		"PUT":                      {"PUT", "cards", nil},
		"DELETE":                   {"DELETE", "", nil},
	}
	for name, form := range forms {
		for _, behaviour := range []string{"close", "reset", "garbage", "half"} {
			for entry, where := range []string{"local worker", "other node's worker"} {
				t.Run(name+", "+behaviour+", "+where, func(t *testing.T) {
					m := newCatalogMesh(t, 2)
					m.onlyFirstWorker(entry)
					m.entry = entry
					release := m.occupyPool(t)
					worker := m.nodes[0].worker
					before := worker.runs()
					worker.setScript(behaviour)
					_, _, err := m.call(form.method, "/order/second", form.body, form.headers...)
					must.NoError(t, err)
					must.Eq(t, 1, worker.runs()-before)
					release()
				})
			}
		}
	}
}

package traffic

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A stopping node accepts requests that end before it does, and refuses others as not run.
// Fault: it accepted all requests and interrupted those that were still running when it ended.
func TestStoppingNodeAcceptsOnlyRequestsThatFit(t *testing.T) {
	m := newCatalogMesh(t, 1)
	for _, step := range []struct {
		strict, end time.Duration
		status      int
	}{
		{time.Minute, time.Minute, http.StatusOK},                 // the latency objective fits
		{time.Minute, time.Second, http.StatusServiceUnavailable}, // the latency objective does not fit
		{0, time.Minute, http.StatusOK},                           // the caller's deadline of 20 s fits
		{0, 10 * time.Second, http.StatusServiceUnavailable},      // the caller's deadline does not fit
	} {
		now := time.Now()
		m.nodes[0].out.StopBy(now.Add(step.strict), now.Add(step.end))
		response, _, err := m.call("GET", "/lookup/", "")
		must.NoError(t, err)
		must.Eq(t, step.status, response.StatusCode)
	}
	must.Eq(t, 2, m.runs())
}

// A node that ends sends a final response for requests that are still running. Fault: it cut
// their connections.
func TestEndingNodeSendsFinalResponse(t *testing.T) {
	m := newCatalogMesh(t, 1)
	defer close(m.nodes[0].worker.unblock)
	m.script("wait")
	statuses := make(chan int, 1)
	go func() {
		response, _, err := m.call("POST", "/order/", "cards")
		if err != nil {
			statuses <- 0
			return
		}
		statuses <- response.StatusCode
	}()
	waitFor(t, func() bool { return m.runs() == 1 })
	m.nodes[0].out.CancelRunning()
	must.Eq(t, http.StatusBadGateway, <-statuses)
}

package traffic

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// leavingRequest is a request whose caller disconnects before the response.
type leavingRequest struct {
	method, path    string
	closeConnection bool // whether the caller asks to close the connection after the response
}

// leavingRequests are requests without and with a body, on routes that may be repeated or not,
// on connections that are kept or not.
var leavingRequests = []leavingRequest{
	{http.MethodGet, "/lookup/1", false},
	{http.MethodGet, "/lookup/1", true},
	{http.MethodPost, "/lookup/1", false},
	{http.MethodPost, "/lookup/1", true},
	{http.MethodPost, "/order/1", false},
	{http.MethodPost, "/order/1", true},
}

// disconnectAfter sends a request to the first node and closes its connection once the
// condition holds.
func (m *catalogMesh) disconnectAfter(leaving leavingRequest, id string, condition func() bool) {
	m.t.Helper()
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	request, err := http.NewRequestWithContext(ctx, leaving.method, m.nodes[0].outbound+leaving.path, strings.NewReader(bodyOf(leaving.method)))
	must.NoError(m.t, err)
	request.Close = leaving.closeConnection
	request.Host = "shop.example"
	request.Header.Set(testProtocol.RequestID, id)
	request.Header.Set(testProtocol.Deadline, strconv.FormatInt(time.Hour.Milliseconds(), 10))
	ended := make(chan error, 1)
	go func() {
		response, err := m.client.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		ended <- err
	}()
	waitFor(m.t, condition)
	disconnect()
	must.Error(m.t, <-ended)
}

// bodyOf returns the body for requests of a method.
func bodyOf(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "cards"
}

// remoteMesh starts two nodes; the view of the first one contains only the second one's
// worker.
func remoteMesh(t *testing.T) *catalogMesh {
	m := newCatalogMesh(t, 2)
	m.publish(func(route *snapshot.Route) {
		route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
		route.Objective = time.Hour // so that only the disconnect of the caller ends a request
		route.DeadlineMS = time.Hour.Milliseconds()
	})
	return m
}

// The disconnect of a caller propagates over both hops: the worker's connection is closed
// during the run, long before the deadline, also for a body that waited for 100 Continue.
func TestCallerDisconnectCancelsWorkerRequest(t *testing.T) {
	for _, leaving := range leavingRequests {
		m := remoteMesh(t)
		m.script("watch")
		m.disconnectAfter(leaving, "r-left", func() bool { return m.runs() == 1 })
		<-m.nodes[1].worker.disconnected
		waitFor(t, func() bool { return m.nodes[1].in.Busy() == 0 && m.nodes[0].out.InFlight() == 0 })
	}
}

// A request that waits for a slot at the worker's node is removed from the queue when its
// caller disconnects, and never runs. The body of a request that must run at most once waits
// for 100 Continue, so that only the connection shows the disconnect.
func TestCallerDisconnectReleasesQueuePlace(t *testing.T) {
	for _, leaving := range leavingRequests {
		m := remoteMesh(t)
		m.script("wait", "wait")
		answered := make(chan int, 2)
		for range 2 { // both slots
			go func() {
				response, _, err := m.call(leaving.method, leaving.path, bodyOf(leaving.method))
				must.NoError(t, err)
				answered <- response.StatusCode
			}()
		}
		waitFor(t, func() bool { return m.runs() == 2 })
		m.disconnectAfter(leaving, "r-left", func() bool { return m.nodes[1].in.Queued() == 1 })
		waitFor(t, func() bool { return m.nodes[1].in.Queued() == 0 })
		must.Eq(t, 2, m.nodes[1].in.Busy()) // it was removed before a slot was free
		close(m.nodes[1].worker.unblock)
		must.Eq(t, http.StatusOK, <-answered)
		must.Eq(t, http.StatusOK, <-answered)
		must.SliceNotContains(t, m.nodes[1].worker.ran, "r-left")
	}
}

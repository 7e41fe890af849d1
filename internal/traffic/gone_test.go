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

// leaveAfter sends a request to the first node and closes its connection once a condition
// holds.
func (m *catalogMesh) leaveAfter(method, path, id string, condition func() bool) {
	m.t.Helper()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	request, err := http.NewRequestWithContext(ctx, method, m.nodes[0].outbound+path, strings.NewReader(bodyOf(method)))
	must.NoError(m.t, err)
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
	leave()
	must.Error(m.t, <-ended)
}

// bodyOf is the body of a method's requests.
func bodyOf(method string) string {
	if method == http.MethodGet {
		return ""
	}
	return "cards"
}

// remoteMesh starts two nodes of which the first knows the other's worker alone.
func remoteMesh(t *testing.T) *catalogMesh {
	m := newCatalogMesh(t, 2)
	m.publish(func(route *snapshot.Route) {
		route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
		route.Objective = time.Hour // so that nothing but the caller's leaving ends a request
		route.DeadlineMS = time.Hour.Milliseconds()
	})
	return m
}

// A caller that leaves is noticed over both hops: the worker's connection ends while the
// worker is at work, long before the deadline. With a body, which is offered first, as well.
func TestLeavingCallerReachesTheWorker(t *testing.T) {
	for method, path := range map[string]string{http.MethodGet: "/lookup/1", http.MethodPost: "/order/1"} {
		m := remoteMesh(t)
		m.script("watch")
		m.leaveAfter(method, path, "r-left", func() bool { return m.runs() == 1 })
		<-m.nodes[1].worker.left
		waitFor(t, func() bool { return m.nodes[1].in.Busy() == 0 && m.nodes[0].out.InFlight() == 0 })
	}
}

// A request that waits for a slot at the worker's node gives its place up when its caller
// leaves, and never runs. One with a body that may run once waits to be asked for it, so
// that only its connection tells of the caller.
func TestLeavingCallerGivesUpItsPlace(t *testing.T) {
	for method, path := range map[string]string{http.MethodGet: "/lookup/1", http.MethodPost: "/order/1"} {
		m := remoteMesh(t)
		m.script("wait", "wait")
		answered := make(chan int, 2)
		for range 2 { // both slots
			go func() {
				response, _, err := m.call(method, path, bodyOf(method))
				must.NoError(t, err)
				answered <- response.StatusCode
			}()
		}
		waitFor(t, func() bool { return m.runs() == 2 })
		m.leaveAfter(method, path, "r-left", func() bool { return m.nodes[1].in.Queued() == 1 })
		waitFor(t, func() bool { return m.nodes[1].in.Queued() == 0 })
		must.Eq(t, 2, m.nodes[1].in.Busy()) // it has gone before a slot was free
		close(m.nodes[1].worker.gate)
		must.Eq(t, http.StatusOK, <-answered)
		must.Eq(t, http.StatusOK, <-answered)
		must.SliceNotContains(t, m.nodes[1].worker.ran, "r-left")
	}
}

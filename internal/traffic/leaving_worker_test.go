package traffic

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"

	"sliphead/internal/outcome"
)

// A node whose worker drains refuses the request, which then runs at another worker.
func TestDispatchSkipsDrainingWorker(t *testing.T) {
	m := newCatalogMesh(t, 2)
	view, _ := m.nodes[0].holder.Current(time.Now())
	leaving := *view
	leaving.Local.Draining = true
	m.nodes[0].holder.Store(&leaving)
	response, _, err := m.call("POST", "/order/", "cards")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Zero(t, m.nodes[0].worker.runs())
}

// A request that waits for a slot when its worker begins to drain is refused immediately, so that
// it can run at another worker. Fault: it was granted a slot of a worker that had left more
// than two seconds before.
func TestQueuedRequestIsRefusedWhenWorkerDrains(t *testing.T) {
	m := newCatalogMesh(t, 2)
	m.nodes[0].worker.script = []string{"wait", "wait"}
	m.onlyFirstWorker(0) // two requests take both slots of the first worker, the third one waits
	statuses := make(chan int, 3)
	for sent := range 3 {
		go func() {
			response, _, err := m.call("POST", "/order/", "cards")
			must.NoError(t, err)
			statuses <- response.StatusCode
		}()
		waitFor(t, func() bool { return m.nodes[0].in.Busy()+m.nodes[0].in.Queued() == sent+1 })
	}
	m.publish(nil)
	view, _ := m.nodes[0].holder.Current(time.Now())
	leaving := *view
	leaving.Local.Draining = true
	m.nodes[0].holder.Store(&leaving)
	m.nodes[0].in.LocalChanged()
	must.Eq(t, http.StatusServiceUnavailable, <-statuses) // its view had no other worker
	close(m.nodes[0].worker.unblock)
	must.Eq(t, http.StatusOK, <-statuses)
	must.Eq(t, http.StatusOK, <-statuses)
	must.Eq(t, 2, m.nodes[0].worker.runs())
}

// A request whose worker begins to drain while the body is received is refused as not run.
// Fault: such requests reached a draining worker later than allowed.
func TestRequestIsRefusedWhenWorkerDrainsDuringBody(t *testing.T) {
	m := newCatalogMesh(t, 1)
	node := m.nodes[0]
	body, sender := io.Pipe()
	request := httptest.NewRequest("POST", "/order/", body)
	request.ContentLength = int64(len("cards"))
	hopFields := hopRequest{attempt: "t-1", instance: node.worker.id, caller: "shop", route: "order", class: class{rank: 1}}
	request.Header.Set(hopHeader, hopFields.encode())
	request.Header.Set(testProtocol.RequestID, "r-1")
	request.Header.Set(testProtocol.Deadline, "20000")
	request.Header.Set("Expect", "100-continue")
	recorder := httptest.NewRecorder()
	ended := make(chan struct{})
	go func() {
		node.in.ServeHTTP(recorder, request)
		close(ended)
	}()
	_, err := sender.Write([]byte("car")) // returns once the node reads the body
	must.NoError(t, err)
	view, _ := node.holder.Current(time.Now())
	leaving := *view
	leaving.Local.Draining = true
	node.holder.Store(&leaving)
	_, err = sender.Write([]byte("ds"))
	must.NoError(t, err)
	must.NoError(t, sender.Close())
	<-ended
	must.Eq(t, http.StatusServiceUnavailable, recorder.Code)
	must.Eq(t, outcome.NotRun, decodeHopReply(recorder.Header().Get(hopHeader)).outcome)
	must.Zero(t, node.worker.runs())
}

// A worker that responds that it is another instance is not called again for the old one.
// After a crash, the record of the old instance remains in the catalog for seconds.
func TestReplacedWorkerIsCalledOnce(t *testing.T) {
	m := newCatalogMesh(t, 2)
	m.nodes[0].worker.mutex.Lock()
	m.nodes[0].worker.id = "i-new"
	m.nodes[0].worker.mutex.Unlock()
	response, _, err := m.call("POST", "/order/", "cards")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	m.onlyFirstWorker(1)
	m.entry = 1 // another node, which has not received that response
	response, _, err = m.call("POST", "/order/", "cards")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, 1, m.nodes[0].worker.misdirectedCount())
	must.Zero(t, m.nodes[0].worker.runs())
}

// A worker whose record was removed although it did not announce a drain is sent requests
// until the record expires, and beyond that while the worker's own node retains it. Other
// requests are refused as not run.
func TestLapsedWorkerServesUntilExpiryOrWhileRetained(t *testing.T) {
	m := newCatalogMesh(t, 2)
	lapse := func(until time.Time) {
		for own, node := range m.nodes {
			view, _ := node.holder.Current(time.Now())
			for _, route := range view.Routes {
				endpoints := route.Targets[0].Endpoints[1:]
				endpoints[0].Lapsed = true
				route.Targets[0].Endpoints = endpoints
			}
			if own == 1 {
				view.Local.Lapsed, view.Local.AcceptedUntil = true, until
			}
		}
	}
	status := func() int {
		response, _, err := m.call("POST", "/order/", "cards")
		must.NoError(t, err)
		return response.StatusCode
	}
	lapse(time.Now().Add(time.Hour))
	must.Eq(t, http.StatusOK, status())
	view, _ := m.nodes[1].holder.Current(time.Now())
	view.Local.AcceptedUntil = time.Now()
	must.Eq(t, http.StatusServiceUnavailable, status())
	must.Eq(t, 1, m.runs())
	m.nodes[1].in.Retain(true)
	must.Eq(t, http.StatusOK, status())
	m.nodes[1].in.Retain(false)
	must.Eq(t, http.StatusServiceUnavailable, status())
	must.Eq(t, 2, m.runs())
}

// An order that a worker ran is sent to no other worker, also if the records of both have
// lapsed. Guards against treating every failure at a lapsed worker as that of an offer.
func TestOrderRunByLapsedWorkerIsNotOfferedAgain(t *testing.T) {
	for _, behaviour := range []string{"close", "reset", "garbage", "half", "unsigned"} {
		t.Run(behaviour, func(t *testing.T) {
			m := newCatalogMesh(t, 3)
			m.publish(func(route *snapshot.Route) {
				route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:]
				for index := range route.Targets[0].Endpoints {
					route.Targets[0].Endpoints[index].Lapsed = true
				}
			})
			m.script(behaviour)
			response, _, err := m.call("POST", "/order/", "cards")
			must.NoError(t, err)
			must.Eq(t, http.StatusBadGateway, response.StatusCode)
			must.Eq(t, 1, m.runs())
		})
	}
}

package traffic

import (
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestReadTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "1500.5": 1500500 * time.Microsecond, "0": 0, "-5": 0, "0.2": 200 * time.Microsecond,
		"3600001": maxDeadline, strconv.Itoa(math.MaxInt64): maxDeadline, "9300000000000": maxDeadline, "1e400": maxDeadline,
	} {
		got, given := readTimeout(text)
		must.True(t, given, must.Sprint(text))
		must.Eq(t, want, got, must.Sprint(text))
	}
	for _, text := range []string{"", "soon", "NaN", "15 00"} {
		_, given := readTimeout(text)
		must.False(t, given, must.Sprint(text))
	}
}

// A worker is never given more time than its caller has. Fault: a deadline with a fraction, or below
// zero, was ignored, and the worker was told the route's timeout; a very long one overflowed, and
// the request was refused.
func TestWorkerIsToldTheCallersDeadline(t *testing.T) {
	const routeTimeout = 60_000 // milliseconds
	for deadline, longest := range map[string]int{"1500.5": 1500, "20000": 20000, "9300000000000": routeTimeout, strconv.Itoa(math.MaxInt64): routeTimeout} {
		m := newCatalogMesh(t, 2)
		response, _, err := m.call("POST", "/order/", "cards", testProtocol.Deadline, deadline)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, response.StatusCode, must.Sprint(deadline))
		for _, node := range m.nodes {
			if node.worker.runs() == 0 {
				continue
			}
			got, _ := node.worker.lastRequest()
			told, err := strconv.Atoi(got.Header.Get(testProtocol.Deadline))
			must.NoError(t, err)
			must.Between(t, 1, told, longest, must.Sprint(deadline))
		}
	}
	m := newCatalogMesh(t, 2)
	response, _, err := m.call("POST", "/order/", "cards", testProtocol.Deadline, "-5")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Zero(t, m.runs())
}

// A request whose deadline passed before it left the caller's node, because that was paused, runs
// at no worker. Fault: the worker's node took a deadline below zero for none and allowed an hour.
func TestPassedDeadlineBetweenNodesIsRefused(t *testing.T) {
	m := newCatalogMesh(t, 1)
	node := m.nodes[0]
	request := httptest.NewRequest("GET", "/order/", nil)
	hopFields := hopRequest{attempt: "t-1", instance: node.worker.id, caller: "shop", route: "order", class: class{rank: 1}}
	request.Header.Set(hopHeader, hopFields.encode())
	request.Header.Set(testProtocol.RequestID, "r-1")
	request.Header.Set(testProtocol.Deadline, "-1500")
	recorder := httptest.NewRecorder()
	node.in.ServeHTTP(recorder, request)
	must.Zero(t, node.worker.runs())
	must.Eq(t, http.StatusServiceUnavailable, recorder.Code)
}

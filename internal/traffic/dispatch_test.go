package traffic

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/admission"
)

// The request reaches a worker unchanged except for the headers that sliphead sets, and the
// response is forwarded unchanged.
func TestDispatchForwardsRequestAndResponse(t *testing.T) {
	m := newCatalogMesh(t, 2)
	response, text, err := m.call("POST", "/order/a?b=c", "wedding cards",
		testProtocol.CallerService, "forged", testProtocol.TargetInstance, "forged", "Sliphead-Attempt", "forged", "X-Other", "kept")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "answer to r-1", text)
	must.Eq(t, "signed", response.Header.Get(testProtocol.Signature))
	got, body := m.nodes[0].worker.lastRequest()
	must.Eq(t, "wedding cards", body)
	must.Eq(t, "/order/a?b=c", got.URL.RequestURI())
	must.Eq(t, "shop", got.Header.Get(testProtocol.CallerService))
	must.Eq(t, "i-0", got.Header.Get(testProtocol.TargetInstance))
	must.Eq(t, "kept", got.Header.Get("X-Other"))
	must.Eq(t, "", got.Header.Get("Sliphead-Attempt"))
}

// For each worker fault, a request that must not be repeated runs at most once, a refusal
// means that it did not run, and a success is the worker's own response.
func TestDispatchOutcomeByWorkerFault(t *testing.T) {
	for _, behaviour := range []string{"", "shed", "error", "close", "reset", "garbage", "unsigned", "half", "late", "late-thrice", "extra", "unframed", "unframed-reset"} {
		for _, method := range []string{"GET", "POST", "POST-long"} {
			for _, path := range []string{"/lookup/", "/order/"} {
				t.Run(behaviour+method+path, func(t *testing.T) {
					m := newCatalogMesh(t, 2)
					m.script(behaviour, behaviour)
					verb, long, _ := strings.Cut(method, "-")
					body := "cards"
					if verb == "GET" {
						body = ""
					}
					if long != "" {
						body = strings.Repeat("cards", directBody)
					}
					response, text, err := m.call(verb, path, body)
					if path == "/order/" {
						must.LessEq(t, 1, m.runs())
					}
					must.NoError(t, err)
					switch response.StatusCode {
					case http.StatusOK:
						must.Eq(t, "answer to r-1", text)
						must.Eq(t, "signed", response.Header.Get(testProtocol.Signature))
					case http.StatusServiceUnavailable:
						must.Zero(t, m.runs())
						must.NotEq(t, "", response.Header.Get("Retry-After"))
					case http.StatusInternalServerError:
						must.Eq(t, "error", text)
					default:
						must.Eq(t, http.StatusBadGateway, response.StatusCode)
						must.Eq(t, "", response.Header.Get(testProtocol.Signature))
					}
					if behaviour == "late" || behaviour == "unframed" || behaviour == "extra" {
						must.Eq(t, http.StatusOK, response.StatusCode)
					}
				})
			}
		}
	}
}

// A request runs at no more workers than its route allows, however it fails there.
func TestRequestRunsAtNoMoreWorkersThanAllowed(t *testing.T) {
	for _, behaviour := range []string{"close", "error", "half", "status 503"} {
		for attempts := 1; attempts <= 3; attempts++ {
			m := newCatalogMesh(t, 4)
			m.publish(func(route *snapshot.Route) { route.MaxAttempts = attempts })
			m.script(behaviour)
			_, _, err := m.call("GET", "/lookup/", "")
			must.NoError(t, err)
			must.Eq(t, attempts, m.runs(), must.Sprint(behaviour))
		}
	}
}

// The error response of a worker is retained while another worker may do better, and the
// caller gets exactly one response. Fault: ending a failed attempt wrote the retained response
// after that of the second worker.
func TestDispatchSendsOneResponseAfterWorkerFailure(t *testing.T) {
	m := newCatalogMesh(t, 3)
	m.nodes[0].worker.script = []string{"error"}
	m.nodes[1].worker.script = []string{"close"}
	m.nodes[2].worker.script = []string{"close"}
	m.publish(func(route *snapshot.Route) { route.MaxAttempts = 3 })
	for range 4 {
		response, text, err := m.call("GET", "/lookup/", "")
		must.NoError(t, err)
		if response.StatusCode == http.StatusOK {
			must.StrHasPrefix(t, "answer to ", text)
		} else {
			must.Eq(t, "error", text)
		}
	}
}

// A response that arrives before the body has been sent is forwarded, and the connection is
// not reused.
func TestDispatchForwardsEarlyResponse(t *testing.T) {
	m := newCatalogMesh(t, 1)
	defer close(m.nodes[0].worker.unblock)
	m.script("early")
	response, text, err := m.call("POST", "/order/", strings.Repeat("artwork ", 1<<18))
	must.NoError(t, err)
	must.Eq(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	must.Eq(t, "long", text)
	response, _, err = m.call("POST", "/order/", "cards")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
}

// No endpoint counts a request as in flight after it has ended. Fault: requests that were
// refused for lack of retry budget remained counted.
func TestDispatchReleasesInFlightCounts(t *testing.T) {
	m := newCatalogMesh(t, 3)
	for _, node := range m.nodes {
		node.out.budget = newServiceBudget(Limits{}) // no retries at all
	}
	for range 30 {
		m.script("error", "close", "shed")
		_, _, err := m.call("GET", "/lookup/", "")
		must.NoError(t, err)
	}
	view, _ := m.nodes[0].holder.Current(time.Now())
	for _, endpoint := range view.Routes[0].Targets[0].Endpoints {
		must.Zero(t, m.nodes[0].out.chooser.balancer.InFlight(endpoint))
	}
}

// A body of unknown length reaches the worker complete.
func TestDispatchForwardsChunkedBody(t *testing.T) {
	m := newCatalogMesh(t, 2)
	text := strings.Repeat("artwork ", 1<<14)
	must.Eq(t, http.StatusOK, m.sendOrderBody(inChunks(text)).StatusCode)
	_, body := m.nodes[0].worker.lastRequest()
	must.True(t, body == text)
}

// A node without a configuration responds 503, never 404.
func TestDispatchWithoutConfigurationReturns503(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.nodes[0].holder.Store(nil)
	response, _, err := m.call("GET", "/lookup/", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
}

// Each service gets its share of a route's requests.
func TestWeightsDistributeByShare(t *testing.T) {
	w := newWeights(rand.New(rand.NewPCG(7, 7)))
	route := &snapshot.Route{Targets: []snapshot.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for range 100 {
		target, _ := w.target(route)
		counts[target.Service]++
	}
	must.Eq(t, map[string]int{"a": 90, "b": 10}, counts)
}

// The first requests of many nodes are distributed by the weights, also after a change of the
// weights. Fault: all of 83 nodes started with the service of the largest weight and sent it
// their first four requests, so that a service with a weight of one tenth got none of the
// first 300 requests of the mesh.
func TestWeightsHoldOverFirstRequestsOfMesh(t *testing.T) {
	for seed := range uint64(20) {
		nodes := make([]*weights, 83)
		for index := range nodes {
			nodes[index] = newWeights(rand.New(rand.NewPCG(seed, uint64(index))))
		}
		for _, share := range []int{90, 50, 70} {
			route := &snapshot.Route{Targets: []snapshot.Target{{Service: "a", Weight: share}, {Service: "b", Weight: 100 - share}}}
			first := 0
			for round := range 4 {
				for _, node := range nodes {
					if target, _ := node.target(route); target.Service == "a" {
						first++
					}
				}
				must.InDelta(t, float64(share)/100, float64(first)/float64(83*(round+1)), 0.15)
			}
		}
	}
}

// A request of a higher priority than the running ones queues until its deadline. Fault: while
// long runs of a lower-priority route held all slots, short calls between services were
// refused, and the runs that had made them failed.
func TestHigherPriorityRequestQueuesUntilDeadline(t *testing.T) {
	for rank, status := range map[int]int{1: http.StatusOK, 3: http.StatusServiceUnavailable} {
		m := newCatalogMesh(t, 1)
		m.publish(func(route *snapshot.Route) {
			route.Objective = time.Millisecond
			route.Rank = rank
			route.MaxAttempts = 1
		})
		in := m.nodes[0].in
		in.admitter.resize(1)
		view, _ := m.nodes[0].holder.Current(time.Now())
		view.Local.Slots = 1
		long := admission.Arrival[*exchange]{Class: admission.Batch, Kind: "long", Deadline: time.Now().Add(time.Hour), Waiter: &exchange{}}
		earlier, _ := in.admitter.queue.Admit(long, time.Now().Add(-time.Second))
		in.admitter.queue.Done(earlier, time.Now())
		running, _ := in.admitter.queue.Admit(long, time.Now())
		if status == http.StatusOK {
			time.AfterFunc(50*time.Millisecond, func() { in.admitter.release(running) })
		}
		response, _, err := m.call("GET", "/lookup/", "")
		must.NoError(t, err)
		must.Eq(t, status, response.StatusCode, must.Sprint(rank))
	}
}

// A caller that retries after a refusal does not retry again, so its request queues until its
// deadline, where a first request would be refused with Retry-After.
func TestRetryingCallerQueuesUntilDeadline(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.publish(func(route *snapshot.Route) {
		route.Objective = time.Millisecond
		route.Rank = 3
		route.MaxAttempts = 1
	})
	node := m.nodes[0]
	node.in.admitter.resize(1)
	view, _ := node.holder.Current(time.Now())
	view.Local.Slots = 1
	long := admission.Arrival[*exchange]{Class: admission.Batch, Kind: "long", Deadline: time.Now().Add(time.Hour), Waiter: &exchange{}}
	earlier, _ := node.in.admitter.queue.Admit(long, time.Now().Add(-time.Second))
	node.in.admitter.queue.Done(earlier, time.Now())
	running, _ := node.in.admitter.queue.Admit(long, time.Now())

	response, _, err := m.call("GET", "/lookup/", "", testProtocol.Deadline, "20000")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.NotEq(t, "", response.Header.Get("Retry-After"))

	time.AfterFunc(50*time.Millisecond, func() { node.in.admitter.release(running) })
	response, _, err = m.call("GET", "/lookup/", "", testProtocol.Deadline, "15000")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
}

package traffic

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
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
	for _, behaviour := range []string{"", "shed", "error", "close", "reset", "garbage", "unsigned", "half", "late", "extra", "unframed", "unframed-reset"} {
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

// A node without a configuration responds 503, never 404.
func TestDispatchWithoutConfigurationReturns503(t *testing.T) {
	m := newCatalogMesh(t, 1)
	m.nodes[0].holder.Store(nil)
	response, _, err := m.call("GET", "/lookup/", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
}

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

// blockedLink accepts connections for a node and forwards nothing before release is closed,
// like a link with a long queue.
func blockedLink(t *testing.T, to string, release <-chan struct{}) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer near.Close()
				<-release
				far, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer far.Close()
				go func() { _, _ = io.Copy(far, near) }()
				_, _ = io.Copy(near, far)
			}()
		}
	}()
	return listener.Addr().String()
}

// A request that cannot be sent to a second worker waits for a node that has not acknowledged
// it yet. Fault: it ended with 502 although the response was on its way, and a worker was
// interrupted.
func TestDispatchWaitsForSlowNodeWithoutAlternative(t *testing.T) {
	for name, change := range map[string]func(*snapshot.Route){
		"attempts": func(route *snapshot.Route) { route.MaxAttempts = 1 },
		"budget":   func(*snapshot.Route) {},
		"stopping": func(*snapshot.Route) {},
	} {
		t.Run(name, func(t *testing.T) {
			m := newCatalogMesh(t, 2)
			if name == "budget" {
				m.nodes[0].out.budget = newServiceBudget(Limits{})
			}
			if name == "stopping" { // an abandoned attempt would count as cut
				m.nodes[0].out.StopBy(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
			}
			release := make(chan struct{})
			slow := blockedLink(t, m.nodes[1].inbound, release)
			m.publish(func(route *snapshot.Route) {
				change(route)
				far := route.Targets[0].Endpoints[1]
				far.Address, far.Local = slow, false
				route.Targets[0].Endpoints = []snapshot.Endpoint{far, far}
				route.Targets[0].Endpoints[1].Worker, route.Targets[0].Endpoints[1].Zone = "i-none", "z2"
			})
			time.AfterFunc(2*maxAckTimeout, func() { close(release) })
			response, text, err := m.call("GET", "/lookup/", "")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, "answer to r-1", text)
			must.Eq(t, 1, m.runs())
		})
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

// An attempt at an unresponsive node stays pending when another node is attempted: the first
// response is forwarded, and the other attempt is cancelled.
func TestHedgedDispatchForwardsFirstResponse(t *testing.T) {
	m := newCatalogMesh(t, 3)
	m.nodes[0].in.Drain() // its own worker accepts no requests
	release := make(chan struct{})
	slow := blockedLink(t, m.nodes[1].inbound, release)
	never := make(chan struct{})
	t.Cleanup(func() { close(never) })
	dead := blockedLink(t, m.nodes[2].inbound, never)
	m.publish(func(route *snapshot.Route) {
		first, second := route.Targets[0].Endpoints[1], route.Targets[0].Endpoints[2]
		first.Address, first.Local = slow, false
		second.Address, second.Local, second.Zone = dead, false, "z2" // attempted second
		route.Targets[0].Endpoints = []snapshot.Endpoint{first, second}
	})
	time.AfterFunc(3*maxAckTimeout, func() { close(release) })
	response, text, err := m.call("GET", "/lookup/", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.Eq(t, "answer to r-1", text)
	must.Eq(t, 1, m.runs())
	must.Eq(t, 1, m.nodes[1].worker.runs())
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

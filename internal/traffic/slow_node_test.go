package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

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

// cutLink forwards connections to a node until cut is called, which closes all of them, as when the
// node's machine is lost.
func cutLink(t *testing.T, to string) (address string, cut func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cut := context.WithCancel(context.Background())
	t.Cleanup(func() {
		_ = listener.Close()
		cut()
	})
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			context.AfterFunc(ctx, func() {
				_ = near.Close()
				_ = far.Close()
			})
			go func() { _, _ = io.Copy(far, near) }()
			go func() { _, _ = io.Copy(near, far) }()
		}
	}()
	return listener.Addr().String(), cut
}

// publishTwoChoices lets routes reach the second node at the given address, and as the second choice
// the third node.
func (m *catalogMesh) publishTwoChoices(address string) {
	m.publish(func(route *snapshot.Route) {
		first, second := route.Targets[0].Endpoints[1], route.Targets[0].Endpoints[2]
		first.Address = address
		second.Zone = "z2"
		route.Targets[0].Endpoints = []snapshot.Endpoint{first, second}
	})
}

// An order that a worker runs when the connection to its node breaks is sent to no other worker,
// and its caller is not told that it has not run. Guards against taking a body that was sent after
// 100 Continue for one that is still held back.
func TestOrderWhoseNodeIsLostRunsAtNoOtherWorker(t *testing.T) {
	for name, body := range map[string]string{"no body": "", "short body": "cards", "long body": strings.Repeat("cards", directBody), "streamed body": strings.Repeat("x", maxWholeBody+1)} {
		t.Run(name, func(t *testing.T) {
			m := newCatalogMesh(t, 3)
			link, cut := cutLink(t, m.nodes[1].inbound)
			m.publishTwoChoices(link)
			m.nodes[1].worker.setScript("wait")
			statuses := make(chan int, 1)
			go func() {
				response, _, err := m.call("POST", "/order/", body)
				must.NoError(t, err)
				statuses <- response.StatusCode
			}()
			waitFor(t, func() bool { return m.nodes[1].worker.runs() == 1 })
			cut()
			must.Eq(t, http.StatusBadGateway, <-statuses)
			must.Zero(t, m.nodes[2].worker.runs())
			close(m.nodes[1].worker.unblock)
		})
	}
}

// A request whose first run failed without a response, and that a second worker then rejects, may
// have run: its caller is not told otherwise.
func TestRejectionAfterAFailedRunIsNoPromise(t *testing.T) {
	m := newCatalogMesh(t, 2)
	m.publish(func(route *snapshot.Route) { route.Targets[0].Endpoints[1].Zone = "z2" })
	m.nodes[0].worker.setScript("close")
	m.nodes[1].worker.setScript("shed")
	response, _, err := m.call("GET", "/lookup/", "")
	must.NoError(t, err)
	must.Eq(t, http.StatusBadGateway, response.StatusCode)
	must.Eq(t, outcome.Unknown, outcome.Outcome(response.Header.Get(outcome.Header)))
	must.Eq(t, 1, m.runs())
}

// An order without a body that a silent node may run is sent to no other worker: nothing of it is
// held back until the node answers, as a body is. Guards against taking silence for "not run".
func TestOrderAtSilentNodeIsSentToNoOtherWorker(t *testing.T) {
	for _, method := range []string{"GET", "DELETE", "POST"} {
		t.Run(method, func(t *testing.T) {
			m := newCatalogMesh(t, 3)
			release := make(chan struct{})
			m.publishTwoChoices(blockedLink(t, m.nodes[1].inbound, release))
			time.AfterFunc(2*maxAckTimeout, func() { close(release) })
			response, _, err := m.call(method, "/order/", "")
			must.NoError(t, err)
			must.Eq(t, http.StatusOK, response.StatusCode)
			must.Eq(t, 1, m.nodes[1].worker.runs())
			must.Zero(t, m.nodes[2].worker.runs())
		})
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

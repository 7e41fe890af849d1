package traffic

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// testProtocol names the headers of the simulated callers and workers.
var testProtocol = Protocol{
	RequestID:      "X-Test-Id",
	Deadline:       "X-Test-Deadline",
	CallerService:  "X-Test-Caller",
	TargetInstance: "X-Test-Target",
	NotExecuted:    "X-Test-Not-Executed",
	Signature:      "X-Test-Signature",
	Tenant:         "X-Test-Tenant",
	Instance:       "X-Test-Instance",
	Limit:          "X-Test-Limit",
	Leaving:        "X-Test-Leaving",
}

// instanceWorker simulates a worker of a catalog's mesh. Each request gets the next behaviour
// of the script, and a good response once the script is empty.
type instanceWorker struct {
	id       string
	listener net.Listener

	mutex          sync.Mutex
	script         []string
	ran            []string // ids of requests that ran
	got            []*http.Request
	bodies         []string
	misdirected    int           // requests that were for another instance
	responseFields string        // header lines added to its own responses, each with its line end
	unblock        chan struct{} // closed to let "wait" respond
	disconnected   chan struct{} // receives a value when "watch" has seen the connection end
}

func newInstanceWorker(t testing.TB, id string) *instanceWorker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	w := &instanceWorker{id: id, listener: listener, unblock: make(chan struct{}), disconnected: make(chan struct{}, 8)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w
}

func (w *instanceWorker) address() string { return w.listener.Addr().String() }

// next removes and returns the next behaviour of the script.
func (w *instanceWorker) next() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.script) == 0 {
		return ""
	}
	first := w.script[0]
	w.script = w.script[1:]
	return first
}

// setScript replaces the behaviours to come.
func (w *instanceWorker) setScript(behaviours ...string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.script = behaviours
}

func (w *instanceWorker) runs() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.ran)
}

// misdirectedCount returns the number of requests that were for another instance.
func (w *instanceWorker) misdirectedCount() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.misdirected
}

func (w *instanceWorker) isTarget(request *http.Request) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if request.Header.Get(testProtocol.TargetInstance) == w.id {
		return true
	}
	w.misdirected++
	return false
}

func (w *instanceWorker) record(request *http.Request, body string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ran = append(w.ran, request.Header.Get(testProtocol.RequestID))
	w.got = append(w.got, request)
	w.bodies = append(w.bodies, body)
}

// forget drops what the worker has recorded.
func (w *instanceWorker) forget() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ran, w.got, w.bodies = nil, nil, nil
}

func (w *instanceWorker) lastRequest() (*http.Request, string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.got[len(w.got)-1], w.bodies[len(w.bodies)-1]
}

func (w *instanceWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		behaviour := w.next()
		if behaviour == "early" { // responds before it has read the body, and reads no more
			w.record(request, "")
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 413 Long\r\n%s\r\nContent-Length: 4\r\n\r\nlong", w.headers(request))
			<-w.unblock
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !w.behave(behaviour, conn, request, string(body)) {
			return
		}
	}
}

func (w *instanceWorker) headers(request *http.Request) string {
	return fmt.Sprintf("%s%s: %s\r\n%s: signed", w.ownResponseFields(), testProtocol.RequestID, request.Header.Get(testProtocol.RequestID), testProtocol.Signature)
}

// setResponseFields sets header lines for the worker's responses from now on, each with its line end.
func (w *instanceWorker) setResponseFields(fields string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.responseFields = fields
}

func (w *instanceWorker) ownResponseFields() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.responseFields
}

func bodyOfResponse(request *http.Request) string {
	return "answer to " + request.Header.Get(testProtocol.RequestID)
}

// behave responds to one request according to the behaviour; false closes the connection.
func (w *instanceWorker) behave(behaviour string, conn net.Conn, request *http.Request, body string) bool {
	text := bodyOfResponse(request)
	if !w.isTarget(request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if behaviour == "shed" {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", w.ownResponseFields(), testProtocol.NotExecuted)
		return true
	}
	w.record(request, body)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\nContent-Length: %d\r\n\r\n%s", w.headers(request), len(text), text)
	lateResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n%s: signed\r\nContent-Length: 5\r\n\r\nother", testProtocol.RequestID, testProtocol.Signature)
	if status, own := strings.CutPrefix(behaviour, "status "); own { // a failure of its own, after the run
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Own\r\n%s\r\nContent-Length: 3\r\n\r\nown", status, w.headers(request))
		return true
	}
	switch behaviour {
	case "wait":
		<-w.unblock
	case "watch": // runs until the caller disconnects
		_, _ = conn.Read(make([]byte, 1))
		w.disconnected <- struct{}{}
		return false
	case "wait-error", "error":
		if behaviour == "wait-error" {
			<-w.unblock
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\n%s\r\nContent-Length: 5\r\n\r\nerror", w.headers(request))
		return true
	case "wait-close", "close":
		if behaviour == "wait-close" {
			<-w.unblock
		}
		return false
	case "reset":
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	case "garbage":
		_, _ = io.WriteString(conn, "no answer at all\r\n\r\n")
		return false
	case "unsigned":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake")
		return true
	case "half":
		_, _ = io.WriteString(conn, whole[:len(whole)-4])
		return false
	case "late":
		_, _ = io.WriteString(conn, lateResponse+whole)
		return true
	case "extra":
		_, _ = io.WriteString(conn, whole+lateResponse)
		return true
	case "unframed":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\n\r\n%s", w.headers(request), text)
		return false
	case "unframed-reset":
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nConnection: close\r\n\r\n%s", w.headers(request), text[:4])
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	}
	_, _ = io.WriteString(conn, whole)
	return true
}

// catalogNode is one node of the mesh under test, with its worker.
type catalogNode struct {
	worker   *instanceWorker
	holder   *snapshot.Holder
	in       *Inbound
	out      *Outbound
	inbound  string
	outbound string
}

// catalogMesh consists of nodes with one worker each, all of one service in one zone.
type catalogMesh struct {
	t      testing.TB
	nodes  []*catalogNode
	client *http.Client
	serial atomic.Int64
	entry  int // index of the node that requests are sent to
}

// newCatalogMesh starts nodes. Requests go to the first one.
func newCatalogMesh(t testing.TB, count int) *catalogMesh {
	m := &catalogMesh{t: t, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(m.client.CloseIdleConnections)
	for index := range count {
		m.nodes = append(m.nodes, newCatalogNode(t, fmt.Sprintf("i-%d", index)))
	}
	m.publish(nil)
	return m
}

func newCatalogNode(t testing.TB, id string) *catalogNode {
	node := &catalogNode{worker: newInstanceWorker(t, id), holder: &snapshot.Holder{}}
	node.holder.Renew(time.Now().Add(time.Hour))
	config := Config{
		Node: id, Zone: "z1", Region: "r1", Service: "shop", Holder: node.holder, Worker: id,
		WorkerAddress: node.worker.address(), Protocol: testProtocol, Logger: discardLogger(),
		Limits: Limits{SmallBody: 4 << 20, RetryRatio: 1},
	}
	node.in = NewInbound(config)
	node.out = NewOutbound(config)
	node.out.UseLocal(node.in)
	inbound := serve(t, node.in, config.Limits)
	outbound := serve(t, node.out, config.Limits)
	t.Cleanup(func() { outbound.Close(); inbound.Close() })
	node.inbound, node.outbound = address(inbound.URL), outbound.URL
	return node
}

// publish stores a view in each node. change may alter its routes.
func (m *catalogMesh) publish(change func(*snapshot.Route)) {
	for own, node := range m.nodes {
		var endpoints []snapshot.Endpoint
		for index, other := range m.nodes {
			endpoints = append(endpoints, snapshot.Endpoint{
				Worker: other.worker.id, Node: other.worker.id, Zone: "z1", Region: "r1", Address: other.inbound, Slots: 2, Connections: 130, Local: index == own,
			})
		}
		var routes []*snapshot.Route
		for _, name := range []string{"lookup", "order"} {
			route := &snapshot.Route{
				Route:       declaration.Route{Name: name, Host: "shop.example", PathPrefix: "/" + name + "/", Service: "shop", Repeatable: name == "lookup", DeadlineMS: 60_000},
				MaxAttempts: 2, Objective: 30 * time.Second,
				Targets: []snapshot.Target{{Service: "shop", Weight: 1, Endpoints: endpoints}},
			}
			if change != nil {
				change(route)
			}
			routes = append(routes, route)
		}
		view := snapshot.NewView(version.Version{Revision: 1}, time.Now(), routes)
		view.Nodes = len(m.nodes)
		view.Local = snapshot.Local{Instance: node.worker.id, ID: node.worker.id, Service: "shop", Slots: 2, Connections: 130}
		node.holder.Store(view)
	}
}

// onlyFirstWorker removes all workers but the first from a node's view.
func (m *catalogMesh) onlyFirstWorker(node int) {
	view, _ := m.nodes[node].holder.Current(time.Now())
	for _, route := range view.Routes {
		route.Targets[0].Endpoints = route.Targets[0].Endpoints[:1]
	}
}

// call sends a request to the entry node and reads the whole response.
func (m *catalogMesh) call(method, path, body string, headers ...string) (*http.Response, string, error) {
	m.t.Helper()
	request, err := http.NewRequest(method, m.nodes[m.entry].outbound+path, strings.NewReader(body))
	must.NoError(m.t, err)
	request.Host = "shop.example"
	request.Header.Set(testProtocol.RequestID, fmt.Sprintf("r-%d", m.serial.Add(1)))
	request.Header.Set(testProtocol.Deadline, "20000")
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := m.client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// sendOrderBody sends an order whose body is read from a reader, in chunks unless its length is known
// by the reader's type, and returns the response without its body.
func (m *catalogMesh) sendOrderBody(body io.Reader) *http.Response {
	m.t.Helper()
	request, err := http.NewRequest(http.MethodPost, m.nodes[m.entry].outbound+"/order/", body)
	must.NoError(m.t, err)
	request.Host = "shop.example"
	request.Header.Set(testProtocol.RequestID, fmt.Sprintf("r-%d", m.serial.Add(1)))
	response, err := m.client.Do(request)
	must.NoError(m.t, err)
	must.NoError(m.t, response.Body.Close())
	return response
}

// inChunks hides the length of a text, so that a body is sent in chunks.
func inChunks(text string) io.Reader { return io.MultiReader(strings.NewReader(text)) }

// runs counts the runs at all workers.
func (m *catalogMesh) runs() int {
	total := 0
	for _, node := range m.nodes {
		total += node.worker.runs()
	}
	return total
}

// script sets the same script for all workers.
func (m *catalogMesh) script(behaviours ...string) {
	for _, node := range m.nodes {
		node.worker.setScript(slices.Clone(behaviours)...)
	}
}

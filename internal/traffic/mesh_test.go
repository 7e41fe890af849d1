package traffic

import (
	"io"

	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"sliphead/internal/declaration"
	"sliphead/internal/httpserver"
	"sliphead/internal/logging"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// mesh consists of a caller's node and a worker's node with real sockets.
type mesh struct {
	worker   *httptest.Server
	in       *Inbound
	out      *Outbound
	inbound  *testServer
	outbound *testServer
	holder   *snapshot.Holder
}

// testRoutes are the routes of every mesh under test.
func testRoutes() []declaration.Route {
	route := func(name string, priority declaration.Priority, repeatable bool) declaration.Route {
		return declaration.Route{Name: name, PathPrefix: "/" + name, Service: "shop", Priority: priority, Repeatable: repeatable, DeadlineMS: 60_000}
	}
	return []declaration.Route{
		route("lookup", declaration.PriorityInteractive, true),
		route("order", declaration.PriorityInteractive, false),
		route("upload", declaration.PriorityUpload, false),
		quick(route("quick-lookup", declaration.PriorityInteractive, true)),
		quick(route("quick-order", declaration.PriorityInteractive, false)),
		quick(route("quick-upload", declaration.PriorityUpload, false)),
	}
}

// quick gives a route a short deadline, for workers that do not respond.
func quick(route declaration.Route) declaration.Route {
	route.DeadlineMS = 150
	return route
}

func viewOf(endpoints []snapshot.Endpoint) *snapshot.View {
	var routes []*snapshot.Route
	for _, declared := range testRoutes() {
		routes = append(routes, &snapshot.Route{Route: declared, Endpoints: endpoints, LocalAllowed: true})
	}
	return snapshot.NewView(version.Version{Revision: 1}, time.Now(), routes)
}

func newMesh(t testing.TB, worker http.HandlerFunc, change func(*Config)) *mesh {
	t.Helper()
	m := &mesh{holder: &snapshot.Holder{}}
	config := Config{Node: "n1", Zone: "z1", Region: "r1", Holder: m.holder, Worker: "w1", Edge: true, Logger: discardLogger()}
	if worker != nil {
		m.worker = httptest.NewServer(worker)
		t.Cleanup(m.worker.Close)
		config.WorkerAddress = address(m.worker.URL)
	}
	if change != nil {
		change(&config)
	}
	m.in = NewInbound(config)
	m.out = NewOutbound(config)
	m.inbound = serve(t, m.in, config.Limits)
	m.outbound = serve(t, m.out, config.Limits)
	t.Cleanup(func() { m.outbound.Close(); m.inbound.Close() })
	m.setCapacity(6, 130)
	m.holder.Renew(time.Now().Add(time.Hour))
	return m
}

// setCapacity publishes two endpoints of the same node, so that a retry always finds an
// endpoint.
func (m *mesh) setCapacity(slots, connections int) {
	endpoint := snapshot.Endpoint{Worker: "w1", Node: "n1", Zone: "z1", Region: "r1", Address: address(m.inbound.URL), Slots: slots, Connections: connections}
	other := endpoint
	other.Worker = "w2"
	m.holder.Store(viewOf([]snapshot.Endpoint{endpoint, other}))
}

// waitFor returns when the condition holds.
func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(time.Millisecond)))
}

func discardLogger() log.Interface { return &log.Logger{Handler: discard.Default} }

// testServer is a server of NewServer on the loopback interface.
type testServer struct {
	*httpserver.Server
	URL    string
	client *http.Client
}

// Client returns a client that shares no connections with others.
func (s *testServer) Client() *http.Client { return s.client }

// Close stops the server and closes its client's connections.
func (s *testServer) Close() {
	s.client.CloseIdleConnections()
	_ = s.Server.Close()
}

// serve starts a server. A panic in the server fails the test.
func serve(t testing.TB, handler http.Handler, limits Limits) *testServer {
	return serveOn(t, listen(t), NewServer(handler, limits))
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return listener
}

func serveOn(t testing.TB, listener net.Listener, server *httpserver.Server) *testServer {
	lines := &errorLines{}
	server.Logger = logging.New(lines, log.ErrorLevel)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { must.StrNotContains(t, lines.String(), "request.panicked") })
	return &testServer{Server: server, URL: "http://" + listener.Addr().String(), client: &http.Client{Transport: &http.Transport{}}}
}

// errorLines collects the log of a server.
type errorLines struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (e *errorLines) Write(line []byte) (int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.text.Write(line)
}

func (e *errorLines) String() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.text.String()
}

func address(url string) string {
	return strings.TrimPrefix(strings.TrimPrefix(url, "https://"), "http://")
}

// call sends a request through the mesh and reads the whole response.
func (m *mesh) call(t testing.TB, method, path, body string, headers ...string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(method, m.outbound.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := m.outbound.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func TestCallReachesWorker(t *testing.T) {
	m := newMesh(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	}, nil)
	response, text, err := m.call(t, "POST", "/lookup/a%2Fb?q=1", "wedding cards", outcome.RequestID, "till-7")
	must.NoError(t, err)
	must.Eq(t, "POST /lookup/a%2Fb?q=1 wedding cards", text)
	must.Eq(t, "answered", response.Header.Get(outcome.Header))
	must.Eq(t, "till-7", response.Header.Get(outcome.RequestID))
	must.Eq(t, "", response.Header.Get(attemptHeader))
}

func TestStreamsBothWays(t *testing.T) {
	m := newMesh(t, func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.EnableFullDuplex()
		buffer := make([]byte, 64)
		for {
			count, err := r.Body.Read(buffer)
			_, _ = w.Write(buffer[:count])
			_ = controller.Flush()
			if err != nil {
				return
			}
		}
	}, nil)
	reader, writer := io.Pipe()
	response := m.startUpload(t, reader)
	buffer := make([]byte, 5)
	for _, part := range []string{"first", "secon", "third"} { // each is echoed while the upload continues
		_, err := io.WriteString(writer, part)
		must.NoError(t, err)
		_, err = io.ReadFull(response(), buffer)
		must.NoError(t, err)
		must.Eq(t, part, string(buffer))
	}
	_ = writer.Close()
	_, err := response().Read(buffer)
	must.Eq(t, io.EOF, err)
}

// startUpload sends a body and returns a function that waits for the response's body.
func (m *mesh) startUpload(t *testing.T, body io.Reader) func() io.Reader {
	request, err := http.NewRequest("POST", m.outbound.URL+"/upload", body)
	must.NoError(t, err)
	answers := make(chan io.Reader, 1)
	go func() {
		response, err := m.outbound.Client().Do(request)
		if err != nil {
			answers <- strings.NewReader(err.Error())
			return
		}
		answers <- response.Body
	}()
	return sync.OnceValue(func() io.Reader { return <-answers })
}

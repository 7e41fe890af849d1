package traffic

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// mesh is a caller's node and a worker's node with real sockets.
type mesh struct {
	worker   *httptest.Server
	in       *Inbound
	out      *Outbound
	inbound  *httptest.Server
	outbound *httptest.Server
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
	}
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
	m := &mesh{worker: httptest.NewServer(worker), holder: &snapshot.Holder{}}
	config := Config{Node: "n1", Zone: "z1", Region: "r1", Holder: m.holder, Worker: "w1", WorkerAddress: address(m.worker), Edge: true}
	if change != nil {
		change(&config)
	}
	m.in = NewInbound(config)
	m.out = NewOutbound(config)
	m.inbound = serve(m.in, config.Limits)
	m.outbound = serve(m.out, config.Limits)
	t.Cleanup(func() { m.outbound.Close(); m.inbound.Close(); m.worker.Close() })
	m.holder.Store(viewOf([]snapshot.Endpoint{{Worker: "w1", Node: "n1", Zone: "z1", Region: "r1", Address: address(m.inbound), Slots: 6, Connections: 130}}))
	m.holder.Renew(time.Now().Add(time.Hour))
	return m
}

func serve(handler http.Handler, limits Limits) *httptest.Server {
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(handler, limits)
	server.Start()
	return server
}

func address(server *httptest.Server) string { return server.Listener.Addr().(*net.TCPAddr).String() }

// call sends a request through the mesh and reads the whole answer.
func (m *mesh) call(t testing.TB, method, path string, body io.Reader, headers ...string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(method, m.outbound.URL+path, body)
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
	response, text, err := m.call(t, "POST", "/lookup/a%2Fb?q=1", strings.NewReader("wedding cards"), outcome.RequestID, "till-7")
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
	request, err := http.NewRequest("POST", m.outbound.URL+"/upload/art", reader)
	must.NoError(t, err)
	responses := make(chan *http.Response, 1)
	go func() {
		response, _ := m.outbound.Client().Do(request)
		responses <- response
	}()
	_, _ = io.WriteString(writer, "first")
	response := <-responses // the header has come while the upload goes on
	must.NotNil(t, response)
	defer response.Body.Close()
	buffer := make([]byte, 5)
	for _, part := range []string{"first", "secon", "third"} {
		_, err = io.ReadFull(response.Body, buffer)
		must.NoError(t, err)
		must.Eq(t, part, string(buffer))
		switch part {
		case "first":
			_, _ = io.WriteString(writer, "secon")
		case "secon":
			_, _ = io.WriteString(writer, "third")
			_ = writer.Close()
		}
	}
	_, err = response.Body.Read(buffer)
	must.Eq(t, io.EOF, err)
}

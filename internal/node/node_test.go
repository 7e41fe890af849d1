package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"sliphead/internal/logging"
	"sliphead/internal/outcome"
	"sliphead/internal/settings"
	"sliphead/internal/wire"
)

const declared = `{"revision":1,"document":{
	"zones":[{"name":"vyttila","region":"kochi","timeZone":"Asia/Kolkata"}],
	"services":[{"name":"storefront"}],
	"workers":[{"name":"storefront-1","service":"storefront","zone":"vyttila","slots":6,"connections":130}],
	"selectors":[{"name":"all","service":"storefront"}],
	"routes":[{"name":"catalogue","pathPrefix":"/","service":"storefront","selectors":["all"],"priority":"interactive","repeatable":true,"deadlineMs":20000}]}}`

// platform simulates the configuration service, and a machine list whose reads fail.
type platform struct {
	*httptest.Server
	machineRequests atomic.Int64 // requests for the machine list
}

func newPlatform() *platform {
	p := &platform{}
	p.Server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case request.URL.Path == "/v1/machines":
			p.machineRequests.Add(1)
			writer.WriteHeader(http.StatusInternalServerError)
		case request.Header.Get("If-None-Match") == `"1"`:
			writer.WriteHeader(http.StatusNotModified)
		default:
			writer.Header().Set("Content-Type", "application/json")
			writer.Header().Set("ETag", `"1"`)
			_, _ = io.WriteString(writer, declared)
		}
	}))
	return p
}

// events is a log that may be read while it is written.
type events struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

func (e *events) Write(line []byte) (int, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.text.Write(line)
}

// String returns the log so far.
func (e *events) String() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.text.String()
}

func (e *events) count(event string) int { return strings.Count(e.String(), "event="+event+" ") }

// running is a node under test.
type running struct {
	*Node
	events events
	ended  chan error
}

// freeAddress returns an address of this IP whose port was just free.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	listener, err := net.Listen("tcp", ip+":0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// startNode runs a node, with a worker unless its address is "".
func startNode(t *testing.T, ip, platform, worker string, seeds ...string) *running {
	t.Helper()
	text := fmt.Sprintf(`{name: "node-%s", zone: vyttila, region: kochi, security: {plain: true},
listen: {peer: "%s", outbound: "%s", admin: "%s"},
source: {configuration: "%s", machines: "%s", longPoll: 0s, machinesInterval: 1s}`,
		ip, freeAddress(t, ip), freeAddress(t, ip), freeAddress(t, ip), platform, platform)
	configured, err := settings.Parse("node.yaml", []byte(text+"}"), func(s *settings.Settings) {
		s.Seeds = seeds
		if worker != "" {
			s.Service, s.Listen.Inbound = "storefront", freeAddress(t, ip)
			s.Worker = &settings.Worker{Name: "storefront-1", Address: worker}
		}
	})
	must.NoError(t, err)
	r := &running{ended: make(chan error, 1)}
	r.Node, err = New(configured, Options{Logger: logging.New(&r.events, log.InfoLevel)})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.ended <- r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		if t.Failed() {
			t.Log(r.events.String())
		}
	})
	return r
}

// fetch sends one request and returns the response with its body.
func fetch(address, path string) (*http.Response, string, error) {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// respondsWith reports whether the response to a request has the status.
func respondsWith(address, path string, status int) bool {
	response, _, err := fetch(address, path)
	return err == nil && response.StatusCode == status
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond)), must.Sprint(what))
}

// Starts an edge and a worker's node, calls the worker through both, and stops the worker's
// node while a request is in flight: the request must finish and the node leave only then.
func TestNodesServeAndStop(t *testing.T) {
	current := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, current) })
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	source := newPlatform()
	t.Cleanup(source.Close)
	begun, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	worker := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/upload" {
			close(begun)
			<-released
		}
		_, _ = io.WriteString(writer, "from the worker")
	}))
	t.Cleanup(worker.Close)
	t.Cleanup(release)
	workerNode := startNode(t, "127.9.1.1", source.URL, worker.Listener.Addr().String())
	edge := startNode(t, "127.9.1.2", source.URL, "", workerNode.settings.Listen.Peer)
	caller := edge.settings.Listen.Outbound
	for _, n := range []*running{workerNode, edge} {
		eventually(t, "ready", func() bool { return respondsWith(n.settings.Listen.Admin, "/ready", http.StatusOK) })
	}
	eventually(t, "the worker selected", func() bool { return respondsWith(caller, "/catalogue", http.StatusOK) })
	response, text, err := fetch(caller, "/catalogue")
	must.NoError(t, err)
	must.Eq(t, "from the worker", text)
	must.Eq(t, string(outcome.Answered), response.Header.Get(outcome.Header))
	checkAdminResponses(t, workerNode, edge)
	eventually(t, "the machine list requested again", func() bool { return source.machineRequests.Load() >= 5 })

	type reply struct {
		text string
		err  error
	}
	replied := make(chan reply, 1)
	go func() {
		_, text, err := fetch(caller, "/upload")
		replied <- reply{text, err}
	}()
	<-begun
	workerNode.Stop()
	eventually(t, "draining", func() bool { return respondsWith(caller, "/catalogue", http.StatusServiceUnavailable) })
	must.Eq(t, 1, workerNode.InFlight())
	for _, member := range edge.Status(t.Context()).Members {
		must.NotEq(t, wire.StatusLeaving, member.Status, must.Sprint("the node leaves before its request has ended"))
	}
	release()
	must.Eq(t, reply{text: "from the worker"}, <-replied)
	must.NoError(t, <-workerNode.ended)
	must.Eq(t, 1, workerNode.events.count("node.drained"))
	edge.Stop()
	must.NoError(t, <-edge.ended)

	must.Eq(t, 1, workerNode.events.count("machines.failed"))
	must.Eq(t, 1, edge.events.count("machines.failed"))
}

// checkAdminResponses checks the status and metrics of two ready nodes.
func checkAdminResponses(t *testing.T, workerNode, edge *running) {
	t.Helper()
	others := workerNode.transportConfig().AlternativePeers()
	must.Len(t, 1, others)
	must.Eq(t, edge.self.Name, others[0].Name)
	_, metrics, err := fetch(edge.settings.Listen.Admin, "/metrics")
	must.NoError(t, err)
	for _, line := range []string{"sliphead_version_revision 1\n", "sliphead_ready 1\n", `sliphead_members{status="alive"} 2` + "\n"} {
		must.StrContains(t, metrics, line)
	}
	_, text, err := fetch(edge.settings.Listen.Admin, "/status")
	must.NoError(t, err)
	var status Status
	must.NoError(t, json.Unmarshal([]byte(text), &status))
	must.Eq(t, 1, status.Version.Revision)
}

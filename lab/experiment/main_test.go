package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-yaml"

	"sliphead/internal/declaration"
	"sliphead/internal/outcome"
	"sliphead/lab/machines"
	"sliphead/lab/worker"
)

// TestMain lets the test binary act as both programs that a mesh starts: the worker
// and the node.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) > 1 && os.Args[1] == "node" {
		runFakeNode(os.Args[3])
		return
	}
	os.Exit(m.Run())
}

func runWorker(arguments []string) {
	var settings worker.Settings
	parser, err := kong.New(&settings)
	check(err)
	_, err = parser.Parse(arguments)
	check(err)
	_, err = worker.Start(settings)
	check(err)
	select {}
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Faults of the fake node, set by the environment variable fakeFault.
const (
	fakeFault           = "LAB_FAKE_NODE_FAULT"
	faultOlderVersion   = "goes-back"   // logs an older version after each newer one
	faultIgnoresUpdates = "ignores"     // keeps serving the first version
	faultRunsTwice      = "runs-twice"  // sends each request to two workers
	faultReportsNotRun  = "says-no-run" // reports not-run after the worker ran the request
)

// fakeNode polls the source and forwards requests directly to workers.
type fakeNode struct {
	fault         string
	source        string
	workers       map[string]string // address by worker name
	current       atomic.Pointer[declaration.Document]
	requestCounts sync.Map // *atomic.Int64 by path: request count for round robin
}

func runFakeNode(path string) {
	data, err := os.ReadFile(path)
	check(err)
	var settings struct {
		Listen struct{ Outbound, Admin string }
		Source struct{ Configuration, Machines string }
	}
	check(yaml.Unmarshal(data, &settings))
	node := &fakeNode{fault: os.Getenv(fakeFault), source: settings.Source.Configuration, workers: map[string]string{}}
	node.readMachines(settings.Source.Machines)
	go func() { check(http.ListenAndServe(settings.Listen.Outbound, http.HandlerFunc(node.forward))) }()
	go node.readSource()
	check(http.ListenAndServe(settings.Listen.Admin, http.HandlerFunc(node.admin)))
}

func (n *fakeNode) readMachines(address string) {
	response, err := http.Get(address + machines.Path)
	check(err)
	var list struct{ Machines []machines.Machine }
	check(json.NewDecoder(response.Body).Decode(&list))
	for _, machine := range list.Machines {
		octets := strings.Split(strings.TrimSuffix(machine.Peer, ":7000"), ".")
		real := fmt.Sprintf("127.%s.%s.%s:8000", octets[1][1:], octets[2], octets[3])
		n.workers[strings.TrimPrefix(machine.Name, machine.Zone+"-")] = real
	}
}

func (n *fakeNode) admin(writer http.ResponseWriter, request *http.Request) {
	if n.current.Load() == nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprint(writer, `{"ready":true,"controlBytesSent":1000,"controlBytesReceived":500}`)
}

func (n *fakeNode) readSource() {
	tag := ""
	for {
		request, _ := http.NewRequest(http.MethodGet, n.source+"/v1/configuration?wait=30", nil)
		request.Header.Set("If-None-Match", tag)
		response, err := http.DefaultClient.Do(request)
		if err != nil || response.StatusCode != http.StatusOK {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		tag = response.Header.Get("ETag")
		var served struct {
			Revision uint64
			Document declaration.Document
		}
		check(json.NewDecoder(response.Body).Decode(&served))
		if n.fault != faultIgnoresUpdates || n.current.Load() == nil {
			n.current.Store(&served.Document)
		}
		n.logVersion(served.Revision)
		if n.fault == faultOlderVersion && served.Revision > 1 {
			n.logVersion(served.Revision - 1)
		}
	}
}

func (n *fakeNode) logVersion(revision uint64) {
	fmt.Fprintf(os.Stderr, "level=info event=version.activated version=1.%d-abcdef12 at_unix_ms=%d\n", revision, time.Now().UnixMilli())
}

func (n *fakeNode) forward(writer http.ResponseWriter, request *http.Request) {
	workers, secret := n.choose(request)
	if len(workers) == 0 {
		writer.Header().Set(outcome.Header, string(outcome.NotRun))
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(request.Body)
	send := func() *http.Response {
		turn, _ := n.requestCounts.LoadOrStore(request.URL.Path, new(atomic.Int64))
		name := workers[int(turn.(*atomic.Int64).Add(1))%len(workers)]
		copied, _ := http.NewRequestWithContext(context.Background(), request.Method, "http://"+n.workers[name]+request.URL.Path, strings.NewReader(string(body)))
		copied.Header = maps.Clone(request.Header)
		copied.Header.Set("Authorization", "Bearer "+secret)
		response, err := http.DefaultClient.Do(copied)
		check(err)
		return response
	}
	if n.fault == faultRunsTwice {
		send().Body.Close()
	}
	response := send()
	defer response.Body.Close()
	if n.fault == faultReportsNotRun {
		writer.Header().Set(outcome.Header, string(outcome.NotRun))
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set(outcome.Header, string(outcome.Answered))
	writer.WriteHeader(response.StatusCode)
	_, _ = io.Copy(writer, response.Body)
}

// choose returns the eligible workers and the credential for a request. It
// evaluates only the first window of a selector, by time of day.
func (n *fakeNode) choose(request *http.Request) ([]string, string) {
	document := n.current.Load()
	for _, route := range document.Routes {
		if strings.HasPrefix(request.URL.Path, route.PathPrefix) {
			var workers []string
			for _, selector := range document.Selectors {
				if slices.Contains(route.Selectors, selector.Name) && windowsOpen(selector.Windows) {
					workers = append(workers, selected(document, selector)...)
				}
			}
			return workers, route.Secret + "-value"
		}
	}
	return nil, ""
}

func windowsOpen(windows []declaration.Window) bool {
	if len(windows) == 0 {
		return true
	}
	location, err := time.LoadLocation(windows[0].TimeZone)
	check(err)
	now := time.Now().In(location).Format("15:04")
	from, to := windows[0].From, windows[0].To
	if from < to {
		return from <= now && now < to
	}
	return from <= now || now < to
}

func selected(document *declaration.Document, selector declaration.Selector) []string {
	var names []string
	for _, each := range document.Workers {
		matches := each.Service == selector.Service
		for key, value := range selector.WorkerLabels {
			matches = matches && each.Labels[key] == value
		}
		if matches {
			names = append(names, each.Name)
		}
	}
	return names
}

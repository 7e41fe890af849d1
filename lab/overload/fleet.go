// Package overload tries the request path under more load than its workers
// can do, and with workers that misbehave, in one process over real sockets:
// stand-in workers, their inbound handlers and an outbound handler at the edge.
package overload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/declaration"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic"
	"sliphead/internal/version"
	"sliphead/lab/load"
	"sliphead/lab/worker"
)

const (
	zone        = "zone-a"
	service     = "shop"
	slots       = 6
	connections = 130
)

// fleet is some workers with their nodes, and edges.
type fleet struct {
	workers   []*worker.Worker
	endpoints []snapshot.Endpoint
	servers   []*http.Server
	logger    log.Interface
}

// startFleet starts workers whose requests run for a time.
func startFleet(count int, runTime time.Duration, routes []declaration.Route) (*fleet, error) {
	f := &fleet{logger: logging.Discard()}
	for index := range count {
		if err := f.startWorker(fmt.Sprintf("worker-%d", index+1), runTime, routes); err != nil {
			f.close()
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) startWorker(name string, runTime time.Duration, routes []declaration.Route) error {
	started, err := worker.Start(worker.Settings{
		Name: name, Service: service, Listen: "127.0.0.1:0", Slots: slots, Queue: 2 * slots,
		Connections: connections, RunTime: runTime,
	})
	if err != nil {
		return err
	}
	f.workers = append(f.workers, started)
	endpoint := snapshot.Endpoint{Worker: name, Node: name, Zone: zone, Slots: slots, Connections: connections}
	config := traffic.Config{
		Node: name, Zone: zone, Worker: name, WorkerAddress: started.Address(), Logger: f.logger,
		Holder: holderOf(routes, []snapshot.Endpoint{endpoint}),
	}
	endpoint.Address, err = f.serve(traffic.NewInbound(config))
	f.endpoints = append(f.endpoints, endpoint)
	return err
}

// holderOf publishes a view of routes that all reach the same endpoints.
func holderOf(routes []declaration.Route, endpoints []snapshot.Endpoint) *snapshot.Holder {
	var resolved []*snapshot.Route
	for _, declared := range routes {
		resolved = append(resolved, &snapshot.Route{Route: declared, Endpoints: endpoints, LocalAllowed: true})
	}
	holder := &snapshot.Holder{}
	holder.Store(snapshot.NewView(version.Version{Revision: 1}, time.Now(), resolved))
	holder.Renew(time.Now().Add(time.Hour))
	return holder
}

func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, fault.Settings, "free some ports", "listen on the loopback address")
	}
	server := traffic.NewServer(handler, traffic.Limits{})
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(traffic.NewListener(listener)) }()
	return listener.Addr().String(), nil
}

// edge starts an outbound handler that knows all the workers.
func (f *fleet) edge(routes []declaration.Route, endpoints []snapshot.Endpoint) *traffic.Outbound {
	return traffic.NewOutbound(traffic.Config{Node: "edge", Zone: zone, Edge: true, Holder: holderOf(routes, endpoints), Logger: f.logger})
}

// randomEdge chooses a worker at random, without regard to what came of former
// requests and without trying another one: the baseline.
func (f *fleet) randomEdge(routes []declaration.Route, seed uint64) http.Handler {
	var edges []http.Handler
	for index := range f.endpoints {
		edges = append(edges, f.edge(routes, f.endpoints[index:index+1]))
	}
	var mutex sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		mutex.Lock()
		drawn := random.IntN(len(edges))
		mutex.Unlock()
		edges[drawn].ServeHTTP(writer, request)
	})
}

// target serves a handler as an edge to which callers submit.
func (f *fleet) target(handler http.Handler) ([]load.Target, error) {
	address, err := f.serve(handler)
	return []load.Target{{Name: "edge", Address: address}}, err
}

func (f *fleet) close() {
	for _, server := range f.servers {
		_ = server.Close()
	}
	stopped, stop := context.WithCancel(context.Background())
	stop()
	for _, started := range f.workers {
		started.Stop(stopped)
	}
}

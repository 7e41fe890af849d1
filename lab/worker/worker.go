package worker

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sliphead/internal/fault"
)

// The paths of the lab's own endpoints. Every other path is a request to run.
const (
	PathHealth  = "/health"
	PathJournal = "/journal"
	PathFault   = "/lab/fault" // POST with query kind=…
	PathDrain   = "/lab/drain" // POST
	PathCounts  = "/lab/counts"
)

// Worker is one stand-in back end. Its methods may be called concurrently.
type Worker struct {
	Journal  Journal
	settings Settings
	readyAt  time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	draining atomic.Bool
	fault    faultSwitch
	health   laggingHealth
	listener *boundedListener
	server   *http.Server
	client   *http.Client // for nested calls
	shed     atomic.Int64
}

// Start starts a worker, which serves until Stop is called.
func Start(settings Settings) (*Worker, error) {
	inner, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "choose a free loopback address", "worker %s cannot listen on %s", settings.Name, settings.Listen)
	}
	worker := &Worker{
		settings: settings,
		readyAt:  time.Now().Add(settings.ColdStart),
		slots:    make(chan struct{}, settings.Slots),
		health:   laggingHealth{lag: settings.HealthLag},
		listener: &boundedListener{Listener: inner, maxOpen: int64(settings.Connections), firstReadDelay: settings.ConnectionCost},
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Slots}},
	}
	worker.server = &http.Server{
		Handler:           worker.routes(),
		ReadHeaderTimeout: 10 * time.Second,
		TLSNextProto:      map[string]func(*http.Server, *tls.Conn, http.Handler){},
	}
	go worker.serve()
	return worker, nil
}

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathHealth, w.serveHealth)
	mux.Handle(PathJournal, &w.Journal)
	mux.HandleFunc("POST "+PathFault, w.serveFault)
	mux.HandleFunc("POST "+PathDrain, func(http.ResponseWriter, *http.Request) { w.Drain() })
	mux.HandleFunc(PathCounts, w.serveCounts)
	mux.HandleFunc("/", w.serveRequest)
	return mux
}

func (w *Worker) serve() {
	err := w.server.Serve(w.listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		w.draining.Store(true)
	}
}

// Address returns the listen address as host:port.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Drain makes the worker report that it is draining, and shed new requests.
func (w *Worker) Drain() { w.draining.Store(true) }

// SetFault replaces the current fault; FaultNone removes it.
func (w *Worker) SetFault(kind Fault) { w.fault.set(kind) }

// Stop drains the worker and waits for requests in flight. If the context ends
// first, it closes their connections.
func (w *Worker) Stop(ctx context.Context) {
	w.Drain()
	if w.server.Shutdown(ctx) != nil {
		_ = w.server.Close()
	}
	w.client.CloseIdleConnections()
}

func (w *Worker) serveFault(writer http.ResponseWriter, request *http.Request) {
	kind := Fault(request.URL.Query().Get("kind"))
	if !kind.Valid() {
		http.Error(writer, "unknown fault "+string(kind), http.StatusBadRequest)
		return
	}
	w.SetFault(kind)
}

// Package admin serves operators over HTTP: whether the node lives and is
// ready, its metrics, its status and the request to drain.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sliphead/internal/logging"
)

// Config says what the handler answers with. All functions are called from
// request goroutines.
type Config struct {
	Ready    func() (ready bool, reason string)                 // the reason is told when not ready
	Status   func() any                                         // encoded as JSON
	Drain    func()                                             // starts a drain and returns at once
	Release  func(fingerprint string) (state string, err error) // has a held request sent to workers again and tells what it was; nil: this node holds none
	Registry *prometheus.Registry
	Logger   log.Interface // default discards
}

// Handler answers /live, /ready, /metrics, /status, POST /drain and, where the node holds
// requests in quarantine, POST /quarantine/release.
func Handler(config Config) http.Handler {
	if config.Logger == nil {
		config.Logger = logging.Discard()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, condition{OK: true})
	})
	mux.HandleFunc("GET /ready", config.ready)
	mux.HandleFunc("GET /status", config.status)
	mux.HandleFunc("POST /drain", config.drain)
	if config.Release != nil {
		mux.HandleFunc("POST /quarantine/release", config.release)
	}
	mux.Handle("GET /metrics", promhttp.HandlerFor(config.Registry, promhttp.HandlerOpts{}))
	return mux
}

// condition is the answer of /live, /ready, /drain and /quarantine/release.
type condition struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// ready answers 200 or 503 with the reason.
func (c Config) ready(writer http.ResponseWriter, _ *http.Request) {
	ready, reason := c.Ready()
	if ready {
		writeJSON(writer, http.StatusOK, condition{OK: true})
		return
	}
	writeJSON(writer, http.StatusServiceUnavailable, condition{Reason: reason})
}

// status answers the status as JSON.
func (c Config) status(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, c.Status())
}

// drain starts a drain.
func (c Config) drain(writer http.ResponseWriter, request *http.Request) {
	logging.Event(c.Logger, "admin.drain", logging.Fields{"remote": request.RemoteAddr})
	c.Drain()
	writeJSON(writer, http.StatusAccepted, condition{OK: true, Reason: "draining"})
}

// release lets go of the request that the query's fingerprint names.
func (c Config) release(writer http.ResponseWriter, request *http.Request) {
	fingerprint := request.URL.Query().Get("fingerprint")
	logging.Event(c.Logger, "admin.release", logging.Fields{"remote": request.RemoteAddr, "fingerprint": fingerprint})
	state, err := c.Release(fingerprint)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, condition{Reason: err.Error()})
		return
	}
	writeJSON(writer, http.StatusOK, condition{OK: true, Reason: state})
}

// writeJSON answers with a value.
func writeJSON(writer http.ResponseWriter, status int, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(writer, "the answer could not be encoded; report this defect", http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	writer.Write(append(body, '\n'))
}

// Package admin implements a node's HTTP interface for operators: liveness,
// readiness, metrics, status, drain and release of quarantined requests.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sliphead/internal/logging"
)

// Config holds the functions behind the handler. They are called concurrently from
// request goroutines.
type Config struct {
	Ready    func() (ready bool, reason string)                 // the reason is served when ready is false
	Status   func() any                                         // the result is encoded as JSON
	Drain    func()                                             // starts a drain and returns immediately
	Release  func(fingerprint string) (state string, err error) // releases a request from quarantine and returns its previous state; nil: the node quarantines no requests
	Registry *prometheus.Registry
	Logger   log.Interface // default: discards
}

// Handler returns a handler for /live, /ready, /metrics, /status, POST /drain and, if
// Release is set, POST /quarantine/release.
func Handler(config Config) http.Handler {
	if config.Logger == nil {
		config.Logger = logging.Discard()
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, responseBody{OK: true})
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

// responseBody is the response body of /live, /ready, /drain and /quarantine/release.
type responseBody struct {
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// ready responds 200, or 503 with the reason.
func (c Config) ready(writer http.ResponseWriter, _ *http.Request) {
	ready, reason := c.Ready()
	if ready {
		writeJSON(writer, http.StatusOK, responseBody{OK: true})
		return
	}
	writeJSON(writer, http.StatusServiceUnavailable, responseBody{Reason: reason})
}

// status responds with the status as JSON.
func (c Config) status(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, c.Status())
}

// drain starts a drain and responds 202.
func (c Config) drain(writer http.ResponseWriter, request *http.Request) {
	logging.Event(c.Logger, "admin.drain", logging.Fields{"remote": request.RemoteAddr})
	c.Drain()
	writeJSON(writer, http.StatusAccepted, responseBody{OK: true, Reason: "draining"})
}

// release releases the request with the query's fingerprint from quarantine. It
// responds 400 if that fails.
func (c Config) release(writer http.ResponseWriter, request *http.Request) {
	fingerprint := request.URL.Query().Get("fingerprint")
	logging.Event(c.Logger, "admin.release", logging.Fields{"remote": request.RemoteAddr, "fingerprint": fingerprint})
	state, err := c.Release(fingerprint)
	if err != nil {
		writeJSON(writer, http.StatusBadRequest, responseBody{Reason: err.Error()})
		return
	}
	writeJSON(writer, http.StatusOK, responseBody{OK: true, Reason: state})
}

// writeJSON responds with a value as indented JSON, or 500 if it cannot be encoded.
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

package admin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/shoenig/test/must"
)

func TestHandlerServesEachPath(t *testing.T) {
	reason := ""
	drains := 0
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	handler := Handler(Config{
		Ready:    func() (bool, string) { return reason == "", reason },
		Status:   func() any { return map[string]int{"nodes": 24} },
		Drain:    func() { drains++ },
		Registry: registry,
	})
	send := func(method, path string) (int, string) {
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, httptest.NewRequest(method, path, nil))
		return response.Code, response.Body.String()
	}
	for _, step := range []struct {
		method, path, reason string
		status               int
		body                 string
	}{
		{"GET", "/live", "cold", http.StatusOK, `"ok": true`},
		{"GET", "/ready", "", http.StatusOK, `"ok": true`},
		{"GET", "/ready", "no version held", http.StatusServiceUnavailable, `"reason": "no version held"`},
		{"GET", "/status", "", http.StatusOK, `"nodes": 24`},
		{"GET", "/metrics", "", http.StatusOK, "go_goroutines"},
		{"GET", "/drain", "", http.StatusMethodNotAllowed, ""},
		{"POST", "/status", "", http.StatusMethodNotAllowed, ""},
		{"GET", "/other", "", http.StatusNotFound, ""},
	} {
		reason = step.reason
		status, body := send(step.method, step.path)
		must.Eq(t, step.status, status, must.Sprint(step))
		must.StrContains(t, body, step.body)
	}
	must.Eq(t, 0, drains)
	status, _ := send("POST", "/drain")
	must.Eq(t, http.StatusAccepted, status)
	must.Eq(t, 1, drains)
}

func TestStatusThatCannotBeEncodedGivesStatus500(t *testing.T) {
	response := httptest.NewRecorder()
	handler := Handler(Config{Status: func() any { return func() {} }, Registry: prometheus.NewRegistry()})
	handler.ServeHTTP(response, httptest.NewRequest("GET", "/status", nil))
	must.Eq(t, http.StatusInternalServerError, response.Code)
}

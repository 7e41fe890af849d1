package traffic

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
)

// benchWorker responds to a catalogue lookup with about a kilobyte.
func benchWorker(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header()["Content-Type"] = []string{"application/json"}
	_, _ = io.WriteString(w, benchResponse)
}

var benchResponse = strings.Repeat("price=125;", 100)

// measure sends requests one after the other and reports their latency.
func measure(b *testing.B, method, target, body string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, DisableCompression: true}
	defer transport.CloseIdleConnections()
	histogram := hdrhistogram.New(1, int64(time.Minute), 3)
	b.ReportAllocs()
	for b.Loop() {
		began := time.Now()
		request, _ := http.NewRequest(method, target, strings.NewReader(body))
		response, err := transport.RoundTrip(request)
		must.NoError(b, err)
		must.Eq(b, http.StatusOK, response.StatusCode)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		_ = histogram.RecordValue(int64(time.Since(began)))
	}
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1e3, "p99-µs")
}

func BenchmarkDirect(b *testing.B) {
	m := newMesh(b, benchWorker, nil)
	b.Run("get", func(b *testing.B) { measure(b, "GET", m.worker.URL+"/lookup", "") })
	b.Run("post", func(b *testing.B) { measure(b, "POST", m.worker.URL+"/lookup", benchResponse) })
}

func BenchmarkTwoHops(b *testing.B) {
	m := newMesh(b, benchWorker, nil)
	b.Run("get", func(b *testing.B) { measure(b, "GET", m.outbound.URL+"/lookup", "") })
	b.Run("post", func(b *testing.B) { measure(b, "POST", m.outbound.URL+"/lookup", benchResponse) })
}

// BenchmarkCatalogHops measures requests of a catalog's mesh to a worker beside another node: reads,
// orders, uploads of the usual length, and uploads that are streamed.
func BenchmarkCatalogHops(b *testing.B) {
	for _, each := range []struct {
		name, method, path string
		length             int
	}{
		{"get", "GET", "/lookup/", 0},
		{"post", "POST", "/order/", 1 << 10},
		{"upload=300KB", "POST", "/order/", 300 << 10},
		{"upload=8MB", "POST", "/order/", 8 << 20},
	} {
		b.Run(each.name, func(b *testing.B) {
			m := newCatalogMesh(b, 2)
			m.publish(func(route *snapshot.Route) { route.Targets[0].Endpoints = route.Targets[0].Endpoints[1:] })
			body := strings.Repeat("c", each.length)
			b.ReportAllocs()
			b.SetBytes(int64(each.length))
			for b.Loop() {
				response, _, err := m.call(each.method, each.path, body)
				must.NoError(b, err)
				must.Eq(b, http.StatusOK, response.StatusCode)
				m.nodes[1].worker.forget()
			}
		})
	}
}

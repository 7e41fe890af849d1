package traffic

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// workerFaults are the behaviours of the workers of the fuzz test, good ones included.
var workerFaults = []string{"", "", "", "shed", "error", "close", "reset", "garbage", "unsigned", "half", "late", "extra", "unframed", "unframed-reset"}

// runsOf counts the runs of one request at all workers.
func (m *catalogMesh) runsOf(id string) int {
	count := 0
	for _, node := range m.nodes {
		node.worker.mutex.Lock()
		for _, ran := range node.worker.ran {
			if ran == id {
				count++
			}
		}
		node.worker.mutex.Unlock()
	}
	return count
}

// For any sequence of worker faults on any node, a request that must not be repeated runs at
// most once, a refusal means that it did not run, and a success is the complete response to
// that request.
func TestDispatchUnderMixedWorkerFaults(t *testing.T) {
	m := newCatalogMesh(t, 3)
	rapid.Check(t, func(r *rapid.T) {
		for _, node := range m.nodes {
			script := rapid.SliceOfN(rapid.SampledFrom(workerFaults), 0, 3).Draw(r, "script")
			node.worker.mutex.Lock()
			node.worker.script = slices.Clone(script)
			node.worker.mutex.Unlock()
		}
		m.entry = rapid.IntRange(0, len(m.nodes)-1).Draw(r, "entry")
		path := rapid.SampledFrom([]string{"/lookup/", "/order/"}).Draw(r, "path")
		method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(r, "method")
		body := ""
		if method == "POST" {
			body = rapid.SampledFrom([]string{"cards", longBody}).Draw(r, "body")
		}
		response, text, err := m.call(method, path, body)
		must.NoError(r, err)
		id := fmt.Sprintf("r-%d", m.serial.Load())
		runs := m.runsOf(id)
		if path == "/order/" && runs > 1 {
			r.Fatalf("%s ran %d times", id, runs)
		}
		switch response.StatusCode {
		case http.StatusOK:
			must.Eq(r, "answer to "+id, text)
			must.Eq(r, "signed", response.Header.Get(testProtocol.Signature))
		case http.StatusServiceUnavailable:
			must.Zero(r, runs)
			must.NotEq(r, "", response.Header.Get("Retry-After"))
		case http.StatusInternalServerError:
			must.Eq(r, "error", text)
			must.Positive(r, runs)
		default:
			must.Eq(r, http.StatusBadGateway, response.StatusCode)
			must.Eq(r, "", response.Header.Get(testProtocol.Signature))
		}
	})
}

// longBody is long enough to be sent concurrently with the response.
var longBody = string(slices.Repeat([]byte("cards "), directBody))

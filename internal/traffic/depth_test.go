package traffic

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/declaration"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/version"
)

// chain is a linear call tree: the worker of each level calls the next level through its own
// node.
type chain struct {
	runs             []atomic.Int64 // by level
	entry            string         // URL at the edge
	depths           []atomic.Int64 // last depth received by each level
	loopResponses    atomic.Int64   // responses with status 508 Loop Detected
	observedFailures []atomic.Int64 // failures observed of each level's worker
}

// newChain starts the levels. The last one serves requests with the given handler; with loop,
// each level calls itself.
func newChain(t *testing.T, levels int, loop bool, last http.HandlerFunc) *chain {
	c := &chain{runs: make([]atomic.Int64, levels), depths: make([]atomic.Int64, levels), observedFailures: make([]atomic.Int64, levels)}
	holder := &snapshot.Holder{}
	holder.Renew(time.Now().Add(time.Hour))
	var routes []*snapshot.Route
	for level := range levels {
		calls := NewCalls()
		outbound := serve(t, NewOutbound(Config{Holder: holder, Calls: calls, Logger: discardLogger()}), Limits{})
		next := level + 1
		if loop {
			next = level
		}
		handler := func(w http.ResponseWriter, r *http.Request) {
			c.runs[level].Add(1)
			depth, _ := strconv.ParseInt(r.Header.Get(outcome.Depth), 10, 64)
			c.depths[level].Store(depth)
			if next == levels {
				last(w, r)
				return
			}
			c.callNextLevel(w, r, outbound.URL+"/level-"+strconv.Itoa(next))
		}
		worker := httptest.NewServer(http.HandlerFunc(handler))
		observe := func(succeeded bool) {
			if !succeeded {
				c.observedFailures[level].Add(1)
			}
		}
		inbound := serve(t, NewInbound(Config{Observe: observe, Holder: holder, Calls: calls, WorkerAddress: address(worker.URL), Limits: Limits{Slots: 64}, Logger: discardLogger()}), Limits{})
		t.Cleanup(func() { outbound.Close(); inbound.Close(); worker.Close() })
		name := "level-" + strconv.Itoa(level)
		endpoint := snapshot.Endpoint{Worker: name, Address: address(inbound.URL), Slots: 64, Connections: 130}
		other := endpoint
		other.Worker = name + "b"
		routes = append(routes, &snapshot.Route{
			Route:        declaration.Route{Name: name, PathPrefix: "/" + name, Priority: declaration.PriorityInternal, Repeatable: true, DeadlineMS: 60_000},
			Endpoints:    []snapshot.Endpoint{endpoint, other},
			LocalAllowed: true,
		})
	}
	holder.Store(snapshot.NewView(version.Version{}, time.Now(), routes))
	edge := serve(t, NewOutbound(Config{Holder: holder, Edge: true, Logger: discardLogger()}), Limits{})
	t.Cleanup(edge.Close)
	c.entry = edge.URL + "/level-0"
	return c
}

// callNextLevel calls the next level with the context of the request. If the call fails, it
// closes its own connection, the worst failure that a worker can produce.
func (c *chain) callNextLevel(w http.ResponseWriter, r *http.Request, target string) {
	request, _ := http.NewRequestWithContext(r.Context(), "GET", target, nil)
	for _, name := range []string{outcome.RequestID, outcome.Deadline, outcome.RetryBudget, outcome.Depth} {
		request.Header.Set(name, r.Header.Get(name))
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusLoopDetected {
		c.loopResponses.Add(1)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, response.Body)
}

// Retries must not multiply along a call tree: with 22 levels of which the last always fails and
// each level above then fails in turn, only the level nearest to the failure retries.
func TestRetriesDoNotMultiply(t *testing.T) {
	const levels, requests = 22, 100
	c := newChain(t, levels, false, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for range requests {
		response, err := http.Get(c.entry)
		must.NoError(t, err)
		must.Eq(t, "unknown", response.Header.Get(outcome.Header))
		_ = response.Body.Close()
	}
	total := int64(0)
	for level := range levels {
		total += c.runs[level].Load()
	}
	t.Logf("levels=%d requests=%d runs=%d amplification=%.4f last-level-runs=%d", levels, requests, total, float64(total)/(levels*requests), c.runs[levels-1].Load())
	must.LessEq(t, levels*requests*11/10, total)
	must.Greater(t, requests, c.runs[levels-1].Load()) // the nearest level does retry
	for level := range levels {
		must.Eq(t, int64(level), c.depths[level].Load())
		must.Eq(t, level == levels-1, c.observedFailures[level].Load() > 0) // a failure of a lower level is not attributed to the worker
	}
}

// A service that calls itself is stopped at the maximum call depth.
func TestCallLoopIsBoundedByDepth(t *testing.T) {
	c := newChain(t, 1, true, nil)
	response, err := http.Get(c.entry)
	must.NoError(t, err)
	_ = response.Body.Close()
	must.Eq(t, 1, c.loopResponses.Load())
	must.LessEq(t, int64(defaultMaxDepth*11/10), c.runs[0].Load())
}

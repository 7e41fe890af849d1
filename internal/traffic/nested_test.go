package traffic

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// nestedService is a service in virtual time with one worker of three slots in each zone. A worker
// that has calls left to make calls its own service through its own node.
type nestedService struct {
	*pipeMesh
	attempts atomic.Int64 // requests sent from node to node
}

func newNestedService(t *testing.T, workers int) *nestedService {
	c := &nestedService{pipeMesh: newPipeMesh(t, nil)}
	holder := c.out.config.Holder
	var endpoints []snapshot.Endpoint
	for index := 1; index <= workers; index++ {
		name := strconv.Itoa(index)
		config := Config{Zone: "z" + name, Holder: holder, WorkerAddress: "worker-" + name + ":1", Dial: c.pipes.dial, Logger: discardLogger(), Limits: Limits{Slots: 3}}
		in, out := NewInbound(config), NewOutbound(config)
		counted := func(w http.ResponseWriter, r *http.Request) { c.attempts.Add(1); in.ServeHTTP(w, r) }
		c.pipes.serve(t, "in-"+name+":1", NewServer(http.HandlerFunc(counted), config.Limits))
		c.pipes.serve(t, "out-"+name+":1", NewServer(out, config.Limits))
		c.pipes.serve(t, config.WorkerAddress, &http.Server{Handler: c.nestingWorker("out-" + name + ":1")})
		t.Cleanup(func() { out.transport.CloseIdleConnections(); in.worker.transport.CloseIdleConnections() })
		endpoints = append(endpoints, snapshot.Endpoint{Worker: name, Zone: config.Zone, Address: "in-" + name + ":1", Slots: 3, Connections: 130})
	}
	holder.Store(viewOf(endpoints))
	return c
}

// nestingWorker returns the handler of a worker that calls its node while calls are left.
func (c *nestedService) nestingWorker(node string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		left, _ := strconv.Atoi(r.URL.Query().Get("calls"))
		if left == 0 {
			sleeper(w, r)
			return
		}
		request, _ := http.NewRequestWithContext(r.Context(), "GET", fmt.Sprintf("http://%s/lookup?calls=%d", node, left-1), nil)
		for _, name := range []string{outcome.RequestID, outcome.Deadline, outcome.RetryBudget, outcome.Depth} {
			request.Header.Set(name, r.Header.Get(name))
		}
		response, err := c.client.Do(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}
}

// Nested calls must not be queued behind the requests that wait for them. The calls of one tree
// fill a worker, some of whose slots are taken through other nodes, so that no caller's node can
// see that it is full. The next call then goes to another worker; if there are more calls than
// slots, the last one is refused immediately.
func TestNestedCallsDoNotWaitForTheirCallers(t *testing.T) {
	for _, test := range []struct{ others, levels, status int }{
		{0, 6, http.StatusOK},
		{1, 5, http.StatusOK},
		{0, 7, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newNestedService(t, 2)
			for range test.others {
				c.occupy("/lookup?run=10s")
			}
			began := time.Now()
			response, _ := c.get(t, fmt.Sprintf("/lookup?calls=%d", test.levels-1))
			must.Eq(t, test.status, response.StatusCode)
			must.Zero(t, time.Since(began))
			time.Sleep(11 * time.Second) // until the other requests have completed
		})
	}
}

// When all workers are full, a request is sent at most three times and then queued, without using
// a retry.
func TestOverloadLimitsAttemptsToThree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 5
		c := newNestedService(t, workers)
		for range 3 * workers {
			c.occupy("/lookup?run=10s")
		}
		other := NewOutbound(c.out.config) // has no load information
		c.pipes.serve(t, "out:2", NewServer(other, Limits{}))
		before := c.attempts.Load()
		began := time.Now()
		response, err := c.client.Get("http://out:2/lookup")
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Eq(t, "answered", response.Header.Get(outcome.Header))
		must.Eq(t, 10*time.Second, time.Since(began))
		must.Eq(t, 1+maxReroutes, c.attempts.Load()-before)
		must.Eq(t, defaultRetryBurst, other.retries.tokens)
		time.Sleep(11 * time.Second)
		other.transport.CloseIdleConnections()
	})
}

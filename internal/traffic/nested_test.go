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

// crowd is a service of workers with three slots, one in each zone, in virtual
// time. A worker with calls left calls its own service through its own node.
type crowd struct {
	*pipeMesh
	tries atomic.Int64 // requests sent from node to node
}

func newCrowd(t *testing.T, workers int) *crowd {
	c := &crowd{pipeMesh: newPipeMesh(t, nil)}
	holder := c.out.config.Holder
	var endpoints []snapshot.Endpoint
	for index := 1; index <= workers; index++ {
		name := strconv.Itoa(index)
		config := Config{Zone: "z" + name, Holder: holder, WorkerAddress: "worker-" + name + ":1", Dial: c.pipes.dial, Logger: quiet(), Limits: Limits{Slots: 3}}
		in, out := NewInbound(config), NewOutbound(config)
		counted := func(w http.ResponseWriter, r *http.Request) { c.tries.Add(1); in.ServeHTTP(w, r) }
		c.pipes.serve(t, "in-"+name+":1", NewServer(http.HandlerFunc(counted), config.Limits))
		c.pipes.serve(t, "out-"+name+":1", NewServer(out, config.Limits))
		c.pipes.serve(t, config.WorkerAddress, &http.Server{Handler: c.nest("out-" + name + ":1")})
		t.Cleanup(func() { out.transport.CloseIdleConnections(); in.worker.transport.CloseIdleConnections() })
		endpoints = append(endpoints, snapshot.Endpoint{Worker: name, Zone: config.Zone, Address: "in-" + name + ":1", Slots: 3, Connections: 130})
	}
	holder.Store(viewOf(endpoints))
	return c
}

// nest is a worker that passes the calls left on to its node.
func (c *crowd) nest(node string) http.HandlerFunc {
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

// Calls of one tree fill a worker, some of its slots taken through other
// nodes, so that no caller's node knows that it is full. The next call goes to
// another worker. With one call more than slots it is refused at once.
func TestNestedCallsDoNotWaitForTheirCallers(t *testing.T) {
	for _, test := range []struct{ others, levels, status int }{
		{0, 6, http.StatusOK},
		{1, 5, http.StatusOK},
		{0, 7, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newCrowd(t, 2)
			for range test.others {
				c.occupy("/lookup?run=10s")
			}
			began := time.Now()
			response, _ := c.get(t, fmt.Sprintf("/lookup?calls=%d", test.levels-1))
			must.Eq(t, test.status, response.StatusCode)
			must.Zero(t, time.Since(began))
			time.Sleep(11 * time.Second) // the others have ended
		})
	}
}

// Where all workers are full a request is sent three times at most, then waits,
// and no retry is spent on it.
func TestOverloadSendsNoMoreThanThreeTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const workers = 5
		c := newCrowd(t, workers)
		for range 3 * workers {
			c.occupy("/lookup?run=10s")
		}
		other := NewOutbound(c.out.config) // knows nothing of what is running
		c.pipes.serve(t, "out:2", NewServer(other, Limits{}))
		before := c.tries.Load()
		began := time.Now()
		response, err := c.client.Get("http://out:2/lookup")
		must.NoError(t, err)
		_ = response.Body.Close()
		must.Eq(t, "answered", response.Header.Get(outcome.Header))
		must.Eq(t, 10*time.Second, time.Since(began))
		must.Eq(t, 1+mostMoves, c.tries.Load()-before)
		must.Eq(t, defaultRetryBurst, other.retries.tokens)
		time.Sleep(11 * time.Second)
		other.transport.CloseIdleConnections()
	})
}

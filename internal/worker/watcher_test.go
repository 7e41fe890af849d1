package worker

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/wire"
)

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(request *http.Request) (*http.Response, error) { return f(request) }

func TestWatcherTracksTheWorkersState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var body atomic.Value
		var probes atomic.Int64
		body.Store(`{"state":"starting"}`)
		var states []wire.EndpointState
		watcher := NewWatcher(Config{
			Name: "storefront-1", URL: "http://127.0.0.1:8000/health", Thresholds: Thresholds{Interval: time.Millisecond},
			Client: &http.Client{Transport: roundTripFunc(func(request *http.Request) (*http.Response, error) {
				probes.Add(1)
				text := body.Load().(string)
				if text == "hang" {
					<-request.Context().Done()
					return nil, request.Context().Err()
				}
				if text == "" {
					return nil, errors.New("refused")
				}
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}, nil
			})},
			OnStateChange: func(state wire.EndpointState) { states = append(states, state) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			watcher.Run(ctx)
		}()
		stateAfter := func(wait time.Duration) wire.EndpointState {
			time.Sleep(wait)
			synctest.Wait()
			return watcher.State()
		}
		must.Eq(t, wire.EndpointStarting, stateAfter(5500*time.Millisecond))
		must.Eq(t, 6, probes.Load(), must.Sprint("more than one probe a second"))
		body.Store("ok")
		must.Eq(t, wire.EndpointReady, stateAfter(2*time.Second))
		body.Store("hang")
		must.Eq(t, wire.EndpointStarting, stateAfter(5*time.Second))
		body.Store("")
		must.Eq(t, wire.EndpointGone, stateAfter(20*time.Second))
		body.Store(`{"state":"ready"}`)
		must.Eq(t, wire.EndpointReady, stateAfter(3*time.Second))
		for range 5 {
			watcher.Observe(TrafficFailed)
		}
		must.Eq(t, wire.EndpointStarting, watcher.State())
		body.Store(`{"state":"draining"}`)
		must.Eq(t, wire.EndpointDraining, stateAfter(3*time.Second))
		cancel()
		<-ended
		must.Eq(t, []wire.EndpointState{"ready", "starting", "gone", "starting", "ready", "starting", "draining"}, states)
	})
}

func TestHealthResponseDeterminesObservation(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		want   Observation
	}{
		{200, "", ProbeReady}, {200, "ok", ProbeReady}, {200, `{"state":"ready"}`, ProbeReady}, {200, `{"state":7}`, ProbeReady},
		{200, `{"state":"starting"}`, ProbeStarting}, {503, "", ProbeStarting}, {302, "", ProbeStarting},
		{503, `{"state":"draining"}`, ProbeDraining}, {200, `{"state":"draining"}`, ProbeDraining},
	} {
		must.Eq(t, test.want, interpret(test.status, []byte(test.body)), must.Sprint(test))
	}
}

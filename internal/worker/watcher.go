package worker

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/logging"
	"sliphead/internal/responsecheck"
	"sliphead/internal/wire"
)

// maxHealthBytes limits the response of a health endpoint.
const maxHealthBytes = 4 << 10

// Config configures a watcher.
type Config struct {
	Name          string
	URL           string // of the health endpoint
	Thresholds    Thresholds
	Client        *http.Client             // nil: the watcher creates one
	OnStateChange func(wire.EndpointState) // called on each change, one call at a time; must not call the watcher
	Logger        log.Interface            // nil: no log
}

// Watcher polls the health endpoint and records the results of requests. It is safe for
// concurrent use.
type Watcher struct {
	config Config
	mutex  sync.Mutex
	health *HealthTracker
}

// NewWatcher returns a watcher. It polls only while Run is active.
func NewWatcher(config Config) *Watcher {
	config.Thresholds = config.Thresholds.withDefaults()
	if config.Client == nil {
		config.Client = &http.Client{
			Transport:     &http.Transport{DialContext: responsecheck.DialContext(&net.Dialer{}), MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	if config.Logger == nil {
		config.Logger = logging.Discard()
	}
	if config.OnStateChange == nil {
		config.OnStateChange = func(wire.EndpointState) {}
	}
	return &Watcher{config: config, health: NewHealthTracker(config.Thresholds, time.Now())}
}

// State returns the current state.
func (w *Watcher) State() wire.EndpointState {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.health.State()
}

// Observe records the result of a request.
func (w *Watcher) Observe(observation Observation) { w.step(observation, time.Now()) }

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.config.Client.CloseIdleConnections()
	ticker := time.NewTicker(w.config.Thresholds.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if w.probeDue() {
			observation := w.probe(ctx)
			if ctx.Err() != nil {
				return
			}
			w.step(observation, time.Now())
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// probeDue reports whether the next probe is to be sent.
func (w *Watcher) probeDue() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.health.ProbeDue(time.Now())
}

// step applies an observation and reports a change of state.
func (w *Watcher) step(observation Observation, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	before := w.health.State()
	after := w.health.Step(observation, now)
	if before == after {
		return
	}
	logging.Event(w.config.Logger, "worker.state", logging.Fields{
		"worker": w.config.Name, "from": before, "to": after, "observed": observation,
	})
	w.config.OnStateChange(after)
}

// healthReport is the optional body of a health endpoint.
type healthReport struct {
	State string `json:"state"`
}

// probe sends one request to the health endpoint. Status 200 means ready unless the body names
// another state; any other status means not ready.
func (w *Watcher) probe(ctx context.Context) Observation {
	ctx, cancel := context.WithTimeout(ctx, w.config.Thresholds.ProbeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, w.config.URL, nil)
	if err != nil {
		return ProbeUnreachable
	}
	response, err := w.config.Client.Do(request)
	if err != nil {
		return ProbeUnreachable
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxHealthBytes))
	if err != nil {
		return ProbeUnreachable
	}
	return interpret(response.StatusCode, body)
}

// interpret derives the observation from the health endpoint's response.
func interpret(status int, body []byte) Observation {
	var report healthReport
	if err := json.Unmarshal(body, &report); err != nil {
		report = healthReport{}
	}
	switch {
	case report.State == string(wire.EndpointDraining):
		return ProbeDraining
	case status != http.StatusOK, report.State == string(wire.EndpointStarting):
		return ProbeStarting
	}
	return ProbeReady
}

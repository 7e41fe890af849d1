package worker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"sliphead/internal/logging"
	"sliphead/internal/wire"
)

// maxHealthBytes bounds the answer of a health endpoint.
const maxHealthBytes = 4 << 10

// Config says how to watch a worker.
type Config struct {
	Name       string
	URL        string // of the health endpoint
	Thresholds Thresholds
	Client     *http.Client             // default: a client of its own
	OnState    func(wire.EndpointState) // called on each change, one at a time; must not call the watcher
	Logger     log.Interface            // default discards
}

// Watcher polls the health endpoint and takes in what traffic meets.
type Watcher struct {
	config Config
	mutex  sync.Mutex
	health *HealthTracker
}

// NewWatcher returns a watcher; Run polls.
func NewWatcher(config Config) *Watcher {
	config.Thresholds = config.Thresholds.withDefaults()
	if config.Client == nil {
		config.Client = &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	if config.Logger == nil {
		config.Logger = logging.Discard()
	}
	if config.OnState == nil {
		config.OnState = func(wire.EndpointState) {}
	}
	return &Watcher{config: config, health: NewHealthTracker(config.Thresholds, time.Now())}
}

// State returns the state decided last.
func (w *Watcher) State() wire.EndpointState {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.health.State()
}

// Observe takes in what traffic met. It is safe for concurrent use.
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

// probeDue asks the health tracker.
func (w *Watcher) probeDue() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.health.ProbeDue(time.Now())
}

// step feeds the health tracker and tells a change.
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
	w.config.OnState(after)
}

// health is the optional body of a health endpoint.
type health struct {
	State string `json:"state"`
}

// probe asks the health endpoint once. Status 200 means ready unless the body
// names another state; any other status means not ready.
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

// interpret reads a health endpoint's answer.
func interpret(status int, body []byte) Observation {
	var said health
	if err := json.Unmarshal(body, &said); err != nil {
		said = health{}
	}
	switch {
	case said.State == string(wire.EndpointDraining):
		return ProbeDraining
	case status != http.StatusOK, said.State == string(wire.EndpointStarting):
		return ProbeStarting
	}
	return ProbeReady
}

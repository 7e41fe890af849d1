package worker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Health is the body of a health response.
type Health struct {
	State    string `json:"state"` // starting, ready or draining
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Busy     int    `json:"busy"`  // slots in use
	Slots    int    `json:"slots"` // total number of slots
}

// healthSample is the health at a point in time.
type healthSample struct {
	since  time.Time
	health Health
}

// laggingHealth reports health with a delay of lag.
type laggingHealth struct {
	mutex  sync.Mutex
	lag    time.Duration
	recent []healthSample
}

// observe records the current health and returns the one to report: the newest that
// is at least as old as lag, or else the oldest recorded.
func (l *laggingHealth) observe(now time.Time, current Health) Health {
	if l.lag <= 0 {
		return current
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.recent = append(l.recent, healthSample{since: now, health: current})
	for len(l.recent) > 1 && !l.recent[1].since.Add(l.lag).After(now) {
		l.recent = l.recent[1:]
	}
	return l.recent[0].health
}

// state returns the value of the field State.
func (h Health) state() string {
	switch {
	case h.Draining:
		return "draining"
	case !h.Ready:
		return "starting"
	default:
		return "ready"
	}
}

// serveHealth handles a health probe. A probe occupies a slot for the configured probe cost.
func (w *Worker) serveHealth(writer http.ResponseWriter, request *http.Request) {
	w.simulateProbeCost(request)
	health := w.health.observe(time.Now(), w.currentHealth())
	if w.fault.get() == FaultLie {
		health = Health{Ready: true, Slots: w.settings.Slots}
	}
	health.State = health.state()
	writer.Header().Set("Content-Type", "application/json")
	if !health.Ready || health.Draining {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(writer).Encode(health)
}

func (w *Worker) simulateProbeCost(request *http.Request) {
	if w.settings.ProbeCost <= 0 {
		return
	}
	select {
	case w.slots <- struct{}{}:
		time.Sleep(w.settings.ProbeCost)
		<-w.slots
	case <-request.Context().Done():
	}
}

func (w *Worker) currentHealth() Health {
	return Health{
		Ready:    !time.Now().Before(w.readyAt),
		Draining: w.draining.Load(),
		Busy:     len(w.slots),
		Slots:    w.settings.Slots,
	}
}

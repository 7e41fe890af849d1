package worker

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Health is the body of a health answer.
type Health struct {
	State    string `json:"state"` // starting, ready or draining
	Ready    bool   `json:"ready"`
	Draining bool   `json:"draining"`
	Busy     int    `json:"busy"`  // slots in use
	Slots    int    `json:"slots"` // slots in all
}

// reported is the health as it was reported from a moment on.
type reported struct {
	since  time.Time
	health Health
}

// laggingHealth reports health as it was some time ago.
type laggingHealth struct {
	mutex  sync.Mutex
	lag    time.Duration
	recent []reported
}

// observe records the present health and returns the one to report.
func (l *laggingHealth) observe(now time.Time, present Health) Health {
	if l.lag <= 0 {
		return present
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.recent = append(l.recent, reported{since: now, health: present})
	for len(l.recent) > 1 && !l.recent[1].since.Add(l.lag).After(now) {
		l.recent = l.recent[1:]
	}
	return l.recent[0].health
}

// state names the health in one word.
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

// serveHealth answers a probe. A probe takes a slot for the probe's cost.
func (w *Worker) serveHealth(writer http.ResponseWriter, request *http.Request) {
	w.payForProbe(request)
	health := w.health.observe(time.Now(), w.presentHealth())
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

func (w *Worker) payForProbe(request *http.Request) {
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

func (w *Worker) presentHealth() Health {
	return Health{
		Ready:    !time.Now().Before(w.readyAt),
		Draining: w.draining.Load(),
		Busy:     len(w.slots),
		Slots:    w.settings.Slots,
	}
}

// Package worker watches the back end beside a node. What its health endpoint
// says is a hint that may lag or lie; what the node's own requests meet
// outweighs it.
package worker

import (
	"time"

	"sliphead/internal/wire"
)

// Observation is one thing seen of the worker.
type Observation string

// The observations.
const (
	ProbeReady       Observation = "probe-ready"       // health says that it takes requests
	ProbeStarting    Observation = "probe-starting"    // health says that it does not yet, or fails
	ProbeDraining    Observation = "probe-draining"    // health says that it takes no new requests any more
	ProbeUnreachable Observation = "probe-unreachable" // no connection, or no answer in time
	TrafficSucceeded Observation = "traffic-succeeded" // a request got its whole answer
	TrafficFailed    Observation = "traffic-failed"    // a request got none: no connection, or broken off
)

// minInterval is the least time between probes: one may cost the worker 6 ms.
const minInterval = time.Second

// Thresholds tune the hysteresis. A zero field takes its default.
type Thresholds struct {
	Interval       time.Duration // between probes; default and least 1 s
	Up             int           // agreeing probes before ready; default 2
	Down           int           // disagreeing probes before not ready; default 3
	TrafficDown    int           // failed requests in a row before not ready; default 5
	TrafficFresh   time.Duration // how long a success outweighs the probes; default 5 s
	GoneAfter      time.Duration // unreachable for so long: gone; default 10 s
	HoldBase       time.Duration // least time out of service, doubled with each fall; default 1 s
	HoldMax        time.Duration // default 30 s
	SettledAfter   time.Duration // ready for so long: the hold starts anew; default 1 min
	ProbesWithheld int           // probes left out in a row while traffic shows the worker alive; default 4
	ProbeTimeout   time.Duration // default 1 s
}

// withDefaults fills the zero fields.
func (t Thresholds) withDefaults() Thresholds {
	t.Interval = max(t.Interval, minInterval)
	for field, value := range map[*int]int{&t.Up: 2, &t.Down: 3, &t.TrafficDown: 5, &t.ProbesWithheld: 4} {
		if *field == 0 {
			*field = value
		}
	}
	for field, value := range map[*time.Duration]time.Duration{
		&t.TrafficFresh: 5 * time.Second, &t.GoneAfter: 10 * time.Second, &t.HoldBase: time.Second,
		&t.HoldMax: 30 * time.Second, &t.SettledAfter: time.Minute, &t.ProbeTimeout: time.Second,
	} {
		if *field == 0 {
			*field = value
		}
	}
	return t
}

// HealthTracker decides the state of a worker from observations, with hysteresis:
// see Thresholds. It is pure: time is
// passed in.
type HealthTracker struct {
	thresholds Thresholds
	state      wire.EndpointState
	since      time.Time // of the state

	hint      Observation // last probe
	agreeing  int         // probes in a row with that hint
	reached   time.Time   // last sign of life
	succeeded time.Time   // last traffic success
	failed    int         // traffic failures in a row
	falls     int         // falls from ready not yet forgiven
	heldUntil time.Time   // not ready before
	withheld  int         // probes left out in a row
}

// NewHealthTracker returns the tracker of a worker of which nothing is known.
func NewHealthTracker(thresholds Thresholds, now time.Time) *HealthTracker {
	return &HealthTracker{thresholds: thresholds.withDefaults(), state: wire.EndpointStarting, since: now, reached: now}
}

// State returns the state decided last.
func (h *HealthTracker) State() wire.EndpointState { return h.state }

// Step takes in an observation and returns the state of the worker.
func (h *HealthTracker) Step(observation Observation, now time.Time) wire.EndpointState {
	switch observation {
	case TrafficSucceeded:
		h.succeeded, h.reached, h.failed = now, now, 0
	case TrafficFailed:
		h.failed++
	default:
		h.noteProbe(observation, now)
	}
	if next := h.decide(now); next != h.state {
		h.enter(next, now)
	}
	return h.state
}

// noteProbe counts probes that agree.
func (h *HealthTracker) noteProbe(hint Observation, now time.Time) {
	if hint != h.hint {
		h.hint, h.agreeing = hint, 0
	}
	h.agreeing++
	if hint != ProbeUnreachable {
		h.reached = now
	}
}

// decide returns the state that the observations speak for.
func (h *HealthTracker) decide(now time.Time) wire.EndpointState {
	if h.state == wire.EndpointReady {
		return h.decideReady(now)
	}
	if h.hint == ProbeUnreachable && now.Sub(h.reached) >= h.thresholds.GoneAfter {
		return wire.EndpointGone
	}
	if h.hint == ProbeDraining && h.agreeing >= h.thresholds.Up {
		return wire.EndpointDraining
	}
	if h.hint == ProbeReady && h.agreeing >= h.thresholds.Up && !now.Before(h.heldUntil) {
		return wire.EndpointReady
	}
	if h.state == wire.EndpointGone && h.hint != ProbeUnreachable {
		return wire.EndpointStarting
	}
	return h.state
}

// decideReady returns the next state of a ready worker. Draining is taken from
// the health endpoint alone, as keeping requests away errs on the safe side;
// any other doubt must not be contradicted by traffic.
func (h *HealthTracker) decideReady(now time.Time) wire.EndpointState {
	if h.hint == ProbeDraining && h.agreeing >= h.thresholds.Up {
		return wire.EndpointDraining
	}
	if h.failed >= h.thresholds.TrafficDown {
		return wire.EndpointStarting
	}
	doubted := (h.hint == ProbeStarting || h.hint == ProbeUnreachable) && h.agreeing >= h.thresholds.Down
	if doubted && !h.trafficFresh(now) {
		return wire.EndpointStarting
	}
	return wire.EndpointReady
}

// trafficFresh reports whether a request succeeded lately.
func (h *HealthTracker) trafficFresh(now time.Time) bool {
	return !h.succeeded.IsZero() && now.Sub(h.succeeded) < h.thresholds.TrafficFresh
}

// enter changes the state. Each fall from ready holds the worker out for
// longer, so that a health endpoint that lies cannot make it flap.
func (h *HealthTracker) enter(next wire.EndpointState, now time.Time) {
	if h.state == wire.EndpointReady {
		if now.Sub(h.since) >= h.thresholds.SettledAfter {
			h.falls = 0
		}
		hold := h.thresholds.HoldMax
		if h.falls < 16 {
			hold = min(hold, h.thresholds.HoldBase<<h.falls)
		}
		h.falls++
		h.heldUntil = now.Add(hold)
		h.agreeing = 0
	}
	h.state, h.since, h.failed = next, now, 0
}

// ProbeDue reports whether the next probe is to be sent, and notes that it is.
// It is asked once an interval. While traffic shows the worker alive most
// probes are left out, as they cost the worker time.
func (h *HealthTracker) ProbeDue(now time.Time) bool {
	alive := h.state == wire.EndpointReady && now.Sub(h.succeeded) < h.thresholds.Interval && h.hint == ProbeReady
	if alive && h.withheld < h.thresholds.ProbesWithheld {
		h.withheld++
		return false
	}
	h.withheld = 0
	return true
}

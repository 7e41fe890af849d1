// Package worker monitors the back end beside a node. The reports of its health endpoint are
// hints that may be late or false; the results of the node's own requests take precedence.
package worker

import (
	"time"

	"sliphead/internal/wire"
)

// Observation is the result of one probe or request.
type Observation string

// The observations.
const (
	ProbeReady       Observation = "probe-ready"       // the health endpoint reports that the worker accepts requests
	ProbeStarting    Observation = "probe-starting"    // it reports that the worker does not accept requests yet, or an error
	ProbeDraining    Observation = "probe-draining"    // it reports that the worker accepts no new requests
	ProbeUnreachable Observation = "probe-unreachable" // no connection, or no response within the timeout
	TrafficSucceeded Observation = "traffic-succeeded" // a request got a complete response
	TrafficFailed    Observation = "traffic-failed"    // a request got no complete response: no connection, or one that broke
)

// minInterval is the minimum time between probes: one may cost the worker 6 ms.
const minInterval = time.Second

// Thresholds configure the hysteresis. Zero fields take their defaults.
type Thresholds struct {
	Interval           time.Duration // time between probes; default and minimum 1 s
	ProbesToReady      int           // consecutive probes that report ready, or draining, before that state; default 2
	ProbesToUnready    int           // consecutive failed probes before not ready; default 3
	FailuresToUnready  int           // consecutive failed requests before not ready; default 5
	TrafficValidity    time.Duration // how long a successful request outweighs failed probes; default 5 s
	GoneAfter          time.Duration // time unreachable after which the worker counts as gone; default 10 s
	BaseEjectionTime   time.Duration // ejection time after the first ejection, doubled with each further one; default 1 s
	MaxEjectionTime    time.Duration // maximum ejection time; default 30 s
	EjectionResetAfter time.Duration // time ready after which the ejection time starts from its base again; default 1 min
	MaxSkippedProbes   int           // maximum consecutive probes skipped while requests succeed; default 4
	ProbeTimeout       time.Duration // default 1 s
}

// withDefaults fills the zero fields.
func (t Thresholds) withDefaults() Thresholds {
	t.Interval = max(t.Interval, minInterval)
	for field, value := range map[*int]int{&t.ProbesToReady: 2, &t.ProbesToUnready: 3, &t.FailuresToUnready: 5, &t.MaxSkippedProbes: 4} {
		if *field == 0 {
			*field = value
		}
	}
	for field, value := range map[*time.Duration]time.Duration{
		&t.TrafficValidity: 5 * time.Second, &t.GoneAfter: 10 * time.Second, &t.BaseEjectionTime: time.Second,
		&t.MaxEjectionTime: 30 * time.Second, &t.EjectionResetAfter: time.Minute, &t.ProbeTimeout: time.Second,
	} {
		if *field == 0 {
			*field = value
		}
	}
	return t
}

// HealthTracker derives the state of a worker from observations, with hysteresis (see
// Thresholds). It has no clock: time is passed in. It is not safe for concurrent use.
type HealthTracker struct {
	thresholds Thresholds
	state      wire.EndpointState
	since      time.Time // start of the current state

	lastProbe     Observation // result of the last probe
	sameProbes    int         // consecutive probes with that result
	lastReached   time.Time   // last time that the worker responded
	lastSuccess   time.Time   // last successful request
	failures      int         // consecutive failed requests
	ejections     int         // changes from ready to another state since the last reset
	ejectedUntil  time.Time   // the worker is not ready before this time
	skippedProbes int         // consecutive probes skipped
}

// NewHealthTracker returns the tracker of a worker without observations, in the state
// starting.
func NewHealthTracker(thresholds Thresholds, now time.Time) *HealthTracker {
	return &HealthTracker{thresholds: thresholds.withDefaults(), state: wire.EndpointStarting, since: now, lastReached: now}
}

// State returns the current state.
func (h *HealthTracker) State() wire.EndpointState { return h.state }

// Step applies an observation and returns the resulting state.
func (h *HealthTracker) Step(observation Observation, now time.Time) wire.EndpointState {
	switch observation {
	case TrafficSucceeded:
		h.lastSuccess, h.lastReached, h.failures = now, now, 0
	case TrafficFailed:
		h.failures++
	default:
		h.recordProbe(observation, now)
	}
	if next := h.decide(now); next != h.state {
		h.enter(next, now)
	}
	return h.state
}

// recordProbe counts consecutive probes with the same result.
func (h *HealthTracker) recordProbe(result Observation, now time.Time) {
	if result != h.lastProbe {
		h.lastProbe, h.sameProbes = result, 0
	}
	h.sameProbes++
	if result != ProbeUnreachable {
		h.lastReached = now
	}
}

// decide returns the next state.
func (h *HealthTracker) decide(now time.Time) wire.EndpointState {
	if h.state == wire.EndpointReady {
		return h.decideReady(now)
	}
	if h.lastProbe == ProbeUnreachable && now.Sub(h.lastReached) >= h.thresholds.GoneAfter {
		return wire.EndpointGone
	}
	if h.lastProbe == ProbeDraining && h.sameProbes >= h.thresholds.ProbesToReady {
		return wire.EndpointDraining
	}
	if h.lastProbe == ProbeReady && h.sameProbes >= h.thresholds.ProbesToReady && !now.Before(h.ejectedUntil) {
		return wire.EndpointReady
	}
	if h.state == wire.EndpointGone && h.lastProbe != ProbeUnreachable {
		return wire.EndpointStarting
	}
	return h.state
}

// decideReady returns the next state of a ready worker. Draining is accepted from the health
// endpoint alone, since withholding requests is the safe error; any other negative report
// counts only if no request succeeded recently.
func (h *HealthTracker) decideReady(now time.Time) wire.EndpointState {
	if h.lastProbe == ProbeDraining && h.sameProbes >= h.thresholds.ProbesToReady {
		return wire.EndpointDraining
	}
	if h.failures >= h.thresholds.FailuresToUnready {
		return wire.EndpointStarting
	}
	unhealthy := (h.lastProbe == ProbeStarting || h.lastProbe == ProbeUnreachable) && h.sameProbes >= h.thresholds.ProbesToUnready
	if unhealthy && !h.hasRecentSuccess(now) {
		return wire.EndpointStarting
	}
	return wire.EndpointReady
}

// hasRecentSuccess reports whether a request succeeded within TrafficValidity.
func (h *HealthTracker) hasRecentSuccess(now time.Time) bool {
	return !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) < h.thresholds.TrafficValidity
}

// enter changes the state. Each change from ready ejects the worker for longer, so that a
// health endpoint with false reports can't make it flap.
func (h *HealthTracker) enter(next wire.EndpointState, now time.Time) {
	if h.state == wire.EndpointReady {
		if now.Sub(h.since) >= h.thresholds.EjectionResetAfter {
			h.ejections = 0
		}
		ejection := h.thresholds.MaxEjectionTime
		if h.ejections < 16 {
			ejection = min(ejection, h.thresholds.BaseEjectionTime<<h.ejections)
		}
		h.ejections++
		h.ejectedUntil = now.Add(ejection)
		h.sameProbes = 0
	}
	h.state, h.since, h.failures = next, now, 0
}

// ProbeDue reports whether the next probe is to be sent, and counts it as sent or skipped. It
// is called once per interval. While requests succeed most probes are skipped, since they cost
// the worker time.
func (h *HealthTracker) ProbeDue(now time.Time) bool {
	alive := h.state == wire.EndpointReady && now.Sub(h.lastSuccess) < h.thresholds.Interval && h.lastProbe == ProbeReady
	if alive && h.skippedProbes < h.thresholds.MaxSkippedProbes {
		h.skippedProbes++
		return false
	}
	h.skippedProbes = 0
	return true
}

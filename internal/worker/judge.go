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

// Judge decides the state of a worker from observations. It is pure: time is
// passed in.
type Judge struct {
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

// NewJudge returns the judge of a worker of which nothing is known.
func NewJudge(thresholds Thresholds, now time.Time) *Judge {
	return &Judge{thresholds: thresholds.withDefaults(), state: wire.EndpointStarting, since: now, reached: now}
}

// State returns the state decided last.
func (j *Judge) State() wire.EndpointState { return j.state }

// Step takes in an observation and returns the state of the worker.
func (j *Judge) Step(observation Observation, now time.Time) wire.EndpointState {
	switch observation {
	case TrafficSucceeded:
		j.succeeded, j.reached, j.failed = now, now, 0
	case TrafficFailed:
		j.failed++
	default:
		j.noteProbe(observation, now)
	}
	if next := j.decide(now); next != j.state {
		j.enter(next, now)
	}
	return j.state
}

// noteProbe counts probes that agree.
func (j *Judge) noteProbe(hint Observation, now time.Time) {
	if hint != j.hint {
		j.hint, j.agreeing = hint, 0
	}
	j.agreeing++
	if hint != ProbeUnreachable {
		j.reached = now
	}
}

// decide returns the state that the observations speak for.
func (j *Judge) decide(now time.Time) wire.EndpointState {
	if j.state == wire.EndpointReady {
		return j.decideReady(now)
	}
	if j.hint == ProbeUnreachable && now.Sub(j.reached) >= j.thresholds.GoneAfter {
		return wire.EndpointGone
	}
	if j.hint == ProbeDraining && j.agreeing >= j.thresholds.Up {
		return wire.EndpointDraining
	}
	if j.hint == ProbeReady && j.agreeing >= j.thresholds.Up && !now.Before(j.heldUntil) {
		return wire.EndpointReady
	}
	if j.state == wire.EndpointGone && j.hint != ProbeUnreachable {
		return wire.EndpointStarting
	}
	return j.state
}

// decideReady returns the next state of a ready worker. Draining is taken from
// the health endpoint alone, as keeping requests away errs on the safe side;
// any other doubt must not be contradicted by traffic.
func (j *Judge) decideReady(now time.Time) wire.EndpointState {
	if j.hint == ProbeDraining && j.agreeing >= j.thresholds.Up {
		return wire.EndpointDraining
	}
	if j.failed >= j.thresholds.TrafficDown {
		return wire.EndpointStarting
	}
	doubted := (j.hint == ProbeStarting || j.hint == ProbeUnreachable) && j.agreeing >= j.thresholds.Down
	if doubted && !j.trafficFresh(now) {
		return wire.EndpointStarting
	}
	return wire.EndpointReady
}

// trafficFresh reports whether a request succeeded lately.
func (j *Judge) trafficFresh(now time.Time) bool {
	return !j.succeeded.IsZero() && now.Sub(j.succeeded) < j.thresholds.TrafficFresh
}

// enter changes the state. Each fall from ready holds the worker out for
// longer, so that a health endpoint that lies cannot make it flap.
func (j *Judge) enter(next wire.EndpointState, now time.Time) {
	if j.state == wire.EndpointReady {
		if now.Sub(j.since) >= j.thresholds.SettledAfter {
			j.falls = 0
		}
		hold := j.thresholds.HoldMax
		if j.falls < 16 {
			hold = min(hold, j.thresholds.HoldBase<<j.falls)
		}
		j.falls++
		j.heldUntil = now.Add(hold)
		j.agreeing = 0
	}
	j.state, j.since, j.failed = next, now, 0
}

// ProbeDue reports whether the next probe is to be sent, and notes that it is.
// It is asked once an interval. While traffic shows the worker alive most
// probes are left out, as they cost the worker time.
func (j *Judge) ProbeDue(now time.Time) bool {
	alive := j.state == wire.EndpointReady && now.Sub(j.succeeded) < j.thresholds.Interval && j.hint == ProbeReady
	if alive && j.withheld < j.thresholds.ProbesWithheld {
		j.withheld++
		return false
	}
	j.withheld = 0
	return true
}

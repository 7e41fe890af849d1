package worker

import (
	"flag"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"sliphead/internal/wire"
)

// Property tests draw the same cases on each run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// trial steps a tracker through virtual seconds.
type trial struct {
	health *HealthTracker
	now    time.Time
	rises  int // changes to ready
}

func newTrial() *trial {
	start := time.Unix(1e9, 0)
	return &trial{health: NewHealthTracker(Thresholds{}, start), now: start}
}

// after lets time go by and steps through observations one second apart.
func (r *trial) after(wait time.Duration, observations ...Observation) wire.EndpointState {
	r.now = r.now.Add(wait)
	for _, observation := range observations {
		before := r.health.State()
		if r.health.Step(observation, r.now) == wire.EndpointReady && before != wire.EndpointReady {
			r.rises++
		}
		r.now = r.now.Add(time.Second)
	}
	return r.health.State()
}

func TestHealthTracker(t *testing.T) {
	const ok, bad, drain, none = ProbeReady, ProbeStarting, ProbeDraining, ProbeUnreachable
	const won, lost = TrafficSucceeded, TrafficFailed
	for name, test := range map[string]struct {
		observed []Observation
		want     wire.EndpointState
	}{
		"nothing known":                  {nil, wire.EndpointStarting},
		"one good probe is not enough":   {[]Observation{ok}, wire.EndpointStarting},
		"two good probes":                {[]Observation{ok, ok}, wire.EndpointReady},
		"traffic alone is no readiness":  {[]Observation{won, won, won}, wire.EndpointStarting},
		"two bad probes are a glitch":    {[]Observation{ok, ok, bad, bad, ok}, wire.EndpointReady},
		"three bad probes":               {[]Observation{ok, ok, bad, bad, bad}, wire.EndpointStarting},
		"bad probes against traffic":     {[]Observation{ok, ok, bad, won, bad, won, bad, won, bad, bad}, wire.EndpointReady},
		"bad probes after old traffic":   {[]Observation{ok, ok, won, bad, bad, bad, bad, bad, bad}, wire.EndpointStarting},
		"good probes against traffic":    {[]Observation{ok, ok, ok, lost, ok, lost, ok, lost, ok, lost, ok, lost}, wire.EndpointStarting},
		"failures with a success":        {[]Observation{ok, ok, lost, lost, lost, lost, won, lost, lost, lost, lost}, wire.EndpointReady},
		"draining against traffic":       {[]Observation{ok, ok, won, drain, won, drain, won}, wire.EndpointDraining},
		"one draining probe is a glitch": {[]Observation{ok, ok, drain, ok}, wire.EndpointReady},
		"draining while starting":        {[]Observation{drain, drain}, wire.EndpointDraining},
		"unreachable is not yet gone":    {[]Observation{ok, ok, none, none, none, none}, wire.EndpointStarting},
		"unreachable for long":           {[]Observation{ok, ok, none, none, none, none, none, none, none, none, none, none}, wire.EndpointGone},
		"gone comes back to starting":    {[]Observation{none, none, none, none, none, none, none, none, none, none, none, bad}, wire.EndpointStarting},
	} {
		must.Eq(t, test.want, newTrial().after(0, test.observed...), must.Sprint(name))
	}
}

// A health endpoint that says ready while every request fails must not make
// the worker flap: each fall holds it out for longer.
func TestLyingHealthDoesNotFlap(t *testing.T) {
	run := newTrial()
	for end := run.now.Add(10 * time.Minute); run.now.Before(end); {
		run.after(0, ProbeReady)
		if run.health.State() == wire.EndpointReady {
			run.after(0, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed)
		}
	}
	must.Between(t, 5, run.rises, 25)
	run.after(0, ProbeReady, ProbeReady)
	run.after(time.Hour, ProbeReady, ProbeReady)
	must.Eq(t, wire.EndpointReady, run.health.State())
	run.after(2*time.Minute, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed)
	must.Eq(t, wire.EndpointReady, run.after(0, ProbeReady, ProbeReady), must.Sprint("a long good time is forgiven"))
}

// Health that says draining is believed within two probes, whatever else is
// seen, and a worker that it never called ready is never ready.
func TestHealthTrackerHoldsForAnyObservations(t *testing.T) {
	observations := []Observation{ProbeReady, ProbeStarting, ProbeDraining, ProbeUnreachable, TrafficSucceeded, TrafficFailed}
	rapid.Check(t, func(t *rapid.T) {
		run := newTrial()
		saidReady := false
		for _, observation := range rapid.SliceOfN(rapid.SampledFrom(observations), 0, 60).Draw(t, "observations") {
			saidReady = saidReady || observation == ProbeReady
			run.after(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait"))*time.Second, observation)
			if run.health.State() == wire.EndpointReady {
				must.True(t, saidReady)
			}
		}
		must.Eq(t, wire.EndpointDraining, run.after(0, ProbeDraining, ProbeDraining))
	})
}

func TestProbesAreLeftOutWhileTrafficFlows(t *testing.T) {
	run := newTrial()
	probes := 0
	for range 60 {
		if run.health.ProbeDue(run.now) {
			probes++
			run.health.Step(ProbeReady, run.now)
		}
		run.now = run.now.Add(500 * time.Millisecond)
		run.health.Step(TrafficSucceeded, run.now)
		run.now = run.now.Add(500 * time.Millisecond)
	}
	must.Between(t, 12, probes, 15)
	run.now = run.now.Add(time.Second)
	for range 10 {
		must.True(t, run.health.ProbeDue(run.now))
		run.now = run.now.Add(time.Second)
	}
}

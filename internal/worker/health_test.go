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

// simulation steps a tracker through virtual seconds.
type simulation struct {
	health     *HealthTracker
	now        time.Time
	readyCount int // changes to ready
}

func newSimulation() *simulation {
	start := time.Unix(1e9, 0)
	return &simulation{health: NewHealthTracker(Thresholds{}, start), now: start}
}

// observe lets time pass and then applies observations one second apart.
func (r *simulation) observe(wait time.Duration, observations ...Observation) wire.EndpointState {
	r.now = r.now.Add(wait)
	for _, observation := range observations {
		before := r.health.State()
		if r.health.Step(observation, r.now) == wire.EndpointReady && before != wire.EndpointReady {
			r.readyCount++
		}
		r.now = r.now.Add(time.Second)
	}
	return r.health.State()
}

func TestWorkerStateFollowsObservations(t *testing.T) {
	const ready, starting, draining, unreachable = ProbeReady, ProbeStarting, ProbeDraining, ProbeUnreachable
	const success, failure = TrafficSucceeded, TrafficFailed
	for name, test := range map[string]struct {
		observed []Observation
		want     wire.EndpointState
	}{
		"no observations":                   {nil, wire.EndpointStarting},
		"one good probe is not enough":      {[]Observation{ready}, wire.EndpointStarting},
		"two good probes":                   {[]Observation{ready, ready}, wire.EndpointReady},
		"traffic alone does not make ready": {[]Observation{success, success, success}, wire.EndpointStarting},
		"two bad probes are a glitch":       {[]Observation{ready, ready, starting, starting, ready}, wire.EndpointReady},
		"three bad probes":                  {[]Observation{ready, ready, starting, starting, starting}, wire.EndpointStarting},
		"bad probes against traffic":        {[]Observation{ready, ready, starting, success, starting, success, starting, success, starting, starting}, wire.EndpointReady},
		"bad probes after old traffic":      {[]Observation{ready, ready, success, starting, starting, starting, starting, starting, starting}, wire.EndpointStarting},
		"good probes against traffic":       {[]Observation{ready, ready, ready, failure, ready, failure, ready, failure, ready, failure, ready, failure}, wire.EndpointStarting},
		"failures with a success":           {[]Observation{ready, ready, failure, failure, failure, failure, success, failure, failure, failure, failure}, wire.EndpointReady},
		"draining against traffic":          {[]Observation{ready, ready, success, draining, success, draining, success}, wire.EndpointDraining},
		"one draining probe is a glitch":    {[]Observation{ready, ready, draining, ready}, wire.EndpointReady},
		"draining while starting":           {[]Observation{draining, draining}, wire.EndpointDraining},
		"unreachable is not yet gone":       {[]Observation{ready, ready, unreachable, unreachable, unreachable, unreachable}, wire.EndpointStarting},
		"unreachable for long":              {[]Observation{ready, ready, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable}, wire.EndpointGone},
		"gone returns to starting":          {[]Observation{unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, unreachable, starting}, wire.EndpointStarting},
	} {
		must.Eq(t, test.want, newSimulation().observe(0, test.observed...), must.Sprint(name))
	}
}

// A health endpoint that reports ready while every request fails must not make the worker
// flap: each change from ready ejects it for longer.
func TestFalseReadyReportsDoNotCauseFlapping(t *testing.T) {
	run := newSimulation()
	for end := run.now.Add(10 * time.Minute); run.now.Before(end); {
		run.observe(0, ProbeReady)
		if run.health.State() == wire.EndpointReady {
			run.observe(0, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed)
		}
	}
	must.Between(t, 5, run.readyCount, 25)
	run.observe(0, ProbeReady, ProbeReady)
	run.observe(time.Hour, ProbeReady, ProbeReady)
	must.Eq(t, wire.EndpointReady, run.health.State())
	run.observe(2*time.Minute, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed, TrafficFailed)
	must.Eq(t, wire.EndpointReady, run.observe(0, ProbeReady, ProbeReady), must.Sprint("a long time ready resets the ejection time"))
}

// Two probes that report draining always lead to draining, whatever was observed before, and a
// worker never becomes ready without a probe that reported ready.
func TestHealthTrackerInvariants(t *testing.T) {
	observations := []Observation{ProbeReady, ProbeStarting, ProbeDraining, ProbeUnreachable, TrafficSucceeded, TrafficFailed}
	rapid.Check(t, func(t *rapid.T) {
		run := newSimulation()
		reportedReady := false
		for _, observation := range rapid.SliceOfN(rapid.SampledFrom(observations), 0, 60).Draw(t, "observations") {
			reportedReady = reportedReady || observation == ProbeReady
			run.observe(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait"))*time.Second, observation)
			if run.health.State() == wire.EndpointReady {
				must.True(t, reportedReady)
			}
		}
		must.Eq(t, wire.EndpointDraining, run.observe(0, ProbeDraining, ProbeDraining))
	})
}

func TestProbesAreSkippedWhileRequestsSucceed(t *testing.T) {
	run := newSimulation()
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

package membership

import (
	"testing"
	"time"

	"sliphead/internal/wire"
)

const (
	benchmarkSize             = 850
	benchmarkConvergenceLimit = 5 * time.Minute
)

// steadyFleet returns a fleet in which all nodes have held the registers of all
// others for compactAfter.
func steadyFleet(b *testing.B, size int, profile Profile) *fleet {
	f := newFleet(b, size, 1, profile)
	var members []wire.Member
	for _, n := range f.nodes {
		members = append(members, n.machine.Self())
	}
	for _, n := range f.nodes {
		n.machine.Step(Received{Message: wire.Envelope{From: "test", Sync: &wire.Sync{Members: members}}}, f.now)
		n.machine.gossipQueue = newGossipQueue()
	}
	f.run(compactAfter)
	return f
}

// reportTraffic reports the bytes sent per running node and second during run, its
// virtual duration and the number of live members declared dead.
func (f *fleet) reportTraffic(b *testing.B, run func()) {
	begin := f.now
	f.datagramBytes, f.streamBytes, f.measuring = 0, 0, true
	run()
	f.measuring = false
	running := 0
	for _, n := range f.nodes {
		if n.running {
			running++
		}
	}
	seconds := f.now.Sub(begin).Seconds()
	b.ReportMetric(float64(f.datagramBytes)/float64(running)/seconds, "datagramB/node/s")
	b.ReportMetric(float64(f.streamBytes)/float64(running)/seconds, "streamB/node/s")
	b.ReportMetric(seconds, "s")
	b.ReportMetric(float64(f.falseDeaths), "false-deaths")
}

func (f *fleet) killHalf() {
	for index := 0; index < len(f.nodes); index += 2 {
		f.kill(f.nodes[index])
	}
}

// churn changes the state of one endpoint of the fleet per second.
func (f *fleet) churn(seconds int) {
	for index := range seconds {
		state := []wire.EndpointState{wire.EndpointStarting, wire.EndpointReady}[index%2]
		f.setEndpoint(f.nodes[index/2], state)
		f.run(time.Second)
	}
}

// scenarios are measured by their virtual duration and the traffic during run.
var scenarios = []struct {
	name    string
	prepare func(f *fleet)
	run     func(f *fleet)
}{
	{"idle", nil, func(f *fleet) { f.run(20 * time.Second) }},
	{"churn", nil, func(f *fleet) { f.churn(30) }},
	{"loss5", func(f *fleet) { f.loss = 0.05 }, func(f *fleet) { f.run(20 * time.Second) }},
	{"change", nil, func(f *fleet) {
		f.setEndpoint(f.nodes[17], wire.EndpointDraining)
		f.runUntil(benchmarkConvergenceLimit, "converged", f.converged)
	}},
	{"death", nil, func(f *fleet) {
		f.kill(f.nodes[42])
		f.runUntil(benchmarkConvergenceLimit, "converged", f.converged)
	}},
	{"half", nil, func(f *fleet) {
		f.killHalf()
		f.runUntil(benchmarkConvergenceLimit, "converged", f.converged)
	}},
	{"return", func(f *fleet) {
		f.killHalf()
		f.runUntil(benchmarkConvergenceLimit, "converged", f.converged)
	}, func(f *fleet) {
		for index := 0; index < len(f.nodes); index += 2 {
			f.boot(f.nodes[index], 0)
		}
		f.runUntil(benchmarkConvergenceLimit, "converged", f.converged)
	}},
	{"heal", func(f *fleet) {
		for index := range f.nodes {
			f.partitionSide[index] = index % 2
		}
		f.run(2 * time.Minute)
		f.falseDeaths = 0
	}, func(f *fleet) {
		clear(f.partitionSide)
		f.runUntil(benchmarkConvergenceLimit, "converged", f.converged)
	}},
}

func BenchmarkFleet(b *testing.B) {
	for _, profile := range []Profile{ProfileConvergence, ProfileBytes} {
		for _, scenario := range scenarios {
			b.Run(string(profile)+"/"+scenario.name, func(b *testing.B) {
				f := steadyFleet(b, benchmarkSize, profile)
				if scenario.prepare != nil {
					scenario.prepare(f)
				}
				f.reportTraffic(b, func() { scenario.run(f) })
			})
		}
	}
}

func BenchmarkStart(b *testing.B) {
	f := newFleet(b, benchmarkSize, 1, ProfileConvergence)
	f.reportTraffic(b, func() { f.runUntil(benchmarkConvergenceLimit, "converged", f.converged) })
}

package membership

import (
	"testing"
	"time"

	"sliphead/internal/wire"
)

const (
	benchmarkSize = 850
	settleLimit   = 5 * time.Minute
)

// settled returns a fleet that agrees and has nothing left to tell.
func settled(b *testing.B, profile Profile) *fleet {
	f := newFleet(b, benchmarkSize, 1)
	f.profile = profile
	for _, n := range f.nodes {
		n.machine.config.GossipInterval = DefaultConfig(profile).GossipInterval
	}
	took := f.until(settleLimit, "agreed", f.agreed)
	b.ReportMetric(took.Seconds(), "s/start")
	f.until(settleLimit, "quiet", f.quiet)
	f.run(settledAfter)
	return f
}

func (f *fleet) quiet() bool {
	for _, n := range f.nodes {
		if n.running && n.machine.rumors.len() > 0 {
			return false
		}
	}
	return true
}

// measured reports the bytes sent per running node and second while run runs.
func (f *fleet) measured(b *testing.B, name string, run func()) {
	begin := f.now
	f.bytes, f.measure = 0, true
	run()
	f.measure = false
	running := 0
	for _, n := range f.nodes {
		if n.running {
			running++
		}
	}
	b.ReportMetric(float64(f.bytes)/float64(running)/f.now.Sub(begin).Seconds(), "B/node/s-"+name)
}

func BenchmarkFleet(b *testing.B) {
	for _, profile := range []Profile{ProfileConvergence, ProfileBytes} {
		b.Run(string(profile), func(b *testing.B) { benchmarkFleet(b, profile) })
	}
}

func benchmarkFleet(b *testing.B, profile Profile) {
	f := settled(b, profile)
	f.measured(b, "idle", func() { f.run(20 * time.Second) })

	f.measured(b, "change", func() {
		f.setEndpoint(f.nodes[17], wire.EndpointDraining)
		took := f.until(settleLimit, "agreed", f.agreed)
		b.ReportMetric(took.Seconds(), "s/change")
		f.run(20*time.Second - took)
	})
	f.measured(b, "churn", func() { // one change a second in the fleet
		for index := range 60 {
			state := []wire.EndpointState{wire.EndpointStarting, wire.EndpointReady}[index%2]
			f.setEndpoint(f.nodes[100+index/2], state)
			f.run(time.Second)
		}
	})
	f.until(settleLimit, "agreed", f.agreed)
	f.kill(f.nodes[42])
	took := f.until(settleLimit, "agreed on one death", f.agreed)
	b.ReportMetric(took.Seconds(), "s/death")
	f.until(settleLimit, "quiet", f.quiet)
	f.measured(b, "half", func() {
		for index := 0; index < benchmarkSize; index += 2 {
			f.kill(f.nodes[index])
		}
		took := f.until(settleLimit, "agreed on half", f.agreed)
		b.ReportMetric(took.Seconds(), "s/half")
	})
	for index := 0; index < benchmarkSize; index += 2 {
		f.boot(f.nodes[index], 0)
	}
	f.measured(b, "return", func() {
		took := f.until(settleLimit, "agreed on the return", f.agreed)
		b.ReportMetric(took.Seconds(), "s/return")
	})
	b.ReportMetric(float64(f.deaths), "false-deaths")
}

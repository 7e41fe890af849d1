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

// settledFleet returns a fleet in which all know all for long.
func settledFleet(b *testing.B, size int, profile Profile) *fleet {
	f := newFleet(b, size, 1, profile)
	var members []wire.Member
	for _, n := range f.nodes {
		members = append(members, n.machine.Self())
	}
	for _, n := range f.nodes {
		n.machine.Step(Received{Message: wire.Envelope{From: "test", Sync: &wire.Sync{Members: members}}}, f.now)
		n.machine.rumors = newRumors()
	}
	f.run(settledAfter)
	return f
}

// measured reports the bytes sent per running node, per second or in all.
func (f *fleet) measured(b *testing.B, run func()) {
	begin := f.now
	f.datagramBytes, f.streamBytes, f.measure = 0, 0, true
	run()
	f.measure = false
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
	b.ReportMetric(float64(f.deaths), "false-deaths")
}

func (f *fleet) killHalf() {
	for index := 0; index < len(f.nodes); index += 2 {
		f.kill(f.nodes[index])
	}
}

// churn changes one endpoint a second in the whole fleet.
func (f *fleet) churn(seconds int) {
	for index := range seconds {
		state := []wire.EndpointState{wire.EndpointStarting, wire.EndpointReady}[index%2]
		f.setEndpoint(f.nodes[index/2], state)
		f.run(time.Second)
	}
}

// scenarios give the time that each takes and what it sends in that time.
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
		f.until(settleLimit, "agreed", f.agreed)
	}},
	{"death", nil, func(f *fleet) {
		f.kill(f.nodes[42])
		f.until(settleLimit, "agreed", f.agreed)
	}},
	{"half", nil, func(f *fleet) {
		f.killHalf()
		f.until(settleLimit, "agreed", f.agreed)
	}},
	{"return", func(f *fleet) {
		f.killHalf()
		f.until(settleLimit, "agreed", f.agreed)
	}, func(f *fleet) {
		for index := 0; index < len(f.nodes); index += 2 {
			f.boot(f.nodes[index], 0)
		}
		f.until(settleLimit, "agreed", f.agreed)
	}},
	{"heal", func(f *fleet) {
		for index := range f.nodes {
			f.side[index] = index % 2
		}
		f.run(2 * time.Minute)
		f.deaths = 0
	}, func(f *fleet) {
		clear(f.side)
		f.until(settleLimit, "agreed", f.agreed)
	}},
}

func BenchmarkFleet(b *testing.B) {
	for _, profile := range []Profile{ProfileConvergence, ProfileBytes} {
		for _, scenario := range scenarios {
			b.Run(string(profile)+"/"+scenario.name, func(b *testing.B) {
				f := settledFleet(b, benchmarkSize, profile)
				if scenario.prepare != nil {
					scenario.prepare(f)
				}
				f.measured(b, func() { scenario.run(f) })
			})
		}
	}
}

func BenchmarkStart(b *testing.B) {
	f := newFleet(b, benchmarkSize, 1, ProfileConvergence)
	f.measured(b, func() { f.until(settleLimit, "agreed", f.agreed) })
}

package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// settled starts a fleet and brings it to agree on revision 1.
func settled(t *testing.T, f *fleet, nodes, zones int) *edition {
	t.Helper()
	f.setUp(t, 1, nodes, zones)
	f.startAll()
	e := f.write(0, 1, "", true)
	f.publish(e, f.nodes...)
	_, done := f.until(10*time.Second, func() bool { return f.agreed(e.whole.Version()) })
	must.True(t, done, must.Func(f.describe))
	return e
}

// TestDrainOutlastsTheWorkersHealth begins a planned stop while the worker warms
// up: that it then looks ready must not bring it requests.
func TestDrainOutlastsTheWorkersHealth(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		settled(t, f, 6, 2)
		f.nodes[1].start(0)
		f.run(100 * time.Millisecond)
		f.nodes[1].drain()
		f.run(8 * time.Second)
	})
}

// TestPauseDuringStart pauses a process while it starts. The reports that it finds
// when it resumes are old, and must not make it current with an old version.
func TestPauseDuringStart(t *testing.T) {
	for _, startedFor := range []time.Duration{200, 400, 600, 800} {
		simulate(t, func(t *testing.T, f *fleet) {
			settled(t, f, 6, 1)
			f.faults.delay = 150 * time.Millisecond
			f.nodes[5].start(0)
			f.run(startedFor * time.Millisecond)
			f.nodes[5].freeze(false)
			f.run(10 * time.Second)
			newer := f.write(0, 2, "", true)
			f.publish(newer, f.nodes...)
			f.run(time.Minute)
			f.nodes[5].resume()
			f.run(5 * time.Second)
			must.True(t, f.agreed(newer.whole.Version()), must.Func(f.describe))
		})
	}
}

// TestResumedNodeKnowsOfDrains pauses a node until its peers hold it for dead
// and tell it nothing, and drains a worker meanwhile. The node must not send to
// that worker when it resumes.
func TestResumedNodeKnowsOfDrains(t *testing.T) {
	for _, delay := range []time.Duration{0, 20, 150} {
		for paused := range 3 {
			simulate(t, func(t *testing.T, f *fleet) {
				settled(t, f, 7, 2)
				f.run(time.Second)
				f.faults.delay = delay * time.Millisecond
				f.nodes[paused].freeze(false)
				f.run(10 * time.Second)
				f.nodes[4].drain()
				f.run(10 * time.Second)
				f.nodes[paused].resume()
				f.run(5 * time.Second)
				must.True(t, f.agreed(f.nodes[4].process.version), must.Func(f.describe))
			})
		}
	}
}

// TestStaleSourceTakesNobodyBack shows all readers an older version, and starts
// a node that knows nothing else.
func TestStaleSourceTakesNobodyBack(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		older := settled(t, f, 6, 2)
		newer := f.write(0, 2, "", true)
		f.publish(newer, f.nodes...)
		f.run(2 * time.Second)
		f.publish(older, f.nodes...)
		f.run(2 * time.Second)
		f.nodes[2].start(0)
		f.run(5 * time.Second)
		must.True(t, f.agreed(newer.whole.Version()), must.Func(f.describe))
	})
}

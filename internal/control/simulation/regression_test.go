package simulation

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// convergedFleet starts a fleet, lets it converge on revision 1 and returns that.
func convergedFleet(t *testing.T, f *fleet, nodes, zones int) *declarationSet {
	t.Helper()
	f.setUp(t, 1, nodes, zones)
	f.startAll()
	e := f.declare(0, 1, "", true)
	f.publish(e, f.nodes...)
	_, done := f.runUntil(10*time.Second, func() bool { return f.converged(e.complete.Version()) })
	must.True(t, done, must.Func(f.describe))
	return e
}

// A planned stop begins while the worker still warms up. The ready state that its
// health check reports afterwards must not bring it requests.
func TestReadyWorkerDoesNotUndoDrain(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		convergedFleet(t, f, 6, 2)
		f.nodes[1].start(0)
		f.run(100 * time.Millisecond)
		f.nodes[1].drain()
		f.run(8 * time.Second)
	})
}

// TestPauseDuringStart pauses a process while it starts. The reports that are
// buffered when it resumes are stale, and must not make it current with an old
// version.
func TestPauseDuringStart(t *testing.T) {
	for _, startedFor := range []time.Duration{200, 400, 600, 800} {
		simulate(t, func(t *testing.T, f *fleet) {
			convergedFleet(t, f, 6, 1)
			f.faults.delay = 150 * time.Millisecond
			f.nodes[5].start(0)
			f.run(startedFor * time.Millisecond)
			f.nodes[5].freeze(false)
			f.run(10 * time.Second)
			newer := f.declare(0, 2, "", true)
			f.publish(newer, f.nodes...)
			f.run(time.Minute)
			f.nodes[5].resume()
			f.run(5 * time.Second)
			must.True(t, f.converged(newer.complete.Version()), must.Func(f.describe))
		})
	}
}

// A node is paused until its peers declare it dead and no longer send it updates, and
// a worker drains during that time. The resumed node must not send to that worker.
func TestResumedNodeDoesNotSendToDrainingWorker(t *testing.T) {
	for _, delay := range []time.Duration{0, 20, 150} {
		for paused := range 3 {
			simulate(t, func(t *testing.T, f *fleet) {
				convergedFleet(t, f, 7, 2)
				f.run(time.Second)
				f.faults.delay = delay * time.Millisecond
				f.nodes[paused].freeze(false)
				f.run(10 * time.Second)
				f.nodes[4].drain()
				f.run(10 * time.Second)
				f.nodes[paused].resume()
				f.run(5 * time.Second)
				must.True(t, f.converged(f.nodes[4].process.version), must.Func(f.describe))
			})
		}
	}
}

// All readers get an older version from the source, and a node starts that has no
// other version. No node may roll back to it.
func TestStaleSourceCausesNoRollback(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		older := convergedFleet(t, f, 6, 2)
		newer := f.declare(0, 2, "", true)
		f.publish(newer, f.nodes...)
		f.run(2 * time.Second)
		f.publish(older, f.nodes...)
		f.run(2 * time.Second)
		f.nodes[2].start(0)
		f.run(5 * time.Second)
		must.True(t, f.converged(newer.complete.Version()), must.Func(f.describe))
	})
}

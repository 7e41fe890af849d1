package simulation

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of the generated runs.
func TestMain(m *testing.M) {
	flags := map[string]string{
		"rapid.seed": "46", "rapid.checks": "45", "rapid.steps": "25",
		"rapid.nofailfile": "true", "rapid.shrinktime": "5s",
	}
	for name, value := range flags {
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}

// Without faults all nodes must serve each new version, and only a few nodes per zone
// may read the source.
func TestFleetConverges(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		f.setUp(t, 1, 9, 3)
		f.startAll()
		for revision := range uint64(3) {
			e := f.declare(0, revision+1, "", true)
			f.publish(e, f.nodes...)
			took, done := f.runUntil(10*time.Second, func() bool { return f.converged(e.complete.Version()) })
			must.True(t, done, must.Sprint(f.describe()))
			t.Logf("revision %d: all nodes current after %s", revision+1, took)
		}
		must.LessEq(t, 6, f.readers())
	})
}

// Two runs with the same faults and seed must have the same trace, otherwise failures
// can't be reproduced.
func TestSimulationIsDeterministic(t *testing.T) {
	var traces []uint64
	for range 2 {
		simulate(t, func(t *testing.T, f *fleet) {
			f.setUp(t, 7, 8, 2)
			f.faults = linkFaults{loss: 0.1, duplicate: 0.1, reorder: 0.1, delay: 20 * time.Millisecond}
			f.startAll()
			f.publish(f.declare(0, 1, "", true), f.nodes...)
			f.run(6 * time.Second)
			f.nodes[0].freeze(true)
			f.nodes[1].kill()
			f.publish(f.declare(0, 2, "", true), f.nodes...)
			f.run(5 * time.Second)
			f.nodes[0].resume()
			f.nodes[1].start(time.Second)
			f.run(5 * time.Second)
			traces = append(traces, f.trace)
			t.Logf("%v", f.counts)
		})
	}
	must.Eq(t, traces[0], traces[1])
}

// TestFleetUnderFaults injects random faults. The oracle checks each step; at the end
// all live nodes must converge.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		simulate(t, func(_ *testing.T, f *fleet) {
			seed := rapid.Uint64Range(0, 1<<30).Draw(drawn, "seed")
			f.setUp(drawn, seed, rapid.IntRange(3, 12).Draw(drawn, "nodes"), rapid.IntRange(1, 3).Draw(drawn, "zones"))
			p := &faultPlan{fleet: f}
			if rapid.Bool().Draw(drawn, "seeds") {
				for _, n := range f.nodes {
					n.seeds = []string{f.nodes[0].address(), f.nodes[1].address()}
				}
			}
			f.startAll()
			drawn.Repeat(map[string]func(*rapid.T){
				"change": p.change, "race": p.race, "equivocate": p.equivocate, "restore": p.restore,
				"staleSource": p.staleSource, "sourceOutage": p.sourceOutage, "secretLate": p.secretLate,
				"kill": p.kill, "killReaders": p.killReaders, "restart": p.restart, "joinAll": p.restartDead,
				"freeze": p.freeze, "resume": p.resume, "drain": p.drain,
				"cut": p.cut, "heal": p.heal, "degrade": p.degrade, "relist": p.staleList,
				"pass": p.advance, "passAgain": p.advance, "passOnceMore": p.advance, "passStill": p.advance,
			})
			p.checkConvergence(drawn)
		})
	})
	t.Logf("maximum time to convergence: %s without source, %s with it, then %s until the endpoints converged",
		maxConvergence.withoutSource, maxConvergence.withSource, maxConvergence.endpoints)
}

// When all nodes start at once, with only the machine list to find each other, few
// nodes per zone may read the source.
func TestMassStartHasFewSourceReaders(t *testing.T) {
	simulate(t, func(t *testing.T, f *fleet) {
		f.setUp(t, 3, 12, 3)
		f.startAll()
		e := f.declare(0, 1, "", true)
		f.publish(e, f.nodes...)
		_, done := f.runUntil(convergenceBound, func() bool { return f.converged(e.complete.Version()) })
		must.True(t, done, must.Func(f.describe))
		read := 0
		for _, running := range f.live() {
			if running.hasReadSource {
				read++
			}
		}
		t.Logf("%d of %d nodes have read the source, %d have the reader duty now", read, len(f.nodes), f.readers())
		must.LessEq(t, readersPerZone*3, read)
		must.LessEq(t, readersPerZone, f.maxReaders())
	})
}

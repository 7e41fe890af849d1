package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// deep has the proofs run on more seeds and on the largest mesh.
var deep = flag.Bool("deep", false, "run more seeds, and 850 nodes with 1,000 tenants where that is said")

var (
	medium = fleetShape{nodes: 73, zones: 4, tenants: 79, demand: 1800, settings: exampleSettings}
	large  = fleetShape{nodes: 850, zones: 8, tenants: 1000, demand: 47000, settings: exampleSettings}
)

// eachSeed runs a proof on a fleet of its own for each seed.
func eachSeed(t *testing.T, proof func(t *testing.T, f *fleet)) {
	seeds := uint64(1) // with the race detector two took minutes on a busy machine
	if *deep {
		seeds = 12
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { proof(t, newFleet(seed, medium)) })
	}
}

// holds checks that no tenant went beyond its bound, and that so much of what lies within
// the limits was let pass.
func (f *fleet) holds(t *testing.T, least float64) {
	t.Helper()
	part, name := f.worst()
	share := served(f.tenants...)
	seconds := float64(len(f.nodes))
	t.Logf("served %.3f of what is owed; %s used %.2f of its bound; %.0f messages of %.0f kB a node", share, name, part, float64(f.messages)/seconds, float64(f.bytes)/seconds/1000)
	must.LessEq(t, 1, part, must.Sprint(name))
	must.GreaterEq(t, least, share)
}

// What callers usually send is served, whatever part of the messages is lost.
func TestUsualDemandIsServed(t *testing.T) {
	for loss, least := range map[float64]float64{0: 0.99, 0.05: 0.97, 0.3: 0.9} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			eachSeed(t, func(t *testing.T, f *fleet) {
				f.loss = loss
				f.traffic(15 * time.Second)
				f.holds(t, least)
			})
		})
	}
}

// A flood of a large and of a small tenant stays under the bound, and the others are served.
func TestFloods(t *testing.T) {
	for loss, least := range map[float64]float64{0: 0.98, 0.05: 0.97, 0.3: 0.88} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			eachSeed(t, func(t *testing.T, f *fleet) {
				f.loss = loss
				big, small := f.tenants[0], f.tenants[len(f.tenants)-1]
				f.traffic(5 * time.Second)
				big.demand *= 7.5
				small.demand = 40
				f.traffic(7 * time.Second)
				t.Logf("the large one %d of %d, the small one %d of %d", len(big.admitted), big.owed, len(small.admitted), small.owed)
				f.holds(t, 0.9)
				must.GreaterEq(t, least, served(big, small))
			})
		})
	}
}

// Two halves that can't talk, with floods on both sides and news from the store on one:
// together they stay under the bound, and what each has serves usual demand.
func TestHalvesThatCannotTalk(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		for _, each := range f.nodes {
			if each.host.Zone == "z0" || each.host.Zone == "z1" {
				each.side = 1
			}
		}
		f.traffic(10 * time.Second)
		f.holds(t, 0.9)
		f.reset()
		f.tenants[0].demand *= 7.5
		f.tenants[len(f.tenants)-1].demand = 40
		f.traffic(10 * time.Second)
		for _, each := range f.nodes {
			each.side = 0
		}
		f.traffic(7 * time.Second)
		f.holds(t, 0.9)
	})
}

// Single nodes that are cut off, and all of them at once, stay under the bound together.
func TestNodesThatAreCutOff(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		for index, each := range f.nodes[:len(f.nodes)/12] {
			each.side = index + 1
		}
		f.traffic(10 * time.Second)
		f.holds(t, 0.9)
		f.reset()
		f.tenants[0].demand *= 7.5
		f.tenants[1].demand *= 7.5
		for index, each := range f.nodes {
			each.side = index + 1
		}
		f.traffic(10 * time.Second)
		f.holds(t, 0)
	})
}

// Nodes end, come back, stand still and go on, again and again, under a flood.
func TestNodesThatEndFreezeAndComeBack(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.tenants[0].demand *= 7.5
		for range 12 {
			struck := f.nodes[f.random.IntN(len(f.nodes))]
			frozen := f.nodes[f.random.IntN(len(f.nodes))]
			struck.down = true
			if frozen != struck {
				frozen.frozen = true
			}
			f.traffic(time.Second)
			f.start(struck)
			f.tell(struck, 200*time.Millisecond)
			if frozen != struck {
				f.thaw(frozen)
			}
		}
		f.holds(t, 0.9)
	})
}

// A third of the machines is replaced by new ones, one after the other.
func TestManyReplacedInARow(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.tenants[0].demand *= 7.5
		for index := range len(f.nodes) / 3 {
			gone := f.nodes[index]
			gone.down = true
			added := f.add(index % f.zones)
			f.start(added)
			f.tellAll()
			f.traffic(500 * time.Millisecond)
		}
		f.holds(t, 0.9)
	})
}

// After all nodes have lost power at once, they grant what comes from then on, and no more.
func TestAllPowerLost(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.tenants[0].demand *= 7.5
		f.traffic(5 * time.Second)
		for _, each := range f.nodes {
			each.down = true
		}
		f.run(800 * time.Millisecond)
		for _, each := range f.nodes {
			f.start(each)
			each.down = false
		}
		for _, each := range f.nodes {
			f.tell(each, time.Duration(f.random.Int64N(int64(500*time.Millisecond))))
		}
		f.run(500 * time.Millisecond)
		f.traffic(15 * time.Second)
		f.holds(t, 0.9)
	})
}

// A limit that is lowered while the tenant sends four times as much binds one window after
// all nodes know of it.
func TestLoweredLimit(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		big := f.tenants[0]
		big.demand *= 4
		f.traffic(4 * time.Second)
		f.holds(t, 0.95)
		big.RatePerSecond /= 3
		big.Burst /= 3
		big.limitAt = f.now.Add(newsLag)
		f.tellAll()
		f.traffic(10 * time.Second)
		f.holds(t, 0.9)
	})
}

// Callers who all move to one zone are served by the stripes of the others.
func TestCallersMoveToAnotherZone(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.traffic(3 * time.Second)
		for _, each := range f.tenants {
			each.zone = 1
		}
		f.traffic(7 * time.Second)
		f.holds(t, 0.97)
	})
}

// A large mesh, half of whose zones can't reach the others during floods.
func TestLargeMesh(t *testing.T) {
	if !*deep {
		t.Skip("takes a minute: run it with -args -deep")
	}
	f := newFleet(1, large)
	f.traffic(3 * time.Second)
	f.holds(t, 0.97)
	for _, each := range f.nodes {
		if each.host.Zone < "z4" {
			each.side = 1
		}
	}
	f.tenants[0].demand *= 3
	f.tenants[len(f.tenants)-1].demand = 200
	f.traffic(6 * time.Second)
	f.holds(t, 0.9)
}

// What a node is to spend for the quotas, in messages and bytes a second, and what it keeps.
func TestCostOfQuotas(t *testing.T) {
	shape := medium
	if *deep {
		shape = large
	}
	const seconds = 10
	f := newFleet(1, shape)
	f.reset()
	f.traffic(seconds * time.Second)
	nodes := float64(len(f.nodes))
	perNode := float64(f.bytes) / nodes / seconds
	t.Logf("%.0f messages and %.0f bytes a node and second, without UDP and IP headers", float64(f.messages)/nodes/seconds, perNode)
	const mostControl = 14_000 // bytes a node and second for all control
	must.LessEq(t, mostControl/2, perNode)
}

package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// deepRuns enables more seeds and the largest mesh.
var deepRuns = flag.Bool("deep", false, "run more seeds, and some tests with 850 nodes and 1,000 tenants")

var (
	mediumFleet = fleetShape{nodes: 73, zones: 4, tenants: 79, demand: 1800, settings: exampleSettings}
	largeFleet  = fleetShape{nodes: 850, zones: 8, tenants: 1000, demand: 47000, settings: exampleSettings}
)

// eachSeed runs a check on a new fleet for each seed.
func eachSeed(t *testing.T, check func(t *testing.T, f *fleet)) {
	seeds := uint64(1) // two seeds took minutes with the race detector on a busy machine
	if *deepRuns {
		seeds = 12
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { check(t, newFleet(seed, mediumFleet)) })
	}
}

// checkBounds fails if a tenant exceeded its bound, or if less than minServed of the requests
// within the limits was admitted.
func (f *fleet) checkBounds(t *testing.T, minServed float64) {
	t.Helper()
	used, name := f.worstBoundUse()
	servedPart := servedShare(f.tenants...)
	nodes := float64(len(f.nodes))
	t.Logf("served %.3f of the requests within the limits; %s used %.2f of its bound; %.0f messages with %.0f kB per node", servedPart, name, used, float64(f.messages)/nodes, float64(f.bytes)/nodes/1000)
	must.LessEq(t, 1, used, must.Sprint(name))
	must.GreaterEq(t, minServed, servedPart)
}

// Usual demand must be served at each rate of message loss.
func TestUsualDemandIsServed(t *testing.T) {
	for loss, minServed := range map[float64]float64{0: 0.99, 0.05: 0.97, 0.3: 0.9} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			eachSeed(t, func(t *testing.T, f *fleet) {
				f.loss = loss
				f.traffic(15 * time.Second)
				f.checkBounds(t, minServed)
			})
		})
	}
}

// Floods of a large and of a small tenant must stay within the bounds without affecting other
// tenants.
func TestFloodsStayWithinBound(t *testing.T) {
	for loss, minServed := range map[float64]float64{0: 0.98, 0.05: 0.97, 0.3: 0.88} {
		t.Run(fmt.Sprint("loss ", loss), func(t *testing.T) {
			eachSeed(t, func(t *testing.T, f *fleet) {
				f.loss = loss
				big, small := f.tenants[0], f.tenants[len(f.tenants)-1]
				f.traffic(5 * time.Second)
				big.demand *= 7.5
				small.demand = 40
				f.traffic(7 * time.Second)
				t.Logf("large tenant: %d of %d admitted, small tenant: %d of %d", len(big.admitted), big.idealAdmitted, len(small.admitted), small.idealAdmitted)
				f.checkBounds(t, 0.9)
				must.GreaterEq(t, minServed, servedShare(big, small))
			})
		})
	}
}

// Two partitioned halves, with floods on both sides and store updates on one only, must
// together stay within the bounds and must each serve usual demand.
func TestPartitionedHalvesStayWithinBound(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		for _, each := range f.nodes {
			if each.host.Zone == "z0" || each.host.Zone == "z1" {
				each.partition = 1
			}
		}
		f.traffic(10 * time.Second)
		f.checkBounds(t, 0.9)
		f.resetCounts()
		f.tenants[0].demand *= 7.5
		f.tenants[len(f.tenants)-1].demand = 40
		f.traffic(10 * time.Second)
		for _, each := range f.nodes {
			each.partition = 0
		}
		f.traffic(7 * time.Second)
		f.checkBounds(t, 0.9)
	})
}

// Single isolated nodes, and later all nodes isolated from each other, must together stay
// within the bounds.
func TestIsolatedNodesStayWithinBound(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		for index, each := range f.nodes[:len(f.nodes)/12] {
			each.partition = index + 1
		}
		f.traffic(10 * time.Second)
		f.checkBounds(t, 0.9)
		f.resetCounts()
		f.tenants[0].demand *= 7.5
		f.tenants[1].demand *= 7.5
		for index, each := range f.nodes {
			each.partition = index + 1
		}
		f.traffic(10 * time.Second)
		f.checkBounds(t, 0)
	})
}

// Nodes that are repeatedly stopped, restarted, suspended and resumed during a flood must stay
// within the bounds.
func TestRestartedAndSuspendedNodesStayWithinBound(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.tenants[0].demand *= 7.5
		for range 12 {
			restarted := f.nodes[f.random.IntN(len(f.nodes))]
			suspended := f.nodes[f.random.IntN(len(f.nodes))]
			restarted.down = true
			if suspended != restarted {
				suspended.suspended = true
			}
			f.traffic(time.Second)
			f.start(restarted)
			f.configure(restarted, 200*time.Millisecond)
			if suspended != restarted {
				f.resume(suspended)
			}
		}
		f.checkBounds(t, 0.9)
	})
}

// The bounds must hold during a flood while a third of the nodes is replaced by new ones, one
// after the other.
func TestRollingReplacementStaysWithinBound(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.tenants[0].demand *= 7.5
		for index := range len(f.nodes) / 3 {
			removed := f.nodes[index]
			removed.down = true
			added := f.add(index % f.zones)
			f.start(added)
			f.configureAll()
			f.traffic(500 * time.Millisecond)
		}
		f.checkBounds(t, 0.9)
	})
}

// After a simultaneous power loss of all nodes, only tokens added since then may be granted,
// and usual demand must be served.
func TestSimultaneousRestartStaysWithinBound(t *testing.T) {
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
			f.configure(each, time.Duration(f.random.Int64N(int64(500*time.Millisecond))))
		}
		f.run(500 * time.Millisecond)
		f.traffic(15 * time.Second)
		f.checkBounds(t, 0.9)
	})
}

// A limit that is lowered while the tenant sends four times its usual demand must hold one
// window after the change has reached all nodes.
func TestLoweredLimitBindsAfterPropagation(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		big := f.tenants[0]
		big.demand *= 4
		f.traffic(4 * time.Second)
		f.checkBounds(t, 0.95)
		big.RatePerSecond /= 3
		big.Burst /= 3
		big.boundFrom = f.now.Add(maxPropagation)
		f.configureAll()
		f.traffic(10 * time.Second)
		f.checkBounds(t, 0.9)
	})
}

// Requests that all move to one zone must be served by the stripes of the other zones.
func TestTrafficShiftToOneZoneIsServed(t *testing.T) {
	eachSeed(t, func(t *testing.T, f *fleet) {
		f.traffic(3 * time.Second)
		for _, each := range f.tenants {
			each.zone = 1
		}
		f.traffic(7 * time.Second)
		f.checkBounds(t, 0.97)
	})
}

// A large mesh of which half of the zones can't reach the other half must stay within the
// bounds during floods.
func TestLargePartitionedMeshStaysWithinBound(t *testing.T) {
	if !*deepRuns {
		t.Skip("takes a minute; run with -args -deep")
	}
	f := newFleet(1, largeFleet)
	f.traffic(3 * time.Second)
	f.checkBounds(t, 0.97)
	for _, each := range f.nodes {
		if each.host.Zone < "z4" {
			each.partition = 1
		}
	}
	f.tenants[0].demand *= 3
	f.tenants[len(f.tenants)-1].demand = 200
	f.traffic(6 * time.Second)
	f.checkBounds(t, 0.9)
}

// Bounds the bytes that a node sends for quotas per second, and logs the messages.
func TestMessageCostIsBounded(t *testing.T) {
	shape := mediumFleet
	if *deepRuns {
		shape = largeFleet
	}
	const seconds = 10
	f := newFleet(1, shape)
	f.resetCounts()
	f.traffic(seconds * time.Second)
	nodes := float64(len(f.nodes))
	perNode := float64(f.bytes) / nodes / seconds
	t.Logf("%.0f messages and %.0f bytes per node and second, without UDP and IP headers", float64(f.messages)/nodes/seconds, perNode)
	const maxControl = 14_000 // bytes a second that a node may send for all control messages
	must.LessEq(t, maxControl/2, perNode)
}

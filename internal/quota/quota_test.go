package quota

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// deep has the proofs run on more seeds and on the largest mesh.
var deep = flag.Bool("deep", false, "run more seeds, and 850 nodes with 1,000 tenants")

var (
	medium = fleetShape{nodes: 73, zones: 4, tenants: 79, demand: 1800, settings: exampleSettings}
	large  = fleetShape{nodes: 850, zones: 8, tenants: 1000, demand: 47000, settings: exampleSettings}
)

// eachSeed runs a proof on a fleet of its own for each seed.
func eachSeed(t *testing.T, proof func(t *testing.T, f *fleet)) {
	seeds := uint64(2)
	if *deep {
		seeds = 12
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { proof(t, newFleet(seed, medium)) })
	}
	if *deep {
		t.Run("large", func(t *testing.T) { proof(t, newFleet(1, large)) })
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
	for _, loss := range []float64{0, 0.05, 0.3} {
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
				must.GreaterEq(t, 0.9, served(big, small))
			})
		})
	}
}

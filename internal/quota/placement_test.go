package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func hostsIn(zones, count int) []Host {
	var made []Host
	for index := range count {
		made = append(made, Host{Address: fmt.Sprintf("10.0.%d.%d", index/250, index%250), Zone: fmt.Sprint("z", index%zones)})
	}
	return made
}

// Each zone holds as many stripes as another, give or take one, as far as it has hosts; a
// host holds one at most; and a host that comes or goes moves one stripe at most.
func TestStripesAreDealtOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, count := rapid.IntRange(1, 8).Draw(t, "zones"), rapid.IntRange(1, 60).Draw(t, "hosts")
		tenant := rapid.StringN(1, 20, -1).Draw(t, "tenant")
		all := hostsIn(zones, count)
		known := newHosts()
		known.update(all, began)
		stripes := exampleSettings.stripes(rapid.Float64Range(0.1, 2000).Draw(t, "rate"), rapid.Float64Range(0, 2000).Draw(t, "burst"), len(known.byZone), count)
		must.Between(t, 1, stripes, count)
		before := known.deal(tenant, stripes)
		must.Len(t, stripes, before)
		inZone, seen := map[string]int{}, map[string]bool{}
		for _, each := range before {
			inZone[each.Zone]++
			must.False(t, seen[each.Address])
			seen[each.Address] = true
		}
		for _, each := range all {
			hostsOfZone := 0
			for _, other := range all {
				if other.Zone == each.Zone {
					hostsOfZone++
				}
			}
			must.GreaterEq(t, min(stripes/len(known.byZone), hostsOfZone), inZone[each.Zone])
		}
		if count < 2 {
			return
		}
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		fewer := newHosts()
		fewer.update(append(append([]Host{}, all[:gone]...), all[gone+1:]...), began)
		if len(fewer.byZone) != len(known.byZone) {
			return
		}
		moved := 0
		for _, each := range fewer.deal(tenant, min(stripes, count-1)) {
			if !seen[each.Address] {
				moved++
			}
		}
		must.LessEq(t, 1+zones, moved)
	})
}

// A host whose record is gone keeps its stripes for a minute, and one that is back moves
// none. While nothing is heard, as behind a cut, none is forgotten.
func TestHostsAreRemembered(t *testing.T) {
	known := newHosts()
	all := hostsIn(2, 6)
	known.update(all, began)
	must.True(t, known.changed.IsZero(), must.Sprint("what is known first is no change"))
	known.update(all[1:], began.Add(time.Second))
	known.expire(began.Add(hostMemory))
	must.Eq(t, 1, known.generation)
	known.update(all, began.Add(hostMemory))
	known.update(all[1:], began.Add(2*hostMemory))
	known.expire(began.Add(3 * hostMemory))
	must.Eq(t, 1, known.generation)
	known.expire(began.Add(3*hostMemory + time.Second))
	must.Eq(t, 2, known.generation)
	must.Eq(t, 5, len(known.known))
}

// BenchmarkPlacement is what a node does once for a tenant after nodes have come or gone.
func BenchmarkPlacement(b *testing.B) {
	const nodes, zones = 850, 8
	m := New(Config{Settings: exampleSettings, Self: "10.0.0.1", Random: rand.NewPCG(1, 0)}, began)
	m.hosts.update(hostsIn(zones, nodes), began)
	held := &tenant{name: "press", rate: 251, burst: 251}
	for b.Loop() {
		held.generation = 0
		m.place(held, began)
	}
}

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

// Zones must have equal numbers of stripes, give or take one, as far as they have enough hosts;
// a host must have at most one stripe; and adding or removing a host must move few stripes.
func TestStripesAreSpreadOverZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, count := rapid.IntRange(1, 8).Draw(t, "zones"), rapid.IntRange(1, 60).Draw(t, "hosts")
		tenant := rapid.StringN(1, 20, -1).Draw(t, "tenant")
		all := hostsIn(zones, count)
		nodes := newHosts()
		nodes.update(all, startTime)
		stripes := exampleSettings.stripes(rapid.Float64Range(0.1, 2000).Draw(t, "rate"), rapid.Float64Range(0, 2000).Draw(t, "burst"), len(nodes.byZone), count)
		must.Between(t, 1, stripes, count)
		before := nodes.deal(tenant, stripes)
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
			must.GreaterEq(t, min(stripes/len(nodes.byZone), hostsOfZone), inZone[each.Zone])
		}
		if count < 2 {
			return
		}
		removed := rapid.IntRange(0, count-1).Draw(t, "gone")
		fewer := newHosts()
		fewer.update(append(append([]Host{}, all[:removed]...), all[removed+1:]...), startTime)
		if len(fewer.byZone) != len(nodes.byZone) {
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

// A host whose record is missing must keep its stripes for hostRetention, and must move none if
// it returns. Without updates, as in a partition, no host may be removed.
func TestMissingHostsAreRetained(t *testing.T) {
	nodes := newHosts()
	all := hostsIn(2, 6)
	nodes.update(all, startTime)
	must.True(t, nodes.changedAt.IsZero(), must.Sprint("the first configuration is not a change"))
	nodes.update(all[1:], startTime.Add(time.Second))
	nodes.expire(startTime.Add(hostRetention))
	must.Eq(t, 1, nodes.generation)
	nodes.update(all, startTime.Add(hostRetention))
	nodes.update(all[1:], startTime.Add(2*hostRetention))
	nodes.expire(startTime.Add(3 * hostRetention))
	must.Eq(t, 1, nodes.generation)
	nodes.expire(startTime.Add(3*hostRetention + time.Second))
	must.Eq(t, 2, nodes.generation)
	must.Eq(t, 5, len(nodes.byAddress))
}

// BenchmarkPlacement measures the placement of one tenant's stripes, which a node does after a
// change of the nodes.
func BenchmarkPlacement(b *testing.B) {
	const nodes, zones = 850, 8
	m := New(Config{Settings: exampleSettings, Self: "10.0.0.1", Random: rand.NewPCG(1, 0)}, startTime)
	m.hosts.update(hostsIn(zones, nodes), startTime)
	tenant := &tenantState{name: "press", rate: 251, burst: 251}
	for b.Loop() {
		tenant.hostsGeneration = 0
		m.placeStripes(tenant, startTime)
	}
}

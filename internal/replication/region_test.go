package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/catalog"
)

// interRegionDelay is the one-way delay between two regions, and between the store and all
// regions but the first.
const interRegionDelay = 20 * time.Millisecond

// newRegionFleet returns a fleet of regions r0, r1, ... with the given number of zones each. The
// store is in r0.
func newRegionFleet(regions, zones, perZone int) *fleet {
	f := newFleet(0, 0)
	f.regions, f.partitioned = map[string]string{}, map[string]bool{}
	for region := range regions {
		for zone := range zones {
			f.regions[fmt.Sprintf("r%d-%d", region, zone)] = fmt.Sprintf("r%d", region)
		}
	}
	for region := range regions {
		for zone := range zones {
			for index := range perZone {
				f.addNode(fmt.Sprintf("10.%d.%d.%d", region, zone, index), fmt.Sprintf("r%d-%d", region, zone))
			}
		}
	}
	return f
}

// addNode records a worker and starts the node on its machine.
func (f *fleet) addNode(address, zone string) {
	node := &simNode{address: address, zone: zone, up: true}
	f.nodes = append(f.nodes, node)
	f.change(catalog.Change{Instance: &catalog.Instance{ID: "i-" + address, Zone: zone, Address: address + ":80"}})
	f.start(node)
}

// delay returns the one-way delay between two nodes.
func (f *fleet) delay(from, to *simNode) time.Duration {
	if f.regions[from.zone] == f.regions[to.zone] {
		return f.intraRegionDelay
	}
	return interRegionDelay
}

// storeDelay returns the round-trip time to the store.
func (f *fleet) storeDelay(node *simNode) time.Duration {
	if f.regions[node.zone] == "" || f.regions[node.zone] == "r0" {
		return 0
	}
	return 2 * interRegionDelay
}

func (f *fleet) isPartitioned(a, b *simNode) bool {
	regionA, regionB := f.regions[a.zone], f.regions[b.zone]
	return a.cut || b.cut || regionA != regionB && (f.partitioned[regionA] || f.partitioned[regionB])
}

// cutRegion cuts a region off from all others and from the store, or reconnects it.
func (f *fleet) cutRegion(region string, cut bool) {
	f.partitioned[region] = cut
	for _, node := range f.nodes {
		if f.regions[node.zone] != region {
			continue
		}
		node.disturbedAt = f.now
		node.access = available
		if cut {
			node.access = unresponsive
		}
	}
}

func (f *fleet) allReaders() []*simNode {
	var reading []*simNode
	for _, node := range f.nodes {
		if node.up && node.machine.Reader(f.now) {
			reading = append(reading, node)
		}
	}
	return reading
}

func (f *fleet) members(region string) []*simNode {
	var members []*simNode
	for _, node := range f.nodes {
		if f.regions[node.zone] == region {
			members = append(members, node)
		}
	}
	return members
}

// crossRegionFollowers counts the nodes that follow a node of another region.
func (f *fleet) crossRegionFollowers() int {
	count := 0
	for _, node := range f.nodes {
		if followed := f.node(node.following); followed != nil && f.regions[followed.zone] != f.regions[node.zone] {
			count++
		}
	}
	return count
}

// In steady state, one node reads the store for all regions, one node of each other region
// follows a node of another region, and a change reaches all nodes quickly.
func TestOneReaderForAllRegions(t *testing.T) {
	f := newRegionFleet(3, 2, 14)
	f.run(6 * time.Second)
	must.Len(t, 1, f.allReaders())
	must.Eq(t, 2, f.crossRegionFollowers())
	f.polls, f.follows = 0, 0
	const seconds = 30
	f.run(seconds * time.Second)
	t.Log("polls", f.polls)
	must.Less(t, seconds/longPollShare/freshness.Seconds()+1, float64(f.polls))
	must.Zero(t, f.follows)
	f.configure()
	f.run(freshness / 8)
	for _, node := range f.nodes {
		must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
	}
}

// If all zones lie in one region, one node per zone reads the store.
func TestOneReaderPerZoneInOneRegion(t *testing.T) {
	f := newRegionFleet(1, 3, 4)
	f.run(6 * time.Second)
	must.Len(t, 3, f.allReaders())
}

// If the global reader, its zone or its region fails, or the store rejects it or leaves it
// without a response, all nodes in contact with the store still receive changes in time.
func TestRegionsStayFreshWhenGlobalReaderFails(t *testing.T) {
	disturb := map[string]func(*fleet, *simNode){
		"killed":               func(_ *fleet, node *simNode) { node.up = false },
		"frozen":               func(_ *fleet, node *simNode) { node.frozen = true },
		"cut":                  func(_ *fleet, node *simNode) { node.cut, node.access = true, unresponsive },
		"unresponsive":         func(_ *fleet, node *simNode) { node.access = unresponsive },
		"rejected":             func(_ *fleet, node *simNode) { node.access = refuses },
		"longPollUnresponsive": func(_ *fleet, node *simNode) { node.access = longPollUnresponsive },
	}
	scopes := map[string]func(*fleet, *simNode, *simNode) bool{
		"node":   func(_ *fleet, node, reader *simNode) bool { return node == reader },
		"zone":   func(_ *fleet, node, reader *simNode) bool { return node.zone == reader.zone },
		"region": func(f *fleet, node, reader *simNode) bool { return f.regions[node.zone] == f.regions[reader.zone] },
	}
	for failure, fail := range disturb {
		for scope, affected := range scopes {
			t.Run(failure+" "+scope, func(t *testing.T) {
				f := newRegionFleet(3, 2, 8)
				f.run(6 * time.Second)
				reader := f.reader()
				for _, node := range f.nodes {
					if affected(f, node, reader) {
						fail(f, node)
						node.disturbedAt = f.now
					}
				}
				for range 12 {
					f.configure()
					f.run(freshness / 3)
					must.SliceEmpty(t, f.overdueNodes())
				}
			})
		}
	}
}

// When the global reader fails, the first node of each zone polls the store for its zone. The
// other nodes neither poll the store nor look for another node to follow, and none is behind for
// long.
func TestFirstNodesTakeOverFromFailedReader(t *testing.T) {
	disturb := map[string]func(*fleet, *simNode){
		"frozen": func(_ *fleet, reader *simNode) { reader.frozen = true },
		"region rejected": func(f *fleet, reader *simNode) {
			for _, node := range f.members(f.regions[reader.zone]) {
				node.access = refuses
			}
		},
	}
	for name, fail := range disturb {
		t.Run(name, func(t *testing.T) {
			f := newRegionFleet(3, 2, 14)
			f.run(6 * time.Second)
			fail(f, f.reader())
			f.polls, f.follows = 0, 0
			f.configure()
			f.run(3 * freshness / 4)
			for _, node := range f.nodes {
				must.True(t, node.frozen || node.machine.State().Revision() == f.revision, must.Sprint(node.address))
			}
			f.run(2 * freshness)
			must.Less(t, len(f.nodes)/2, f.polls)
			must.Less(t, len(f.nodes)/2, f.follows)
		})
	}
}

// The store rejects a third of the nodes, or leaves them without a response; all nodes still
// receive changes in time.
func TestRegionsStayFreshWhenStoreRejectsThirdOfNodes(t *testing.T) {
	for name, access := range map[string]storeAccess{"rejected": refuses, "unresponsive": unresponsive} {
		t.Run(name, func(t *testing.T) {
			f := newRegionFleet(3, 2, 8)
			f.run(6 * time.Second)
			for index, node := range f.nodes {
				if index%3 == 0 || node == f.reader() {
					node.access, node.disturbedAt = access, f.now
				}
			}
			for range 20 {
				f.configure()
				f.run(freshness / 5)
				f.checkAllUpToDate(t)
			}
		})
	}
}

// checkAllUpToDate fails if a running node that can reach others lacks a change older than the
// freshness bound, whether or not the store serves it.
func (f *fleet) checkAllUpToDate(t *testing.T) {
	for _, node := range f.nodes {
		next := node.machine.State().Revision() + 1
		if node.up && !node.cut && next <= f.revision {
			must.LessEq(t, freshness, f.now.Sub(f.changedAt[next]), must.Sprint(node.address))
		}
	}
}

// A partitioned region keeps serving with the catalog it has. When it is reconnected, it catches
// up in time, and not all of its nodes poll the store for a full snapshot.
func TestRegionRecoversAfterPartition(t *testing.T) {
	f := newRegionFleet(3, 2, 14)
	f.run(6 * time.Second)
	members := f.members("r2")
	f.cutRegion("r2", true)
	f.configure()
	f.run(10 * time.Second)
	f.polls = 0
	f.run(10 * time.Second)
	t.Log("polls per second of the partitioned region and the others", float64(f.polls)/10)
	must.Less(t, float64(len(members)), float64(f.polls)/10) // less than one per node and second
	for range 50 {
		f.configure()
	}
	f.cutRegion("r2", false)
	f.polls = 0
	f.run(freshness)
	t.Log("polls while it recovered", f.polls, "cross-region followers", f.crossRegionFollowers())
	for _, node := range members {
		must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
	}
	must.Less(t, 2*len(members), f.polls)
	f.run(2 * freshness)
	must.Eq(t, 2, f.crossRegionFollowers())
	must.Len(t, 1, f.allReaders())
}

// A global reader that the store rejected for a while becomes the reader again.
func TestReaderRoleReturnsToFirstNode(t *testing.T) {
	f := newRegionFleet(3, 2, 8)
	f.run(6 * time.Second)
	first := f.reader()
	first.access = refuses
	f.run(2 * freshness)
	first.access = available
	f.run(2 * freshness)
	must.Eq(t, []*simNode{first}, f.allReaders())
	must.LessEq(t, time.Duration(backupPollShare*float64(freshness)), f.maxAge())
}

// Found by TestRegionsStayFreshUnderFaults: the reader's long polls get no response, then the
// store rejects it, and there is only one other node, in another region.
func TestReaderLosesLongPollThenIsRejected(t *testing.T) {
	f := newRegionFleet(2, 1, 1)
	f.run(5 * time.Second)
	reader := f.reader()
	reader.access, reader.disturbedAt = longPollUnresponsive, f.now
	f.configure()
	f.run(30 * tickStep)
	reader.access, reader.disturbedAt = refuses, f.now
	f.configure()
	f.run(105 * tickStep)
	must.SliceEmpty(t, f.overdueNodes())
}

// Whatever fails and recovers in a mesh of several regions, a node in contact with the store has
// each change within the freshness bound.
func TestRegionsStayFreshUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newRegionFleet(rapid.IntRange(2, 3).Draw(t, "regions"), rapid.IntRange(1, 2).Draw(t, "zones"), rapid.SampledFrom([]int{1, 2, 4, fanOut + 3}).Draw(t, "perZone"))
		f.intraRegionDelay = rapid.SampledFrom([]time.Duration{0, tickStep}).Draw(t, "shortWay")
		f.run(5 * time.Second)
		for range rapid.IntRange(1, 10).Draw(t, "steps") {
			node := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "atReader") {
				if reader := f.reader(); reader != nil {
					node = reader
				}
			}
			disturb(t, f, node)
			if rapid.Bool().Draw(t, "change") {
				f.configure()
			}
			before := f.revisions()
			f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * 5 * tickStep)
			if overdue := f.overdueNodes(); len(overdue) > 0 {
				t.Fatalf("overdue: %v", overdue)
			}
			f.checkRevisionsForward(t, before)
		}
	})
}

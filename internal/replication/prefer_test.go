package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// readers returns the nodes of a zone that should read the store.
func (f *fleet) readers(zone string) []*simNode {
	var reading []*simNode
	for _, node := range f.nodes {
		if node.up && node.zone == zone && node.machine.Reader(f.now) {
			reading = append(reading, node)
		}
	}
	return reading
}

// If a zone has nodes with fast links, one of them reads the store: the configuration took 0.65 s
// on a reader's link of 5 Mbit/s at each change. If all of them fail, the zone follows a fast
// node of another zone.
func TestFastNodeReadsStore(t *testing.T) {
	f := newFleet(2, 20)
	for _, index := range []int{3, 11, 17, 24} { // three of the first zone, one of the second
		f.nodes[index].fast = true
		f.start(f.nodes[index])
	}
	f.run(8 * time.Second)
	var first *simNode
	for _, zone := range []string{"z0", "z1"} {
		reading := f.readers(zone)
		must.Len(t, 1, reading)
		must.True(t, reading[0].fast)
		if zone == "z0" {
			first = reading[0]
		}
	}
	f.configure()
	f.run(time.Second)
	must.SliceEmpty(t, f.overdueNodes())

	first.up = false
	f.run(6 * time.Second)
	must.Len(t, 1, f.readers("z0"))
	must.True(t, f.readers("z0")[0].fast) // the second preferred node
	for _, node := range f.nodes {
		node.up = node.up && !(node.fast && node.zone == "z0")
	}
	f.run(6 * time.Second)
	must.SliceEmpty(t, f.readers("z0")) // the zone's first node follows the fast node of the second zone
	f.configure()
	f.run(2 * time.Second)
	for _, node := range f.nodes {
		must.True(t, !node.up || node.machine.State().Revision() == f.revision)
	}
}

// All nodes of a zone choose the same preferred nodes, at most two.
func TestNodesAgreeOnPreferred(t *testing.T) {
	f := newFleet(1, 24)
	for index, node := range f.nodes {
		node.fast = index%4 == 0
		f.start(node)
	}
	f.run(10 * time.Second)
	wanted := f.nodes[0].machine.Preferred()
	must.Len(t, maxPreferred, wanted)
	for _, node := range f.nodes {
		must.Eq(t, slices.Sorted(slices.Values(wanted)), slices.Sorted(slices.Values(node.machine.Preferred())))
	}
}

func TestFastLink(t *testing.T) {
	must.True(t, FastLink(100, 2500*time.Millisecond))
	must.False(t, FastLink(5, 2500*time.Millisecond))
	must.False(t, FastLink(0, 2500*time.Millisecond))
}

// The first node of a zone without fast nodes follows a fast node of another zone, and no node of
// its zone reads the store. When all fast nodes have failed, one reads again.
func TestZoneWithoutFastNodesFollowsOtherZone(t *testing.T) {
	f := newFleet(3, 10)
	for _, node := range f.nodes[:2] {
		node.fast = true
		f.start(node)
	}
	f.run(40 * time.Second) // announcements rotate over all nodes
	for _, zone := range []string{"z1", "z2"} {
		must.SliceEmpty(t, f.readers(zone))
	}
	must.Len(t, 1, f.readers("z0"))
	f.configure()
	f.run(time.Second)
	must.SliceEmpty(t, f.overdueNodes())
	f.nodes[0].up, f.nodes[1].up = false, false
	f.run(6 * time.Second)
	for _, zone := range []string{"z0", "z1", "z2"} {
		must.Len(t, 1, f.readers(zone))
	}
}

// The set of tracked fast nodes stays bounded when machines come and go.
func TestFastNodeTableIsBounded(t *testing.T) {
	m := New(Config{Self: "10.0.0.1", Zone: "z0", Freshness: freshness, Fast: true}, start)
	for index := range 3 * maxFastNodes {
		m.addFastNode(fmt.Sprintf("10.%d.%d.2", index/256, index%256))
	}
	must.LessEq(t, maxFastNodes, len(m.fastNodes))
	must.True(t, m.fastNodes["10.0.0.1"])
}

package replication

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// readers returns the nodes of a zone that have the duty to read the store.
func (f *fleet) readers(zone string) []*simNode {
	var reading []*simNode
	for _, node := range f.nodes {
		if node.up && node.zone == zone && node.machine.Reader(f.now) {
			reading = append(reading, node)
		}
	}
	return reading
}

// Where a zone has nodes with fast links, one of them reads the store: the configuration
// took 0.65 s of a reader's link of 5 Mbit/s, at each change. When they are gone, a fast
// node of another zone is followed.
func TestFastNodesRead(t *testing.T) {
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
	must.SliceEmpty(t, f.late())

	first.up = false
	f.run(6 * time.Second)
	must.Len(t, 1, f.readers("z0"))
	must.True(t, f.readers("z0")[0].fast) // the second of those that are preferred
	for _, node := range f.nodes {
		node.up = node.up && !(node.fast && node.zone == "z0")
	}
	f.run(6 * time.Second)
	must.SliceEmpty(t, f.readers("z0")) // its first node follows the fast one of the second zone
	f.configure()
	f.run(2 * time.Second)
	for _, node := range f.nodes {
		must.True(t, !node.up || node.machine.State().Revision() == f.revision)
	}
}

// The preferred nodes are the same on all nodes of a zone, and two at most.
func TestAllPreferTheSame(t *testing.T) {
	f := newFleet(1, 24)
	for index, node := range f.nodes {
		node.fast = index%4 == 0
		f.start(node)
	}
	f.run(10 * time.Second)
	wanted := f.nodes[0].machine.Preferred()
	must.Len(t, preferredNodes, wanted)
	for _, node := range f.nodes {
		must.Eq(t, slices.Sorted(slices.Values(wanted)), slices.Sorted(slices.Values(node.machine.Preferred())))
	}
}

func TestFastLink(t *testing.T) {
	must.True(t, FastLink(100, 2500*time.Millisecond))
	must.False(t, FastLink(5, 2500*time.Millisecond))
	must.False(t, FastLink(0, 2500*time.Millisecond))
}

// Where a zone has no fast node, its first one follows a fast node of another zone, and
// nobody reads there; when all fast ones are gone, one reads again.
func TestZoneWithoutFastNodesFollowsOneElsewhere(t *testing.T) {
	f := newFleet(3, 10)
	for _, node := range f.nodes[:2] {
		node.fast = true
		f.start(node)
	}
	f.run(40 * time.Second) // announcements come in turn
	for _, zone := range []string{"z1", "z2"} {
		must.SliceEmpty(t, f.readers(zone))
	}
	must.Len(t, 1, f.readers("z0"))
	f.configure()
	f.run(time.Second)
	must.SliceEmpty(t, f.late())
	f.nodes[0].up, f.nodes[1].up = false, false
	f.run(6 * time.Second)
	for _, zone := range []string{"z0", "z1", "z2"} {
		must.Len(t, 1, f.readers(zone))
	}
}

// Machines come and go: what is remembered of fast ones is bounded.
func TestFastNodesAreForgotten(t *testing.T) {
	m := New(Config{Self: "10.0.0.1", Zone: "z0", Freshness: freshness, Fast: true}, start)
	for index := range 3 * mostFast {
		m.learnFast(fmt.Sprintf("10.%d.%d.2", index/256, index%256))
	}
	must.LessEq(t, mostFast, len(m.fast))
	must.True(t, m.fast["10.0.0.1"])
}

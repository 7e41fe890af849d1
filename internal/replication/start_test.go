package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
)

// A mesh that starts for the first time is recorded worker by worker. Until its nodes
// know of each other each reads the store, but not after every record.
func TestFirstStartAsksLittle(t *testing.T) {
	f := newFleet(0, 0)
	const zones, perZone = 3, 16
	for zone := range zones {
		for index := range perZone {
			node := &simNode{address: fmt.Sprintf("10.%d.0.%d", zone, index), zone: fmt.Sprintf("z%d", zone), up: true}
			f.nodes = append(f.nodes, node)
			f.start(node)
		}
	}
	f.run(800 * time.Millisecond)
	for _, node := range f.nodes {
		f.change(catalog.Change{Instance: &catalog.Instance{ID: "i-" + node.address, Zone: node.zone, Address: node.address + ":80"}})
		f.run(tickStep)
	}
	f.run(2 * time.Second)
	t.Log("calls", f.calls)
	must.Less(t, 6*zones*perZone, f.calls) // a question for all, and few for changes
	for _, node := range f.nodes {
		must.Eq(t, f.revision, node.machine.State().Revision())
	}
}

package replication

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
)

// When a mesh starts for the first time, its workers are recorded one by one. Until its nodes
// know of each other, each of them polls the store, but not after every record.
func TestFirstStartPollsLittle(t *testing.T) {
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
	t.Log("polls", f.polls)
	must.Less(t, 6*zones*perZone, f.polls) // one poll for a snapshot each, and few for changes
	for _, node := range f.nodes {
		must.Eq(t, f.revision, node.machine.State().Revision())
	}
}

// After a pause of the process, an update that was queued counts as old as the pause, and a
// response to a poll from before the pause confirms only the time of that poll. The store is
// polled at once.
func TestMessagesQueuedDuringPauseCountAsOld(t *testing.T) {
	const pause = 8 * time.Second
	started := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	m := New(Config{Self: "10.0.0.1", Zone: "z", Freshness: 2 * time.Second}, started)
	m.Step(Tick{}, started)
	m.Step(PollSucceeded{Batch: catalog.Batch{To: 5, Snapshot: true}, ConfirmedAt: started}, started)
	polledAt := m.polledAt
	resumed := started.Add(pause)
	m.Step(PollSucceeded{Batch: catalog.Batch{From: 5, To: 5}, ConfirmedAt: resumed}, resumed)
	must.Eq(t, polledAt, m.Confirmed())
	must.True(t, m.polling, must.Sprint("polls at once"))

	m.following = "10.0.0.2"
	m.onUpdate(Update{From: "10.0.0.2", Reader: "10.0.0.2", Batch: catalog.Batch{From: 5, To: 5}, Age: 50 * time.Millisecond}, resumed)
	must.Eq(t, polledAt, m.Confirmed(), must.Sprint("update that may have been queued"))
	later := resumed.Add(time.Second)
	m.onUpdate(Update{From: "10.0.0.2", Reader: "10.0.0.2", Batch: catalog.Batch{From: 5, To: 5}, Age: 50 * time.Millisecond}, later)
	must.Eq(t, later.Add(-50*time.Millisecond), m.Confirmed())
}

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

// After a pause, news that waited for this node is as old as the pause, and so is what the
// store answered to a question from before it. The store is asked at once.
func TestWhatWaitedThroughAPauseIsOld(t *testing.T) {
	const pause = 8 * time.Second
	began := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	m := New(Config{Self: "10.0.0.1", Zone: "z", Freshness: 2 * time.Second}, began)
	m.Step(Tick{}, began)
	m.Step(StoreAnswered{Batch: catalog.Batch{To: 5, Whole: true}, ConfirmedAt: began}, began)
	asked := m.askedAt
	woken := began.Add(pause)
	m.Step(StoreAnswered{Batch: catalog.Batch{From: 5, To: 5}, ConfirmedAt: woken}, woken)
	must.Eq(t, asked, m.Confirmed())
	must.True(t, m.asking, must.Sprint("asks at once"))

	m.following = "10.0.0.2"
	m.onNews(News{From: "10.0.0.2", Reader: "10.0.0.2", Batch: catalog.Batch{From: 5, To: 5}, Age: 50 * time.Millisecond}, woken)
	must.Eq(t, asked, m.Confirmed(), must.Sprint("news that may have waited"))
	later := woken.Add(time.Second)
	m.onNews(News{From: "10.0.0.2", Reader: "10.0.0.2", Batch: catalog.Batch{From: 5, To: 5}, Age: 50 * time.Millisecond}, later)
	must.Eq(t, later.Add(-50*time.Millisecond), m.Confirmed())
}

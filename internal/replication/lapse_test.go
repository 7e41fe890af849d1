package replication

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/catalog"
)

// expireRecord removes the record of a node's worker.
func (f *fleet) expireRecord(node *simNode) { f.change(catalog.Change{Removed: "i-" + node.address}) }

// renewRecord writes the record of a node's worker again.
func (f *fleet) renewRecord(node *simNode) {
	f.change(catalog.Change{Instance: &catalog.Instance{ID: "i-" + node.address, Zone: node.zone, Address: node.address + ":80"}})
}

// A node that is partitioned from the store retains its worker, whose record has expired because
// of the partition, until shortly after it reaches the store again.
func TestNodeWithoutStoreRetainsWorker(t *testing.T) {
	for _, access := range []storeAccess{unresponsive, refuses} {
		f := newFleet(2, 4)
		f.run(3 * time.Second)
		isolated := f.nodes[2]
		isolated.access = access
		f.run(time.Second)
		f.expireRecord(isolated)
		f.run(2 * time.Second)
		for range 50 {
			must.True(t, isolated.retains)
			f.run(200 * time.Millisecond)
		}
		must.Len(t, 1, isolated.machine.Lapses())
		isolated.access = available
		f.run(2 * time.Second) // less than the 3 s after which overdueNodes expects the node to be up to date
		must.False(t, isolated.retains)
	}
}

// A node stops retaining a worker whose record exists again.
func TestRetentionEndsWhenRecordReturns(t *testing.T) {
	f := newFleet(1, 3)
	f.run(3 * time.Second)
	isolated := f.nodes[1]
	isolated.access = unresponsive
	f.expireRecord(isolated)
	f.run(3 * time.Second)
	must.True(t, isolated.retains)
	f.renewRecord(isolated)
	f.run(300 * time.Millisecond)
	must.False(t, isolated.retains)
	must.SliceEmpty(t, isolated.machine.Lapses())
}

// A node that reaches the store does not retain its worker: it checks once, and the missing
// record counts.
func TestNoRetentionWhileStoreResponds(t *testing.T) {
	f := newFleet(1, 4)
	f.run(3 * time.Second)
	node := f.nodes[3]
	f.expireRecord(node)
	f.polls = 0
	for range 100 {
		f.run(100 * time.Millisecond)
		must.False(t, node.retains)
	}
	const seconds = 10
	usual := seconds/(longPollShare*freshness.Seconds()) + 1
	must.LessEq(t, usual+2, float64(f.polls)) // the check in addition to the reader's polls
}

// A node whose polls for changes fail while the store responds to small requests does not retain
// its worker. Retaining it, on a narrow link during a burst of configuration changes, kept a
// worker in use for longer than the limit for a leaving one.
func TestNoRetentionOnSlowPolls(t *testing.T) {
	f := newFleet(1, 4)
	f.run(3 * time.Second)
	node := f.nodes[3]
	node.access = slowPolls
	f.run(time.Second)
	f.expireRecord(node)
	for range 100 {
		f.run(100 * time.Millisecond)
		must.False(t, node.retains)
	}
}

// A single failed check makes a node retain its worker only until the next check gets a response.
func TestRetentionEndsAfterShortStoreFailure(t *testing.T) {
	f := newFleet(1, 4)
	f.run(3 * time.Second)
	node := f.nodes[3]
	node.access = unresponsive
	f.expireRecord(node)
	f.run(freshness / 2)
	must.True(t, node.retains)
	node.access = available
	f.run(freshness * 3 / 10)
	must.False(t, node.retains)
}

// Other nodes track an instance with an expired record for a bounded time, along with a time at
// which the record still existed.
func TestLapsesExpire(t *testing.T) {
	f := newFleet(1, 3)
	f.run(3 * time.Second)
	f.expireRecord(f.nodes[2])
	removed := f.now
	f.run(500 * time.Millisecond)
	for _, node := range f.nodes {
		must.Len(t, 1, node.machine.Lapses())
		since := node.machine.Lapses()[0].Since
		must.False(t, since.After(removed.Add(tickStep)))
		must.Less(t, freshness, removed.Sub(since))
	}
	f.run(time.Duration(lapseRetentionShare * float64(freshness)))
	for _, node := range f.nodes {
		must.SliceEmpty(t, node.machine.Lapses())
	}
}

// A worker whose record was removed counts as missing from then on, also if the record of an earlier
// worker at its address is removed later. Fault: after a loss of power, a worker that had left
// without announcing it got requests again once its predecessor's record had expired, 2.6 s after it
// had left.
func TestLapseCountsFromItsOwnRemoval(t *testing.T) {
	started := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	m := New(Config{Self: "10.0.0.1", Zone: "z", Freshness: freshness}, started)
	revision := uint64(0)
	poll := func(seconds float64, changes ...catalog.Change) {
		batch := catalog.Batch{From: revision, Snapshot: revision == 0}
		for _, change := range changes {
			revision++
			change.Revision = revision
			batch.Changes = append(batch.Changes, change)
		}
		batch.To = revision
		m.Step(Tick{}, at(seconds))
		m.Step(PollSucceeded{Batch: batch, ConfirmedAt: at(seconds)}, at(seconds))
	}
	record := func(id string) catalog.Change {
		return catalog.Change{Instance: &catalog.Instance{ID: id, Zone: "z", Address: "10.0.0.1:80", Service: "shop", Capacity: 6}}
	}
	poll(0, record("i-old"))
	poll(0.5, record("i-new"))
	poll(1, catalog.Change{Removed: "i-new"})
	must.SliceEmpty(t, m.Lapses(), must.Sprint("the earlier record has the address"))
	for seconds := 1.5; seconds < 3.5; seconds += 0.5 {
		poll(seconds)
	}
	poll(3.5, catalog.Change{Removed: "i-old"})
	since := map[string]time.Time{}
	for _, lapse := range m.Lapses() {
		since[lapse.Instance.ID] = lapse.Since
	}
	must.Eq(t, at(0.5), since["i-new"])
	must.Eq(t, at(3), since["i-old"])
}

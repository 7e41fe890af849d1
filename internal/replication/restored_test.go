package replication

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/catalog"
)

// snapshot returns a backup of the store's current contents.
func (f *fleet) snapshot() catalog.Batch { return f.store.Since(catalog.Position{}) }

func workerRecord(node *simNode) *catalog.Instance {
	return &catalog.Instance{ID: "i-" + node.address, Zone: node.zone, Address: node.address + ":80"}
}

// countBeforeRestore counts the nodes that have not yet learned of the restore.
func (f *fleet) countBeforeRestore() int {
	count := 0
	for _, node := range f.nodes {
		if node.machine.State().Point().Era < f.store.Point().Era {
			count++
		}
	}
	return count
}

// All nodes learn of a restore of the store within a third of the freshness bound, whether its
// revisions are then below, equal to or above those known before. Later writes are known in time;
// after some seconds, once nodes follow one another as before, they propagate as fast and with as
// few polls as ever.
func TestStoreRestoreReachesFleet(t *testing.T) {
	const lost = 4
	for name, written := range map[string]int{"below": 0, "equal": lost, "above": lost + 5} {
		for _, perZone := range []int{1, 3, 3 * fanOut} {
			t.Run(name, func(t *testing.T) {
				f := newFleet(2, perZone)
				f.run(3 * time.Second)
				backup := f.snapshot()
				for range lost {
					f.configure()
				}
				f.run(time.Second)
				f.storeDown = true
				f.run(3 * time.Second)
				f.restore(backup)
				for range written {
					f.configure()
				}
				f.storeDown = false
				f.run(freshness / 3)
				must.Zero(t, f.countBeforeRestore())
				for range 10 {
					f.configure()
					f.run(freshness / 4)
					must.SliceEmpty(t, f.overdueNodes())
				}
				f.polls = 0
				for range 20 {
					f.configure()
					f.run(freshness / 4)
					for _, node := range f.nodes {
						must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
						must.Eq(t, f.revision+f.versionOffset, node.machine.State().Configuration().Version)
					}
				}
				const seconds = 10 // 20 changes, each read once per zone
				must.LessEq(t, 2*(20+seconds/longPollShare/freshness.Seconds()), float64(f.polls))
			})
		}
	}
}

// An update from a node that has not learned of the restore confirms nothing, however fresh it
// claims to be, and does not end this node's role as reader.
func TestUpdateOfEarlierEraConfirmsNothing(t *testing.T) {
	f := newFleet(1, 2)
	f.run(3 * time.Second)
	f.restore(f.snapshot())
	f.run(freshness)
	follower := f.nodes[0]
	if follower.following == "" {
		follower = f.nodes[1]
	}
	follower.machine.reading = true
	age, _ := follower.machine.Age(f.now)
	update := Update{From: follower.following, Reader: "10.9.9.9", Serial: 7, Batch: catalog.Batch{Era: 0, From: 1, To: f.revision + 9}}
	f.step(follower, update)
	now, _ := follower.machine.Age(f.now)
	must.Eq(t, age, now)
	must.Positive(t, age)
	must.True(t, follower.machine.reading)

	update.Batch.Era, update.Batch.To = f.store.Point().Era, f.revision
	f.step(follower, update)
	now, _ = follower.machine.Age(f.now)
	must.Zero(t, now)
	must.False(t, follower.machine.reading)
}

// A worker that is missing from the backup keeps getting requests while it writes its record
// again, and so does one whose record the backup has. A worker that had ended gets none, although
// the backup has its record, until it is confirmed to run.
func TestWorkersMissingFromRestoredStore(t *testing.T) {
	f := newFleet(1, 4)
	f.run(3 * time.Second)
	ended, renewed := f.nodes[1], f.nodes[2]
	f.expireRecord(renewed)
	f.run(20 * freshness)
	backup := f.snapshot()
	f.renewRecord(renewed)
	f.expireRecord(ended)
	f.run(time.Second)
	f.storeDown = true
	f.run(5 * time.Second)
	f.restore(backup)
	f.storeDown = false
	f.run(freshness / 3)
	reader := f.nodes[0].machine
	must.SliceContains(t, reader.Lapses(), Lapse{Instance: *workerRecord(renewed), Since: reader.Lapses()[1].Since})
	must.LessEq(t, freshness/3, f.now.Sub(reader.Lapses()[1].Since))
	must.False(t, lists(reader, ended))
	f.renewRecord(renewed)
	f.run(freshness)
	must.True(t, lists(reader, renewed))
	must.False(t, lists(reader, ended))
	f.run(time.Duration(settleShare * float64(freshness)))
	must.True(t, lists(reader, ended))
	must.SliceEmpty(t, reader.Lapses())
}

// lists reports whether a machine's catalog lists a node's worker.
func lists(machine *Machine, node *simNode) bool {
	for _, instance := range machine.State().Instances() {
		if instance.ID == "i-"+node.address {
			return true
		}
	}
	return false
}

// Whatever fails and recovers, and however often the store is restored from a backup, even twice
// within a second: a node in contact with the store has each change within the freshness bound,
// and no node's position goes back.
func TestFleetStaysFreshThroughRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 3).Draw(t, "zones"), rapid.SampledFrom([]int{1, 2, 3, fanOut + 3}).Draw(t, "perZone"))
		f.run(4 * time.Second)
		backups := []catalog.Batch{f.snapshot()}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"disturb", "store down", "restore", "restore twice", "backup", "change"}).Draw(t, "step") {
			case "disturb":
				disturb(t, f, f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")])
			case "store down":
				f.storeDown = true
			case "restore":
				f.restore(rapid.SampledFrom(backups).Draw(t, "backup"))
				f.storeDown = false
			case "restore twice":
				f.restore(rapid.SampledFrom(backups).Draw(t, "backup"))
				f.storeDown = false
				f.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "between")) * tickStep)
				f.restore(rapid.SampledFrom(backups).Draw(t, "backup"))
			case "backup":
				backups = append(backups, f.snapshot())
			}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				f.configure()
			}
			before := f.positions()
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				f.run(5 * tickStep)
				if overdue := f.overdueNodes(); len(overdue) > 0 {
					t.Fatalf("overdue: %v", overdue)
				}
			}
			f.checkPositionsForward(t, before)
		}
	})
}

// positions returns the positions of all nodes.
func (f *fleet) positions() map[*Machine]catalog.Position {
	byMachine := map[*Machine]catalog.Position{}
	for _, node := range f.nodes {
		byMachine[node.machine] = node.machine.State().Position()
	}
	return byMachine
}

func (f *fleet) checkPositionsForward(t *rapid.T, earlier map[*Machine]catalog.Position) {
	for _, node := range f.nodes {
		now, before := node.machine.State().Position(), earlier[node.machine]
		if now.Compare(before.Point) < 0 || now.Version < before.Version {
			t.Fatalf("%s: position went back from %v to %v", node.address, before, now)
		}
	}
}

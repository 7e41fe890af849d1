package replication

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/catalog"
)

// copied is a copy of the store of now.
func (f *fleet) copied() catalog.Batch { return f.store.Since(catalog.Position{}) }

// instanceOf is the record of a node's worker.
func instanceOf(node *simNode) *catalog.Instance {
	return &catalog.Instance{ID: "i-" + node.address, Zone: node.zone, Address: node.address + ":80"}
}

// lacking counts the nodes that have not heard that the store is back.
func (f *fleet) lacking() int {
	count := 0
	for _, node := range f.nodes {
		if node.machine.State().Point().Era < f.store.Point().Era {
			count++
		}
	}
	return count
}

// All nodes hear within a third of the bound on changes that the store is back from a copy.
// What it acknowledges then is known in time, and after some seconds, when nodes follow one
// another as before, as fast and at as many calls as ever; whether its revisions are below,
// at or above the known ones when it is back.
func TestFleetHearsOfACopy(t *testing.T) {
	const lost = 4
	for name, written := range map[string]int{"below": 0, "equal": lost, "above": lost + 5} {
		for _, perZone := range []int{1, 3, 3 * fanOut} {
			t.Run(name, func(t *testing.T) {
				f := newFleet(2, perZone)
				f.run(3 * time.Second)
				older := f.copied()
				for range lost {
					f.configure()
				}
				f.run(time.Second)
				f.away = true
				f.run(3 * time.Second)
				f.restore(older)
				for range written {
					f.configure()
				}
				f.away = false
				f.run(freshness / 3)
				must.Zero(t, f.lacking())
				for range 10 {
					f.configure()
					f.run(freshness / 4)
					must.SliceEmpty(t, f.late())
				}
				f.calls = 0
				for range 20 {
					f.configure()
					f.run(freshness / 4)
					for _, node := range f.nodes {
						must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
						must.Eq(t, f.revision+f.versions, node.machine.State().Configuration().Version)
					}
				}
				const seconds = 10 // 20 changes, each read by each zone
				must.LessEq(t, 2*(20+seconds/readWaitShare/freshness.Seconds()), float64(f.calls))
			})
		}
	}
}

// What a node that has not heard of the copy tells confirms nothing, however fresh it says
// that is, and is no reason to leave the store to its reader.
func TestNewsOfAnEarlierEraConfirmsNothing(t *testing.T) {
	f := newFleet(1, 2)
	f.run(3 * time.Second)
	f.restore(f.copied())
	f.run(freshness)
	follower := f.nodes[0]
	if follower.following == "" {
		follower = f.nodes[1]
	}
	follower.machine.reading = true
	age, _ := follower.machine.Age(f.now)
	told := News{From: follower.following, Reader: "10.9.9.9", Serial: 7, Batch: catalog.Batch{Era: 0, From: 1, To: f.revision + 9}}
	f.step(follower, told)
	now, _ := follower.machine.Age(f.now)
	must.Eq(t, age, now)
	must.Positive(t, age)
	must.True(t, follower.machine.reading)

	told.Batch.Era, told.Batch.To = f.store.Point().Era, f.revision
	f.step(follower, told)
	now, _ = follower.machine.Age(f.now)
	must.Zero(t, now)
	must.False(t, follower.machine.reading)
}

// A worker that the copy lacks is sent requests while it writes its record again, and so is
// one whose record the copy holds. One that had gone is not, though the copy holds it, until
// it is clear that it lives.
func TestCopyLacksWorkers(t *testing.T) {
	f := newFleet(1, 4)
	f.run(3 * time.Second)
	gone, late := f.nodes[1], f.nodes[2]
	f.lapse(late)
	f.run(20 * freshness)
	older := f.copied()
	f.renew(late)
	f.lapse(gone)
	f.run(time.Second)
	f.away = true
	f.run(5 * time.Second)
	f.restore(older)
	f.away = false
	f.run(freshness / 3)
	reader := f.nodes[0].machine
	must.SliceContains(t, reader.Lapses(), Lapse{Instance: *instanceOf(late), Since: reader.Lapses()[1].Since})
	must.LessEq(t, freshness/3, f.now.Sub(reader.Lapses()[1].Since))
	must.False(t, holds(reader, gone))
	f.renew(late)
	f.run(freshness)
	must.True(t, holds(reader, late))
	must.False(t, holds(reader, gone))
	f.run(time.Duration(settleShare * float64(freshness)))
	must.True(t, holds(reader, gone))
	must.SliceEmpty(t, reader.Lapses())
}

// holds reports whether a machine takes a node's worker for recorded.
func holds(machine *Machine, node *simNode) bool {
	for _, instance := range machine.State().Instances() {
		if instance.ID == "i-"+node.address {
			return true
		}
	}
	return false
}

// Whatever fails and comes back, and however often the store comes back from a copy, also
// twice within a second: a node in touch knows each change within the bound, and none goes
// back.
func TestFleetStaysFreshThroughCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 3).Draw(t, "zones"), rapid.SampledFrom([]int{1, 2, 3, fanOut + 3}).Draw(t, "perZone"))
		f.run(4 * time.Second)
		copies := []catalog.Batch{f.copied()}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"disturb", "away", "restore", "restore twice", "copy", "change"}).Draw(t, "step") {
			case "disturb":
				disturb(t, f, f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")])
			case "away":
				f.away = true
			case "restore":
				f.restore(rapid.SampledFrom(copies).Draw(t, "copy"))
				f.away = false
			case "restore twice":
				f.restore(rapid.SampledFrom(copies).Draw(t, "copy"))
				f.away = false
				f.run(time.Duration(rapid.IntRange(0, 10).Draw(t, "between")) * tickStep)
				f.restore(rapid.SampledFrom(copies).Draw(t, "copy"))
			case "copy":
				copies = append(copies, f.copied())
			}
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				f.configure()
			}
			held := f.positions()
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				f.run(5 * tickStep)
				if late := f.late(); len(late) > 0 {
					t.Fatalf("late: %v", late)
				}
			}
			f.checkNoneWentBack(t, held)
		}
	})
}

// positions are what all running nodes know.
func (f *fleet) positions() map[*Machine]catalog.Position {
	held := map[*Machine]catalog.Position{}
	for _, node := range f.nodes {
		held[node.machine] = node.machine.State().Position()
	}
	return held
}

func (f *fleet) checkNoneWentBack(t *rapid.T, held map[*Machine]catalog.Position) {
	for _, node := range f.nodes {
		now, before := node.machine.State().Position(), held[node.machine]
		if now.Compare(before.Point) < 0 || now.Version < before.Version {
			t.Fatalf("%s went from %v to %v", node.address, before, now)
		}
	}
}

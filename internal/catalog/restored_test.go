package catalog

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// simWorker is a worker with the record that it would write.
type simWorker struct {
	Instance
	alive bool
}

// history is a store with its writers and with nodes that read the store and one another. The
// store may be restored from a backup at any time; the writers then repeat their writes in any
// order.
type history struct {
	t         *rapid.T
	era       uint64
	version   uint64
	store     *State
	backups   []Batch
	workers   map[string]*simWorker
	starts    int64
	evacuated bool // whether the zone is evacuated
	nodes     []*State
	inFlight  map[*State][]Batch // by node: batches that may arrive late or twice
	leaving   []map[string]bool  // by node: incarnations that it has seen leaving
}

var workerIDs = []string{"a", "b", "c"}

func newHistory(t *rapid.T) *history {
	h := &history{t: t, era: 1, store: NewState(), workers: map[string]*simWorker{}, inFlight: map[*State][]Batch{}}
	h.store.Apply(Batch{Era: 1, To: 1, Snapshot: true})
	for range 3 {
		node := NewState()
		node.Apply(h.store.Since(Position{}))
		h.nodes = append(h.nodes, node)
		h.leaving = append(h.leaving, map[string]bool{})
	}
	return h
}

func (h *history) write(change Change) {
	point := h.store.Point()
	change.Revision = point.Revision + 1
	h.store.Apply(Batch{Era: point.Era, From: point.Revision, To: change.Revision, Changes: []Change{change}})
}

func (h *history) configure() {
	h.version++
	h.write(Change{Configuration: &Configuration{Version: h.version}})
}

// stepWorker lets a worker start, announce that it leaves, end, or write its record.
func (h *history) stepWorker(id string) {
	worker := h.workers[id]
	if worker == nil || !worker.alive {
		h.starts++
		worker = &simWorker{Instance: Instance{ID: id, StartedMs: h.starts, Address: "10.0.0.1:" + id}, alive: true}
		h.workers[id] = worker
	} else if !worker.Draining && rapid.Bool().Draw(h.t, "leaves") {
		worker.Draining = true
	} else if rapid.Bool().Draw(h.t, "ends") {
		worker.alive = false
		h.write(Change{Removed: id})
		return
	}
	h.writeRecord(id)
}

// writeRecord writes a worker's record, or removes the record of a worker that has ended.
func (h *history) writeRecord(id string) {
	worker := h.workers[id]
	if worker == nil || !worker.alive {
		h.write(Change{Removed: id})
		return
	}
	instance := worker.Instance
	h.write(Change{Instance: &instance})
}

func (h *history) evacuate(evacuated bool) {
	h.evacuated = evacuated
	h.write(Change{Evacuation: &Evacuation{Zone: "z", Ended: !evacuated}})
}

// restore restores the store from a backup.
func (h *history) restore(backup Batch) {
	h.era++
	backup.Era = h.era
	h.store = NewState()
	h.store.Apply(backup)
}

// deliver lets a node read the store or another node, or receive an earlier batch late.
func (h *history) deliver(node *State) {
	switch rapid.SampledFrom([]string{"store", "store", "peer", "late", "snapshot"}).Draw(h.t, "from") {
	case "store":
		h.readStore(node)
	case "peer":
		peer := rapid.SampledFrom(h.nodes).Draw(h.t, "peer")
		h.inFlight[node] = append(h.inFlight[node], peer.Since(node.Position()))
		node.Apply(peer.Since(node.Position()))
	case "late":
		if batches := h.inFlight[node]; len(batches) > 0 {
			node.Apply(rapid.SampledFrom(batches).Draw(h.t, "batch"))
		}
	case "snapshot":
		node.Apply(h.store.Since(Position{}))
	}
}

// readStore lets a node request the changes after its revision from the store. The store does not
// know the node's era, and fails the request if it has not assigned that revision. The node
// requests a full snapshot if the changes are not usable.
func (h *history) readStore(node *State) {
	point := h.store.Point()
	usable := false
	if node.Revision() <= point.Revision {
		changes := h.store.Since(Position{Point: Point{Era: point.Era, Revision: node.Revision()}})
		h.inFlight[node] = append(h.inFlight[node], changes)
		usable, _ = node.Apply(changes)
	}
	if !usable {
		node.Apply(h.store.Since(Position{}))
	}
}

// writeMissing lets the writers repeat their last writes that the store lacks.
func (h *history) writeMissing() {
	for _, id := range workerIDs {
		current, recorded := h.store.instances[id]
		worker, known := h.workers[id]
		running := known && worker.alive
		if recorded != running || running && current.instance != worker.Instance {
			h.writeRecord(id)
		}
	}
	if h.store.isEvacuated("z") != h.evacuated {
		h.evacuate(h.evacuated)
	}
	if h.store.Position().Version != h.version {
		h.write(Change{Configuration: &Configuration{Version: h.version}})
	}
}

// check verifies the invariants that hold for each node at any time.
func (h *history) check(before []Position) {
	for index, node := range h.nodes {
		now := node.Position()
		if now.Compare(before[index].Point) < 0 || now.Version < before[index].Version {
			h.t.Fatalf("node %d: position went back from %v to %v", index, before[index], now)
		}
		for _, instance := range node.Instances() {
			name := instance.Incarnation()
			if h.leaving[index][name] && !instance.Draining {
				h.t.Fatalf("node %d treats %s, which is leaving, as ready", index, name)
			}
			if instance.Draining {
				h.leaving[index][name] = true
			}
		}
	}
}

func (h *history) positions() []Position {
	var positions []Position
	for _, node := range h.nodes {
		positions = append(positions, node.Position())
	}
	return positions
}

func (h *history) step() {
	switch rapid.SampledFrom([]string{"configure", "worker", "worker", "evacuate", "backup", "restore", "repeat write", "deliver", "deliver", "deliver", "deliver", "deliver", "start"}).Draw(h.t, "step") {
	case "configure":
		h.configure()
	case "worker":
		h.stepWorker(rapid.SampledFrom(workerIDs).Draw(h.t, "id"))
	case "evacuate":
		h.evacuate(!h.evacuated)
	case "backup":
		h.backups = append(h.backups, h.store.Since(Position{}))
	case "restore":
		if len(h.backups) > 0 {
			h.restore(rapid.SampledFrom(h.backups).Draw(h.t, "backup"))
		}
	case "repeat write":
		h.writeRecord(rapid.SampledFrom(workerIDs).Draw(h.t, "id"))
	case "deliver":
		h.deliver(rapid.SampledFrom(h.nodes).Draw(h.t, "node"))
	case "start":
		index := rapid.IntRange(0, len(h.nodes)-1).Draw(h.t, "node")
		h.nodes[index], h.leaving[index] = NewState(), map[string]bool{}
	}
}

// Whatever is written, lost and written again, in whatever order it arrives: no node's position
// goes back, and no node treats a worker as ready that it has seen leaving. Once all writes have
// been repeated and read, all nodes agree with the store.
func TestNodesConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := h.positions()
			started := append([]*State{}, h.nodes...)
			h.step()
			for index := range h.nodes {
				if h.nodes[index] != started[index] {
					before[index] = Position{}
				}
			}
			h.check(before)
		}
		h.writeMissing()
		for index, node := range h.nodes {
			h.readStore(node)
			node.Settle()
			name := fmt.Sprintf("node %d", index)
			must.Eq(t, h.store.Position(), node.Position(), must.Sprint(name))
			must.Eq(t, h.store.Instances(), node.Instances(), must.Sprint(name))
			must.Eq(t, h.store.Evacuated(), node.Evacuated(), must.Sprint(name))
		}
	})
}

// restoredSnapshot returns a full snapshot of a store restored from a backup.
func restoredSnapshot(changes ...Change) Batch {
	return Batch{Era: 2, To: 3, Snapshot: true, Changes: changes}
}

// recordChange returns a worker's record written at a revision.
func recordChange(revision uint64, instance Instance) Change {
	return Change{Revision: revision, Instance: &instance}
}

// A worker whose removed record is in the backup gets no requests until it writes the record
// again or the conflict is settled.
func TestRestoreDoesNotResurrectWorker(t *testing.T) {
	ended := Instance{ID: "gone", StartedMs: 1, Address: "10.0.0.1:80"}
	running := Instance{ID: "lives", StartedMs: 1, Address: "10.0.0.2:80"}
	state := NewState()
	state.Apply(Batch{Era: 1, To: 5, Snapshot: true, Changes: []Change{recordChange(1, ended), recordChange(2, running)}})
	state.Apply(Batch{Era: 1, From: 5, To: 6, Changes: []Change{{Revision: 6, Removed: "gone"}}})
	state.Apply(restoredSnapshot(recordChange(1, ended), recordChange(2, running)))
	must.Eq(t, []Instance{running}, state.Instances())
	must.Eq(t, []Instance{ended}, state.Lapsed())
	must.Eq(t, 1, state.Doubted())

	state.Apply(Batch{Era: 2, From: 3, To: 4, Changes: []Change{recordChange(4, ended)}})
	must.Eq(t, []Instance{ended, running}, state.Instances())
	must.SliceEmpty(t, state.Lapsed())

	state.Apply(Batch{Era: 2, From: 4, To: 5, Changes: []Change{{Revision: 5, Removed: "gone"}}})
	again := restoredSnapshot(recordChange(1, ended), recordChange(2, running))
	again.Era = 3
	state.Apply(again)
	must.Eq(t, []Instance{running}, state.Instances())
	must.True(t, state.Settle())
	must.Eq(t, []Instance{ended, running}, state.Instances())
	must.SliceEmpty(t, state.Lapsed())
}

// Of two workers at one address the node knows the later one, but the backup has only the earlier
// one: the earlier one must not get requests.
func TestRestoreDoesNotResurrectReplacedWorker(t *testing.T) {
	earlier := Instance{ID: "earlier", StartedMs: 1, Address: "10.0.0.1:80"}
	later := Instance{ID: "later", StartedMs: 2, Address: "10.0.0.1:80"}
	state := NewState()
	state.Apply(Batch{Era: 1, To: 5, Snapshot: true, Changes: []Change{recordChange(1, earlier), recordChange(5, later)}})
	state.Apply(restoredSnapshot(recordChange(1, earlier)))
	must.SliceEmpty(t, state.Instances())
	must.Eq(t, []Instance{later}, state.Lapsed())
}

// A worker that restarts under the same id is a new incarnation: that the previous one was
// leaving does not apply to it.
func TestRestartedWorkerIsNewIncarnation(t *testing.T) {
	before := Instance{ID: "a", StartedMs: 1, Address: "10.0.0.1:80", Draining: true}
	after := Instance{ID: "a", StartedMs: 2, Address: "10.0.0.1:80"}
	must.NotEq(t, before.Incarnation(), after.Incarnation())
	state := NewState()
	state.Apply(Batch{Era: 1, To: 1, Snapshot: true, Changes: []Change{recordChange(1, before)}})
	state.Apply(Batch{Era: 1, From: 1, To: 2, Changes: []Change{recordChange(2, after)}})
	must.Eq(t, []Instance{after}, state.Instances())
	state.Apply(restoredSnapshot(recordChange(1, Instance{ID: "a", StartedMs: 1, Address: "10.0.0.1:80"})))
	for _, instance := range state.Instances() {
		must.True(t, instance.Draining)
	}
	state.Apply(Batch{Era: 2, From: 3, To: 4, Changes: []Change{recordChange(4, after)}})
	must.Eq(t, []Instance{after}, state.Instances())
}

// An evacuation that the backup lacks, or has although it was ended, stays as it was known until
// Settle, so that the operator has time to write it again.
func TestRestoreKeepsEvacuationsUntilSettled(t *testing.T) {
	evacuation := func(zone string, ended bool) Change {
		return Change{Revision: 3, Evacuation: &Evacuation{Zone: zone, Ended: ended}}
	}
	state := NewState()
	state.Apply(Batch{Era: 1, To: 5, Snapshot: true, Changes: []Change{evacuation("begun", false)}})
	state.Apply(Batch{Era: 1, From: 5, To: 6, Changes: []Change{{Revision: 6, Evacuation: &Evacuation{Zone: "ended", Ended: true}}}})
	state.Apply(restoredSnapshot(evacuation("ended", false)))
	must.Eq(t, []string{"begun"}, state.Evacuated())
	must.Eq(t, 2, state.Doubted())
	must.True(t, state.Settle())
	must.Eq(t, []string{"ended"}, state.Evacuated())
}

// A peer that started from the backup is sent the newer configuration that this node has, once. A
// peer that has not learned of the restore is sent a full snapshot, and its own batches change
// nothing.
func TestRestoreKeepsNewerConfiguration(t *testing.T) {
	older, newer := &Configuration{Version: 4}, &Configuration{Version: 7}
	state, behind := NewState(), NewState()
	for _, each := range []*State{state, behind} {
		each.Apply(Batch{Era: 1, To: 9, Snapshot: true, Changes: []Change{{Revision: 9, Configuration: newer}}})
	}
	state.Apply(restoredSnapshot(Change{Revision: 1, Configuration: older}))
	must.Eq(t, newer, state.Configuration())

	fresh := NewState()
	fresh.Apply(Batch{Era: 2, To: 2, Snapshot: true, Changes: []Change{{Revision: 1, Configuration: older}}})
	fresh.Apply(state.Since(fresh.Position()))
	must.Eq(t, 7, fresh.Position().Version)
	must.SliceEmpty(t, state.Since(fresh.Position()).Changes)

	further := NewState() // a node that has read more of the store than the node that it follows
	further.Apply(Batch{Era: 2, To: 5, Snapshot: true, Changes: []Change{{Revision: 1, Configuration: older}}})
	further.Apply(state.Since(further.Position()))
	must.Eq(t, 7, further.Position().Version)
	must.Eq(t, 5, further.Revision())

	before := state.Position()
	batch := behind.Since(before)
	must.SliceEmpty(t, batch.Changes)
	usable, changed := state.Apply(batch)
	must.True(t, usable)
	must.False(t, changed)
	must.Eq(t, before, state.Position())
	behind.Apply(state.Since(behind.Position()))
	must.Eq(t, before, behind.Position())
}

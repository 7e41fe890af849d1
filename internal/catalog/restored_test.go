package catalog

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// restoredWorker is a worker as it would record itself.
type restoredWorker struct {
	Instance
	alive bool
}

// history is a store with its writers and the nodes that read it and one another. The store
// may come back from a copy at any time; its writers then write again in any order.
type history struct {
	t        *rapid.T
	era      uint64
	version  uint64
	store    *State
	copies   []Batch
	workers  map[string]*restoredWorker
	births   int64
	ordered  bool // whether the zone is evacuated
	nodes    []*State
	underway map[*State][]Batch // to a node, which may take it late or twice
	left     []map[string]bool  // by node: incarnations that it knew to leave
}

var historyIDs = []string{"a", "b", "c"}

func newHistory(t *rapid.T) *history {
	h := &history{t: t, era: 1, store: NewState(), workers: map[string]*restoredWorker{}, underway: map[*State][]Batch{}}
	h.store.Join(Batch{Era: 1, To: 1, Whole: true})
	for range 3 {
		node := NewState()
		node.Join(h.store.Since(Position{}))
		h.nodes = append(h.nodes, node)
		h.left = append(h.left, map[string]bool{})
	}
	return h
}

func (h *history) write(change Change) {
	point := h.store.Point()
	change.Revision = point.Revision + 1
	h.store.Join(Batch{Era: point.Era, From: point.Revision, To: change.Revision, Changes: []Change{change}})
}

func (h *history) configure() {
	h.version++
	h.write(Change{Configuration: &Configuration{Version: h.version}})
}

// turn has a worker start, leave, end, or write its record.
func (h *history) turn(id string) {
	worker := h.workers[id]
	if worker == nil || !worker.alive {
		h.births++
		worker = &restoredWorker{Instance: Instance{ID: id, Born: h.births, Address: "10.0.0.1:" + id}, alive: true}
		h.workers[id] = worker
	} else if !worker.Draining && rapid.Bool().Draw(h.t, "leaves") {
		worker.Draining = true
	} else if rapid.Bool().Draw(h.t, "ends") {
		worker.alive = false
		h.write(Change{Removed: id})
		return
	}
	h.renew(id)
}

// renew writes a worker's record, or removes that of one that has ended.
func (h *history) renew(id string) {
	worker := h.workers[id]
	if worker == nil || !worker.alive {
		h.write(Change{Removed: id})
		return
	}
	instance := worker.Instance
	h.write(Change{Instance: &instance})
}

func (h *history) order(ordered bool) {
	h.ordered = ordered
	h.write(Change{Evacuation: &Evacuation{Zone: "z", Ended: !ordered}})
}

// restore brings the store back from a copy.
func (h *history) restore(older Batch) {
	h.era++
	older.Era = h.era
	h.store = NewState()
	h.store.Join(older)
}

// deliver lets a node read the store or another node, or get what is underway since before.
func (h *history) deliver(node *State) {
	switch rapid.SampledFrom([]string{"store", "store", "peer", "late", "whole"}).Draw(h.t, "from") {
	case "store":
		h.read(node)
	case "peer":
		peer := rapid.SampledFrom(h.nodes).Draw(h.t, "peer")
		h.underway[node] = append(h.underway[node], peer.Since(node.Position()))
		node.Join(peer.Since(node.Position()))
	case "late":
		if underway := h.underway[node]; len(underway) > 0 {
			node.Join(rapid.SampledFrom(underway).Draw(h.t, "batch"))
		}
	case "whole":
		node.Join(h.store.Since(Position{}))
	}
}

// read lets a node ask the store for the changes after its revision. The store knows nothing
// of the node's era, and has no answer if it has not given that revision out. The node asks
// for everything if the changes are of no use.
func (h *history) read(node *State) {
	point := h.store.Point()
	usable := false
	if node.Revision() <= point.Revision {
		changes := h.store.Since(Position{Point: Point{Era: point.Era, Revision: node.Revision()}})
		h.underway[node] = append(h.underway[node], changes)
		usable, _ = node.Join(changes)
	}
	if !usable {
		node.Join(h.store.Since(Position{}))
	}
}

// writeAgain has the writers write what the store doesn't hold as they wrote it last.
func (h *history) writeAgain() {
	for _, id := range historyIDs {
		held, recorded := h.store.instances[id]
		worker, known := h.workers[id]
		lives := known && worker.alive
		if recorded != lives || lives && held.instance != worker.Instance {
			h.renew(id)
		}
	}
	if h.store.isEvacuated("z") != h.ordered {
		h.order(h.ordered)
	}
	if h.store.Position().Version != h.version {
		h.write(Change{Configuration: &Configuration{Version: h.version}})
	}
}

// check looks at what holds at each node at any time.
func (h *history) check(before []Position) {
	for index, node := range h.nodes {
		now := node.Position()
		if now.Compare(before[index].Point) < 0 || now.Version < before[index].Version {
			h.t.Fatalf("node %d went from %v to %v", index, before[index], now)
		}
		for _, instance := range node.Instances() {
			name := instance.Incarnation()
			if h.left[index][name] && !instance.Draining {
				h.t.Fatalf("node %d takes %s, which leaves, for ready", index, name)
			}
			if instance.Draining {
				h.left[index][name] = true
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
	switch rapid.SampledFrom([]string{"configure", "worker", "worker", "order", "copy", "restore", "write again", "deliver", "deliver", "deliver", "deliver", "deliver", "start"}).Draw(h.t, "step") {
	case "configure":
		h.configure()
	case "worker":
		h.turn(rapid.SampledFrom(historyIDs).Draw(h.t, "id"))
	case "order":
		h.order(!h.ordered)
	case "copy":
		h.copies = append(h.copies, h.store.Since(Position{}))
	case "restore":
		if len(h.copies) > 0 {
			h.restore(rapid.SampledFrom(h.copies).Draw(h.t, "copy"))
		}
	case "write again":
		h.renew(rapid.SampledFrom(historyIDs).Draw(h.t, "id"))
	case "deliver":
		h.deliver(rapid.SampledFrom(h.nodes).Draw(h.t, "node"))
	case "start":
		index := rapid.IntRange(0, len(h.nodes)-1).Draw(h.t, "node")
		h.nodes[index], h.left[index] = NewState(), map[string]bool{}
	}
}

// Whatever is written, lost and written again, and in whatever order it comes: no node goes
// back, none takes a worker for ready that it knew to leave, and when all is written again
// and read, all nodes hold what the store does.
func TestCopiesOfTheStoreConverge(t *testing.T) {
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
		h.writeAgain()
		for index, node := range h.nodes {
			h.read(node)
			node.Settle()
			name := fmt.Sprintf("node %d", index)
			must.Eq(t, h.store.Position(), node.Position(), must.Sprint(name))
			must.Eq(t, h.store.Instances(), node.Instances(), must.Sprint(name))
			must.Eq(t, h.store.Evacuated(), node.Evacuated(), must.Sprint(name))
		}
	})
}

// copyOf is a whole as a store tells it that has come back from a copy.
func copyOf(changes ...Change) Batch { return Batch{Era: 2, To: 3, Whole: true, Changes: changes} }

// recorded is a worker's record at a revision.
func recorded(revision uint64, instance Instance) Change {
	return Change{Revision: revision, Instance: &instance}
}

// A worker that was known to be gone, and stands in the copy, is sent nothing until it
// writes its record again, or until it is clear that it lives.
func TestCopyBringsBackNoWorker(t *testing.T) {
	gone := Instance{ID: "gone", Born: 1, Address: "10.0.0.1:80"}
	lives := Instance{ID: "lives", Born: 1, Address: "10.0.0.2:80"}
	state := NewState()
	state.Join(Batch{Era: 1, To: 5, Whole: true, Changes: []Change{recorded(1, gone), recorded(2, lives)}})
	state.Join(Batch{Era: 1, From: 5, To: 6, Changes: []Change{{Revision: 6, Removed: "gone"}}})
	state.Join(copyOf(recorded(1, gone), recorded(2, lives)))
	must.Eq(t, []Instance{lives}, state.Instances())
	must.Eq(t, []Instance{gone}, state.Lapsed())
	must.Eq(t, 1, state.Doubted())

	state.Join(Batch{Era: 2, From: 3, To: 4, Changes: []Change{recorded(4, gone)}})
	must.Eq(t, []Instance{gone, lives}, state.Instances())
	must.SliceEmpty(t, state.Lapsed())

	state.Join(Batch{Era: 2, From: 4, To: 5, Changes: []Change{{Revision: 5, Removed: "gone"}}})
	again := copyOf(recorded(1, gone), recorded(2, lives))
	again.Era = 3
	state.Join(again)
	must.Eq(t, []Instance{lives}, state.Instances())
	must.True(t, state.Settle())
	must.Eq(t, []Instance{gone, lives}, state.Instances())
	must.SliceEmpty(t, state.Lapsed())
}

// Of two workers at one address the later one is known, the copy holds the earlier one
// alone: no request is meant for that one any more.
func TestCopyBringsBackNoWorkerThatWasReplaced(t *testing.T) {
	earlier := Instance{ID: "earlier", Born: 1, Address: "10.0.0.1:80"}
	later := Instance{ID: "later", Born: 2, Address: "10.0.0.1:80"}
	state := NewState()
	state.Join(Batch{Era: 1, To: 5, Whole: true, Changes: []Change{recorded(1, earlier), recorded(5, later)}})
	state.Join(copyOf(recorded(1, earlier)))
	must.SliceEmpty(t, state.Instances())
	must.Eq(t, []Instance{later}, state.Lapsed())
}

// A worker that starts again under its id is another one: what the one before had said, it
// has not.
func TestWorkerStartsAgainUnderItsID(t *testing.T) {
	before := Instance{ID: "a", Born: 1, Address: "10.0.0.1:80", Draining: true}
	after := Instance{ID: "a", Born: 2, Address: "10.0.0.1:80"}
	must.NotEq(t, before.Incarnation(), after.Incarnation())
	state := NewState()
	state.Join(Batch{Era: 1, To: 1, Whole: true, Changes: []Change{recorded(1, before)}})
	state.Join(Batch{Era: 1, From: 1, To: 2, Changes: []Change{recorded(2, after)}})
	must.Eq(t, []Instance{after}, state.Instances())
	state.Join(copyOf(recorded(1, Instance{ID: "a", Born: 1, Address: "10.0.0.1:80"})))
	for _, instance := range state.Instances() {
		must.True(t, instance.Draining)
	}
	state.Join(Batch{Era: 2, From: 3, To: 4, Changes: []Change{recorded(4, after)}})
	must.Eq(t, []Instance{after}, state.Instances())
}

// An order that the copy lacks, or that it still has, is followed as it was known until the
// operator has had time to write it again.
func TestCopyChangesNoOrderAtOnce(t *testing.T) {
	order := func(zone string, ended bool) Change {
		return Change{Revision: 3, Evacuation: &Evacuation{Zone: zone, Ended: ended}}
	}
	state := NewState()
	state.Join(Batch{Era: 1, To: 5, Whole: true, Changes: []Change{order("begun", false)}})
	state.Join(Batch{Era: 1, From: 5, To: 6, Changes: []Change{{Revision: 6, Evacuation: &Evacuation{Zone: "ended", Ended: true}}}})
	state.Join(copyOf(order("ended", false)))
	must.Eq(t, []string{"begun"}, state.Evacuated())
	must.Eq(t, 2, state.Doubted())
	must.True(t, state.Settle())
	must.Eq(t, []string{"ended"}, state.Evacuated())
}

// A peer that began with the copy is told the newer version that is held here, once. One
// that has not heard of the copy is told everything, and tells nothing.
func TestCopyGivesNoVersionUp(t *testing.T) {
	older, newer := &Configuration{Version: 4}, &Configuration{Version: 7}
	state, behind := NewState(), NewState()
	for _, each := range []*State{state, behind} {
		each.Join(Batch{Era: 1, To: 9, Whole: true, Changes: []Change{{Revision: 9, Configuration: newer}}})
	}
	state.Join(copyOf(Change{Revision: 1, Configuration: older}))
	must.Eq(t, newer, state.Configuration())

	fresh := NewState()
	fresh.Join(Batch{Era: 2, To: 2, Whole: true, Changes: []Change{{Revision: 1, Configuration: older}}})
	fresh.Join(state.Since(fresh.Position()))
	must.Eq(t, 7, fresh.Position().Version)
	must.SliceEmpty(t, state.Since(fresh.Position()).Changes)

	further := NewState() // that has read more of the store than the node that it follows
	further.Join(Batch{Era: 2, To: 5, Whole: true, Changes: []Change{{Revision: 1, Configuration: older}}})
	further.Join(state.Since(further.Position()))
	must.Eq(t, 7, further.Position().Version)
	must.Eq(t, 5, further.Revision())

	before := state.Position()
	told := behind.Since(before)
	must.SliceEmpty(t, told.Changes)
	usable, changed := state.Join(told)
	must.True(t, usable)
	must.False(t, changed)
	must.Eq(t, before, state.Position())
	behind.Join(state.Since(behind.Position()))
	must.Eq(t, before, behind.Position())
}

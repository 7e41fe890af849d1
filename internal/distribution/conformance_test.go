package distribution

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// holding is a node and a version that it has staged.
type holding struct {
	node    string
	version version.Version
}

// modelNode has the variables of Node in model/distribution.pml, derived from
// the events and effects of one process. The received reports and replies are
// not taken from the machine.
type modelNode struct {
	view         map[string]wire.Member
	inForce      version.Version
	staged       map[version.Version]bool // staged at some time
	accepted     map[version.Version]bool // by its own count or as reported by a peer
	reports      map[holding]bool         // of processes in the view
	ready        bool
	phase        phase
	began        time.Time // start of the phase
	last         time.Time // time of the previous step
	queryNumbers map[uint64]bool
	replies      map[string]version.Version
	sourceRead   bool
}

// begin drops what was received before a start or a pause.
func (n *modelNode) begin(now time.Time) {
	n.began, n.ready, n.sourceRead = now, false, false
	n.reports, n.queryNumbers, n.replies = map[holding]bool{}, map[uint64]bool{}, map[string]version.Version{}
}

// conformance replays the steps of a fleet by the rules of the model. It fails
// the test on a step that no rule allows, or whose resulting variables differ
// from those of the rules.
type conformance struct {
	*fleet
	nodes         map[string]*modelNode
	published     map[string]version.Version // by their string form
	acceptedByAny map[version.Version]bool   // accepted by some node
	holders       map[holding]bool
	used          map[string]int // number of uses of each rule
}

func (c *conformance) allow(rule string, allowed bool, node *simNode, v version.Version) {
	c.used[rule]++
	must.True(c.t, allowed, must.Sprintf("model: %s of %s at %s: %+v", rule, v, node.member.Name, c.nodes[node.member.Name]))
}

func (c *conformance) replay(node *simNode, event Event, effects []Effect) {
	n := c.nodes[node.member.Name]
	if event == nil {
		n = &modelNode{phase: phaseStarting, staged: map[version.Version]bool{}, accepted: map[version.Version]bool{}, last: c.now}
		n.updateView([]wire.Member{node.member})
		n.begin(c.now)
		c.nodes[node.member.Name] = n
		c.allow("restart", node.machine.Active().Len() == 0 && len(node.machine.staged) == 0, node, version.Version{})
		return
	}
	c.pauseIfLate(n, event)
	c.receive(node, n, event)
	for _, staged := range node.machine.staged {
		c.stage(node, n, staged.set)
	}
	for _, effect := range effects {
		c.follow(node, n, effect)
	}
	if node.machine.catchUp.phase == phaseCaughtUp && n.phase != phaseCaughtUp {
		c.allow("catch up", c.mayCatchUp(node, n), node, n.inForce)
		n.phase = phaseCaughtUp
	}
	must.Eq(c.t, n.inForce, node.machine.Active().Version())
	must.Eq(c.t, n.ready, node.machine.fresh, must.Sprintf("model: ready at %s", node.member.Name))
	for v := range n.staged {
		must.False(c.t, v.After(node.machine.newestComplete()), must.Sprintf("model: staged %s was lost at %s", v, node.member.Name))
	}
}

func (c *conformance) pauseIfLate(n *modelNode, event Event) {
	if _, resumed := event.(Resumed); resumed || c.now.Sub(n.last) > DefaultConfig().Lease {
		c.used["pause"]++
		if n.phase == phaseCaughtUp {
			n.phase = phaseResumed
		}
		n.begin(c.now)
	}
	n.last = c.now
}

func (c *conformance) receive(node *simNode, n *modelNode, event Event) {
	switch event := event.(type) {
	case Members:
		n.updateView(event.Live)
	case SourceRead:
		v := event.Set.Version()
		c.published[v.String()], n.sourceRead = v, true
	case PeerDigests:
		c.learn(node, n, event.Digests.Active)
	case Received:
		from, live := n.view[event.Message.From]
		if message := event.Message.Staged; message != nil && live {
			held := holding{from.Name, message.Version}
			c.allow("report", c.holders[held], node, message.Version)
			n.reports[held] = true
		}
		if message := event.Message.Accepted; message != nil {
			c.learn(node, n, message.Version)
			if n.queryNumbers[message.Number] && live && n.phase != phaseCaughtUp {
				n.replies[from.Name] = message.Version
			}
		}
	}
}

// updateView sets the view and drops the reports of processes that are not in
// it.
func (n *modelNode) updateView(live []wire.Member) {
	former := n.view
	n.view = map[string]wire.Member{}
	for _, member := range live {
		n.view[member.Name] = member
	}
	replaced := func(name string) bool { return n.view[name].Start != former[name].Start }
	maps.DeleteFunc(n.replies, func(name string, _ version.Version) bool { return replaced(name) })
	maps.DeleteFunc(n.reports, func(held holding, _ bool) bool { return replaced(held.node) })
}

func (c *conformance) learn(node *simNode, n *modelNode, v version.Version) {
	c.allow("learn", v.IsZero() || c.acceptedByAny[v], node, v)
	n.accepted[v] = true
}

func (c *conformance) stage(node *simNode, n *modelNode, set *snapshot.Set) {
	v := set.Version()
	if n.staged[v] {
		return
	}
	c.allow("stage", set.Complete() && v.After(n.inForce) && c.published[v.String()] == v, node, v)
	n.staged[v], c.holders[holding{node.member.Name, v}] = true, true
}

func (c *conformance) follow(node *simNode, n *modelNode, effect Effect) {
	switch effect := effect.(type) {
	case Send:
		if pull := effect.Message.Pull; pull != nil && pull.Number != 0 {
			n.queryNumbers[pull.Number] = true
		}
	case Activate:
		v := effect.Set.Version()
		c.stage(node, n, effect.Set)
		c.allow("activate", v.After(n.inForce) && n.staged[v] && n.accepted[v], node, v)
		n.inForce = v
	case Fresh:
		c.allow("ready", !n.inForce.IsZero() && node.machine.catchUp.phase == phaseCaughtUp, node, n.inForce)
		n.ready = true
	case Stale:
		n.ready = false
	case Log:
		if effect.Name == LogAccepted {
			v := c.published[effect.Fields[0].Value]
			c.stage(node, n, node.machine.lookup(v))
			c.allow("accept", n.mayAccept(node.member.Name, v), node, v)
			c.acceptedByAny[v], n.accepted[v] = true, true
		}
	}
}

// mayAccept is the condition ENOUGH of model/distribution.pml, over the members
// that are not leaving.
func (n *modelNode) mayAccept(self string, v version.Version) bool {
	held, staying := 0, 0
	for name, member := range n.view {
		if member.Status == wire.StatusLeaving {
			continue
		}
		staying++
		if name == self || n.reports[holding{name, v}] {
			held++
		}
	}
	return n.staged[v] && held >= min(DefaultConfig().Holders, staying)
}

// mayCatchUp is the condition CAN_BE_READY of model/distribution.pml, except that
// the code is satisfied with two replies of each zone, or fewer after the timeout.
func (c *conformance) mayCatchUp(node *simNode, n *modelNode) bool {
	useful, peers := map[string]int{}, map[string]int{}
	for name, member := range n.view {
		if n.replies[name].After(n.inForce) {
			return false
		}
		if name != node.member.Name {
			peers[member.Zone]++
		}
		if !n.replies[name].IsZero() {
			useful[member.Zone]++
		}
	}
	enough, all := len(peers) > 0, len(peers) > 0 && len(n.replies) >= len(n.view)-1
	for zone, count := range peers {
		enough = enough && useful[zone] >= min(count, minReportsPerZone)
	}
	waited := c.now.Sub(n.began) >= DefaultConfig().CatchUpTimeout
	return enough || (n.phase == phaseResumed && len(n.replies) > 0) || (waited && (len(useful) > 0 || n.sourceRead || all))
}

// TestConformanceWithModel replays random runs with faults against the model.
// It also fails if a rule is never used.
func TestConformanceWithModel(t *testing.T) {
	used := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		runUnderFaults(t, func(f *fleet) {
			c := &conformance{
				fleet: f, nodes: map[string]*modelNode{}, published: map[string]version.Version{},
				acceptedByAny: map[version.Version]bool{}, holders: map[holding]bool{}, used: used,
			}
			f.onStep = c.replay
		})
	})
	for _, rule := range []string{"restart", "pause", "learn", "report", "stage", "accept", "activate", "catch up", "ready"} {
		must.Positive(t, used[rule], must.Sprintf("rule %s was not used", rule))
	}
}

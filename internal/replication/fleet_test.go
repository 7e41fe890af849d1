package replication

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/catalog"
)

// The simulated fleet runs machines in virtual time, in steps of tickStep.
const (
	freshness    = 2 * time.Second
	tickStep     = 20 * time.Millisecond
	heartbeat    = 240 * time.Millisecond
	storeLatency = 20 * time.Millisecond
)

var (
	errRefused = errors.New("refused")
	errTimeout = errors.New("timeout")
	start      = time.Unix(1_000_000, 0)
)

// storeAccess is how the store treats one node.
type storeAccess int

const (
	available            storeAccess = iota
	refuses                          // immediately
	unresponsive                     // no poll gets a response
	longPollUnresponsive             // only polls for a full snapshot get a response
	slowPolls                        // only checks of a single record get a response
)

// pendingPoll is a poll that waits at the store.
type pendingPoll struct {
	poll  Poll
	since time.Time
}

// pendingCheck is a check of a single record that waits at the store.
type pendingCheck struct {
	id    string
	since time.Time
}

type simNode struct {
	address, zone string
	machine       *Machine
	up            bool
	frozen        bool
	cut           bool // partitioned from all nodes
	access        storeAccess
	pendingPoll   *pendingPoll
	pendingCheck  *pendingCheck
	following     string
	sent          catalog.Position // position after everything the followed node has sent
	sentAt        time.Time
	sentConfirmed time.Time // confirmation of the followed node when it last sent
	disturbedAt   time.Time // time of the last disturbance
	retains       bool
	fast          bool // whether its link is fast
	inFlight      []delivery
}

// delivery is an update in transit to a node.
type delivery struct {
	at     time.Time
	update Update
}

// fleet is a store and its nodes.
type fleet struct {
	now              time.Time
	store            *catalog.State
	revision         uint64
	versionOffset    uint64 // how far configuration versions are ahead of revisions after restores
	restoredRevision uint64 // revision of the last restored backup
	storeDown        bool   // whether the store responds to no node
	changedAt        map[uint64]time.Time
	nodes            []*simNode
	polls            int
	follows          int
	intraRegionDelay time.Duration     // of updates within a region
	regions          map[string]string // by zone
	partitioned      map[string]bool   // regions cut off from all others and from the store
}

func newFleet(zones, perZone int) *fleet {
	f := &fleet{now: start, store: catalog.NewState(), changedAt: map[uint64]time.Time{}}
	f.store.Apply(catalog.Batch{Snapshot: true, To: 1, Changes: []catalog.Change{configured(1)}})
	f.revision = 1
	for zone := range zones {
		for index := range perZone {
			node := &simNode{address: fmt.Sprintf("10.%d.0.%d", zone, index), zone: fmt.Sprintf("z%d", zone), up: true}
			f.nodes = append(f.nodes, node)
			f.change(catalog.Change{Instance: &catalog.Instance{ID: "i-" + node.address, Zone: node.zone, Address: node.address + ":80"}})
			f.start(node)
		}
	}
	return f
}

func configured(version uint64) catalog.Change {
	return catalog.Change{Revision: version, Configuration: &catalog.Configuration{Version: version}}
}

func (f *fleet) start(node *simNode) {
	node.machine = New(Config{Self: node.address, Zone: node.zone, Regions: f.regions, Freshness: freshness, Fast: node.fast}, f.now)
	node.pendingPoll, node.pendingCheck, node.following, node.inFlight = nil, nil, "", nil
	node.disturbedAt = f.now
}

// change writes to the store.
func (f *fleet) change(change catalog.Change) {
	f.revision++
	change.Revision = f.revision
	if change.Configuration != nil {
		change.Configuration.Version = f.revision + f.versionOffset
	}
	f.store.Apply(catalog.Batch{Era: f.store.Point().Era, From: f.revision - 1, To: f.revision, Changes: []catalog.Change{change}})
	f.changedAt[f.revision] = f.now
}

// restore restores the store from a backup. Later writes are lost.
func (f *fleet) restore(backup catalog.Batch) {
	f.versionOffset += f.revision - backup.To
	backup.Era = f.store.Point().Era + 1
	f.store = catalog.NewState()
	f.store.Apply(backup)
	f.revision, f.restoredRevision = backup.To, backup.To
	f.changedAt[f.revision] = f.now
	for _, node := range f.nodes {
		node.disturbedAt = f.now
	}
}

func (f *fleet) configure() { f.change(catalog.Change{Configuration: &catalog.Configuration{}}) }

func (f *fleet) node(address string) *simNode {
	for _, node := range f.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

func (f *fleet) step(node *simNode, event Event) {
	for _, effect := range node.machine.Step(event, f.now) {
		switch effect := effect.(type) {
		case Poll:
			f.polls++
			node.pendingPoll = &pendingPoll{poll: effect, since: f.now}
		case Follow:
			f.follows++
			node.following, node.sent, node.sentAt, node.inFlight = effect.Address, node.machine.State().Position(), time.Time{}, nil
		case CheckRecord:
			node.pendingCheck = &pendingCheck{id: effect.ID, since: f.now}
		case Announce:
			f.announce(node, effect)
		case Retain:
			node.retains = effect.Retains
		}
	}
}

// announce delivers an announcement.
func (f *fleet) announce(sender *simNode, at Announce) {
	to := f.node(at.Address)
	if to != nil && to.up && !to.frozen && !f.isPartitioned(to, sender) {
		f.step(to, PeerSeen{Address: sender.address, Fast: sender.fast, Preferred: at.Preferred})
	}
}

// respond has the store respond to a node's poll, depending on the node's access and on the time
// waited.
func (f *fleet) respond(node *simNode) {
	pending := node.pendingPoll
	if pending == nil {
		return
	}
	waited := f.now.Sub(pending.since) - f.storeDelay(node)
	access := node.access
	if f.storeDown {
		access = unresponsive
	}
	limit := pending.poll.Wait + freshness/5
	if pending.poll.Snapshot {
		limit = freshness * 3 / 5
	}
	switch {
	case (access == unresponsive || access == slowPolls || access == longPollUnresponsive && !pending.poll.Snapshot) && waited >= limit:
		node.pendingPoll = nil
		f.step(node, PollFailed{Err: errTimeout, TimedOut: true})
	case access == refuses && waited >= storeLatency:
		node.pendingPoll = nil
		f.step(node, PollFailed{Err: errRefused})
	case !pending.poll.Snapshot && pending.poll.After > f.revision && waited >= storeLatency:
		node.pendingPoll = nil
		f.step(node, PollFailed{Err: errRefused, HistoryGone: true})
	case (access == available || access == longPollUnresponsive && pending.poll.Snapshot) && waited >= storeLatency:
		changed := f.store.Revision() > pending.poll.After
		if !pending.poll.Snapshot && !changed && waited < pending.poll.Wait {
			return
		}
		node.pendingPoll = nil
		after := f.store.Position() // the store knows only the node's revision
		after.Revision = pending.poll.After
		if pending.poll.Snapshot {
			after = catalog.Position{}
		}
		f.step(node, PollSucceeded{Batch: f.store.Since(after), ConfirmedAt: f.now})
	}
}

// respondToCheck has the store respond to a node's check of a single record, depending on the
// node's access and on the time waited.
func (f *fleet) respondToCheck(node *simNode) {
	pending := node.pendingCheck
	if pending == nil {
		return
	}
	const limit = freshness * 3 / 10
	waited := f.now.Sub(pending.since)
	switch {
	case node.access == unresponsive && waited >= limit, node.access == refuses && waited >= storeLatency:
		node.pendingCheck = nil
		f.step(node, RecordCheckFailed{ID: pending.id})
	case node.access != unresponsive && node.access != refuses && waited >= storeLatency:
		node.pendingCheck = nil
		f.step(node, RecordChecked{ID: pending.id})
	}
}

// sendUpdate has the followed node send an update if one is due.
func (f *fleet) sendUpdate(node *simNode) {
	if node.following == "" {
		return
	}
	from := f.node(node.following)
	if from == nil || !from.up {
		f.step(node, PeerLost{Address: node.following})
		return
	}
	if from.frozen || f.isPartitioned(from, node) {
		return
	}
	state := from.machine.State()
	if state.Point().Compare(node.sent.Point) <= 0 && f.now.Sub(node.sentAt) < heartbeat && !from.machine.Confirmed().After(node.sentConfirmed) {
		return
	}
	batch := state.Since(node.sent)
	node.sent, node.sentAt, node.sentConfirmed = state.Position(), f.now, from.machine.Confirmed()
	age, _ := from.machine.Age(f.now)
	reader, serial := from.machine.ConfirmedBy()
	message := Update{From: node.following, Reader: reader, Serial: serial, Batch: batch, Age: age, Preferred: from.machine.Preferred()}
	node.inFlight = append(node.inFlight, delivery{at: f.now.Add(f.delay(from, node)), update: message})
}

// deliverUpdates delivers the updates whose transit time has passed.
func (f *fleet) deliverUpdates(node *simNode) {
	for len(node.inFlight) > 0 && !f.now.Before(node.inFlight[0].at) {
		message := node.inFlight[0].update
		node.inFlight = node.inFlight[1:]
		f.step(node, message)
	}
}

// run advances the virtual time.
func (f *fleet) run(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(tickStep)
		for _, node := range f.nodes {
			if !node.up || node.frozen {
				continue
			}
			f.step(node, Tick{})
			f.respond(node)
			f.respondToCheck(node)
			f.sendUpdate(node)
			f.deliverUpdates(node)
		}
	}
}

// overdueNodes returns the nodes that have been in contact with the store for at least 3 s and
// lack a change older than the freshness bound.
func (f *fleet) overdueNodes() []string {
	var overdue []string
	if f.storeDown {
		return nil
	}
	for _, node := range f.nodes {
		connected := node.up && !node.frozen && !node.cut && node.access == available && f.now.Sub(node.disturbedAt) >= 3*time.Second
		if !connected {
			continue
		}
		next := node.machine.State().Revision() + 1
		if node.machine.State().Point().Era < f.store.Point().Era {
			next = f.restoredRevision // a node in an earlier era lacks the whole backup
		}
		for revision := next; revision <= f.revision; revision++ {
			if f.now.Sub(f.changedAt[revision]) > freshness {
				overdue = append(overdue, fmt.Sprintf("%s lacks revision %d of %d", node.address, revision, f.revision))
				break
			}
		}
	}
	return overdue
}

func TestChangeReachesAllNodes(t *testing.T) {
	f := newFleet(4, 3)
	f.run(5 * time.Second)
	f.configure()
	f.run(300 * time.Millisecond)
	for _, node := range f.nodes {
		must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
	}
}

// In steady state, the number of polls does not grow with the number of nodes in a zone.
func TestPollsDoNotGrowWithZoneSize(t *testing.T) {
	polls := map[int]int{}
	for _, perZone := range []int{3, 30} {
		f := newFleet(2, perZone)
		f.run(5 * time.Second)
		f.polls = 0
		f.run(30 * time.Second)
		polls[perZone] = f.polls
	}
	const zones, seconds = 2, 30
	must.Less(t, zones*(seconds/longPollShare/freshness.Seconds()+1), float64(polls[3]))
	must.Eq(t, polls[3], polls[30])
}

// In steady state, no node has more followers than a link can carry a large change to, and a
// change reaches all nodes of a large zone in time.
func TestFanOutIsBounded(t *testing.T) {
	f := newFleet(2, 80)
	f.run(5 * time.Second)
	followers := map[string]int{}
	for _, node := range f.nodes {
		followers[node.following]++
	}
	delete(followers, "")
	for address, count := range followers {
		must.LessEq(t, fanOut, count, must.Sprint(address))
	}
	f.configure()
	f.run(freshness / 4)
	for _, node := range f.nodes {
		must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
	}
}

// After an outage of the store, nodes return to their usual tree at once: a change soon after it
// arrives as fast as it can be read.
func TestChangeAfterStoreOutageIsNotDelayed(t *testing.T) {
	for _, size := range [][2]int{{4, 3}, {2, 24}, {3, 80}} {
		for _, since := range []time.Duration{tickStep, 400 * time.Millisecond, 800 * time.Millisecond} {
			f := newFleet(size[0], size[1])
			f.run(5 * time.Second)
			f.configure()
			f.run(time.Second)
			f.storeDown = true
			f.run(3 * time.Second)
			f.storeDown = false
			f.run(since)
			f.configure()
			f.run(freshness / 5)
			for _, node := range f.nodes {
				must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(size, since, node.address))
			}
		}
	}
}

// When a node that relays updates fails, the nodes below it still receive a change in time.
func TestZoneStaysFreshWhenRelayFails(t *testing.T) {
	for name, fail := range map[string]func(*simNode){
		"killed": func(node *simNode) { node.up = false },
		"frozen": func(node *simNode) { node.frozen = true },
		"cut":    func(node *simNode) { node.cut, node.access = true, unresponsive },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 3*fanOut)
			f.run(5 * time.Second)
			relay := f.node(f.node(f.nodes[0].machine.ranked[2*fanOut].address).following)
			must.False(t, relay.machine.Reader(f.now))
			fail(relay)
			relay.disturbedAt = f.now
			f.configure()
			f.run(freshness + tickStep)
			must.SliceEmpty(t, f.overdueNodes())
		})
	}
}

// When its reader is killed, frozen, cut off or not served by the store, a zone still receives a
// change in time.
func TestZoneStaysFreshWhenReaderFails(t *testing.T) {
	for name, fail := range map[string]func(*simNode){
		"killed":       func(node *simNode) { node.up = false },
		"frozen":       func(node *simNode) { node.frozen = true },
		"cut":          func(node *simNode) { node.cut, node.access = true, unresponsive },
		"unresponsive": func(node *simNode) { node.access = unresponsive },
		"rejected":     func(node *simNode) { node.access = refuses },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 4)
			f.run(5 * time.Second)
			for _, node := range f.nodes {
				if node.machine.Reader(f.now) {
					fail(node)
					node.disturbedAt = f.now
					break
				}
			}
			f.configure()
			f.run(freshness + tickStep)
			must.SliceEmpty(t, f.overdueNodes())
		})
	}
}

// maxAge returns the greatest age of any node's catalog.
func (f *fleet) maxAge() time.Duration {
	var oldest time.Duration
	for _, node := range f.nodes {
		age, _ := node.machine.Age(f.now)
		oldest = max(oldest, age)
	}
	return oldest
}

// Two nodes each took the other for the reader: one whose poll had failed long ago, and one that
// had replaced it and then gave up the role before the other read again. Catalogs went stale
// repeatedly although the store served every node.
func TestReaderKeepsPollingUntilReplaced(t *testing.T) {
	for _, perZone := range []int{2, 3, 2*fanOut + 3} {
		f := newFleet(1, perZone)
		f.run(5 * time.Second)
		reader := f.reader()
		reader.access = refuses
		f.run(freshness)
		reader.access = available
		f.run(freshness / 2)
		for range 500 {
			f.run(tickStep)
			must.LessEq(t, time.Duration(staleAgeShare*float64(freshness)), f.maxAge(), must.Sprint(perZone))
		}
	}
}

// Two nodes that followed each other because the store rejected the first of the zone passed the
// same confirmation back and forth. It seemed younger by its transit time at each hop and never
// aged.
func TestRelayedConfirmationIsCountedOnce(t *testing.T) {
	f := newFleet(1, 4)
	f.intraRegionDelay = tickStep
	f.run(5 * time.Second)
	reader := f.reader()
	reader.access, reader.disturbedAt = refuses, f.now
	for range 10 {
		f.configure()
		f.run(freshness / 2)
		must.SliceEmpty(t, f.overdueNodes())
	}
}

// reader returns a node that reads the store, nil if there is none.
func (f *fleet) reader() *simNode {
	for _, node := range f.nodes {
		if node.up && node.machine.Reader(f.now) {
			return node
		}
	}
	return nil
}

// When long polls get no response, polls for a full snapshot still bring changes.
func TestSnapshotPollsReplaceUnresponsiveLongPolls(t *testing.T) {
	f := newFleet(2, 4)
	f.run(5 * time.Second)
	for _, node := range f.nodes {
		node.access = longPollUnresponsive
	}
	for range 10 {
		f.configure()
		changed := f.now
		for f.now.Sub(changed) < freshness {
			f.run(tickStep)
		}
		for _, node := range f.nodes {
			must.LessEq(t, node.machine.State().Revision(), f.revision, must.Sprint(node.address))
		}
	}
}

// A node that the store rejects gets its updates from peers.
func TestRejectedNodeUpdatesFromPeers(t *testing.T) {
	f := newFleet(2, 2)
	f.run(5 * time.Second)
	f.nodes[0].access, f.nodes[1].access = refuses, refuses // all nodes of a zone
	f.configure()
	f.run(5 * time.Second)
	for _, node := range f.nodes {
		must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
	}
}

// A zone whose nodes all poll slowly, as on saturated links, receives changes from other zones in
// time. Before, its nodes followed one another in turn, although all depended on the same reader.
func TestZoneWithSlowPollsFollowsOtherZones(t *testing.T) {
	f := newFleet(3, 24)
	f.run(5 * time.Second)
	for _, node := range f.nodes[:24] {
		node.access = slowPolls
	}
	f.run(freshness)
	f.follows = 0
	const rounds = 10
	for range rounds {
		f.configure()
		for range freshness / tickStep {
			f.run(tickStep)
			must.LessEq(t, 3, f.maxFollowersFromOtherZones()) // they spread over the nodes of other zones
		}
		for _, node := range f.nodes {
			must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
		}
	}
	must.Less(t, 3*rounds*len(f.nodes[:24]), f.follows) // and stay with a node while it serves them
}

// maxFollowersFromOtherZones returns the largest number of followers from other zones that one
// node has.
func (f *fleet) maxFollowersFromOtherZones() int {
	counts, largest := map[string]int{}, 0
	for _, node := range f.nodes {
		if followed := f.node(node.following); followed != nil && followed.zone != node.zone {
			counts[node.following]++
			largest = max(largest, counts[node.following])
		}
	}
	return largest
}

// While the store serves nobody, nodes must not cycle through all peers in search of fresh
// updates. They used to do so within milliseconds.
func TestStoreOutageCausesNoPollStorm(t *testing.T) {
	f := newFleet(2, 20)
	f.run(5 * time.Second)
	for _, node := range f.nodes {
		node.access = refuses
	}
	f.run(2 * time.Second)
	f.follows, f.polls = 0, 0
	const seconds = 10
	f.run(seconds * time.Second)
	perNode := float64(f.follows) / float64(len(f.nodes)) / seconds
	must.Less(t, 1/(graceShare*freshness.Seconds()), perNode)
	must.Less(t, 2*len(f.nodes)*seconds, f.polls)
}

// A node that starts while the store is unreachable gets its catalog from a peer once one has
// contacted it.
func TestNodeStartedWithoutStoreGetsCatalogFromPeer(t *testing.T) {
	f := newFleet(1, 3)
	f.run(5 * time.Second)
	for _, node := range f.nodes {
		node.access = unresponsive
	}
	f.start(f.nodes[0])
	f.step(f.nodes[0], PeerSeen{Address: f.nodes[1].address})
	f.run(3 * time.Second)
	must.Eq(t, f.revision, f.nodes[0].machine.State().Revision())
}

// Nodes that start while the store is unreachable get their catalog from peers although no stream
// to them was ever opened, even if all nodes of their zone start.
func TestNodesStartedWithoutStoreOrStreamsGetCatalog(t *testing.T) {
	for name, started := range map[string]int{"one": 1, "a zone": 4, "all but one": 11} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(3, 4)
			f.run(5 * time.Second)
			for _, node := range f.nodes {
				node.access = unresponsive
			}
			for _, node := range f.nodes[:started] {
				f.start(node)
			}
			f.run(time.Duration(len(f.nodes)) * freshness)
			for _, node := range f.nodes {
				must.Eq(t, f.revision, node.machine.State().Revision(), must.Sprint(node.address))
			}
		})
	}
}

// Whatever fails and recovers, a node in contact with the store has each change within the
// freshness bound, and no node's revision decreases while it runs.
func TestFleetStaysFreshUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(1, 3).Draw(t, "zones"), rapid.SampledFrom([]int{1, 2, 3, 4, 2*fanOut + 3}).Draw(t, "perZone"))
		f.run(4 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			node := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
			disturb(t, f, node)
			if rapid.Bool().Draw(t, "change") {
				f.configure()
			}
			before := f.revisions()
			f.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * 5 * tickStep)
			if overdue := f.overdueNodes(); len(overdue) > 0 {
				t.Fatalf("overdue: %v", overdue)
			}
			f.checkRevisionsForward(t, before)
		}
	})
}

// disturb applies a random disturbance to a node.
func disturb(t *rapid.T, f *fleet, node *simNode) {
	node.disturbedAt = f.now
	switch rapid.SampledFrom([]string{"kill", "start", "freeze", "wake", "cut", "heal", "refuse", "time out", "serve", "time out long polls"}).Draw(t, "disturbance") {
	case "kill":
		node.up = false
	case "start":
		if !node.up {
			node.up = true
			f.start(node)
		}
	case "freeze":
		node.frozen = true
	case "wake":
		node.frozen = false
	case "cut":
		node.cut, node.access = true, unresponsive
	case "heal":
		node.cut, node.access = false, available
	case "refuse":
		node.access = refuses
	case "time out":
		node.access = unresponsive
	case "serve":
		node.access = available
	case "time out long polls":
		node.access = longPollUnresponsive
	}
}

// revisions returns the revision of each running node.
func (f *fleet) revisions() map[*Machine]uint64 {
	byMachine := map[*Machine]uint64{}
	for _, node := range f.nodes {
		byMachine[node.machine] = node.machine.State().Revision()
	}
	return byMachine
}

func (f *fleet) checkRevisionsForward(t *rapid.T, before map[*Machine]uint64) {
	for _, node := range f.nodes {
		if now := node.machine.State().Revision(); now < before[node.machine] {
			t.Fatalf("%s: revision went back from %d to %d", node.address, before[node.machine], now)
		}
	}
}

package membership

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"sliphead/internal/wire"
)

const convergenceLimit = 60 * time.Second

// convergedFleet returns a fleet whose nodes all hold the same, complete view.
func convergedFleet(t *testing.T, size int) *fleet {
	f := newFleet(t, size, 1, ProfileConvergence)
	f.runUntil(convergenceLimit, "converged", f.converged)
	f.run(5 * time.Second)
	f.falseDeaths = 0
	return f
}

// injectGossip delivers registers to a node in a gossip message from a given peer.
func (f *fleet) injectGossip(n *node, from string, updates ...wire.Member) {
	message := wire.Envelope{From: from, Gossip: &wire.Gossip{Updates: updates}}
	f.step(n, Received{Message: message})
}

func TestNoFalseDeathsWithoutFaults(t *testing.T) {
	f := newFleet(t, 24, 1, ProfileConvergence)
	f.runUntil(convergenceLimit, "converged", f.converged)
	f.run(2 * time.Minute)
	must.True(t, f.converged())
	must.Zero(t, f.falseDeaths)
}

func TestConvergesAfterHalfTheFleetRestarts(t *testing.T) {
	f := convergedFleet(t, 24)
	for _, n := range f.nodes[:12] {
		f.kill(n)
	}
	f.runUntil(convergenceLimit, "converged on the deaths", f.converged)
	must.Zero(t, f.falseDeaths)
	for _, n := range f.nodes[:12] {
		f.boot(n, 0)
	}
	f.runUntil(convergenceLimit, "converged on the return", f.converged)
}

func TestAccusedMemberRefutes(t *testing.T) {
	f := convergedFleet(t, 8)
	accused := f.nodes[3].machine.Self()
	for _, status := range []wire.Status{wire.StatusSuspect, wire.StatusDead} {
		accused.Status = status
		f.injectGossip(f.nodes[0], "node-0001", accused)
		f.runUntil(2*time.Second, "refuted", f.converged)
		accused = f.nodes[3].machine.Self()
		must.Eq(t, wire.StatusAlive, accused.Status)
	}
	must.Eq(t, 2, accused.Incarnation)
}

// Guards against resurrection: a register of a dead process may still be in transit.
func TestTombstonePreventsResurrection(t *testing.T) {
	f := convergedFleet(t, 8)
	stale := f.nodes[3].machine.Self()
	f.kill(f.nodes[3])
	f.runUntil(convergenceLimit, "converged on the death", f.converged)
	for range 3 {
		f.run(30 * time.Second)
		f.injectGossip(f.nodes[0], "node-0001", stale)
		must.True(t, f.converged())
	}
	entry, found := f.nodes[0].machine.Lookup(stale.Name)
	must.True(t, found)
	must.Eq(t, wire.StatusDead, entry.Status)

	f.run(DefaultConfig(ProfileBytes).TombstoneLife + 2*time.Second)
	_, found = f.nodes[0].machine.Lookup(stale.Name)
	must.False(t, found)
}

// The former process may have reached high counters, while the new one starts at 0
// and possibly with an earlier Start.
func TestRestartReplacesFormerRegister(t *testing.T) {
	restarts := map[string]func(f *fleet, n *node){
		"same address":    func(f *fleet, n *node) { f.boot(n, 0) },
		"other address":   func(f *fleet, n *node) { f.move(n) },
		"clock went back": func(f *fleet, n *node) { f.boot(n, -time.Hour) },
		"both": func(f *fleet, n *node) {
			n.address = "10.9.9.9:7946"
			f.boot(n, -time.Hour)
		},
	}
	for name, restart := range restarts {
		t.Run(name, func(t *testing.T) {
			f := convergedFleet(t, 8)
			former := f.nodes[4]
			for range 20 {
				f.setEndpoint(former, wire.EndpointStarting)
				f.setEndpoint(former, wire.EndpointDraining)
			}
			f.run(time.Second)
			f.kill(former)
			f.run(20 * time.Second)
			restart(f, former)
			f.runUntil(convergenceLimit, "converged on the restart", f.converged)
			entry, _ := f.nodes[0].machine.Lookup(nodeName(4))
			must.Eq(t, wire.EndpointReady, entry.Endpoint)
			must.Eq(t, former.address, entry.Peer)
		})
	}
}

// Found by FuzzFleet: a process that took over the Start of its former process wrote
// registers under it that contradicted those of the former process.
func TestRestartWithEarlierClockTakesUnusedStart(t *testing.T) {
	f := convergedFleet(t, 4)
	n := f.nodes[2]
	former := n.machine.Self()
	f.boot(n, -time.Hour)
	f.injectGossip(n, "node-0001", former)
	must.Greater(t, former.Start, n.machine.Self().Start)
	f.runUntil(convergenceLimit, "converged on the restart", f.converged)
}

// While a process is paused, acks wait in its socket. On resume its clock jumps
// before it reads them, which must not count as a probe timeout.
func TestPausedNodeSuspectsNoMember(t *testing.T) {
	for _, pause := range []time.Duration{700 * time.Millisecond, 1900 * time.Millisecond, 10 * time.Second, time.Hour} {
		f := convergedFleet(t, 8)
		n := f.nodes[2]
		f.runUntil(convergenceLimit, "probing", func() bool { return len(n.machine.probes.pending) > 0 })
		f.freeze(n)
		f.run(pause)
		accusations := 0
		f.onChanged = func(observer *node, change Changed) {
			own := observer == n && change.Member.Name != nodeName(n.index)
			if own && change.Member.Status == wire.StatusSuspect {
				accusations++
			}
		}
		f.thaw(n)
		f.runUntil(convergenceLimit, "converged after the pause", f.converged)
		must.Zero(t, accusations)
	}
}

// A node that suspected a member before a pause must not declare it dead before it
// has read the refutation in its socket.
func TestPausedNodeReadsRefutationBeforeDeclaringDeath(t *testing.T) {
	for _, pause := range []time.Duration{1900 * time.Millisecond, time.Minute} {
		f := convergedFleet(t, 8)
		n := f.nodes[2]
		accused := f.nodes[3].machine.Self()
		accused.Status = wire.StatusSuspect
		f.injectGossip(n, "node-0001", accused)
		f.freeze(n)
		f.run(pause)
		f.thaw(n)
		must.Zero(t, f.falseDeaths)
	}
}

func TestResumedNodeGossipsNoQueuedAccusation(t *testing.T) {
	f := convergedFleet(t, 8)
	n := f.nodes[2]
	accused := f.nodes[3].machine.Self()
	accused.Status = wire.StatusSuspect
	f.injectGossip(n, "node-0001", accused)
	f.now = f.now.Add(time.Minute)
	for _, effect := range n.machine.Step(Resumed{}, f.now) {
		send, ok := effect.(Send)
		if ok && send.Message.Ping != nil && send.To != accused.Name {
			must.SliceNotContains(t, send.Message.Ping.Updates, compact(accused))
		}
	}
}

// A member that is dead in a peer's Sync is probed before it is declared dead.
func TestDeathFromSyncIsProbedFirst(t *testing.T) {
	f := convergedFleet(t, 8)
	n, accused := f.nodes[2], f.nodes[3]
	dead := accused.machine.Self()
	dead.Status = wire.StatusDead
	message := wire.Envelope{From: "node-0001", Sync: &wire.Sync{Members: []wire.Member{dead}}}
	f.step(n, Received{Message: message})
	f.runUntil(2*time.Second, "refuted", f.converged)
	must.Zero(t, f.falseDeaths)

	f.kill(accused)
	dead = accused.machine.Self()
	dead.Status = wire.StatusDead
	message.Sync = &wire.Sync{Members: []wire.Member{dead}}
	f.step(n, Received{Message: message})
	f.runUntil(5*DefaultConfig(f.profile).ProbeTimeout, "death accepted", func() bool {
		entry, _ := n.machine.Lookup(dead.Name)
		return entry.Status == wire.StatusDead
	})
}

// Found by BenchmarkFleet half: each repair brought the same deaths and restarted
// the suspicion timeout.
func TestRepeatedSyncsDontRestartSuspicionTimeout(t *testing.T) {
	f := convergedFleet(t, 16)
	var dead []wire.Member
	for _, n := range f.nodes[4:] {
		f.kill(n)
		member := n.machine.Self()
		member.Status = wire.StatusDead
		dead = append(dead, member)
	}
	f.partitionSide[0] = 1 // cut off from gossip
	message := wire.Envelope{From: nodeName(1), Sync: &wire.Sync{Members: dead}}
	for range 10 {
		f.step(f.nodes[0], Received{Message: message})
		f.run(2 * time.Second)
	}
	must.Len(t, 1, f.nodes[0].machine.Live())
}

// Found by BenchmarkFleet bytes/heal: suspicions adopted in a repair were passed on
// by the next repair with the short timeout of a failed probe, and live members were
// declared dead.
func TestManySuspicionsFromSyncGetLongTimeout(t *testing.T) {
	f := newFleet(t, 24, 1, ProfileBytes)
	f.runUntil(convergenceLimit, "converged", f.converged)
	var suspects []wire.Member
	for _, n := range f.nodes[4:16] {
		member := n.machine.Self()
		member.Status = wire.StatusSuspect
		suspects = append(suspects, member)
	}
	observer := f.nodes[0].machine
	f.partitionSide[0] = 1 // cut off from refutations
	f.step(f.nodes[0], Received{Message: wire.Envelope{From: nodeName(1), Sync: &wire.Sync{Members: suspects}}})
	live := func() (count int) {
		for _, member := range suspects {
			if observer.table.isLive(member.Name) {
				count++
			}
		}
		return count
	}
	f.run(observer.suspicionTimeout() + DefaultConfig(f.profile).GossipInterval)
	must.Eq(t, len(suspects), live(), must.Sprint("sync guard: members declared dead before their refutations could arrive"))
	f.run(maxSyncSuspicionFactor * observer.suspicionTimeout())
	must.Zero(t, live())
}

func TestIndirectProbesBridgeBrokenLink(t *testing.T) {
	f := convergedFleet(t, 4)
	f.brokenLink = [2]int{1, 2}
	f.onChanged = func(_ *node, change Changed) {
		must.NotEq(t, wire.StatusSuspect, change.Member.Status)
	}
	f.run(time.Minute)
}

func TestDatagramsStayBelowSizeLimit(t *testing.T) {
	f := newFleet(t, 64, 1, ProfileConvergence)
	f.measuring = true // transmit checks the size of each datagram while measuring
	f.runUntil(convergenceLimit, "converged", f.converged)
}

func TestJoinIsRetriedWithBackoff(t *testing.T) {
	f := newFleet(t, 4, 1, ProfileConvergence)
	for _, n := range f.nodes[:3] {
		f.kill(n)
	}
	attempts := 0
	machine := f.nodes[3].machine
	for range 60 * 40 {
		f.now = f.now.Add(time.Second / 40)
		for _, effect := range machine.Step(Tick{}, f.now) {
			if send, ok := effect.(Send); ok && send.Message.Sync != nil {
				attempts++
			}
		}
	}
	must.Between(t, 10, attempts, 60)
}

// After a partition each side has declared the other side dead.
func TestHealedPartitionCausesNoFalseDeaths(t *testing.T) {
	f := convergedFleet(t, 16)
	for index := range f.nodes {
		f.partitionSide[index] = index % 2
	}
	f.run(2 * time.Minute)
	must.Len(t, 8, f.nodes[0].machine.Live())
	clear(f.partitionSide)
	f.falseDeaths = 0
	f.runUntil(2*time.Minute, "converged after the heal", f.converged)
	must.Zero(t, f.falseDeaths)
}

func TestForgedRegistersAreSupersededOrDropped(t *testing.T) {
	now := convergedFleet(t, 8).now.UnixMilli()
	latest := now + maxStartSkew.Milliseconds()
	forgeries := map[string]func(member *wire.Member){
		"incarnation":            func(member *wire.Member) { member.Incarnation += 1000 },
		"incarnation at limit":   func(member *wire.Member) { member.Incarnation = math.MaxUint64 },
		"sequence at limit":      func(member *wire.Member) { member.Sequence = math.MaxUint64 },
		"start":                  func(member *wire.Member) { member.Start = now + time.Hour.Milliseconds() },
		"start at limit":         func(member *wire.Member) { member.Start = latest },
		"start beyond":           func(member *wire.Member) { member.Start = math.MaxInt64 },
		"state of same sequence": func(member *wire.Member) { member.Endpoint = wire.EndpointStarting },
	}
	for name, forge := range forgeries {
		t.Run(name, func(t *testing.T) {
			f := convergedFleet(t, 8)
			forged := f.nodes[3].machine.Self()
			forged.Status, forged.Endpoint = wire.StatusDead, wire.EndpointGone
			forge(&forged)
			f.skipStateCheck = true
			f.injectGossip(f.nodes[0], "node-0001", forged)
			f.runUntil(convergenceLimit, "converged on the truth", f.converged)
			entry, _ := f.nodes[1].machine.Lookup(forged.Name)
			must.Eq(t, f.nodes[3].machine.Self(), entry)
		})
	}
}

func TestInvalidMessagesChangeNothing(t *testing.T) {
	f := convergedFleet(t, 4)
	n := f.nodes[0]
	before := n.machine.ViewHash()
	stranger := wire.Member{Name: "x", Peer: "10.0.0.1:1", Status: wire.StatusAlive}
	bad := []wire.Member{
		{}, {Name: "x", Peer: "a"}, {Name: "x", Status: "odd", Peer: "a"},
		{Name: strings.Repeat("x", 1000), Peer: "a", Status: wire.StatusAlive},
		{Name: "x", Peer: "a", Status: wire.StatusAlive, Endpoint: "odd"},
		{Name: "x", Peer: "a", Status: wire.StatusAlive, Start: -1},
		{Name: "x", Peer: "a", Status: wire.StatusDead},
		{Name: "x", Status: wire.StatusAlive},
	}
	f.injectGossip(n, "node-0001", bad...)
	f.injectGossip(n, nodeName(0), stranger)
	f.injectGossip(n, "", stranger)
	messages := []wire.Envelope{
		{From: "y"},
		{From: "y", Sync: &wire.Sync{Buckets: make([]uint64, 3), Members: []wire.Member{stranger}}},
		{From: "y", Ack: &wire.Ack{Number: 1, About: "nobody"}},
		{From: "y", PingReq: &wire.PingReq{Target: wire.Member{Name: "nobody"}}},
	}
	for _, message := range messages {
		f.step(n, Received{Message: message})
	}
	must.Eq(t, before, n.machine.ViewHash())
	must.Len(t, 4, n.machine.Live())
}

func TestNumberOfMembersIsBounded(t *testing.T) {
	machine := newFleet(t, 1, 1, ProfileConvergence).nodes[0].machine
	for index := range maxMembers + 100 {
		update := wire.Member{Name: "x" + nodeName(index), Peer: "x", Status: wire.StatusAlive}
		machine.apply(update, gossipNone)
	}
	must.Len(t, maxMembers, machine.Live())
}

// The machine list contains terminated machines, and all seeds are dead.
func TestJoinsWithStaleMachineList(t *testing.T) {
	f := convergedFleet(t, 8)
	for _, n := range f.nodes[:3] {
		f.kill(n)
	}
	f.runUntil(convergenceLimit, "converged on the deaths", f.converged)
	newcomer := f.nodes[2]
	f.move(newcomer)
	f.setMachineList(newcomer, 5)
	f.runUntil(convergenceLimit, "joined", f.converged)
}

func TestLeavingMemberStaysLiveUntilItStops(t *testing.T) {
	f := convergedFleet(t, 8)
	n := f.nodes[3]
	f.setEndpoint(n, wire.EndpointDraining)
	f.step(n, Leave{})
	f.runUntil(2*time.Second, "converged", f.converged)
	entry, _ := f.nodes[0].machine.Lookup(nodeName(3))
	must.Eq(t, wire.StatusLeaving, entry.Status)
	f.run(time.Minute)
	must.True(t, f.converged())

	for _, observer := range f.nodes[:3] { // each suspects it once
		observer.machine.now = f.now
		observer.machine.suspect(nodeName(3))
	}
	f.run(time.Minute)
	must.Zero(t, f.falseDeaths)
	f.kill(n)
	f.runUntil(convergenceLimit, "converged on the end", f.converged)
}

// A peer can acknowledge a probe only if it has the address of the sender.
func TestNewMemberSendsItsRegisterInProbes(t *testing.T) {
	f := newFleet(t, 2, 1, ProfileConvergence)
	f.nodes[0].machine.apply(f.nodes[1].machine.Self(), gossipNone)
	f.nodes[0].machine.gossipQueue = newGossipQueue()
	f.nodes[0].machine.startProbe(nodeName(1))
	sent := f.nodes[0].machine.effects
	ping := sent[len(sent)-1].(Send).Message
	replies := f.nodes[1].machine.Step(Received{Message: ping}, f.now)
	must.True(t, slices.ContainsFunc(replies, func(effect Effect) bool {
		send, ok := effect.(Send)
		return ok && send.Message.Ack != nil
	}))
}

func TestRepairTransfersOnlyDifferingRegisters(t *testing.T) {
	f := convergedFleet(t, 200)
	lagging := f.nodes[100].machine
	f.run(compactAfter)
	lagging.table.removePeer(lagging.table.records[nodeName(7)])
	lagging.table.viewHash -= lagging.table.records[nodeName(7)].hash
	lagging.table.buckets[bucketOf(nodeName(7))] -= lagging.table.records[nodeName(7)].hash
	delete(lagging.table.records, nodeName(7))
	f.measuring = true
	f.runUntil(convergenceLimit, "repaired", f.converged)
	text, err := json.Marshal(f.nodes[0].machine.Live())
	must.NoError(t, err)
	must.Less(t, len(text)/2, f.streamBytes)
}

func TestSizeIsAnUpperBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	text := func() string {
		letters := []rune("abc-09<>&\"\\\n\u2028é日")
		var result strings.Builder
		for range random.IntN(30) {
			result.WriteRune(letters[random.IntN(len(letters))])
		}
		return result.String()
	}
	for range 2000 {
		member := wire.Member{
			Name: text(), Zone: text(), Region: text(), Service: text(), Worker: text(), Peer: "p" + text(),
			Inbound: text(), Start: random.Int64(), Incarnation: random.Uint64(), Status: wire.StatusSuspect,
			Endpoint: wire.EndpointDraining, Sequence: random.Uint64(),
		}
		for _, candidate := range []wire.Member{member, compact(member)} {
			encoded, err := json.Marshal(candidate)
			must.NoError(t, err)
			must.LessEq(t, memberSize(candidate), len(encoded)+len(","))
		}
	}
}

func TestMergeIsASemilatticeJoin(t *testing.T) {
	register := rapid.Custom(func(t *rapid.T) wire.Member {
		statuses := []wire.Status{wire.StatusAlive, wire.StatusSuspect, wire.StatusLeaving, wire.StatusDead}
		states := []wire.EndpointState{wire.EndpointStarting, wire.EndpointReady}
		return wire.Member{
			Name: "a", Peer: "p", Start: rapid.Int64Range(1, 3).Draw(t, "start"),
			Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(0, 2).Draw(t, "sequence"),
			Status:      rapid.SampledFrom(statuses).Draw(t, "status"),
			Endpoint:    rapid.SampledFrom(states).Draw(t, "endpoint"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := register.Draw(t, "a"), register.Draw(t, "b"), register.Draw(t, "c")
		must.Eq(t, a, merge(a, a))
		must.Eq(t, merge(a, b), merge(b, a))
		must.Eq(t, merge(merge(a, b), c), merge(a, merge(b, c)))
	})
}

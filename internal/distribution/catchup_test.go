package distribution

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/snapshot"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// gossipOf returns gossip of a peer with its version in force.
func gossipOf(peer string, active version.Version) PeerDigests {
	return PeerDigests{From: peer, Digests: wire.Digests{Active: active}}
}

// queries returns the peers that were queried and the number of the queries.
func queries(effects []Effect) (peers []string, number uint64) {
	for _, sent := range sends(effects) {
		if sent.Message.Pull != nil && sent.Message.Pull.Number != 0 {
			peers, number = append(peers, sent.To), sent.Message.Pull.Number
		}
	}
	return peers, number
}

func replyOf(peer string, active version.Version, number uint64) Received {
	return Received{wire.Envelope{From: peer, Accepted: &wire.Accepted{Version: active, Number: number}}}
}

// reportAndReply delivers a peer's gossip, and then its reply to the query that
// the gossip must cause.
func reportAndReply(t *testing.T, machine *Machine, peer string, active version.Version, now time.Time) []Effect {
	asked, number := queries(machine.Step(gossipOf(peer, active), now))
	must.SliceContains(t, asked, peer, must.Sprint("the peer whose gossip arrived was not queried"))
	return machine.Step(replyOf(peer, active, number), now)
}

// Found by internal/control/simulation, TestPauseDuringStart: after a pause
// during its start, a node must not count reports from before the pause.
func TestPauseDuringStartIgnoresEarlierGossip(t *testing.T) {
	now := time.Unix(1, 0)
	machine := newSingleMachine(now, peer("peer-a"))
	old, newest := edition{revision: 1}.set(t), edition{revision: 2}.set(t)
	_, before := queries(machine.Step(gossipOf("peer-a", old.Version()), now))

	now = now.Add(time.Minute)
	asked, number := queries(machine.Step(Tick{}, now))
	must.Eq(t, []string{"peer-a"}, asked, must.Sprint("freshness guard: no peer was queried after a pause during the start"))
	must.NotEq(t, before, number)
	machine.Step(gossipOf("peer-a", old.Version()), now)
	machine.Step(pushOf(snapshot.Empty(), old, "peer-a", ""), now)
	machine.Step(replyOf("peer-a", old.Version(), before), now)
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: reports from before the pause were counted"))
	must.True(t, machine.Active().Version().IsZero())
	machine.Step(Tick{}, now.Add(time.Second))
	machine.Step(Tick{}, now.Add(2*time.Second))
	machine.Step(Tick{}, now.Add(DefaultConfig().CatchUpTimeout))
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: the timeout ended the start with reports from before the pause"))

	now = now.Add(DefaultConfig().CatchUpTimeout)
	machine.Step(replyOf("peer-a", newest.Version(), number), now)
	must.False(t, machine.Status().Fresh)
	machine.Step(pushOf(old, newest, "peer-a", ""), now)
	must.Eq(t, newest.Version(), machine.Active().Version())
	must.True(t, machine.Status().Fresh)
}

// Defect D1, found with the model (model/distribution.pml): a started node
// counted gossip that had been sent before its start.
func TestStartedNodeIgnoresEarlierGossip(t *testing.T) {
	now := time.Unix(1, 0)
	machine := newSingleMachine(now, peer("peer-a"))
	old, newest := edition{revision: 1}.set(t), edition{revision: 2}.set(t)
	machine.Step(pushOf(snapshot.Empty(), old, "peer-a", ""), now)
	asked, number := queries(machine.Step(gossipOf("peer-a", old.Version()), now))
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: gossip that may be from before the start was counted"))
	must.SliceContains(t, asked, "peer-a")
	machine.Step(replyOf("peer-a", newest.Version(), number), now)
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: fresh at an older version than that of a reply"))
	machine.Step(pushOf(old, newest, "peer-a", ""), now)
	must.Eq(t, newest.Version(), machine.Active().Version())
	must.True(t, machine.Status().Fresh)
}

// A peer replied that it has no version and then gossips one. Guards against
// that gossip ending the start without another query.
func TestStartedNodeQueriesAgainAfterEmptyReply(t *testing.T) {
	now := time.Unix(1, 0)
	machine := newSingleMachine(now, peer("peer-a"))
	old := edition{revision: 1}.set(t)
	machine.Step(pushOf(snapshot.Empty(), old, "peer-a", ""), now)
	reportAndReply(t, machine, "peer-a", version.Version{}, now)
	asked, number := queries(machine.Step(gossipOf("peer-a", old.Version()), now))
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: gossip after an empty reply was counted"))
	must.True(t, slices.Contains(asked, "peer-a"))
	machine.Step(replyOf("peer-a", old.Version(), number), now)
	must.True(t, machine.Status().Fresh)
}

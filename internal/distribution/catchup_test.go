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

// gossipOf is what a peer's gossip says of the version in force there.
func gossipOf(peer string, active version.Version) PeerDigests {
	return PeerDigests{From: peer, Digests: wire.Digests{Active: active}}
}

// questions returns the peers asked and the number of the questions.
func questions(effects []Effect) (peers []string, number uint64) {
	for _, sent := range sends(effects) {
		if sent.Message.Pull != nil && sent.Message.Pull.Number != 0 {
			peers, number = append(peers, sent.To), sent.Message.Pull.Number
		}
	}
	return peers, number
}

func answerOf(peer string, active version.Version, number uint64) Received {
	return Received{wire.Envelope{From: peer, Accepted: &wire.Accepted{Version: active, Number: number}}}
}

// reported gives a peer's gossip and then its answer to the question that it causes.
func reported(t *testing.T, machine *Machine, peer string, active version.Version, now time.Time) []Effect {
	asked, number := questions(machine.Step(gossipOf(peer, active), now))
	must.SliceContains(t, asked, peer, must.Sprint("word by gossip is not confirmed"))
	return machine.Step(answerOf(peer, active, number), now)
}

// Found by internal/control/simulation, TestPauseDuringStart.
func TestPauseDuringStartDistrustsEarlierGossip(t *testing.T) {
	now := time.Unix(1, 0)
	machine := single(now, peer("peer-a"))
	old, newest := edition{revision: 1}.set(t), edition{revision: 2}.set(t)
	_, before := questions(machine.Step(gossipOf("peer-a", old.Version()), now))

	now = now.Add(time.Minute)
	asked, number := questions(machine.Step(Tick{}, now))
	must.Eq(t, []string{"peer-a"}, asked, must.Sprint("freshness guard: a pause during the start asks nobody"))
	must.NotEq(t, before, number)
	machine.Step(gossipOf("peer-a", old.Version()), now)
	machine.Step(pushOf(snapshot.Empty(), old, "peer-a", ""), now)
	machine.Step(answerOf("peer-a", old.Version(), before), now)
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: reports from before the pause were believed"))
	must.True(t, machine.Active().Version().IsZero())
	machine.Step(Tick{}, now.Add(time.Second))
	machine.Step(Tick{}, now.Add(2*time.Second))
	machine.Step(Tick{}, now.Add(DefaultConfig().CatchUpTimeout))
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: the wait ended with reports from before the pause"))

	now = now.Add(DefaultConfig().CatchUpTimeout)
	machine.Step(answerOf("peer-a", newest.Version(), number), now)
	must.False(t, machine.Status().Fresh)
	machine.Step(pushOf(old, newest, "peer-a", ""), now)
	must.Eq(t, newest.Version(), machine.Active().Version())
	must.True(t, machine.Status().Fresh)
}

// D1 of the model: a started node counted gossip that had been sent before.
func TestStartedNodeDistrustsEarlierGossip(t *testing.T) {
	now := time.Unix(1, 0)
	machine := single(now, peer("peer-a"))
	old, newest := edition{revision: 1}.set(t), edition{revision: 2}.set(t)
	machine.Step(pushOf(snapshot.Empty(), old, "peer-a", ""), now)
	asked, number := questions(machine.Step(gossipOf("peer-a", old.Version()), now))
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: gossip from before the start was believed"))
	must.SliceContains(t, asked, "peer-a")
	machine.Step(answerOf("peer-a", newest.Version(), number), now)
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: behind the answer"))
	machine.Step(pushOf(old, newest, "peer-a", ""), now)
	must.Eq(t, newest.Version(), machine.Active().Version())
	must.True(t, machine.Status().Fresh)
}

// An answer that holds nothing does not make later gossip trustworthy.
func TestStartedNodeAsksAgainAfterAnEmptyAnswer(t *testing.T) {
	now := time.Unix(1, 0)
	machine := single(now, peer("peer-a"))
	old := edition{revision: 1}.set(t)
	machine.Step(pushOf(snapshot.Empty(), old, "peer-a", ""), now)
	reported(t, machine, "peer-a", version.Version{}, now)
	asked, number := questions(machine.Step(gossipOf("peer-a", old.Version()), now))
	must.False(t, machine.Status().Fresh, must.Sprint("freshness guard: gossip after an empty answer was believed"))
	must.True(t, slices.Contains(asked, "peer-a"))
	machine.Step(answerOf("peer-a", old.Version(), number), now)
	must.True(t, machine.Status().Fresh)
}

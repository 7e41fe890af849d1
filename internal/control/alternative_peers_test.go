package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/wire"
)

func TestAlternativePeersAreLiveMembersOfOwnZoneFirst(t *testing.T) {
	member := func(name, zone string, status wire.Status) wire.Member {
		return wire.Member{Name: name, Zone: zone, Status: status}
	}
	live := []wire.Member{
		member("a", "near", wire.StatusAlive), member("b", "far", wire.StatusAlive), member("c", "near", wire.StatusLeaving),
		member("d", "near", wire.StatusAlive), member("e", "far", wire.StatusAlive), member("f", "near", wire.StatusAlive),
		member("g", "far", wire.StatusAlive), member("h", "far", wire.StatusAlive),
	}
	var names []string
	for _, other := range chooseAlternatives(live, live[3]) {
		names = append(names, other.Name)
	}
	must.Eq(t, []string{"f", "a", "e", "g", "h"}, names)
	must.SliceEmpty(t, chooseAlternatives(live[:1], live[0]))
}

// A busy peer proposes members that the loop does not have; the loop must contact them.
func TestMembersProposedByBusyPeerAreContacted(t *testing.T) {
	p := newReadyLoop(t)
	must.Eq(t, []wire.Member{p.peer}, p.loop.AlternativePeers())
	p.loop.handle(p.fromPeer(wire.Envelope{Busy: &wire.Busy{Others: []wire.Member{{Name: "other", Peer: "other:1"}, p.peer}}}), p.now)
	for range 20 * 60 { // a minute
		p.tick()
	}
	must.SliceContains(t, p.sender.addresses, "other:1")
}

func TestMessagesDroppedByFullQueueAreCounted(t *testing.T) {
	p := newReadyLoop(t)
	for range inputQueueSize {
		must.True(t, p.loop.Deliver(p.fromPeer(wire.Envelope{})))
	}
	must.False(t, p.loop.Deliver(p.fromPeer(wire.Envelope{})))
	must.Eq(t, 1, p.loop.Dropped())
}

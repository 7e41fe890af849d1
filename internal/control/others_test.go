package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/wire"
)

func TestOthersAreAFewLiveMembersOfTheOwnZoneFirst(t *testing.T) {
	member := func(name, zone string, status wire.Status) wire.Member {
		return wire.Member{Name: name, Zone: zone, Status: status}
	}
	live := []wire.Member{
		member("a", "near", wire.StatusAlive), member("b", "far", wire.StatusAlive), member("c", "near", wire.StatusLeaving),
		member("d", "near", wire.StatusAlive), member("e", "far", wire.StatusAlive), member("f", "near", wire.StatusAlive),
		member("g", "far", wire.StatusAlive), member("h", "far", wire.StatusAlive),
	}
	var names []string
	for _, other := range chooseOthers(live, live[3]) {
		names = append(names, other.Name)
	}
	must.Eq(t, []string{"f", "a", "e", "g", "h"}, names)
	must.SliceEmpty(t, chooseOthers(live[:1], live[0]))
}

// TestBusyPeerNamesWhomToAsk gives a loop members that it does not know.
func TestBusyPeerNamesWhomToAsk(t *testing.T) {
	p := newReady(t)
	must.Eq(t, []wire.Member{p.peer}, p.loop.Others())
	p.loop.handle(p.fromPeer(wire.Envelope{Busy: &wire.Busy{Others: []wire.Member{{Name: "other", Peer: "other:1"}, p.peer}}}), p.now)
	for range 20 * 60 { // a minute
		p.tick()
	}
	must.SliceContains(t, p.out.addresses, "other:1")
}

func TestMessagesThatFindTheQueueFullAreCounted(t *testing.T) {
	p := newReady(t)
	for range inputQueue {
		must.True(t, p.loop.Deliver(p.fromPeer(wire.Envelope{})))
	}
	must.False(t, p.loop.Deliver(p.fromPeer(wire.Envelope{})))
	must.Eq(t, 1, p.loop.Dropped())
}

package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/wire"
)

// TestManyMemberChangesArePassedOnceAPublishSpacing brings one new member with each
// message, all within one spacing, and counts how often the parts are told.
func TestManyMemberChangesArePassedOnceAPublishSpacing(t *testing.T) {
	const newcomers = 100
	p := newReady(t)
	told := make(map[*map[string]string]bool)
	for index := range newcomers {
		p.now = p.now.Add(publishSpacing / newcomers)
		name := fmt.Sprint("new-", index)
		member := wire.Member{Name: name, Zone: "zone", Peer: name + ":1", Start: p.now.UnixMilli(), Status: wire.StatusAlive, Endpoint: wire.EndpointReady}
		p.loop.handle(p.fromPeer(wire.Envelope{Gossip: &wire.Gossip{Updates: []wire.Member{member}}}), p.now)
		told[p.loop.addresses.current.Load()] = true
		must.Eq(t, member.Peer, p.loop.addressOf(name))
	}
	must.LessEq(t, 2, len(told))
	p.tick()
	must.Eq(t, "new-99:1", p.loop.addresses.lookup("new-99"))
	must.Len(t, newcomers+2, p.loop.publisher.members)
}

// TestNewViewHoldsTheNewestMembers publishes outside the spacing, as a version
// that comes into force and the end of a pause do.
func TestNewViewHoldsTheNewestMembers(t *testing.T) {
	p := newReady(t)
	p.loop.membersPassed, p.loop.publisher.lastPublish = p.now, p.now
	gone := p.peer
	gone.Status, gone.Endpoint, gone.Incarnation = wire.StatusLeaving, wire.EndpointDraining, gone.Incarnation+1
	p.loop.handle(p.fromPeer(wire.Envelope{Gossip: &wire.Gossip{Updates: []wire.Member{gone}}}), p.now)
	p.loop.publisher.publishReady(p.now, p.now)
	index := slices.IndexFunc(p.loop.publisher.members, func(member wire.Member) bool { return member.Name == gone.Name })
	must.Eq(t, wire.StatusLeaving, p.loop.publisher.members[index].Status)
}

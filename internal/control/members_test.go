package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"sliphead/internal/wire"
)

// Propagating the members costs time in proportion to the fleet size. Here each
// message brings a new member, and all messages arrive within one publish interval.
func TestMemberChangesArePropagatedOncePerPublishInterval(t *testing.T) {
	const newcomers = 100
	p := newReadyLoop(t)
	addressMaps := make(map[*map[string]string]bool)
	for index := range newcomers {
		p.now = p.now.Add(minPublishInterval / newcomers)
		name := fmt.Sprint("new-", index)
		member := wire.Member{Name: name, Zone: "zone", Peer: name + ":1", Start: p.now.UnixMilli(), Status: wire.StatusAlive, Endpoint: wire.EndpointReady}
		p.loop.handle(p.fromPeer(wire.Envelope{Gossip: &wire.Gossip{Updates: []wire.Member{member}}}), p.now)
		addressMaps[p.loop.addresses.current.Load()] = true
		must.Eq(t, member.Peer, p.loop.addressOf(name))
	}
	must.LessEq(t, 2, len(addressMaps))
	p.tick()
	must.Eq(t, "new-99:1", p.loop.addresses.lookup("new-99"))
	must.Len(t, newcomers+2, p.loop.publisher.members)
}

// A view that is published at once, as on activation of a version or after a pause,
// must include member changes that have not been propagated yet.
func TestNewViewHasMembersNotYetPropagated(t *testing.T) {
	p := newReadyLoop(t)
	p.loop.membersPropagatedAt, p.loop.publisher.lastPublish = p.now, p.now
	leaving := p.peer
	leaving.Status, leaving.Endpoint, leaving.Incarnation = wire.StatusLeaving, wire.EndpointDraining, leaving.Incarnation+1
	p.loop.handle(p.fromPeer(wire.Envelope{Gossip: &wire.Gossip{Updates: []wire.Member{leaving}}}), p.now)
	p.loop.publisher.publishReady(p.now, p.now)
	index := slices.IndexFunc(p.loop.publisher.members, func(member wire.Member) bool { return member.Name == leaving.Name })
	must.Eq(t, wire.StatusLeaving, p.loop.publisher.members[index].Status)
}

package control

import (
	mathrand "math/rand"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"sliphead/internal/claim"
	"sliphead/internal/declaration"
	"sliphead/internal/distribution"
	"sliphead/internal/logging"
	"sliphead/internal/membership"
	"sliphead/internal/snapshot"
	"sliphead/internal/transport"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

const pauseTestLease = 2 * time.Second

// recordingSender records the messages that a loop sends.
type recordingSender struct {
	sent      []wire.Envelope
	addresses []string
}

func (o *recordingSender) SendDatagram(address string, envelope wire.Envelope) {
	o.sent = append(o.sent, envelope)
	o.addresses = append(o.addresses, address)
}

func (o *recordingSender) SendEncoded(_ string, line []byte) {
	if envelope, err := wire.Decode(line); err == nil {
		o.sent = append(o.sent, envelope)
	}
}

type noClaims struct{}

func (noClaims) Deliver(wire.Envelope)     {}
func (noClaims) Configure(claim.Configure) {}

// testLoop is a loop with one peer on a virtual clock, driven step by step.
type testLoop struct {
	loop   *Loop
	sender *recordingSender
	holder *snapshot.Holder
	now    time.Time
	peer   wire.Member
	active version.Version
}

// newReadyLoop returns a loop that is ready and has the same active version as its
// peer.
func newReadyLoop(t *testing.T) *testLoop {
	t.Helper()
	return newReadyLoopAt(t, time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC))
}

func newReadyLoopAt(t *testing.T, now time.Time) *testLoop {
	t.Helper()
	p := &testLoop{sender: &recordingSender{}, holder: &snapshot.Holder{}, now: now}
	p.peer = wire.Member{Name: "peer", Zone: "zone", Peer: "peer:1", Start: p.now.UnixMilli(), Status: wire.StatusAlive, Endpoint: wire.EndpointReady}
	self := wire.Member{Name: "self", Zone: "zone", Peer: "self:1", Start: p.now.UnixMilli(), Status: wire.StatusAlive}
	members := membership.DefaultConfig(membership.ProfileConvergence)
	members.Self, members.Random = self, rand.New(rand.NewPCG(1, 1))
	versions := distribution.DefaultConfig()
	versions.Self, versions.Lease, versions.Random = self, pauseTestLease, mathrand.New(mathrand.NewSource(1))
	versions.Validate = func(*snapshot.Set) error { return nil }
	p.loop = New(Config{
		Membership: members, Distribution: versions, Holder: p.holder, Sender: p.sender, Claims: noClaims{},
		Lease: pauseTestLease, Now: func() time.Time { return p.now }, Logger: logging.Discard(),
	})
	set, err := snapshot.Build(&declaration.Document{Services: []declaration.Service{{Name: "storefront"}}}, 1, nil)
	must.NoError(t, err)
	p.active = set.Version()
	for number := range uint64(2) { // the second counts because the first has brought the peer's register
		ping := wire.Ping{Number: number, Updates: []wire.Member{p.peer}, Digests: wire.Digests{Active: p.active}}
		p.loop.handle(p.fromPeer(wire.Envelope{Ping: &ping}), p.now)
	}
	p.loop.handle(p.fromPeer(wire.Envelope{Push: &wire.Push{Delta: snapshot.Diff(snapshot.Empty(), set)}}), p.now)
	p.acceptPulls()
	for range 20 {
		p.tick()
	}
	must.True(t, p.mayServe())
	return p
}

// acceptPulls delivers the peer's acceptance of the numbered pulls sent so far.
func (p *testLoop) acceptPulls() {
	for _, message := range p.sender.sent {
		if message.Pull != nil && message.Pull.Number != 0 {
			p.loop.handle(p.fromPeer(wire.Envelope{Accepted: &wire.Accepted{Version: p.active, Number: message.Pull.Number}}), p.now)
		}
	}
}

func (p *testLoop) fromPeer(message wire.Envelope) transport.Received {
	message.From = p.peer.Name
	return transport.Received{Envelope: message}
}

func (p *testLoop) tick() {
	p.now = p.now.Add(50 * time.Millisecond)
	p.loop.handle(tick{}, p.now)
}

func (p *testLoop) mayServe() bool {
	_, current := p.holder.Current(p.now)
	return current
}

// queuedEvents returns the events that a loop may find in its queue when it resumes.
func (p *testLoop) queuedEvents() map[string]any {
	oldDigests := wire.Digests{Active: p.active, View: p.loop.membership.ViewHash(), Clock: p.now.UnixMilli()}
	return map[string]any{
		"tick":      tick{},
		"status":    statusRequest{reply: make(chan Status, 2)}, // handled twice
		"claim":     p.fromPeer(wire.Envelope{ClaimReply: &wire.ClaimReply{}}),
		"ping":      p.fromPeer(wire.Envelope{Ping: &wire.Ping{Number: 2, Digests: oldDigests}}),
		"ack":       p.fromPeer(wire.Envelope{Ack: &wire.Ack{Number: 1, About: "peer", Digests: oldDigests}}),
		"gossip":    p.fromPeer(wire.Envelope{Gossip: &wire.Gossip{Digests: oldDigests}}),
		"sync":      p.fromPeer(wire.Envelope{Sync: &wire.Sync{Members: []wire.Member{p.peer}, Digests: oldDigests, Buckets: make([]uint64, 64)}}),
		"accepted":  p.fromPeer(wire.Envelope{Accepted: &wire.Accepted{Version: p.active}}),
		"confirmed": p.fromPeer(wire.Envelope{Accepted: &wire.Accepted{Version: p.active, Number: 1}}),
		"endpoint":  endpointChange{state: wire.EndpointReady},
		"failed":    sourceFailed{},
		"drain":     drainRequest{},
	}
}

// After a pause, events queued during it must not renew the lease: traffic would use
// a stale view. Each event is handled first and then followed by all others.
func TestNoQueuedEventRenewsLeaseAfterPause(t *testing.T) {
	for name := range newReadyLoop(t).queuedEvents() {
		p := newReadyLoop(t)
		events := p.queuedEvents()
		p.now = p.now.Add(pauseTestLease + time.Millisecond)
		must.False(t, p.mayServe())
		p.loop.handle(events[name], p.now)
		must.False(t, p.mayServe(), must.Sprintf("lease renewed by first event %s", name))
		for other, event := range events {
			p.now = p.now.Add(time.Millisecond)
			p.loop.handle(event, p.now)
			must.False(t, p.mayServe(), must.Sprintf("first event %s, lease renewed by %s", name, other))
		}
	}
}

// The pause comes after the loop has read the clock. The lease that it then renews
// must have expired by the time that traffic runs.
func TestPauseAfterClockReadExpiresLease(t *testing.T) {
	p := newReadyLoop(t)
	read := p.now.Add(time.Millisecond)
	p.now = p.now.Add(time.Minute)
	p.loop.handle(tick{}, read)
	must.False(t, p.mayServe())
	p.loop.handle(statusRequest{reply: make(chan Status, 1)}, p.now)
	must.False(t, p.mayServe())
}

// After a pause the loop may serve only when a peer has replied to requests sent
// after the pause and so confirmed both the version and the endpoint states.
func TestPauseEndsWithReplyToRequestSentAfterIt(t *testing.T) {
	p := newReadyLoop(t)
	p.now = p.now.Add(pauseTestLease + time.Millisecond)
	p.sender.sent = nil
	p.loop.handle(tick{}, p.now)
	var ping *wire.Ping
	var pull *wire.Pull
	for _, message := range p.sender.sent {
		if message.Ping != nil && ping == nil {
			ping = message.Ping
		}
		if message.Pull != nil && message.Pull.Number != 0 {
			pull = message.Pull
		}
	}
	must.NotNil(t, ping)
	must.NotNil(t, pull)
	p.loop.handle(p.fromPeer(wire.Envelope{Accepted: &wire.Accepted{Version: p.active, Number: pull.Number}}), p.now)
	must.False(t, p.mayServe(), must.Sprint("served before the endpoint states were confirmed"))
	digests := wire.Digests{Active: p.active, View: p.loop.membership.ViewHash() + 1}
	p.loop.handle(p.fromPeer(wire.Envelope{Ack: &wire.Ack{Number: ping.Number, About: "peer", Digests: digests}}), p.now)
	must.False(t, p.mayServe(), must.Sprint("served although the peer's view differs"))
	digests.View--
	p.loop.handle(p.fromPeer(wire.Envelope{Ack: &wire.Ack{Number: ping.Number, About: "peer", Digests: digests}}), p.now)
	must.True(t, p.mayServe())
}

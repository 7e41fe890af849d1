// Package control runs a node's control loop. One goroutine passes events to the
// pure state machines of membership and distribution, executes their effects and
// publishes immutable views for traffic. It is the only writer of control state.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"sliphead/internal/claim"
	"sliphead/internal/distribution"
	"sliphead/internal/membership"
	"sliphead/internal/snapshot"
	"sliphead/internal/transport"
	"sliphead/internal/version"
	"sliphead/internal/wire"
)

// Limits of the loop.
const (
	inputQueueSize     = 1024                   // events queued for the loop
	minPublishInterval = 100 * time.Millisecond // minimum time between two views
)

// Sender is the part of the transport that the loop uses.
type Sender interface {
	SendEncoded(address string, line []byte)
	SendDatagram(address string, envelope wire.Envelope)
}

// Claims is the part of the claim keeper that the loop uses.
type Claims interface {
	Deliver(message wire.Envelope)
	Configure(configuration claim.Configure)
}

// Config holds the settings and dependencies of a Loop. All fields except OnReaderChanged
// are required.
type Config struct {
	Membership      membership.Config
	Distribution    distribution.Config
	Holder          *snapshot.Holder
	Sender          Sender
	Claims          Claims
	Lease           time.Duration // how long a view may be used after the loop last handled an event
	Tick            time.Duration
	Overlap         time.Duration // how long the worker's node still admits requests after a window has closed
	LocalWorker     string        // declared name of this node's worker, "" at an edge
	Now             func() time.Time
	Logger          log.Interface
	OnReaderChanged func(reader bool) // called by the loop when this node starts or stops reading the source
}

// Loop is the control loop of a node. Create it with New and start it with Run.
// All other exported methods are safe for concurrent use.
type Loop struct {
	config           Config
	membership       *membership.Machine
	distribution     *distribution.Machine
	clock            *clockOffset
	lastClockReport  correctionReport
	publisher        *publisher
	inputs           chan any
	dropped          atomic.Uint64 // messages dropped because inputs was full
	addresses        addressBook
	alternativePeers atomic.Pointer[[]wire.Member] // peers that a rejected dialer may try
	machineList      []membership.ListedMachine    // the platform's machine list
	pushCache        encodedPushCache
	peerVersions     map[string]version.Version // active version by live member, as last reported
	lastEventAt      time.Time                  // when the loop last handled an event
	confirmation     confirmation
	caughtUp         bool // whether distribution has caught up
	ready            bool // whether the node may serve
	draining         bool // whether a planned stop has begun
	leaving          bool

	membersChanged      bool      // whether membership has changed since membersPropagatedAt
	membersPropagatedAt time.Time // when the live members were last propagated
}

// New returns a loop without an active version. Its only member is this node.
func New(config Config) *Loop {
	now := config.Now()
	loop := &Loop{
		config:       config,
		membership:   membership.New(config.Membership, now),
		distribution: distribution.New(config.Distribution, now),
		clock:        newClockOffset(),
		peerVersions: make(map[string]version.Version),
		inputs:       make(chan any, inputQueueSize),
		lastEventAt:  now,

		membersChanged: true, // this node itself is to be propagated
	}
	loop.publisher = newPublisher(config, loop.membership.Live)
	loop.addresses.store(loop.membership.Live())
	return loop
}

// Run handles events until ctx is done, and then returns nil.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.config.Tick)
	defer ticker.Stop()
	l.propagateMembers(l.config.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.handle(tick{}, l.config.Now())
		case event := <-l.inputs:
			l.handle(event, l.config.Now())
		}
	}
}

// Deliver queues a message from a peer and reports whether it was queued. If the
// queue is full, the message is dropped: the protocols recover from lost messages,
// and blocking would stall the peer's stream. It is safe for concurrent use.
func (l *Loop) Deliver(received transport.Received) bool {
	select {
	case l.inputs <- received:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Dropped returns the number of messages dropped because the queue was full. It is
// safe for concurrent use.
func (l *Loop) Dropped() uint64 { return l.dropped.Load() }

// Send sends a message on behalf of a component outside the loop, such as the claim
// keeper. A message to this node is delivered to the claim keeper. It is safe for
// concurrent use.
func (l *Loop) Send(outgoing wire.Outgoing) {
	if outgoing.To == l.config.Membership.Self.Name {
		l.config.Claims.Deliver(outgoing.Message)
		return
	}
	l.transmit(outgoing, l.addresses.lookup, nil)
}

// submit queues an event for the loop. It blocks while the queue is full, until ctx
// is done.
func (l *Loop) submit(ctx context.Context, event any) {
	select {
	case l.inputs <- event:
	case <-ctx.Done():
	}
}

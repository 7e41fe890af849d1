// Package control owns a node's control state. One goroutine feeds the pure
// state machines of membership and distribution, carries out their effects and
// publishes immutable views for traffic. Nothing else writes that state.
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

// Sizes and periods of the loop.
const (
	inputQueue     = 1024                   // events that may wait for the loop
	publishSpacing = 100 * time.Millisecond // views are resolved no more often than this
)

// Sender is what the loop needs of the transport.
type Sender interface {
	SendEncoded(address string, line []byte)
	SendDatagram(address string, envelope wire.Envelope)
}

// Claims is what the loop needs of the claim keeper.
type Claims interface {
	Deliver(message wire.Envelope)
	Configure(configuration claim.Configure)
}

// Config is what a loop is made of. All fields are required but OnReader.
type Config struct {
	Membership   membership.Config
	Distribution distribution.Config
	Holder       *snapshot.Holder
	Sender       Sender
	Claims       Claims
	Lease        time.Duration // how long a view may be used without a tick
	Tick         time.Duration
	Overlap      time.Duration // how long a closed window still admits at the last hop
	LocalWorker  string        // declared name of the worker beside this node, "" at an edge
	Now          func() time.Time
	Logger       log.Interface
	OnReader     func(reader bool) // called when reader duty changes
}

// Loop is the owner of control state. Make one with New, then Run it.
type Loop struct {
	config       Config
	membership   *membership.Machine
	distribution *distribution.Machine
	clock        *clockOffset
	reported     correctionReport
	publisher    *publisher
	inputs       chan any
	dropped      atomic.Uint64 // messages that found inputs full
	addresses    addressBook
	others       atomic.Pointer[[]wire.Member] // whom a refused dialer may ask
	listed       []membership.ListedMachine    // the platform's list
	encoded      encodedPush
	peerVersions map[string]version.Version // by live member, as it last said
	lastSeen     time.Time                  // when the loop last handled anything
	confirmation confirmation
	caughtUp     bool // by distribution
	fresh        bool // whether the node may serve
	draining     bool // a planned stop has begun
	leaving      bool

	membersChanged bool      // since the other parts were told who is live
	membersPassed  time.Time // when they were told
}

// New returns a loop that holds nothing yet.
func New(config Config) *Loop {
	now := config.Now()
	loop := &Loop{
		config:       config,
		membership:   membership.New(config.Membership, now),
		distribution: distribution.New(config.Distribution, now),
		clock:        newClockOffset(),
		peerVersions: make(map[string]version.Version),
		inputs:       make(chan any, inputQueue),
		lastSeen:     now,

		membersChanged: true, // from none to this node
	}
	loop.publisher = newPublisher(config, loop.membership.Live)
	loop.addresses.store(loop.membership.Live())
	return loop
}

// Run handles events until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.config.Tick)
	defer ticker.Stop()
	l.passMembers(l.config.Now())
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

// Deliver hands a message from a peer to the loop. It may be called from any
// goroutine. A message that finds the queue full is dropped: the protocols
// heal losses, and waiting would stall the peer's stream.
func (l *Loop) Deliver(received transport.Received) bool {
	select {
	case l.inputs <- received:
		return true
	default:
		l.dropped.Add(1)
		return false
	}
}

// Dropped counts the messages that found the queue full. It may be called from
// any goroutine.
func (l *Loop) Dropped() uint64 { return l.dropped.Load() }

// Send sends a message for a part outside the loop, such as the claim keeper.
// It may be called from any goroutine.
func (l *Loop) Send(outgoing wire.Outgoing) {
	if outgoing.To == l.config.Membership.Self.Name {
		l.config.Claims.Deliver(outgoing.Message)
		return
	}
	l.transmit(outgoing, l.addresses.lookup, nil)
}

// submit hands an event to the loop and waits for room in its queue.
func (l *Loop) submit(ctx context.Context, event any) {
	select {
	case l.inputs <- event:
	case <-ctx.Done():
	}
}

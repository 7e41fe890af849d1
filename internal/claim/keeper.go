package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"sliphead/internal/wire"
)

// Bounds of a Keeper.
const (
	eventQueueSize = 1024 // events buffered for the goroutine of Run
	ticksPerRetry  = 2    // ticks per Config.RetryInterval
)

// KeeperConfig is the settings of a Keeper.
type KeeperConfig struct {
	Config
	Send func(wire.Outgoing) // must not block
	Log  func(Log)           // nil logs nothing; must not block
	Now  func() time.Time    // nil means time.Now
}

// Keeper runs a Machine on one goroutine. Its methods may be called
// concurrently.
type Keeper struct {
	config         KeeperConfig
	events         chan Event
	claims         chan pendingClaim
	ended          chan struct{}
	holderPrefix   string
	attemptCounter atomic.Uint64

	// Used only by the goroutine of Run.
	machine *Machine
	waiters map[string]chan<- Decision
}

// pendingClaim is a claim and the channel that receives its decision.
type pendingClaim struct {
	claim    Claim
	decision chan<- Decision
}

// NewKeeper returns a keeper without any records or votes. Its methods block
// until Run is called, except that the first eventQueueSize events are
// buffered.
func NewKeeper(config KeeperConfig) *Keeper {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.Config = config.Config.withDefaults()
	now := config.Now()
	return &Keeper{
		config:       config,
		events:       make(chan Event, eventQueueSize),
		claims:       make(chan pendingClaim),
		ended:        make(chan struct{}),
		holderPrefix: fmt.Sprintf("%s/%d", config.Node, now.UnixNano()),
		machine:      NewMachine(config.Config, now),
		waiters:      make(map[string]chan<- Decision),
	}
}

// Run processes claims and events until the context ends. Claims in progress at
// that time get the verdict no-quorum.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.config.RetryInterval / ticksPerRetry)
	defer ticker.Stop()
	defer close(k.ended)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.step(Tick{})
		case event := <-k.events:
			k.step(event)
		case request := <-k.claims:
			k.waiters[request.claim.Holder] = request.decision
			k.step(request.claim)
		}
	}
}

// step passes an event to the machine and carries out its effects.
func (k *Keeper) step(event Event) {
	if cancelled, ok := event.(Cancelled); ok {
		delete(k.waiters, cancelled.Holder)
	}
	for _, effect := range k.machine.Step(event, k.config.Now()) {
		switch effect := effect.(type) {
		case Send:
			k.config.Send(effect.Outgoing)
		case Decided:
			if waiter := k.waiters[effect.Holder]; waiter != nil {
				waiter <- effect.Decision // buffered, so this does not block
				delete(k.waiters, effect.Holder)
			}
		case Log:
			if k.config.Log != nil {
				k.config.Log(effect)
			}
		}
	}
}

// Claim asks whether a request may run and waits for the decision. If the
// context ends first, the verdict is no-quorum: the request must not run and
// the key is released. On VerdictRun the caller runs the request at once,
// provided that its own deadline has not passed, and then calls Finish, or
// Release if it did not run the request.
func (k *Keeper) Claim(ctx context.Context, service, key, body string) Decision {
	decision := make(chan Decision, 1)
	holder := fmt.Sprintf("%s/%d", k.holderPrefix, k.attemptCounter.Add(1))
	request := Claim{Service: service, Key: key, BodyDigest: body, Holder: holder}
	request.Deadline = k.config.Now().Add(k.config.MaxClaim)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(request.Deadline) {
		request.Deadline = deadline
	}
	select {
	case k.claims <- pendingClaim{request, decision}:
	case <-ctx.Done():
		return Decision{Verdict: VerdictNoQuorum}
	case <-k.ended:
		return Decision{Verdict: VerdictNoQuorum}
	}
	select {
	case decided := <-decision:
		if decided.Verdict != VerdictRun || ctx.Err() == nil {
			return decided
		}
	case <-ctx.Done():
	case <-k.ended:
	}
	k.enqueue(Cancelled{Holder: holder})
	return Decision{Verdict: VerdictNoQuorum}
}

// Finish reports that a run has ended. A nil response is not stored. It blocks
// while the event queue is full.
func (k *Keeper) Finish(service, key, holder string, response []byte) {
	k.enqueue(Finish{Service: service, Key: key, Holder: holder, Response: response})
}

// Release reports that a request that was allowed to run did not run and never
// will. It blocks while the event queue is full.
func (k *Keeper) Release(service, key, holder string) {
	k.enqueue(Release{Service: service, Key: key, Holder: holder})
}

// Deliver passes in a claim message from another node. It blocks while the
// event queue is full.
func (k *Keeper) Deliver(message wire.Envelope) { k.enqueue(Received{Message: message}) }

// Configure passes in the declared workers and live nodes. It blocks while the
// event queue is full.
func (k *Keeper) Configure(configuration Configure) { k.enqueue(configuration) }

// enqueue queues an event. It blocks while the queue is full, and drops the
// event once Run has ended.
func (k *Keeper) enqueue(event Event) {
	select {
	case k.events <- event:
	case <-k.ended:
	}
}

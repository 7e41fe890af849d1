package claim

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"sliphead/internal/wire"
)

// Bounds of a Keeper's queue.
const (
	eventQueue = 1024
	tickShare  = 2 // ticks in one Config.Retry
)

// KeeperConfig is the settings of a Keeper.
type KeeperConfig struct {
	Config
	Send func(wire.Outgoing) // must not block
	Log  func(Log)           // nil logs nothing; must not block
	Now  func() time.Time    // nil is time.Now
}

// Keeper runs a Machine on one goroutine and lets many wait for decisions.
type Keeper struct {
	config  KeeperConfig
	events  chan Event
	claims  chan waiting
	ended   chan struct{}
	prefix  string
	counter atomic.Uint64

	// Owned by the goroutine of Run.
	machine *Machine
	waiters map[string]chan<- Decision
}

// waiting is a claim and who waits for its decision.
type waiting struct {
	claim    Claim
	decision chan<- Decision
}

// NewKeeper returns a keeper with no memory. Its calls wait until Run runs.
func NewKeeper(config KeeperConfig) *Keeper {
	if config.Now == nil {
		config.Now = time.Now
	}
	config.Config = config.Config.withDefaults()
	now := config.Now()
	return &Keeper{
		config:  config,
		events:  make(chan Event, eventQueue),
		claims:  make(chan waiting),
		ended:   make(chan struct{}),
		prefix:  fmt.Sprintf("%s/%d", config.Node, now.UnixNano()),
		machine: NewMachine(config.Config, now),
		waiters: make(map[string]chan<- Decision),
	}
}

// Run serves until the context ends. Claims under way are then never run.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.config.Retry / tickShare)
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
		case asked := <-k.claims:
			k.waiters[asked.claim.Holder] = asked.decision
			k.step(asked.claim)
		}
	}
}

// step feeds the machine and carries out its effects.
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
				waiter <- effect.Decision // has room for one
				delete(k.waiters, effect.Holder)
			}
		case Log:
			if k.config.Log != nil {
				k.config.Log(effect)
			}
		}
	}
}

// Claim asks whether a request may run and waits for the decision. When the
// context ends first the verdict is no-quorum: the request must not run and the
// key is released. With VerdictRun the caller runs the request at once, while
// its own deadline allows, and then calls Finish, or Release if it did not run.
func (k *Keeper) Claim(ctx context.Context, service, key, body string) Decision {
	decision := make(chan Decision, 1)
	holder := fmt.Sprintf("%s/%d", k.prefix, k.counter.Add(1))
	asked := Claim{Service: service, Key: key, Body: body, Holder: holder}
	asked.Deadline = k.config.Now().Add(k.config.MaxClaim)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(asked.Deadline) {
		asked.Deadline = deadline
	}
	select {
	case k.claims <- waiting{asked, decision}:
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
	k.post(Cancelled{Holder: holder})
	return Decision{Verdict: VerdictNoQuorum}
}

// Finish tells that a run has ended; a nil answer is not kept.
func (k *Keeper) Finish(service, key, holder string, answer []byte) {
	k.post(Finish{Service: service, Key: key, Holder: holder, Answer: answer})
}

// Release tells that a request that was allowed to run did not and never will.
func (k *Keeper) Release(service, key, holder string) {
	k.post(Release{Service: service, Key: key, Holder: holder})
}

// Deliver hands in a claim message from another node.
func (k *Keeper) Deliver(message wire.Envelope) { k.post(Received{Message: message}) }

// Configure hands in declared workers and live nodes.
func (k *Keeper) Configure(configuration Configure) { k.post(configuration) }

// post queues an event; it blocks while the queue is full.
func (k *Keeper) post(event Event) {
	select {
	case k.events <- event:
	case <-k.ended:
	}
}

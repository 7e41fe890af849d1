// Package keeper runs the quarantine state machine of a node: one goroutine owns the machine
// and exchanges datagrams with other nodes. Traffic reads an immutable view.
package keeper

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"sliphead/internal/clock"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/quarantine"
	"sliphead/internal/sockets"
)

// readErrorBackoff is the pause after an error of a read from the socket.
const readErrorBackoff = 200 * time.Millisecond

// inputQueueSize is the number of inputs that may wait for the owner goroutine.
const inputQueueSize = 256

// Config configures a Keeper. All fields except Logger and Now are required.
type Config struct {
	Address string        // IP address by which other nodes reach this one
	Listen  string        // IP address of the local socket
	Port    string        // port of the peer listener, the same on all nodes
	Logger  log.Interface // nil: no logging
	Now     func() time.Time
}

// Keeper runs the quarantine of one node. Its methods may be called concurrently.
type Keeper struct {
	config  Config
	inputs  chan input
	view    atomic.Pointer[quarantine.View]
	machine *quarantine.Machine // used by the owner goroutine only
	socket  net.PacketConn      // used by the owner goroutine only; set by Run
	sent    atomic.Uint64       // datagrams sent
	bytes   atomic.Uint64       // of the datagrams sent
}

// input is an event for the owner goroutine. If reply is set, it receives the verdict on the
// subject once the view includes the event.
type input struct {
	event   quarantine.Event
	subject quarantine.Fingerprint
	reply   chan quarantine.Verdict
}

// New returns a keeper without any records.
func New(config Config) *Keeper {
	if config.Logger == nil {
		config.Logger = logging.Discard()
	}
	if config.Now == nil {
		config.Now = clock.Now
	}
	seed := rand.NewPCG(rand.Uint64(), rand.Uint64())
	machine := quarantine.New(quarantine.Config{Self: config.Address, Random: seed}, config.Now())
	return &Keeper{config: config, machine: machine, inputs: make(chan input, inputQueueSize)}
}

// Empty reports whether there are no records.
func (k *Keeper) Empty() bool { return k.view.Load().Empty() }

// HasHead reports whether there are records of a request with this head.
func (k *Keeper) HasHead(head quarantine.Head) bool { return k.view.Load().HasHead(head) }

// Verdict returns how a request is to be treated now, and the time until that changes.
func (k *Keeper) Verdict(fingerprint quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	now := k.config.Now()
	verdict := k.view.Load().Verdict(fingerprint, now)
	return verdict, max(0, verdict.Until.Sub(now))
}

// WorkerCrashed records that the local worker crashed while it ran some requests, and returns
// the new verdict on the first one. If ctx ends first, it returns a zero verdict.
func (k *Keeper) WorkerCrashed(ctx context.Context, instance string, requests []quarantine.Fingerprint) quarantine.Verdict {
	return k.submit(ctx, quarantine.WorkerCrashed{Instance: instance, Requests: requests}, requests[0])
}

// Answered records that the local worker responded to a request that is suspected or on trial.
func (k *Keeper) Answered(ctx context.Context, fingerprint quarantine.Fingerprint, instance string) {
	k.submit(ctx, quarantine.Answered{Fingerprint: fingerprint, Instance: instance}, fingerprint)
}

// BeginTrial reports whether a request on trial may be sent to the local worker now, and
// records the trial: of several concurrent calls, one returns true.
func (k *Keeper) BeginTrial(ctx context.Context, fingerprint quarantine.Fingerprint, instance string) bool {
	before := k.submit(ctx, quarantine.TrialStarted{Fingerprint: fingerprint, Instance: instance}, fingerprint)
	return before.State == quarantine.OnTrial
}

// Release releases a request, so that it is sent to workers again, and returns the verdict before
// the release.
func (k *Keeper) Release(ctx context.Context, fingerprint quarantine.Fingerprint, by string) quarantine.Verdict {
	verdict, _ := k.Verdict(fingerprint)
	k.submit(ctx, quarantine.ReleaseOrdered{Fingerprint: fingerprint, By: by}, fingerprint)
	return verdict
}

// Status is the state reported to operators.
type Status struct {
	Suspected int                      `json:"suspected"` // requests with crashes, but too few to be held
	Held      int                      `json:"held"`      // requests that are held or on trial
	Requests  []quarantine.HeldRequest `json:"requests,omitempty"`
}

// maxShown bounds the held requests in a Status.
const maxShown = 50

// Status returns the current state.
func (k *Keeper) Status() Status {
	now := k.config.Now()
	view := k.view.Load()
	suspected, held := view.Count(now)
	return Status{Suspected: suspected, Held: held, Requests: view.Held(maxShown, now)}
}

// Sent returns the number of datagrams sent to other nodes and their total bytes.
func (k *Keeper) Sent() (datagrams, bytes uint64) { return k.sent.Load(), k.bytes.Load() }

// Peers updates the addresses of the nodes. It does not block; an update that is dropped
// because the input queue is full is made up for by the next change of the catalog.
func (k *Keeper) Peers(addresses []string) {
	select {
	case k.inputs <- input{event: quarantine.Peers{Addresses: addresses}}:
	default:
	}
}

// submit sends an event to the owner goroutine and waits until it is processed.
func (k *Keeper) submit(ctx context.Context, event quarantine.Event, subject quarantine.Fingerprint) quarantine.Verdict {
	next := input{event: event, subject: subject, reply: make(chan quarantine.Verdict, 1)}
	select {
	case k.inputs <- next:
	case <-ctx.Done():
		return quarantine.Verdict{}
	}
	select {
	case verdict := <-next.reply:
		return verdict
	case <-ctx.Done():
		return quarantine.Verdict{}
	}
}

// Run exchanges messages with other nodes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp", net.JoinHostPort(k.config.Listen, k.config.Port))
	if err != nil {
		return fault.Wrap(err, fault.Settings, "free the address or change listen.peer in the settings", "listen for datagrams of peers")
	}
	k.socket = socket
	defer sockets.CloseOnDone(ctx, socket)()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.read(ctx, socket) })
	group.Go(func() error {
		k.runOwner(ctx)
		return nil
	})
	return group.Wait()
}

// read receives datagrams.
func (k *Keeper) read(ctx context.Context, socket net.PacketConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, remote, err := socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logging.Problem(k.config.Logger, "quarantine.messageLost", err, nil)
			time.Sleep(readErrorBackoff) // most likely out of buffers
			continue
		}
		message, err := decode(buffer[:count], k.config.Now())
		if err != nil {
			logging.Problem(k.config.Logger, "quarantine.messageRefused", err, logging.Fields{"remote": remote.String()})
			continue
		}
		select {
		case k.inputs <- input{event: quarantine.MessageReceived{Message: message}}:
		default: // the owner is overloaded: lost records are obtained by a query
		}
	}
}

// runOwner processes inputs and ticks until ctx ends. Only this goroutine uses the state
// machine.
func (k *Keeper) runOwner(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			k.step(quarantine.Tick{})
		case next := <-k.inputs:
			k.handle(next)
		}
		now := k.config.Now()
		timer.Reset(k.machine.Due(now).Sub(now))
	}
}

// handle processes one input. The reply to a trial is the verdict before it, the reply to any
// other event the verdict after it.
func (k *Keeper) handle(next input) {
	before := k.machine.Verdict(next.subject, k.config.Now())
	_, isTrial := next.event.(quarantine.TrialStarted)
	if !isTrial || before.State == quarantine.OnTrial {
		k.step(next.event)
	}
	switch {
	case next.reply == nil:
	case isTrial:
		next.reply <- before
	default:
		next.reply <- k.machine.Verdict(next.subject, k.config.Now())
	}
}

func (k *Keeper) step(event quarantine.Event) {
	now := k.config.Now()
	for _, effect := range k.machine.Step(event, now) {
		switch effect := effect.(type) {
		case quarantine.Send:
			k.send(effect, now)
		case quarantine.ViewChanged:
			k.view.Store(k.machine.View())
		case quarantine.Log:
			k.log(effect)
		}
	}
}

// send sends a message to other nodes. A message that can't be sent is treated as lost.
func (k *Keeper) send(effect quarantine.Send, now time.Time) {
	datagram, err := encode(effect.Message, now)
	if err != nil {
		logging.Problem(k.config.Logger, "quarantine.messageLost", err, nil)
		return
	}
	for _, host := range effect.To {
		address, err := net.ResolveUDPAddr("udp", net.JoinHostPort(host, k.config.Port))
		if err == nil {
			_, err = k.socket.WriteTo(datagram, address)
		}
		if err != nil {
			logging.Problem(k.config.Logger, "quarantine.messageLost", err, logging.Fields{"peer": host})
			continue
		}
		k.sent.Add(1)
		k.bytes.Add(uint64(len(datagram)))
	}
}

func (k *Keeper) log(event quarantine.Log) {
	fields := logging.Fields{}
	if event.Gap > 0 {
		fields["gap_ms"] = event.Gap.Milliseconds()
	} else {
		fields["fingerprint"] = event.Fingerprint.String()
		fields["workers"] = strings.Join(event.Verdict.Workers, ",")
		fields["trials"] = event.Verdict.Trials
	}
	if event.By != "" {
		fields["by"] = event.By
	}
	logging.Event(k.config.Logger, string(event.Event), fields)
}

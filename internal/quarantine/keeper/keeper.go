// Package keeper runs a node's quarantine: one goroutine owns the pure machine and talks
// to other nodes by datagrams. Traffic reads an immutable view.
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
)

// readPause is the wait after a failure to read from the socket.
const readPause = 200 * time.Millisecond

// inputQueue is how many inputs wait for the owner.
const inputQueue = 256

// Config is what a keeper is made of. All fields are required, but for Logger and Now.
type Config struct {
	Address string        // IP address by which other nodes reach this one
	Listen  string        // IP address that datagrams are sent from and come to
	Port    string        // of the peer listener, the same on all nodes
	Logger  log.Interface // nil: nothing is logged
	Now     func() time.Time
}

// Keeper is one node's quarantine.
type Keeper struct {
	config  Config
	inputs  chan input
	view    atomic.Pointer[quarantine.View]
	machine *quarantine.Machine // of the owner
	socket  net.PacketConn      // of the owner, once Run has begun
	sent    atomic.Uint64       // datagrams
	bytes   atomic.Uint64       // in them
}

// input is an event for the owner. Reply, if there is one, is told the verdict on a
// request once the view holds what the event brought.
type input struct {
	event quarantine.Event
	about quarantine.Fingerprint
	reply chan quarantine.Verdict
}

// New returns a keeper that knows of no request.
func New(config Config) *Keeper {
	if config.Logger == nil {
		config.Logger = logging.Discard()
	}
	if config.Now == nil {
		config.Now = clock.Now
	}
	seed := rand.NewPCG(rand.Uint64(), rand.Uint64())
	machine := quarantine.New(quarantine.Config{Self: config.Address, Random: seed}, config.Now())
	return &Keeper{config: config, machine: machine, inputs: make(chan input, inputQueue)}
}

// Empty reports whether no request is known.
func (k *Keeper) Empty() bool { return k.view.Load().Empty() }

// Knows reports whether some request with this head is known.
func (k *Keeper) Knows(head quarantine.Head) bool { return k.view.Load().Knows(head) }

// Verdict says how a request is to be treated now, and for how long.
func (k *Keeper) Verdict(fingerprint quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	now := k.config.Now()
	verdict := k.view.Load().Verdict(fingerprint, now)
	return verdict, max(0, verdict.Until.Sub(now))
}

// WorkerCrashed tells that the worker beside this node ended while it ran some requests, and
// returns what is known then of the first one. When ctx ends before, nothing is.
func (k *Keeper) WorkerCrashed(ctx context.Context, instance string, requests []quarantine.Fingerprint) quarantine.Verdict {
	return k.submit(ctx, quarantine.WorkerCrashed{Instance: instance, Requests: requests}, requests[0])
}

// Answered tells that the worker beside this node answered a request that is known.
func (k *Keeper) Answered(ctx context.Context, fingerprint quarantine.Fingerprint, instance string) {
	k.submit(ctx, quarantine.Answered{Fingerprint: fingerprint, Instance: instance}, fingerprint)
}

// BeginTrial reports whether a request on trial may be sent to the worker beside this
// node, and counts it: of several that ask, one may.
func (k *Keeper) BeginTrial(ctx context.Context, fingerprint quarantine.Fingerprint, instance string) bool {
	before := k.submit(ctx, quarantine.TrialBegins{Fingerprint: fingerprint, Instance: instance}, fingerprint)
	return before.State == quarantine.OnTrial
}

// LetGo has a request sent to workers again, and returns what was known of it.
func (k *Keeper) LetGo(ctx context.Context, fingerprint quarantine.Fingerprint, by string) quarantine.Verdict {
	verdict, _ := k.Verdict(fingerprint)
	k.submit(ctx, quarantine.LetGo{Fingerprint: fingerprint, By: by}, fingerprint)
	return verdict
}

// Status is what the keeper tells operators.
type Status struct {
	Suspected int                      `json:"suspected"` // requests under which a worker ended, too few to hold them
	Held      int                      `json:"held"`      // requests that are sent to no worker, or to one as a trial
	Requests  []quarantine.HeldRequest `json:"requests,omitempty"`
}

// mostShown bounds the held requests that operators are shown.
const mostShown = 50

// Status tells the state of now.
func (k *Keeper) Status() Status {
	now := k.config.Now()
	view := k.view.Load()
	suspected, held := view.Count(now)
	return Status{Suspected: suspected, Held: held, Requests: view.Held(mostShown, now)}
}

// Sent returns how many datagrams were sent to other nodes, and their bytes.
func (k *Keeper) Sent() (datagrams, bytes uint64) { return k.sent.Load(), k.bytes.Load() }

// Peers tells the addresses of the other nodes. It does not wait: the catalog tells of
// them again with its next change.
func (k *Keeper) Peers(addresses []string) {
	select {
	case k.inputs <- input{event: quarantine.Peers{Addresses: addresses}}:
	default:
	}
}

// submit hands an event to the owner and waits until it is dealt with.
func (k *Keeper) submit(ctx context.Context, event quarantine.Event, about quarantine.Fingerprint) quarantine.Verdict {
	given := input{event: event, about: about, reply: make(chan quarantine.Verdict, 1)}
	select {
	case k.inputs <- given:
	case <-ctx.Done():
		return quarantine.Verdict{}
	}
	select {
	case verdict := <-given.reply:
		return verdict
	case <-ctx.Done():
		return quarantine.Verdict{}
	}
}

// Run talks to other nodes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.ListenPacket(ctx, "udp", net.JoinHostPort(k.config.Listen, k.config.Port))
	if err != nil {
		return fault.Wrap(err, fault.Settings, "free the address or change listen.peer in the settings", "listen for datagrams of peers")
	}
	k.socket = socket
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.read(ctx, socket) })
	group.Go(func() error {
		k.own(ctx)
		return nil
	})
	return group.Wait()
}

// read takes datagrams in.
func (k *Keeper) read(ctx context.Context, socket net.PacketConn) error {
	buffer := make([]byte, mostDatagram)
	for {
		count, remote, err := socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logging.Problem(k.config.Logger, "quarantine.messageLost", err, nil)
			time.Sleep(readPause) // short of buffers, most likely
			continue
		}
		message, err := decode(buffer[:count], k.config.Now())
		if err != nil {
			logging.Problem(k.config.Logger, "quarantine.messageRefused", err, logging.Fields{"remote": remote.String()})
			continue
		}
		select {
		case k.inputs <- input{event: quarantine.Heard{Message: message}}:
		default: // the owner is behind: what is lost here is asked for
		}
	}
}

// own is the goroutine that owns the state.
func (k *Keeper) own(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			k.step(quarantine.Tick{})
		case given := <-k.inputs:
			k.handle(given)
		}
		now := k.config.Now()
		timer.Reset(k.machine.Due(now).Sub(now))
	}
}

// handle deals with one input. A trial is decided by what was known before it, anything
// else is told by what is known after.
func (k *Keeper) handle(given input) {
	before := k.machine.Verdict(given.about, k.config.Now())
	_, isTrial := given.event.(quarantine.TrialBegins)
	if !isTrial || before.State == quarantine.OnTrial {
		k.step(given.event)
	}
	switch {
	case given.reply == nil:
	case isTrial:
		given.reply <- before
	default:
		given.reply <- k.machine.Verdict(given.about, k.config.Now())
	}
}

func (k *Keeper) step(event quarantine.Event) {
	now := k.config.Now()
	for _, effect := range k.machine.Step(event, now) {
		switch effect := effect.(type) {
		case quarantine.Send:
			k.send(effect, now)
		case quarantine.Changed:
			k.view.Store(k.machine.View())
		case quarantine.Log:
			k.log(effect)
		}
	}
}

// send sends a message to other nodes. One that can't be sent is as good as lost.
func (k *Keeper) send(told quarantine.Send, now time.Time) {
	line, err := encode(told.Message, now)
	if err != nil {
		logging.Problem(k.config.Logger, "quarantine.messageLost", err, nil)
		return
	}
	for _, host := range told.To {
		address, err := net.ResolveUDPAddr("udp", net.JoinHostPort(host, k.config.Port))
		if err == nil {
			_, err = k.socket.WriteTo(line, address)
		}
		if err != nil {
			logging.Problem(k.config.Logger, "quarantine.messageLost", err, logging.Fields{"peer": host})
			continue
		}
		k.sent.Add(1)
		k.bytes.Add(uint64(len(line)))
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

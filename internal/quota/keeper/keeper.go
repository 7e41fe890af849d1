// Package keeper runs the quota state machine of a node: one goroutine owns the machine and
// exchanges datagrams with other nodes.
package keeper

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"sliphead/internal/catalog"
	"sliphead/internal/clock"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/quota"
	"sliphead/internal/sockets"
)

// readErrorBackoff is the pause after an error of a read from the socket.
const readErrorBackoff = 200 * time.Millisecond

// inputQueueSize is the number of inputs that may wait for the owner goroutine: more than 100
// ms of a node's own requests and of the queries sent to it, at 300 a second each.
const inputQueueSize = 256

// overloadRetryAfter is the retry delay for a request whose context ended before the owner
// processed it.
const overloadRetryAfter = 200 * time.Millisecond

// Config configures a Keeper. All fields except Logger and Now are required.
type Config struct {
	Quota  quota.Config
	Listen netip.AddrPort // local address of the socket; all nodes use the same port
	Logger log.Interface  // nil: no logging
	Now    func() time.Time
}

// Keeper runs the quotas of one node. Its methods may be called concurrently, except for
// Configure.
type Keeper struct {
	config    Config
	inputs    chan input
	configure chan quota.Configured // holds only the newest one
	machine   *quota.Machine        // used by the owner goroutine only
	waiting   map[uint64]chan quota.Decided
	socket    *net.UDPConn // used by the owner goroutine only; set by Run
	lastID    atomic.Uint64
	counts    counts
}

// input is an event for the owner goroutine. The Decided effect for a TokenRequested event is
// sent to reply.
type input struct {
	event any // a quota.Event or a statusRequest
	reply chan quota.Decided
}

// New returns a keeper without any tenant. It opens no socket before Run.
func New(config Config) *Keeper {
	if config.Logger == nil {
		config.Logger = logging.Discard()
	}
	if config.Now == nil {
		config.Now = clock.Now
	}
	if config.Quota.Random == nil {
		config.Quota.Random = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	return &Keeper{
		config: config, machine: quota.New(config.Quota, config.Now()),
		inputs: make(chan input, inputQueueSize), configure: make(chan quota.Configured, 1), waiting: map[uint64]chan quota.Decided{},
	}
}

// Configure applies the tenants and nodes of the current catalog. It does not block: a
// configuration that was not processed yet is replaced. It must not be called concurrently.
func (k *Keeper) Configure(configured quota.Configured) {
	select {
	case <-k.configure:
	default:
	}
	k.configure <- configured
}

// Take implements traffic.Quotas: it reports whether the request may run, and otherwise the
// time after which to retry.
func (k *Keeper) Take(ctx context.Context, tenant *catalog.Tenant) (bool, time.Duration) {
	id := k.lastID.Add(1)
	reply := make(chan quota.Decided, 1)
	select {
	case k.inputs <- input{event: quota.TokenRequested{ID: id, Tenant: tenant.Name}, reply: reply}:
	case <-ctx.Done():
		return false, overloadRetryAfter
	}
	select {
	case decided := <-reply:
		return decided.Result != quota.Rejected, decided.RetryAfter
	case <-ctx.Done():
		return k.cancel(id, tenant, reply)
	}
}

// cancel ends the wait of a request whose context has ended.
func (k *Keeper) cancel(id uint64, tenant *catalog.Tenant, reply chan quota.Decided) (bool, time.Duration) {
	select {
	case k.inputs <- input{event: quota.Cancelled{ID: id, Tenant: tenant.Name}, reply: reply}:
	default: // the owner is overloaded: a token granted later is lost
	}
	return false, overloadRetryAfter
}

// Refund implements traffic.Quotas. The token is lost if the input queue is full.
func (k *Keeper) Refund(tenant *catalog.Tenant) {
	select {
	case k.inputs <- input{event: quota.TokenReturned{Tenant: tenant.Name}}:
	default:
	}
}

// Run exchanges messages with other nodes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(k.config.Listen))
	if err != nil {
		return fault.Wrap(err, fault.Settings, "free the address or change listen.quota in the settings", "listen for quota datagrams")
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
func (k *Keeper) read(ctx context.Context, socket *net.UDPConn) error {
	buffer := make([]byte, maxDatagram)
	for {
		count, remote, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logging.Problem(k.config.Logger, "quota.messageLost", err, nil)
			time.Sleep(readErrorBackoff) // most likely out of buffers
			continue
		}
		message, err := decode(buffer[:count])
		if err != nil {
			logging.Problem(k.config.Logger, "quota.messageRefused", err, logging.Fields{"remote": remote.String()})
			continue
		}
		select {
		case k.inputs <- input{event: quota.MessageReceived{From: remote, Message: message}}:
		default: // the owner is overloaded: the querying node will query another stripe
			k.counts.dropped.Add(1)
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
			k.step(quota.Tick{})
		case configured := <-k.configure:
			k.step(configured)
		case next := <-k.inputs:
			k.handle(next)
		}
		now := k.config.Now()
		timer.Reset(k.machine.Due(now).Sub(now))
	}
}

func (k *Keeper) handle(next input) {
	switch event := next.event.(type) {
	case quota.TokenRequested:
		k.waiting[event.ID] = next.reply
	case quota.Cancelled:
		k.dropWaiter(event, next.reply)
	case statusRequest:
		event.reply <- k.machine.Status()
		return
	}
	k.step(next.event.(quota.Event))
}

// dropWaiter ends the wait of a request. A token that was granted in the meantime is returned.
func (k *Keeper) dropWaiter(event quota.Cancelled, reply chan quota.Decided) {
	delete(k.waiting, event.ID)
	select {
	case decided := <-reply:
		if decided.Result != quota.Rejected {
			k.step(quota.TokenReturned{Tenant: event.Tenant})
		}
	default:
	}
}

func (k *Keeper) step(event quota.Event) {
	now := k.config.Now()
	for _, effect := range k.machine.Step(event, now) {
		switch effect := effect.(type) {
		case quota.Send:
			k.send(effect)
		case quota.Decided:
			k.deliver(effect)
		case quota.Unreachable:
			logging.Event(k.config.Logger, "quota.alone", logging.Fields{"tenant": effect.Tenant})
		}
	}
}

// deliver sends a decision to the waiting request.
func (k *Keeper) deliver(decided quota.Decided) {
	k.counts.of(decided.Result).Add(1)
	if reply, waits := k.waiting[decided.ID]; waits {
		delete(k.waiting, decided.ID)
		reply <- decided
	}
}

// send sends a message to another node. A message that can't be sent is treated as lost.
func (k *Keeper) send(effect quota.Send) {
	datagram, err := encode(effect.Message)
	to := effect.To
	if err == nil && effect.Host != "" {
		to, err = netip.ParseAddrPort(net.JoinHostPort(effect.Host, strconv.Itoa(int(k.config.Listen.Port()))))
	}
	if err == nil {
		_, err = k.socket.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		logging.Problem(k.config.Logger, "quota.messageLost", err, logging.Fields{"peer": to.String()})
		return
	}
	k.counts.messages.Add(1)
	k.counts.bytes.Add(uint64(len(datagram)))
}

// Package keeper runs a node's part of the quotas: one goroutine owns the pure machine and
// talks to other nodes by datagrams.
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
)

// readPause is the wait after a failure to read from the socket.
const readPause = 200 * time.Millisecond

// inputQueue is how many inputs wait for the owner: more than 100 ms of a node's requests
// and of the questions to it, at 300 of each a second.
const inputQueue = 256

// busyWait is told to the caller of a request whose time ended before the owner dealt with it.
const busyWait = 200 * time.Millisecond

// Config is what a keeper is made of. All fields are required, but for Logger and Now.
type Config struct {
	Quota  quota.Config
	Listen netip.AddrPort // that datagrams are sent from and come to; the port is the same on all nodes
	Logger log.Interface  // nil: nothing is logged
	Now    func() time.Time
}

// Keeper is one node's part of the quotas.
type Keeper struct {
	config    Config
	inputs    chan input
	configure chan quota.Configured // the newest one
	machine   *quota.Machine        // of the owner
	waiting   map[uint64]chan quota.Decided
	socket    *net.UDPConn // of the owner, once Run has begun
	lastID    atomic.Uint64
	counts    counts
}

// input is an event for the owner. Reply gets the Decided of a Wanted.
type input struct {
	event any // a quota.Event or a statusAsked
	reply chan quota.Decided
}

// New returns a keeper that knows of no tenant. It opens no socket.
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
		inputs: make(chan input, inputQueue), configure: make(chan quota.Configured, 1), waiting: map[uint64]chan quota.Decided{},
	}
}

// Configure tells what the catalog says now. It does not wait: one that was not dealt with
// yet is replaced. One goroutine calls it.
func (k *Keeper) Configure(told quota.Configured) {
	select {
	case <-k.configure:
	default:
	}
	k.configure <- told
}

// Take implements traffic.Quotas.
func (k *Keeper) Take(ctx context.Context, tenant *catalog.Tenant) (bool, time.Duration) {
	id := k.lastID.Add(1)
	reply := make(chan quota.Decided, 1)
	select {
	case k.inputs <- input{event: quota.Wanted{ID: id, Tenant: tenant.Name}, reply: reply}:
	case <-ctx.Done():
		return false, busyWait
	}
	select {
	case decided := <-reply:
		return decided.Result != quota.Refused, decided.RetryAfter
	case <-ctx.Done():
		return k.cancel(id, tenant, reply)
	}
}

// cancel ends the wait of a request whose time is over.
func (k *Keeper) cancel(id uint64, tenant *catalog.Tenant, reply chan quota.Decided) (bool, time.Duration) {
	select {
	case k.inputs <- input{event: quota.Cancelled{ID: id, Tenant: tenant.Name}, reply: reply}:
	default: // the owner is behind: a token that is granted yet is lost
	}
	return false, busyWait
}

// GiveBack implements traffic.Quotas. A token that finds no room in the queue is lost.
func (k *Keeper) GiveBack(tenant *catalog.Tenant) {
	select {
	case k.inputs <- input{event: quota.Returned{Tenant: tenant.Name}}:
	default:
	}
}

// Run talks to other nodes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(k.config.Listen))
	if err != nil {
		return fault.Wrap(err, fault.Settings, "free the address or change listen.quota in the settings", "listen for datagrams on quotas")
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
func (k *Keeper) read(ctx context.Context, socket *net.UDPConn) error {
	buffer := make([]byte, mostDatagram)
	for {
		count, remote, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logging.Problem(k.config.Logger, "quota.messageLost", err, nil)
			time.Sleep(readPause) // short of buffers, most likely
			continue
		}
		message, err := decode(buffer[:count])
		if err != nil {
			logging.Problem(k.config.Logger, "quota.messageRefused", err, logging.Fields{"remote": remote.String()})
			continue
		}
		select {
		case k.inputs <- input{event: quota.Heard{From: remote, Message: message}}:
		default: // the owner is behind: whoever asked asks another stripe
			k.counts.dropped.Add(1)
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
			k.step(quota.Tick{})
		case told := <-k.configure:
			k.step(told)
		case given := <-k.inputs:
			k.handle(given)
		}
		now := k.config.Now()
		timer.Reset(k.machine.Due(now).Sub(now))
	}
}

func (k *Keeper) handle(given input) {
	switch event := given.event.(type) {
	case quota.Wanted:
		k.waiting[event.ID] = given.reply
	case quota.Cancelled:
		k.forget(event, given.reply)
	case statusAsked:
		event.reply <- k.machine.Status()
		return
	}
	k.step(given.event.(quota.Event))
}

// forget ends a wait. A token that was granted before goes back.
func (k *Keeper) forget(event quota.Cancelled, reply chan quota.Decided) {
	delete(k.waiting, event.ID)
	select {
	case decided := <-reply:
		if decided.Result != quota.Refused {
			k.step(quota.Returned{Tenant: event.Tenant})
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
			k.decide(effect)
		case quota.Unreachable:
			logging.Event(k.config.Logger, "quota.alone", logging.Fields{"tenant": effect.Tenant})
		}
	}
}

// decide answers the request that waits.
func (k *Keeper) decide(decided quota.Decided) {
	k.counts.of(decided.Result).Add(1)
	if reply, waits := k.waiting[decided.ID]; waits {
		delete(k.waiting, decided.ID)
		reply <- decided
	}
}

// send sends a message to another node. One that can't be sent is as good as lost.
func (k *Keeper) send(told quota.Send) {
	line, err := encode(told.Message)
	to := told.To
	if err == nil && told.Host != "" {
		to, err = netip.ParseAddrPort(net.JoinHostPort(told.Host, strconv.Itoa(int(k.config.Listen.Port()))))
	}
	if err == nil {
		_, err = k.socket.WriteToUDPAddrPort(line, to)
	}
	if err != nil {
		logging.Problem(k.config.Logger, "quota.messageLost", err, logging.Fields{"peer": to.String()})
		return
	}
	k.counts.messages.Add(1)
	k.counts.bytes.Add(uint64(len(line)))
}

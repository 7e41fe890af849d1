// Package transport carries typed messages between nodes: JSON lines on
// compressed one-way TCP streams, opened on demand and closed when idle, and
// single JSON lines in UDP datagrams. Both are authenticated unless the
// settings name the plain mode. Delivery is best effort and in order per
// stream; whatever is lost is counted and left to the protocols' repair.
package transport

import (
	"context"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"sliphead/internal/fault"
	"sliphead/internal/wire"
)

// Transport is one node's end of all its peer streams and datagrams.
type Transport struct {
	config      Config
	localIP     string
	credentials *credentials
	totals      totals
	limiter     *logLimiter
	admission   *rate.Limiter
	jitter      jitter
	longLines   budget

	bound     chan struct{} // closed once both listeners are open
	address   string        // set before bound is closed
	datagrams net.PacketConn

	mutex   sync.Mutex
	context context.Context // of Run; nil before and after
	links   map[string]*link
	inbound map[string][]*inboundStream // open streams by the peer's name
	workers sync.WaitGroup              // links and inbound streams
}

// New checks the configuration and loads keys. It opens no sockets.
func New(config Config) (*Transport, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(config.Bind)
	transport := &Transport{
		config:    config,
		localIP:   host,
		limiter:   newLogLimiter(config.Logger),
		admission: rate.NewLimiter(rate.Limit(config.Limits.StreamsPerSecond), config.Limits.StreamBurst),
		jitter:    jitter{random: config.Random},
		longLines: budget{most: int64(config.Limits.LongLineBytes)},
		bound:     make(chan struct{}),
		links:     make(map[string]*link),
		inbound:   make(map[string][]*inboundStream),
	}
	transport.credentials, err = loadCredentials(config.Security, transport.limiter)
	if err != nil {
		return nil, err
	}
	return transport, nil
}

// Run opens the listeners and serves until ctx ends or a listener fails. It
// returns after all goroutines have ended, and may be called once.
func (t *Transport) Run(ctx context.Context) error {
	listener, packets, err := t.listen(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	t.open(ctx, listener.Addr().String(), packets)
	group.Go(func() error { return t.acceptStreams(ctx, listener) })
	group.Go(func() error { return t.readDatagrams(ctx, packets) })
	group.Go(func() error {
		<-ctx.Done()
		listener.Close()
		packets.Close()
		return nil
	})
	err = group.Wait()
	t.close()
	return err
}

// listen opens the stream and datagram listeners on one port.
func (t *Transport) listen(ctx context.Context) (net.Listener, net.PacketConn, error) {
	const remedy = "free the address or change listen.peer"
	listener, err := t.config.Network.Listen(ctx, t.config.Bind)
	if err != nil {
		return nil, nil, fault.Wrap(err, fault.Settings, remedy, "listen for peer streams on %s", t.config.Bind)
	}
	packets, err := t.config.Network.ListenPacket(ctx, listener.Addr().String())
	if err != nil {
		listener.Close()
		return nil, nil, fault.Wrap(err, fault.Settings, remedy, "listen for peer datagrams on %s", listener.Addr())
	}
	return listener, packets, nil
}

// open lets messages flow.
func (t *Transport) open(ctx context.Context, address string, packets net.PacketConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.context = ctx
	t.address = address
	t.datagrams = packets
	close(t.bound)
}

// close waits for all links and streams to end.
func (t *Transport) close() {
	t.mutex.Lock()
	t.context = nil
	t.mutex.Unlock()
	t.workers.Wait()
}

// Bound is closed once both listeners are open.
func (t *Transport) Bound() <-chan struct{} { return t.bound }

// Address returns the address bound, for a Bind with port 0. Call it after
// Bound is closed.
func (t *Transport) Address() string { return t.address }

// Counters returns the running totals.
func (t *Transport) Counters() Counters { return t.totals.read() }

// start runs work in a goroutine that Run waits for, unless Run has ended.
func (t *Transport) start(work func(ctx context.Context)) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.startLocked(work)
}

// startLocked is start for a caller that holds the mutex.
func (t *Transport) startLocked(work func(ctx context.Context)) bool {
	if t.context == nil || t.context.Err() != nil {
		return false
	}
	ctx := t.context
	t.workers.Go(func() { work(ctx) })
	return true
}

// Send queues a message for the stream to address and returns at once.
func (t *Transport) Send(address string, envelope wire.Envelope) {
	line, err := wire.Encode(envelope)
	if err != nil {
		t.totals.dropped.Add(1)
		t.limiter.log("transport.encode", address, err)
		return
	}
	t.SendEncoded(address, line)
}

// SendEncoded queues a line made by wire.Encode. The line is shared, not
// copied: nobody may change it afterwards.
func (t *Transport) SendEncoded(address string, line []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peer := t.links[address]
	if peer == nil {
		t.forgetIdleLinks()
		peer = newLink(t, address)
		t.links[address] = peer
	}
	peer.queueLocked(line)
}

// maxIdleLinks bounds the memory of addresses that could not be reached.
const maxIdleLinks = 4096

// forgetIdleLinks drops links without a goroutine once there are many.
func (t *Transport) forgetIdleLinks() {
	if len(t.links) < maxIdleLinks {
		return
	}
	for address, peer := range t.links {
		if !peer.running {
			delete(t.links, address)
		}
	}
}

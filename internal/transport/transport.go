// Package transport carries typed messages between nodes: JSON lines on
// compressed one-way TCP streams, opened on demand and closed when idle, and
// single JSON lines in UDP datagrams. Both are authenticated unless the
// settings enable the plain mode. Delivery is best effort and ordered within a
// stream. Dropped messages are counted; the protocols above recover from losses.
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

// Transport sends and receives one node's peer messages. Its methods are safe for
// concurrent use.
type Transport struct {
	config         Config
	localIP        string
	credentials    *credentials
	totals         totals
	limiter        *logLimiter
	admission      *rate.Limiter // of inbound streams
	jitter         jitter
	longLineBudget budget // memory of long inbound lines

	bound     chan struct{} // closed once both listeners are open
	address   string        // set before bound is closed
	datagrams net.PacketConn

	mutex      sync.Mutex
	context    context.Context             // of Run; nil while Run is not running
	links      map[string]*link            // by address
	inbound    map[string][]*inboundStream // open streams by the peer's name, oldest first
	goroutines sync.WaitGroup              // goroutines of links and inbound streams
}

// New checks the configuration and loads the keys. It opens no sockets. Errors are
// of kind fault.Settings, or fault.Internal for a missing required field.
func New(config Config) (*Transport, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	host, _, _ := net.SplitHostPort(config.Bind)
	transport := &Transport{
		config:         config,
		localIP:        host,
		limiter:        newLogLimiter(config.Logger),
		admission:      rate.NewLimiter(rate.Limit(config.Limits.StreamsPerSecond), config.Limits.StreamBurst),
		jitter:         jitter{random: config.Random},
		longLineBudget: budget{limit: int64(config.Limits.LongLineBytes)},
		bound:          make(chan struct{}),
		links:          make(map[string]*link),
		inbound:        make(map[string][]*inboundStream),
	}
	transport.credentials, err = loadCredentials(config.Security, transport.limiter)
	if err != nil {
		return nil, err
	}
	return transport, nil
}

// Run opens the listeners and serves until ctx ends or a listener fails. It
// returns after all goroutines have ended. It must be called at most once.
func (t *Transport) Run(ctx context.Context) error {
	listener, packets, err := t.listen(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	t.markRunning(ctx, listener.Addr().String(), packets)
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

// listen opens the stream and datagram listeners on the same port.
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

// markRunning allows messages to be sent and closes bound.
func (t *Transport) markRunning(ctx context.Context, address string, packets net.PacketConn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.context = ctx
	t.address = address
	t.datagrams = packets
	close(t.bound)
}

// close stops new goroutines from starting and waits for the running ones.
func (t *Transport) close() {
	t.mutex.Lock()
	t.context = nil
	t.mutex.Unlock()
	t.goroutines.Wait()
}

// Bound is closed once both listeners are open.
func (t *Transport) Bound() <-chan struct{} { return t.bound }

// Address returns the address of the listeners, which matters for a Bind with port
// 0. It must not be called before Bound is closed.
func (t *Transport) Address() string { return t.address }

// Counters returns the totals since the start.
func (t *Transport) Counters() Counters { return t.totals.read() }

// startGoroutine runs work in a goroutine that Run waits for. It returns false, without
// running it, when Run is not running.
func (t *Transport) startGoroutine(work func(ctx context.Context)) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.startGoroutineLocked(work)
}

// startGoroutineLocked is like startGoroutine. The caller must hold the mutex.
func (t *Transport) startGoroutineLocked(work func(ctx context.Context)) bool {
	if t.context == nil || t.context.Err() != nil {
		return false
	}
	ctx := t.context
	t.goroutines.Go(func() { work(ctx) })
	return true
}

// Send queues a message for the stream to address and returns immediately. A message
// that cannot be encoded is dropped and logged.
func (t *Transport) Send(address string, envelope wire.Envelope) {
	line, err := wire.Encode(envelope)
	if err != nil {
		t.totals.dropped.Add(1)
		t.limiter.log("transport.encode", address, err)
		return
	}
	t.SendEncoded(address, line)
}

// SendEncoded queues a line made by wire.Encode for the stream to address. The line
// is not copied and must not be modified afterwards.
func (t *Transport) SendEncoded(address string, line []byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peer := t.links[address]
	if peer == nil {
		t.removeIdleLinks()
		peer = newLink(t, address)
		t.links[address] = peer
	}
	peer.enqueueLocked(line)
}

// maxIdleLinks bounds the memory used for unreachable addresses: a link that ends
// with an error stays in the map.
const maxIdleLinks = 4096

// removeIdleLinks removes links without a goroutine once there are maxIdleLinks.
func (t *Transport) removeIdleLinks() {
	if len(t.links) < maxIdleLinks {
		return
	}
	for address, peer := range t.links {
		if !peer.running {
			delete(t.links, address)
		}
	}
}

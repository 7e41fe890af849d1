package fleet

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sliphead/internal/declaration"
	"sliphead/internal/sleep"
	"sliphead/internal/snapshot"
	"sliphead/internal/source"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// Baseline names a plain way of distributing configuration, to compare with.
type Baseline string

// The baselines.
const (
	BaselinePoll  Baseline = "poll"  // every node asks the source at an interval
	BaselineFlood Baseline = "flood" // whole snapshots, each node tells some others on first sight
)

// The settings of the baselines.
const (
	pollEvery    = time.Second
	floodFanout  = 4
	sourceWait   = 20 * time.Second
	fetchTimeout = 10 * time.Second
)

// baselineNode applies versions as our nodes do: parse, build, validate.
type baselineNode struct {
	fleet  *Fleet
	index  int
	newest atomic.Uint64 // revision
	bytes  atomic.Uint64 // sent and received over HTTP
	peers  atomic.Pointer[transport.Transport]
}

// runBaseline runs all nodes of a baseline until ctx ends.
func (f *Fleet) runBaseline(ctx context.Context, kind Baseline) ([]*baselineNode, error) {
	nodes := make([]*baselineNode, f.options.Nodes)
	for index := range nodes {
		nodes[index] = &baselineNode{fleet: f, index: index}
		f.recorder.logger(f.plan.name(index))
		start := nodes[index].poll
		if kind == BaselineFlood {
			start = nodes[index].flood
		}
		f.group.Go(func() error { return start(ctx) })
	}
	return nodes, nil
}

// apply puts a document in force if it is newer, and reports whether it was.
func (b *baselineNode) apply(document *declaration.Document, revision uint64) (*snapshot.Set, bool) {
	for {
		held := b.newest.Load()
		if revision <= held {
			return nil, false
		}
		if b.newest.CompareAndSwap(held, revision) {
			break
		}
	}
	set, err := snapshot.Build(document, revision, nil)
	if err != nil || len(set.Validate()) > 0 {
		return nil, false
	}
	if _, err := snapshot.Compile(set); err != nil {
		return nil, false
	}
	b.fleet.recorder.mutex.Lock()
	defer b.fleet.recorder.mutex.Unlock()
	b.fleet.recorder.note(b.fleet.plan.name(b.index), revision, time.Now())
	return set, true
}

// configuration returns a client of the source that counts its bytes.
func (b *baselineNode) configuration() *source.Configuration {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, count: &b.bytes}, nil
	}
	return &source.Configuration{
		Base:    "http://" + b.fleet.plan.platform(sourcePort),
		Node:    b.fleet.plan.name(b.index),
		Timeout: fetchTimeout,
		Client:  &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}},
	}
}

// poll asks the source again and again.
func (b *baselineNode) poll(ctx context.Context) error {
	client := b.configuration()
	held := ""
	sleep.For(ctx, rand.N(pollEvery))
	for ctx.Err() == nil {
		if fetched, err := client.Fetch(ctx, held, 0); err == nil && fetched != nil {
			held = fetched.ETag
			if document, err := declaration.Parse(fetched.Raw); err == nil {
				b.apply(document, fetched.Revision)
			}
		}
		sleep.For(ctx, pollEvery)
	}
	return nil
}

// flood tells some others of each version seen first. Node 0 reads the source.
func (b *baselineNode) flood(ctx context.Context) error {
	var once sync.Mutex // one push at a time, as one control goroutine would
	deliver := func(received transport.Received) {
		push := received.Envelope.Push
		if push == nil || push.Delta.To.Revision <= b.newest.Load() {
			return
		}
		once.Lock()
		defer once.Unlock()
		set, err := snapshot.Empty().Apply(push.Delta)
		if err != nil {
			return
		}
		if _, taken := b.apply(set.Document(), set.Version().Revision); taken {
			b.tell(push)
		}
	}
	peers, err := transport.New(transport.Config{
		Bind: b.fleet.plan.address(b.index),
		Self: func() wire.Member {
			return wire.Member{Name: b.fleet.plan.name(b.index), Peer: b.fleet.plan.address(b.index)}
		},
		Network:     b.fleet.network.from(b.fleet.plan.zone(b.index)),
		Security:    transport.Security{Plain: true},
		Compression: transport.CompressionNone,
		Deliver:     deliver,
		Random:      rand.New(rand.NewPCG(uint64(b.index), 1)),
	})
	if err != nil {
		return err
	}
	b.peers.Store(peers)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return peers.Run(ctx) })
	if b.index == 0 {
		group.Go(func() error { b.readAndTell(ctx); return nil })
	}
	return group.Wait()
}

// total returns the bytes that the node has moved for control.
func (b *baselineNode) total() uint64 {
	total := b.bytes.Load()
	if peers := b.peers.Load(); peers != nil {
		total += peers.Counters().Bytes()
	}
	return total
}

// readAndTell reads the source by long polls and floods what is new.
func (b *baselineNode) readAndTell(ctx context.Context) {
	client := b.configuration()
	held := ""
	for ctx.Err() == nil {
		fetched, err := client.Fetch(ctx, held, sourceWait)
		if err != nil || fetched == nil {
			continue
		}
		held = fetched.ETag
		document, err := declaration.Parse(fetched.Raw)
		if err != nil {
			continue
		}
		if set, taken := b.apply(document, fetched.Revision); taken {
			b.tell(&wire.Push{Delta: snapshot.Diff(snapshot.Empty(), set)})
		}
	}
}

// tell sends a push to the next node, so that all are reached, and to some
// random others.
func (b *baselineNode) tell(push *wire.Push) {
	line, err := wire.Encode(wire.Envelope{From: b.fleet.plan.name(b.index), Push: push})
	if err != nil {
		return
	}
	peers := b.peers.Load()
	peers.SendEncoded(b.fleet.plan.address((b.index+1)%b.fleet.options.Nodes), line)
	for range floodFanout - 1 {
		peers.SendEncoded(b.fleet.plan.address(rand.N(b.fleet.options.Nodes)), line)
	}
}

// countingConn counts what passes a connection.
type countingConn struct {
	net.Conn
	count *atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	c.count.Add(uint64(read))
	return read, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	written, err := c.Conn.Write(data)
	c.count.Add(uint64(written))
	return written, err
}

// RunBaseline measures changes under a baseline: convergence, bytes and
// processor time.
func RunBaseline(ctx context.Context, kind Baseline, options Options, changes int) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	nodes, err := f.runBaseline(ctx, kind)
	if err != nil {
		return nil, err
	}
	result := &Result{Fields: map[string]any{"nodes": options.Nodes, "baseline": kind}}
	if err := f.await(ctx, startBound, "the first revision everywhere", func() bool { return f.everywhere(1) }); err != nil {
		return result, err
	}
	bytes := func() (sum uint64) {
		for _, node := range nodes {
			sum += node.total()
		}
		return sum
	}
	idleBytes, idleBegan := bytes(), time.Now()
	sleep.For(ctx, idleSpan)
	each := 1 / float64(options.Nodes)
	result.Fields["idle_bytes_per_node_per_second"] = round(float64(bytes()-idleBytes) * each / time.Since(idleBegan).Seconds())
	before, began := bytes(), time.Now()
	processor := processorTime()
	if err := f.change(ctx, changes, result); err != nil {
		return result, err
	}
	const percent = 100
	result.Fields["change_bytes_per_node_per_second"] = round(float64(bytes()-before) * each / time.Since(began).Seconds())
	result.Fields["change_cpu_percent_per_node"] = round((processorTime() - processor).Seconds() * percent * each / time.Since(began).Seconds())
	delete(result.Fields, "change_stream_bytes_per_node")
	cancel()
	return result, f.group.Wait()
}

// everywhere reports whether all nodes hold a revision or a newer one.
func (f *Fleet) everywhere(revision uint64) bool {
	names := make([]string, f.options.Nodes)
	for index := range names {
		names[index] = f.plan.name(index)
	}
	return f.recorder.at(revision, names) == len(names)
}

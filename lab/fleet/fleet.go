package fleet

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sliphead/internal/fault"
	"sliphead/internal/node"
	"sliphead/internal/settings"
	"sliphead/internal/sleep"
	"sliphead/internal/transport"
	"sliphead/lab/machines"
	"sliphead/lab/source"
)

// Fleet is a running fleet of hollow nodes with its platform.
type Fleet struct {
	options  Options
	plan     *plan
	network  *network
	source   *source.Service
	recorder *recorder
	changes  int

	mutex   sync.Mutex
	running map[int]*process
	retired transport.Counters // of processes that have ended
	group   errgroup.Group
}

// Options choose a fleet.
type Options struct {
	Nodes       int
	Octet       int // second octet of the first zone's loopback addresses
	Profile     settings.Profile
	Compression transport.Compression
	Patience    int  // multiplies the waits of the failure detector
	StartRate   int  // nodes started a second, 0 for all at once
	Services    int  // services that the nodes are spread over
	Claims      bool // whether nodes hold claims; each then keeps a stream to every other of its service for a while
	History     int  // former versions kept for deltas; 0 for none, negative for the default
}

// process is one life of a node.
type process struct {
	node   *node.Node
	cancel context.CancelFunc
	ended  chan struct{}
}

// streamIdle is less than the time between two changes: changes of a day's rate
// find no stream open, and all streams of a process share its descriptors.
const streamIdle = time.Second

// Start starts the platform and all nodes, at once or at a rate.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f, err := newFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	for index := range options.Nodes {
		if err := f.startNode(ctx, index); err != nil {
			return nil, err
		}
		if options.StartRate > 0 {
			sleep.For(ctx, time.Second/time.Duration(options.StartRate))
		}
	}
	return f, nil
}

// newFleet starts the platform of a fleet that has no nodes yet.
func newFleet(ctx context.Context, options Options) (*Fleet, error) {
	layout := &plan{nodes: options.Nodes, services: options.Services, octet: options.Octet, since: time.Now().Add(startTime)}
	f := &Fleet{
		options:  options,
		plan:     layout,
		network:  newNetwork(layout),
		source:   source.New(),
		recorder: newRecorder(),
		running:  make(map[int]*process),
	}
	list := machines.New(0, time.Now)
	list.Seed(layout.machines()...)
	if _, err := f.publish(); err != nil {
		return nil, err
	}
	for address, handler := range map[string]http.Handler{layout.platform(sourcePort): f.source, layout.platform(machinesPort): list} {
		if err := serve(ctx, address, handler); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// serve runs a stand-in until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fault.Wrap(err, fault.Settings, "end the other lab that uses this address, or give another --octet", "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// publish changes the declarations and returns the new revision.
func (f *Fleet) publish() (uint64, error) {
	f.changes++
	return f.source.Publish(f.plan.document(f.changes))
}

// startNode starts a process of a node that has none.
func (f *Fleet) startNode(ctx context.Context, index int) error {
	name := f.plan.name(index)
	started, err := node.New(f.plan.settings(index, f.options.Profile), node.Options{
		Network:       f.network.from(f.plan.zone(index)),
		Logger:        f.recorder.logger(name),
		Hollow:        true,
		Compression:   f.options.Compression,
		History:       f.options.History,
		Patience:      f.options.Patience,
		StreamIdle:    streamIdle,
		WithoutClaims: !f.options.Claims,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	life := &process{node: started, cancel: cancel, ended: make(chan struct{})}
	f.mutex.Lock()
	f.running[index] = life
	f.mutex.Unlock()
	f.group.Go(func() error {
		defer close(life.ended)
		return started.Run(ctx)
	})
	return nil
}

// kill ends a node's process without a word to its peers.
func (f *Fleet) kill(index int) {
	f.mutex.Lock()
	life := f.running[index]
	delete(f.running, index)
	f.mutex.Unlock()
	if life == nil {
		return
	}
	life.cancel()
	<-life.ended
	f.mutex.Lock()
	f.retired = plus(f.retired, life.node.Counters())
	f.mutex.Unlock()
}

// Stop ends all nodes and returns the first error that ended one early.
func (f *Fleet) Stop() error {
	for _, index := range f.liveIndexes() {
		f.kill(index)
	}
	return f.group.Wait()
}

// liveIndexes returns the nodes that run, in order.
func (f *Fleet) liveIndexes() []int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	indexes := make([]int, 0, len(f.running))
	for index := range f.running {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// liveNames returns the names of the nodes that run.
func (f *Fleet) liveNames() []string {
	var names []string
	for _, index := range f.liveIndexes() {
		names = append(names, f.plan.name(index))
	}
	return names
}

// counters sums what all processes have sent and received.
func (f *Fleet) counters() transport.Counters {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	total := f.retired
	for _, life := range f.running {
		total = plus(total, life.node.Counters())
	}
	return total
}

// agreed reports whether every live node is at a revision or beyond and sees
// just the live nodes as members.
func (f *Fleet) agreed(ctx context.Context, revision uint64) bool {
	names := f.liveNames()
	if f.recorder.at(revision, names) < len(names) {
		return false
	}
	f.mutex.Lock()
	lives := make([]*process, 0, len(f.running))
	for _, life := range f.running {
		lives = append(lives, life)
	}
	f.mutex.Unlock()
	for _, life := range lives {
		if status := life.node.Status(ctx); len(status.Members) != len(names) || !status.Status.Ready {
			return false
		}
	}
	return true
}

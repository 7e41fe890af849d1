// Package node assembles one sliphead process from its parts: the peer transport, the control
// loop, the readers of the platform, the claim keeper, the request listeners and the admin
// listener. It only connects these parts and makes no decisions of its own.
package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sliphead/internal/build"
	"sliphead/internal/claim"
	"sliphead/internal/control"
	"sliphead/internal/logging"
	"sliphead/internal/settings"
	"sliphead/internal/snapshot"
	"sliphead/internal/transport"
	"sliphead/internal/wire"
)

// controlTick is the interval at which the control loop checks its timers.
const controlTick = 50 * time.Millisecond

// Options are what the program sets besides the settings.
type Options struct {
	Logger   log.Interface
	Registry *prometheus.Registry // nil: the node creates one
	// DroppedLines returns the number of log lines that were dropped; nil: not available.
	DroppedLines func() uint64
	Build        build.Info // of the program, for the first line of the log
}

// logStarted logs the start of a node and what identifies its build.
func (o *Options) logStarted(node logging.Fields) {
	fields := o.Build.Fields()
	maps.Copy(fields, node)
	logging.Event(o.Logger, "node.started", fields)
}

// Node is one process of the system.
type Node struct {
	settings  *settings.Settings
	options   Options
	self      wire.Member
	holder    *snapshot.Holder
	transport *transport.Transport
	loop      *control.Loop
	keeper    *claim.Keeper
	source    *dutyReader
	requests  *requests
	stopping  chan struct{}
	stopOnce  sync.Once
}

// New assembles a node. It opens no socket.
func New(configured *settings.Settings, options Options) (*Node, error) {
	if options.Registry == nil {
		options.Registry = prometheus.NewRegistry()
	}
	n := &Node{
		settings: configured,
		options:  options,
		self:     selfMember(configured, time.Now()),
		holder:   &snapshot.Holder{},
		stopping: make(chan struct{}),
	}
	var err error
	n.transport, err = transport.New(n.transportConfig())
	if err != nil {
		return nil, err
	}
	n.keeper = claim.NewKeeper(n.claimConfig())
	n.loop = control.New(n.controlConfig())
	n.source = newDutyReader(configured, n.loop, options.Logger)
	options.Registry.MustRegister(n.controlCollector())
	n.requests, err = newRequests(n)
	return n, err
}

// selfMember returns this node's own member record. Its start time distinguishes it from an
// earlier process of the same name.
func selfMember(configured *settings.Settings, start time.Time) wire.Member {
	member := wire.Member{
		Name:    configured.Name,
		Zone:    configured.Zone,
		Region:  configured.Region,
		Service: configured.Service,
		Peer:    configured.Advertise.Peer,
		Start:   start.UnixMilli(),
		Status:  wire.StatusAlive,
	}
	if configured.Worker != nil {
		member.Worker = configured.Worker.Name
		member.Inbound = configured.Advertise.Inbound
		member.Endpoint = wire.EndpointStarting
	}
	return member
}

// Run serves until ctx ends or a planned stop has finished.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	n.options.logStarted(logging.Fields{"node": n.self.Name, "zone": n.self.Zone, "start": n.self.Start})
	group.Go(func() error { return n.transport.Run(ctx) })
	group.Go(func() error { return n.loop.Run(ctx) })
	group.Go(func() error { return n.keeper.Run(ctx) })
	group.Go(func() error { return n.source.run(ctx) })
	n.requests.start(ctx, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-n.stopping:
			n.stop(ctx)
			cancel()
		}
		return nil
	})
	return group.Wait()
}

// newRandom returns a random number generator with a seed that differs between processes.
func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

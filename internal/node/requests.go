package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"sliphead/internal/admin"
	"sliphead/internal/liveness"
	"sliphead/internal/logging"
	"sliphead/internal/traffic"
	"sliphead/internal/wire"
	"sliphead/internal/worker"
)

// requests holds the listeners that serve requests and operators.
type requests struct {
	node     *Node
	inbound  *traffic.Inbound // nil at an edge
	outbound *traffic.Outbound
	watcher  *worker.Watcher // nil at an edge
	states   chan wire.EndpointState
	security *tls.Config // towards callers, nil for plain HTTP
}

func newRequests(n *Node) (*requests, error) {
	r := &requests{node: n}
	config := n.trafficConfig()
	if n.settings.Worker != nil {
		r.states = make(chan wire.EndpointState, 1)
		r.watcher = r.newWatcher()
		config.Observe = r.observe
		r.inbound = traffic.NewInbound(config)
	}
	r.outbound = traffic.NewOutbound(config)
	if callers := n.settings.Callers; callers.CertificateFile != "" {
		certificates, err := traffic.LoadCertificates(callers.CertificateFile, callers.KeyFile, n.options.Logger)
		if err != nil {
			return nil, err
		}
		r.security = certificates.TLS()
	}
	return r, nil
}

// trafficConfig wires the request path to the published views and the keeper.
func (n *Node) trafficConfig() traffic.Config {
	config := traffic.Config{
		Node:       n.self.Name,
		Zone:       n.self.Zone,
		Region:     n.self.Region,
		Holder:     n.holder,
		Claims:     n.keeper,
		Worker:     n.self.Worker,
		Edge:       n.settings.Worker == nil,
		Registerer: n.options.Registry,
		Logger:     n.options.Logger,
		Dial:       dialFrom(n.settings.Listen.Peer),
		Calls:      traffic.NewCalls(),
		Limits: traffic.Limits{
			HeaderTimeout:  n.settings.Limits.HeaderTimeout.Duration,
			IdleTimeout:    n.settings.Limits.IdleTimeout.Duration,
			BodyTimeout:    n.settings.Limits.BodyIdleTimeout.Duration,
			MaxHeaderBytes: n.settings.Limits.MaxHeaderBytes,
			QueueLength:    n.settings.Limits.QueueLength,
		},
	}
	if n.settings.Worker != nil {
		config.WorkerAddress = n.settings.Worker.Address
	}
	return config
}

// newWatcher returns the watcher of the local worker.
func (r *requests) newWatcher() *worker.Watcher {
	beside := r.node.settings.Worker
	return worker.NewWatcher(worker.Config{
		Name:       beside.Name,
		URL:        "http://" + beside.Address + beside.HealthPath,
		Thresholds: worker.Thresholds{Interval: beside.HealthInterval.Duration},
		OnState:    r.reportState,
		Logger:     r.node.options.Logger,
	})
}

// reportState leaves the worker's newest state for passStates. It does not wait:
// a request may have brought the state about.
func (r *requests) reportState(state wire.EndpointState) {
	select {
	case <-r.states:
	default:
	}
	r.states <- state // the watcher calls one at a time, so there is room now
}

// passStates tells the control loop of the worker's states until ctx ends.
func (r *requests) passStates(ctx context.Context) {
	for {
		select {
		case state := <-r.states:
			r.node.loop.SetEndpoint(ctx, state)
		case <-ctx.Done():
			return
		}
	}
}

// observe tells the watcher what a request met at the local worker: that
// outweighs what health probes say.
func (r *requests) observe(succeeded bool) {
	observation := worker.TrafficFailed
	if succeeded {
		observation = worker.TrafficSucceeded
	}
	r.watcher.Observe(observation)
}

// dialFrom dials from the address that the node itself listens on, as a machine
// with several addresses needs.
func dialFrom(listen string) traffic.DialFunc {
	var local net.IP
	if bound, err := netip.ParseAddrPort(listen); err == nil {
		local = bound.Addr().AsSlice()
	}
	return liveness.Dialer(local, dialTimeout).DialContext
}

// dialTimeout bounds opening a connection for a request.
const dialTimeout = 2 * time.Second

// start serves until ctx ends.
func (r *requests) start(ctx context.Context, group *errgroup.Group) {
	listen := r.node.settings.Listen
	callers := r.listener("outbound", listen.Outbound, r.outbound)
	callers.safe, callers.security = r.outbound.MayRunAhead, r.security
	group.Go(func() error { return callers.serve(ctx) })
	operators := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: r.node.settings.Limits.HeaderTimeout.Duration}
	group.Go(func() error { return serveUntil(ctx, listen.Admin, operators, nil) })
	if r.inbound == nil {
		return
	}
	nodes := r.listener("inbound", listen.Inbound, r.inbound)
	group.Go(func() error { return nodes.serve(ctx) })
	group.Go(func() error {
		r.passStates(ctx)
		return nil
	})
	group.Go(func() error {
		r.watcher.Run(ctx)
		return nil
	})
}

func (r *requests) listener(side, address string, handler http.Handler) requestListener {
	return requestListener{
		side: side, address: address, handler: handler,
		limits: r.node.trafficConfig().Limits, connections: r.node.settings.Limits.MaxConnections, options: r.node.options,
	}
}

// adminHandler serves operators.
func (r *requests) adminHandler() http.Handler {
	n := r.node
	return admin.Handler(admin.Config{
		Ready:    n.ready,
		Status:   func() any { return n.Status(context.Background()) },
		Drain:    n.Stop,
		Registry: n.options.Registry,
		Logger:   n.options.Logger,
	})
}

// ready tells whether the node serves, and why not.
func (n *Node) ready() (bool, string) {
	select {
	case <-n.stopping:
		return false, "a planned stop is under way"
	default:
	}
	view, current := n.holder.Current(time.Now())
	if view == nil {
		return false, "no version is in force yet"
	}
	if !current {
		return false, "the view's lease has ended: peers have not confirmed the state yet"
	}
	return true, ""
}

// logFinished tells what a planned stop came to.
func (r *requests) logFinished(began time.Time, cut int) {
	logging.Event(r.node.options.Logger, "node.drained", logging.Fields{
		"took_ms": time.Since(began).Milliseconds(),
		"cut":     cut,
	})
}

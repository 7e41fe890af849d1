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

// requests holds the listeners for requests and for operators.
type requests struct {
	node     *Node
	inbound  *traffic.Inbound // nil at an edge
	outbound *traffic.Outbound
	watcher  *worker.Watcher // nil at an edge
	states   chan wire.EndpointState
	security *tls.Config // for callers' connections, nil for plain HTTP
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

// trafficConfig connects the request path to the published views and the claim keeper.
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
	configured := r.node.settings.Worker
	return worker.NewWatcher(worker.Config{
		Name:          configured.Name,
		URL:           "http://" + configured.Address + configured.HealthPath,
		Thresholds:    worker.Thresholds{Interval: configured.HealthInterval.Duration},
		OnStateChange: r.reportState,
		Logger:        r.node.options.Logger,
	})
}

// reportState stores the worker's newest state for forwardStates, in place of an older one
// that was not yet forwarded. It does not block, since a request may have caused the change.
func (r *requests) reportState(state wire.EndpointState) {
	select {
	case <-r.states:
	default:
	}
	r.states <- state // does not block: the watcher makes one call at a time
}

// forwardStates passes the worker's states to the control loop until ctx ends.
func (r *requests) forwardStates(ctx context.Context) {
	for {
		select {
		case state := <-r.states:
			r.node.loop.SetEndpoint(ctx, state)
		case <-ctx.Done():
			return
		}
	}
}

// observe reports the result of a request at the local worker to the watcher, which weighs it
// above health probes.
func (r *requests) observe(succeeded bool) {
	observation := worker.TrafficFailed
	if succeeded {
		observation = worker.TrafficSucceeded
	}
	r.watcher.Observe(observation)
}

// dialFrom returns a dialer that connects from the node's own listen address, which a machine
// with several addresses needs.
func dialFrom(listen string) traffic.DialFunc {
	var local net.IP
	if bound, err := netip.ParseAddrPort(listen); err == nil {
		local = bound.Addr().AsSlice()
	}
	return liveness.Dialer(local, dialTimeout).DialContext
}

// dialTimeout limits opening a connection for a request. Traffic also applies
// Limits.ConnectTimeout, which is shorter.
const dialTimeout = 2 * time.Second

// start serves until ctx ends.
func (r *requests) start(ctx context.Context, group *errgroup.Group) {
	listen := r.node.settings.Listen
	outboundListener := r.listener("outbound", listen.Outbound, r.outbound)
	outboundListener.safe, outboundListener.security = r.outbound.MayRunConcurrently, r.security
	group.Go(func() error { return outboundListener.serve(ctx) })
	adminServer := &http.Server{Handler: r.adminHandler(), ReadHeaderTimeout: r.node.settings.Limits.HeaderTimeout.Duration}
	group.Go(func() error { return serveUntil(ctx, listen.Admin, adminServer, nil) })
	if r.inbound == nil {
		return
	}
	inboundListener := r.listener("inbound", listen.Inbound, r.inbound)
	group.Go(func() error { return inboundListener.serve(ctx) })
	group.Go(func() error {
		r.forwardStates(ctx)
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
		limits: r.node.trafficConfig().Limits, maxConnections: r.node.settings.Limits.MaxConnections, options: r.node.options,
	}
}

// adminHandler returns the handler of the admin listener.
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

// ready reports whether the node can serve, with the reason when it can't.
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

// logFinished logs the end of a planned stop with the number of requests that were cut.
func (r *requests) logFinished(began time.Time, cut int) {
	logging.Event(r.node.options.Logger, "node.drained", logging.Fields{
		"took_ms": time.Since(began).Milliseconds(),
		"cut":     cut,
	})
}

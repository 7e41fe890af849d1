package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"sliphead/internal/admin"
	"sliphead/internal/catalog"
	"sliphead/internal/fault"
	"sliphead/internal/logging"
	"sliphead/internal/quarantine"
	"sliphead/internal/quarantine/keeper"
	"sliphead/internal/quota"
	quotakeeper "sliphead/internal/quota/keeper"
	"sliphead/internal/replication"
	"sliphead/internal/replicator"
	"sliphead/internal/settings"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic"
)

// Adapter translates between a catalog node and the platform's store, callers and workers.
type Adapter struct {
	// OpenStore returns a client of the store at host:port that connects from a local IP
	// address.
	OpenStore func(address, local string) replicator.Store
	Protocol  traffic.Protocol
}

// CatalogNode is one process of a mesh whose configuration and workers are recorded in a
// linearizable store. Replication replaces membership and distribution; there are no claims
// and no probes of the worker.
type CatalogNode struct {
	settings        *settings.Settings
	options         Options
	holder          *snapshot.Holder
	replicator      *replicator.Replicator
	quarantine      *keeper.Keeper
	quota           *quotakeeper.Keeper // nil: tenants have no limit
	inbound         *traffic.Inbound
	outbound        *traffic.Outbound
	itemProblems    *logging.Problems // items of the store that can't be used
	stopping        chan struct{}     // closed when a planned stop begins
	stop            func()            // begins a planned stop
	stopBegan       time.Time         // set before stopping is closed
	notReadyReplies atomic.Int32      // not-ready replies to readiness requests since the stop began
}

// unlimitedLease keeps views valid: replication tracks the age of the catalog, and requests
// continue to be served while the store is unavailable.
const unlimitedLease = 50 * 365 * 24 * time.Hour

// NewCatalog assembles a catalog node. It opens no socket.
func NewCatalog(configured *settings.Settings, adapter Adapter, options Options) (*CatalogNode, error) {
	if options.Registry == nil {
		options.Registry = prometheus.NewRegistry()
	}
	n := &CatalogNode{settings: configured, options: options, holder: &snapshot.Holder{}, stopping: make(chan struct{}), itemProblems: logging.NewProblems(options.Logger)}
	n.stop = sync.OnceFunc(n.beginStop)
	n.holder.Renew(time.Now().Add(unlimitedLease))
	peer, err := netip.ParseAddrPort(configured.Listen.Peer)
	if err != nil {
		return nil, fault.Wrap(err, fault.Settings, "set listen.peer to IP:port", "parse listen.peer")
	}
	address, port, _ := net.SplitHostPort(peer.String())
	n.replicator = replicator.New(replicator.Config{
		Address:   advertisedHost(configured, address),
		Port:      port,
		Listen:    address,
		Zone:      configured.Zone,
		Regions:   configured.Regions,
		Freshness: configured.Source.Freshness.Duration,
		Fast:      replication.FastLink(configured.Limits.LinkMbps, configured.Source.Freshness.Duration),
		Store:     adapter.OpenStore(configured.Source.Store, address),
		Problem:   n.logUnusableItem,
		Logger:    options.Logger,
		Changed:   n.publish,
		Retain:    n.retain,
		Received:  func(bytes int) { n.inbound.RecordReceived(int64(bytes)) },
	})
	n.quarantine = keeper.New(keeper.Config{Address: advertisedHost(configured, address), Listen: address, Port: port, Logger: options.Logger})
	if n.quota, err = newQuota(configured, options.Logger); err != nil {
		return nil, err
	}
	config := n.trafficConfig(adapter.Protocol)
	n.inbound = traffic.NewInbound(config)
	n.outbound = traffic.NewOutbound(config)
	n.outbound.UseLocal(n.inbound)
	options.Registry.MustRegister(catalogCollector{node: n})
	return n, nil
}

// Maximum sizes in bytes of the request and response bodies that a catalog node buffers whole.
const (
	maxBufferedRequest  = 4 << 20
	maxBufferedResponse = 256 << 10
)

// bodyTimeout is how long a worker's node waits for more of a request body that it has asked
// for, while the request holds a slot.
const bodyTimeout = 500 * time.Millisecond

func (n *CatalogNode) trafficConfig(protocol traffic.Protocol) traffic.Config {
	config := traffic.Config{
		Node:             n.settings.Name,
		Zone:             n.settings.Zone,
		Region:           n.settings.Region,
		Service:          n.settings.Service,
		Holder:           n.holder,
		Worker:           n.settings.Worker.Name,
		WorkerAddress:    n.settings.Worker.Address,
		Protocol:         protocol,
		Registerer:       n.options.Registry,
		Logger:           n.options.Logger,
		Dial:             dialFrom(n.settings.Listen.Peer),
		ObservePeer:      n.replicator.ReportSeen,
		Quarantine:       n.quarantine,
		ConfigurationAge: n.replicator.Age,
		Limits: traffic.Limits{
			SmallBody:      maxBufferedRequest,
			SmallResponse:  maxBufferedResponse,
			RetryRatio:     n.settings.Retry.Ratio,
			RetrySlack:     n.settings.Retry.Slack,
			ColdOverage:    n.settings.Cold.Overage,
			ColdSlack:      n.settings.Cold.Slack,
			HeaderTimeout:  n.settings.Limits.HeaderTimeout.Duration,
			IdleTimeout:    n.settings.Limits.IdleTimeout.Duration,
			BodyTimeout:    bodyTimeout,
			ConnectTimeout: connectTimeout,
			MaxHeaderBytes: n.settings.Limits.MaxHeaderBytes,
			QueueLength:    n.settings.Limits.QueueLength,
			LinkMbps:       n.settings.Limits.LinkMbps,
			KeysInForce:    n.settings.Source.Freshness.Duration,
			KeysFailClosed: n.settings.Tenants.FailClosedAfter.Duration,
			RegionBytes:    n.settings.Limits.RegionBytes,
		},
	}
	if n.quota != nil {
		config.Quotas = n.quota
	}
	return config
}

// connectTimeout limits opening a connection, so that time remains to try another node.
const connectTimeout = 250 * time.Millisecond

// publish builds a view from the catalog's state and activates it. lapses are the instances
// whose records were removed.
func (n *CatalogNode) publish(state *catalog.State, lapses []replication.Lapse) {
	n.updateHosts(state)
	_, port, _ := net.SplitHostPort(n.settings.Listen.Inbound)
	before, _ := n.holder.Current(time.Now())
	view := snapshot.FromCatalog(state, snapshot.CatalogInput{
		At:            time.Now(),
		WorkerAddress: n.settings.Worker.Address,
		InboundPort:   port,
		Regions:       n.settings.Regions,
		Lapsed:        n.lapsed(lapses),
		Zone:          n.settings.Zone,
		Previous:      before,
	})
	if view == nil {
		return
	}
	n.inbound.UpdateLocal(view.Local)
	n.holder.Store(view)
	if before != nil && before.Local.Instance != view.Local.Instance || view.Local.Draining || view.Local.Evacuated {
		n.inbound.LocalChanged()
	}
	n.logPublished(before, view, state.Revision())
}

// lapsedFraction is the fraction of drain.worker for which an instance may be sent requests
// after its record was removed although it had not announced that it leaves. A leaving worker
// may be sent requests for the whole of drain.worker.
const lapsedFraction = 0.75

// lapsed returns the deadlines until which instances whose records were removed may be sent
// requests.
func (n *CatalogNode) lapsed(lapses []replication.Lapse) []snapshot.LapsedInstance {
	var lapsed []snapshot.LapsedInstance
	for _, lapse := range lapses {
		until := lapse.Since.Add(time.Duration(lapsedFraction * float64(n.settings.Drain.Worker.Duration)))
		lapsed = append(lapsed, snapshot.LapsedInstance{Instance: lapse.Instance, AcceptedUntil: until})
	}
	return lapsed
}

// retain sets whether this node continues to serve a local worker whose record was removed.
func (n *CatalogNode) retain(retains bool) {
	n.inbound.Retain(retains)
	logging.Event(n.options.Logger, "worker.retained", logging.Fields{"retains": retains})
}

// logPublished logs a new version, a change of the evacuated zones and a change of the local
// worker.
func (n *CatalogNode) logPublished(before, view *snapshot.View, revision uint64) {
	if before == nil || before.Version != view.Version {
		logging.Event(n.options.Logger, "version.activated", logging.Fields{"version": view.Version.Revision, "revision": revision, "routes": len(view.Routes)})
	}
	if before == nil || !slices.Equal(before.Evacuated, view.Evacuated) {
		logging.Event(n.options.Logger, "zones.evacuated", logging.Fields{"zones": strings.Join(view.Evacuated, ","), "revision": revision})
	}
	if before == nil || before.Local != view.Local {
		logging.Event(n.options.Logger, "worker.recorded", logging.Fields{
			"instance": view.Local.Instance, "service": view.Local.Service, "draining": view.Local.Draining, "cold_ms": view.Local.ColdRemaining.Milliseconds(), "slots": view.Local.Slots, "revision": revision,
		})
	}
}

// logUnusableItem logs an item of the store that can't be used, once however often it is read.
// The last usable configuration stays in force; an unusable instance record adds no worker.
func (n *CatalogNode) logUnusableItem(err error) {
	n.itemProblems.Log("version.refused", err.Error(), err, nil)
}

// Run serves until ctx ends or a planned stop has finished.
func (n *CatalogNode) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	n.options.logStarted(logging.Fields{"node": n.settings.Name, "zone": n.settings.Zone, "service": n.settings.Service})
	group.Go(func() error { return n.replicator.Run(ctx) })
	group.Go(func() error { return n.quarantine.Run(ctx) })
	group.Go(func() error { return n.runQuota(ctx) })
	limits := n.trafficConfig(traffic.Protocol{}).Limits
	outboundListener := n.listener("outbound", n.settings.Listen.Outbound, n.outbound)
	outboundListener.safe, outboundListener.rejectClosing = n.outbound.MayRunConcurrently, n.outbound.RefuseOnClosing
	group.Go(func() error { return outboundListener.serve(ctx) })
	inboundListener := n.listener("inbound", n.settings.Listen.Inbound, n.inbound)
	group.Go(func() error { return inboundListener.serve(ctx) })
	adminServer := &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: limits.HeaderTimeout}
	group.Go(func() error { return serveUntil(ctx, n.settings.Listen.Admin, adminServer, nil) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-n.stopping:
			n.drain(ctx)
			cancel()
		}
		return nil
	})
	return group.Wait()
}

func (n *CatalogNode) listener(side, address string, handler http.Handler) requestListener {
	return requestListener{
		side: side, address: address, handler: handler,
		limits: n.trafficConfig(traffic.Protocol{}).Limits, maxConnections: n.settings.Limits.MaxConnections, options: n.options,
	}
}

func (n *CatalogNode) adminHandler() http.Handler {
	return admin.Handler(admin.Config{
		Ready:    n.handleReadiness,
		Status:   func() any { return n.Status(context.Background()) },
		Drain:    n.Stop,
		Release:  n.release,
		Registry: n.options.Registry,
		Logger:   n.options.Logger,
	})
}

// release lifts the quarantine of a request on all nodes and returns the state that it was in.
func (n *CatalogNode) release(text string) (string, error) {
	fingerprint, err := quarantine.ParseFingerprint(text)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return n.quarantine.Release(ctx, fingerprint, "operator").State.String(), nil
}

// CatalogStatus is the state of a catalog node that its admin listener reports to operators.
type CatalogStatus struct {
	Node        string              `json:"node"`
	Zone        string              `json:"zone"`
	Service     string              `json:"service"`
	Ready       bool                `json:"ready"`
	Reason      string              `json:"reason,omitempty"`
	Replication replicator.Status   `json:"replication"`
	Slots       int                 `json:"slotsInUse"`
	Queued      int                 `json:"queued"`
	InFlight    int                 `json:"inFlight"`
	Evacuated   []string            `json:"evacuated,omitempty"` // zones whose workers are sent no requests
	Quarantine  keeper.Status       `json:"quarantine"`
	Quota       *quota.Status       `json:"quota,omitempty"` // nil: tenants have no limit
	Off         []string            `json:"off"`             // parts that are not needed with a store
	Limit       traffic.WorkerLimit `json:"limit"`           // request rate limit announced by the local worker
}

// evacuated returns the zones whose workers are sent no requests.
func (n *CatalogNode) evacuated() []string {
	view, _ := n.holder.Current(time.Now())
	if view == nil {
		return nil
	}
	return view.Evacuated
}

// disabledParts returns the parts of a node that are not needed with a store.
func disabledParts() []string {
	return []string{"membership", "staging", "claims", "probes", "schedules", "peer encryption"}
}

// Status returns the current state.
func (n *CatalogNode) Status(ctx context.Context) CatalogStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	ready, reason := n.ready()
	return CatalogStatus{
		Node: n.settings.Name, Zone: n.settings.Zone, Service: n.settings.Service,
		Ready: ready, Reason: reason,
		Replication: n.replicator.Status(ctx),
		Slots:       n.inbound.Busy(), Queued: n.inbound.Queued(), InFlight: n.InFlight(),
		Quarantine: n.quarantine.Status(), Quota: n.quotaStatus(ctx),
		Off: disabledParts(), Evacuated: n.evacuated(), Limit: n.inbound.Limit(),
	}
}

// ready reports whether the node can serve, with the reason when it can't.
func (n *CatalogNode) ready() (bool, string) {
	select {
	case <-n.stopping:
		return false, "a planned stop is under way"
	default:
	}
	if view, _ := n.holder.Current(time.Now()); view == nil {
		return false, "no configuration is known yet: neither the store nor a peer has answered"
	}
	return true, ""
}

// InFlight returns the number of requests in flight.
func (n *CatalogNode) InFlight() int { return n.inbound.InFlight() + n.outbound.InFlight() }

// Stop begins a planned stop and returns at once.
func (n *CatalogNode) Stop() { n.stop() }

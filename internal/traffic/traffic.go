// Package traffic carries requests from a caller through the outbound handler of the caller's
// node and the inbound handler of the worker's node to the worker, and the response back. Each
// handler is a pipeline of filters, one per file: classify, deadline, admit, claim, choose,
// forward, outcome. The package only reads the published snapshot; it writes no control state.
//
// Each request ends in exactly one outcome (package outcome). Trailers and protocol upgrades
// are not forwarded.
package traffic

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"sliphead/internal/claim"
	"sliphead/internal/defaults"
	"sliphead/internal/liveness"
	"sliphead/internal/snapshot"
)

// Claimer ensures that a request with an idempotency key runs at most once.
type Claimer interface {
	// Claim requests the key; body is a digest of the request.
	Claim(ctx context.Context, service, key, body string) claim.Decision
	// Finish reports that the run of the holder has ended, with its response if it is stored
	// for replay.
	Finish(service, key, holder string, answer []byte)
	// Release reports that the holder's request was not run.
	Release(service, key, holder string)
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config holds the settings and collaborators of a handler. Holder is required.
type Config struct {
	Node, Zone, Region string
	Holder             *snapshot.Holder
	// Claims guards idempotency keys. While it is nil, the inbound handler refuses requests
	// that carry a key and must not run twice.
	Claims        Claimer
	Worker        string // name of the local worker
	WorkerAddress string // host:port of the local worker
	// WorkerEchoes states that the worker's responses carry the Sliphead-Request-Id or
	// Sliphead-Attempt that it received. A response without them is then refused, because only
	// they identify a late response to an earlier request on the same connection.
	WorkerEchoes bool
	Edge         bool // whether callers are outside the mesh: their internal headers are removed
	// Protocol names the headers of callers and workers; the zero value stands for sliphead's
	// own. With any other protocol, views come from a catalog.
	Protocol Protocol
	// Service is the service of the local worker. It is sent as the calling service to the
	// workers that the local worker and the callers on its machine reach.
	Service string
	// ObservePeer receives the IP address of each node that sent a request.
	ObservePeer func(address string)
	Limits      Limits
	Registerer  prometheus.Registerer // nil: metrics are collected but not registered
	Logger      log.Interface         // nil: log.Log
	Dial        DialFunc              // nil: net.Dialer
	Random      rand.Source           // nil: seeded from the clock
	// Observe receives the result of each request at the local worker: true for a complete
	// response, false for a failure caused by the worker. It must not block.
	Observe func(succeeded bool)
	// Quarantine identifies requests that crash workers; nil: no request is quarantined.
	Quarantine Quarantine
	// ConfigurationAge returns the time since the configuration in force was last confirmed to be
	// the newest; nil: it is always current. It must not block.
	ConfigurationAge func() time.Duration
	// Quotas enforces the limits of tenants; nil: tenants have no limits.
	Quotas Quotas
	// Calls connects the inbound and the outbound handler of one node; see Calls.
	Calls *Calls
}

// Limits bounds a handler's resources and waiting times. Zero fields take defaults.
type Limits struct {
	SmallBody      int64         // request bodies of known length up to this many bytes are buffered and may be sent again
	SmallResponse  int64         // responses of known length up to this many bytes are buffered before they are forwarded
	StoredResponse int64         // responses up to this many bytes are stored for replay under an idempotency key
	MaxDepth       int           // levels of the call tree
	Slots          int           // requests that the local worker runs at once, if it declares none
	Connections    int           // connections to the local worker, if it declares none
	QueueLength    int           // maximum number of requests that wait for a slot
	KeysInForce    time.Duration // time within which a change of the API keys takes effect: with older data a node cannot tell that a key is unknown; 0: it always can
	KeysFailClosed time.Duration // age of the key data beyond which requests that need a key are rejected; 0: never
	RetryRatio     float64       // retries per request of this node, on average
	RetryBurst     float64       // retries that may accumulate
	RetryBudget    int           // retries of one call tree, in thousandths
	RetrySlack     int           // with a catalog: arrivals beyond the first that the whole mesh may add per window, in addition to RetryRatio
	ColdOverage    float64       // multiple of the declared rate that a cold worker may be sent; 0: 1
	ColdSlack      float64       // requests that a cold worker may be sent beyond that within any second
	IdlePerNode    int           // idle connections retained per node
	ConnectTimeout time.Duration // to open a connection
	HeaderTimeout  time.Duration // to read a request's header
	IdleTimeout    time.Duration // between requests on a connection
	BodyTimeout    time.Duration // between two reads of a request body
	MaxHeaderBytes int
	RegionBytes    float64 // cost of a byte that leaves the region, relative to one that leaves the zone; 0: 1
	LinkMbps       float64 // capacity of the machine's link in megabits per second; 0: unknown, and bodies are not paced
}

// Default limits.
const (
	defaultSmall          = 64 << 10
	defaultStoredResponse = 16 << 10
	defaultMaxDepth       = 32
	defaultSlots          = 6
	defaultConnections    = 130
	defaultQueueLength    = 128
	defaultRetryRatio     = 0.1
	defaultRetryBurst     = 10
	defaultRetryBudget    = 2000
	defaultRetrySlack     = 64
	defaultIdlePerNode    = 32
	defaultConnectTimeout = time.Second
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultBodyTimeout    = 30 * time.Second
	defaultMaxHeaderBytes = 32 << 10
)

// withDefaults fills the zero fields.
func (l Limits) withDefaults() Limits {
	defaults.Set(&l.SmallBody, defaultSmall)
	defaults.Set(&l.SmallResponse, defaultSmall)
	defaults.Set(&l.StoredResponse, defaultStoredResponse)
	defaults.Set(&l.MaxDepth, defaultMaxDepth)
	defaults.Set(&l.Slots, defaultSlots)
	defaults.Set(&l.Connections, defaultConnections)
	defaults.Set(&l.QueueLength, defaultQueueLength)
	defaults.Set(&l.RetryRatio, defaultRetryRatio)
	defaults.Set(&l.RetryBurst, defaultRetryBurst)
	defaults.Set(&l.RetryBudget, defaultRetryBudget)
	defaults.Set(&l.RetrySlack, defaultRetrySlack)
	defaults.Set(&l.IdlePerNode, defaultIdlePerNode)
	defaults.Set(&l.ConnectTimeout, defaultConnectTimeout)
	defaults.Set(&l.HeaderTimeout, defaultHeaderTimeout)
	defaults.Set(&l.IdleTimeout, defaultIdleTimeout)
	defaults.Set(&l.BodyTimeout, defaultBodyTimeout)
	defaults.Set(&l.MaxHeaderBytes, defaultMaxHeaderBytes)
	return l
}

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	c.Limits = c.Limits.withDefaults()
	if c.Logger == nil {
		c.Logger = log.Log
	}
	if c.Dial == nil {
		c.Dial = liveness.Dialer(nil, c.Limits.ConnectTimeout).DialContext
	}
	if c.Random == nil {
		c.Random = rand.NewPCG(uint64(time.Now().UnixNano()), 0)
	}
	c.Dial = sealedDial(c.Dial, c.Limits.ConnectTimeout)
	c.Random = &lockedSource{source: c.Random}
	if c.Calls == nil {
		c.Calls = NewCalls()
	}
	return c
}

// lockedSource lets several goroutines use one random source.
type lockedSource struct {
	mutex  sync.Mutex
	source rand.Source
}

// Uint64 implements rand.Source.
func (l *lockedSource) Uint64() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.source.Uint64()
}

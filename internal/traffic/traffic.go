// Package traffic carries requests: from a caller through the outbound handler
// of the caller's node and the inbound handler of the worker's node to the
// worker, and the answer back. Each handler is a pipe of filters, one a file:
// classify, deadline, admit, claim, choose, forward, outcome. Traffic only
// reads the published snapshot; it writes no control state.
//
// Each request ends in exactly one outcome (package outcome). Trailers and
// protocol upgrades are not passed on.
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

// Claimer lets a request with an idempotency key run at most once.
type Claimer interface {
	// Claim asks for the key; body is a digest of the request.
	Claim(ctx context.Context, service, key, body string) claim.Decision
	// Finish tells that the holder's run has ended, with its answer if kept.
	Finish(service, key, holder string, answer []byte)
	// Release tells that the holder's request was not run after all.
	Release(service, key, holder string)
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config is what a handler needs. Holder is required.
type Config struct {
	Node, Zone, Region string
	Holder             *snapshot.Holder
	// Claims guards idempotency keys. While it is nil, the inbound handler
	// refuses requests that may not be repeated and carry a key.
	Claims        Claimer
	Worker        string // name of the local worker
	WorkerAddress string // host:port of the local worker
	// WorkerEchoes tells that the worker answers with the Sliphead-Request-Id
	// or Sliphead-Attempt that it was sent. Then an answer without is refused:
	// only so can an answer that comes late on a connection be told apart.
	WorkerEchoes bool
	Edge         bool // whether callers are outside the mesh: their internal headers are stripped
	// Protocol names the headers of callers and workers, the zero one for
	// sliphead's own. With another one, views come from a catalog.
	Protocol Protocol
	// Service is the service of the local worker, told to the workers that its
	// calls and its machine's callers reach.
	Service string
	// Seen is told the IP address of each node that a request came from.
	Seen       func(address string)
	Limits     Limits
	Registerer prometheus.Registerer // nil: metrics are kept but not registered
	Logger     log.Interface         // nil: log.Log
	Dial       DialFunc              // nil: net.Dialer
	Random     rand.Source           // nil: seeded from the clock
	// Observe is told what requests met at the local worker: true for a whole
	// answer, false for none that was the worker's doing. It must not block.
	Observe func(succeeded bool)
	// Quarantine knows the requests that end workers; nil: none is kept from them.
	Quarantine Quarantine
	// KnowledgeAge tells how long ago the configuration in force was last known to be the
	// newest; nil: it always is. It must not wait.
	KnowledgeAge func() time.Duration
	// Quotas holds tenants to their limits; nil: they have none.
	Quotas Quotas
	// Calls joins the inbound and the outbound handler of one node; see Calls.
	Calls *Calls
}

// Limits bound what a handler holds and waits for. Zero fields take defaults.
type Limits struct {
	SmallBody      int64         // request bodies of known length up to this many bytes are read whole and may be sent again
	SmallAnswer    int64         // answers of known length up to this many bytes are read whole before they are passed on
	KeptAnswer     int64         // answers up to this many bytes are kept for replay under an idempotency key
	MaxDepth       int           // levels of the call tree
	Slots          int           // requests that the local worker runs at once, unless declared
	Connections    int           // connections to the local worker, unless declared
	QueueLength    int           // requests that wait for a slot at most
	KeysInForce    time.Duration // within which a change of the keys is in force: knowledge that is older does not tell which are unknown; 0: any does
	KeysFailClosed time.Duration // age of the knowledge beyond which no request that needs a key is let in; 0: none
	RetryRatio     float64       // retries per request of this node, over time
	RetryBurst     float64       // retries that may be saved up
	RetryBudget    int           // retries of one call tree, in thousandths
	RetrySlack     int           // with a catalog: arrivals beyond the first that the whole mesh may add within a window, beside RetryRatio
	ColdOverage    float64       // times the declared rate that a cold worker may be sent; 0: once
	ColdSlack      float64       // requests beside, within any second
	IdlePerNode    int           // idle connections kept to each node
	ConnectTimeout time.Duration // to open a connection
	HeaderTimeout  time.Duration // to read a request's header
	IdleTimeout    time.Duration // between requests on a connection
	BodyTimeout    time.Duration // between two reads of a request body
	MaxHeaderBytes int
	RegionBytes    float64 // price of a byte that leaves the region, in parts of one that leaves the zone; 0: once
	LinkMbps       float64 // what the machine's link carries, in megabits a second; 0: not known, and bodies are not paced
}

// Default limits.
const (
	defaultSmall          = 64 << 10
	defaultKeptAnswer     = 16 << 10
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
	defaults.Set(&l.SmallAnswer, defaultSmall)
	defaults.Set(&l.KeptAnswer, defaultKeptAnswer)
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

// lockedSource lets several goroutines draw from one source.
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

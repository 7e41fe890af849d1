package traffic

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/traffic/balance"
)

// Outbound handles requests from callers or from the local worker and chooses an endpoint for
// each. It is safe for concurrent use.
type Outbound struct {
	config    Config
	inFlight  *inFlightTracker
	random    *rand.Rand
	pool      *pool
	transport *http.Transport // for requests that the pool cannot carry
	chooser   *chooser
	retries   *retryBucket
	metrics   *metrics
	handle    stage

	// With a catalog.
	local          *Inbound // inbound handler of the same node, nil if there is none
	weights        *weights
	budget         *serviceBudget
	retrySchedules *retrySchedules
	nested         *nestedCalls
	recentFailures *recentFailures
	ackDelays      *ackDelays
	reports        *workerReports
	offers         offerBounds
	hopBytes       *hopBytes
	bodyMemory     *bodyMemory
	stopSchedule   atomic.Pointer[stopSchedule] // nil until the node stops
	nodeContext    context.Context              // ends when the node does
	cancelNode     context.CancelFunc
}

// UseLocal lets the handler reach the local worker without a connection between nodes. It
// must be called before the first request.
func (out *Outbound) UseLocal(local *Inbound) {
	out.local = local
	local.charge = func(service string, arrivals float64) {
		out.budget.charge(service, out.nodes(), arrivals, time.Now())
	}
}

// nodes returns the number of nodes of the mesh according to the catalog, at least 1.
func (out *Outbound) nodes() int {
	view, _ := out.config.Holder.Current(time.Now())
	if view == nil {
		return 1
	}
	return max(1, view.Nodes)
}

// NewOutbound returns the handler of the outbound listener.
func NewOutbound(config Config) *Outbound {
	config = config.withDefaults()
	out := &Outbound{config: config, inFlight: newInFlightTracker(), random: rand.New(config.Random)}
	out.pool = newPool(config.Dial, math.MaxInt, config.Limits.IdlePerNode)
	out.transport = newTransport(config.Dial, 0, config.Limits.IdlePerNode)
	settings := balance.DefaultSettings(config.Zone, config.Region)
	settings.LinkMbps = config.Limits.LinkMbps
	settings.RemoteByteFactor = config.Limits.RegionBytes
	out.chooser = &chooser{balancer: balance.New(settings, rand.New(config.Random)), logger: config.Logger}
	out.retries = newRetryBucket(config.Limits)
	out.weights = newWeights(rand.New(config.Random))
	out.budget = newServiceBudget(config.Limits)
	out.retrySchedules = newRetrySchedules()
	out.nested = newNestedCalls()
	out.recentFailures = newRecentFailures()
	out.ackDelays = newAckDelays()
	out.reports = newWorkerReports()
	out.offers = boundOffers(config.Limits.LinkMbps)
	out.hopBytes = newHopBytes(config.Registerer)
	out.bodyMemory = newBodyMemory(maxBodyMemory, maxClientBodyMemory)
	out.metrics = newMetrics(config, "outbound", gauges{inFlight: out.inFlight.count, bodyBytes: out.bodyMemory.bytes})
	out.nodeContext, out.cancelNode = context.WithCancel(context.Background())
	out.handle = pipe(out.choose, out.classify, limitDepth(config.Limits.MaxDepth), applyDeadline, readBody(&out.config.Limits))
	if !config.Protocol.isNative() {
		out.handle = pipe(out.dispatch, out.classifyCatalog, out.authenticate, applyDeadline, out.refuseBeyondStop, out.readWholeBody, out.recordBody, out.refuseQuarantined, out.enforceQuota)
	}
	return out
}

// ServeHTTP implements http.Handler.
func (out *Outbound) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	x := out.begin(writer, request)
	if !out.inFlight.begin() {
		out.metrics.conclude(x, refuse(causeDraining, time.Second, "send it again through another node"))
		return
	}
	defer out.inFlight.end()
	if out.local != nil {
		x.responseBuffer = out.local.responseMemory.reservation("")
		defer x.responseBuffer.release()
	}
	ended := out.handle(x)
	if ended.outcome != outcome.Answered {
		out.config.Calls.fail(x.id)
	}
	out.metrics.conclude(x, ended)
}

// begin reads the request's context from its headers. An edge accepts only the request id.
func (out *Outbound) begin(writer http.ResponseWriter, request *http.Request) *exchange {
	x := &exchange{
		writer:        writer,
		request:       request,
		context:       request.Context(),
		started:       time.Now(),
		id:            get(request.Header, outcome.RequestID),
		budget:        out.config.Limits.RetryBudget,
		smallResponse: out.config.Limits.SmallResponse,
	}
	if !out.config.Protocol.isNative() {
		out.beginCatalog(x)
		return x
	}
	if !validID(x.id) {
		x.id = out.newID()
	}
	if out.config.Edge {
		delete(request.Header, outcome.Deadline)
		return x
	}
	x.budget = min(x.budget, number(request.Header, outcome.RetryBudget, x.budget))
	x.depth = number(request.Header, outcome.Depth, -1) + 1
	return x
}

// newID returns a random id that is unique in practice.
func (out *Outbound) newID() string {
	const base = 36
	return strconv.FormatUint(out.random.Uint64(), base) + strconv.FormatUint(out.random.Uint64(), base)
}

// newAttempt returns a short id for one attempt, which only has to differ from that of the
// previous request on the same connection.
func (out *Outbound) newAttempt() string {
	const base = 36
	return strconv.FormatUint(uint64(out.random.Uint32()), base)
}

// Drain refuses new requests as not run from now on. The outbound handler must drain after the
// inbound one has finished, because the worker may need it until then.
func (out *Outbound) Drain() { out.inFlight.drain() }

// InFlight returns the number of requests that have not ended.
func (out *Outbound) InFlight() int { return out.inFlight.count() }

// Wait returns when the handler drains and all requests have ended, or with an error when ctx
// ends.
func (out *Outbound) Wait(ctx context.Context) error { return out.inFlight.wait(ctx) }

// classify finds the route.
func (out *Outbound) classify(next stage) stage {
	return func(x *exchange) result {
		if fix := out.config.Protocol.malformed(x.request); fix != "" {
			return reject(http.StatusBadRequest, causeMalformed, fix)
		}
		view, current := out.config.Holder.Current(x.started)
		if !current {
			return refuse(causeLease, time.Second, "send it again, this node has no confirmed configuration")
		}
		x.view = view
		x.route = view.Match(hostOf(x.request), x.request.URL, x.request.Method)
		if x.route == nil {
			return reject(http.StatusNotFound, causeRoute, "check host, path and method, no route is declared for them")
		}
		return next(x)
	}
}

// beginCatalog reads the request's context when callers use headers of their own.
func (out *Outbound) beginCatalog(x *exchange) {
	protocol := &out.config.Protocol
	x.id = get(x.request.Header, protocol.RequestID)
	protocol.acceptCaller(x.request.Header)
	x.caller = out.config.Service
	x.concurrentBody = true
	x.protocol = protocol
}

// classifyCatalog finds the route in a view that comes from a catalog.
func (out *Outbound) classifyCatalog(next stage) stage {
	return func(x *exchange) result {
		if fix := out.config.Protocol.malformed(x.request); fix != "" {
			return reject(http.StatusBadRequest, causeMalformed, fix)
		}
		if !out.config.Protocol.validRequestID(x.id) {
			return reject(http.StatusBadRequest, causeMalformed, "name the request by a short id in "+out.config.Protocol.RequestID)
		}
		view, current := out.config.Holder.Current(x.started)
		if !current {
			return refuseUnconfigured()
		}
		x.view = view
		x.route = view.Match(hostOf(x.request), x.request.URL, x.request.Method)
		if x.route == nil {
			return reject(http.StatusNotFound, causeRoute, "check host and path, no route is declared for them")
		}
		x.class = class{rank: x.route.Rank, repeatable: x.route.Repeatable, objective: x.route.Objective}
		return next(x)
	}
}

// missingDataRetryAfter is the Retry-After of a request that this node lacks the data to serve.
// Other nodes and the store deliver the data in about that time.
const missingDataRetryAfter = 200 * time.Millisecond

// refuseUnconfigured returns the refusal of a node that has no configuration yet.
func refuseUnconfigured() result {
	refused := refuse(causeLease, 0, "send it again, this node has no configuration yet")
	refused.retryAfter = missingDataRetryAfter
	return refused
}

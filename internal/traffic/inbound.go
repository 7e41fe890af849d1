package traffic

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// Inbound forwards requests from other nodes to the local worker. It is safe for concurrent use.
type Inbound struct {
	config           Config
	requests         *inFlightTracker
	responseMemory   *bodyMemory // for responses of the worker without a length
	admitter         *admitter
	worker           *workerLink
	metrics          *metrics
	capacityView     atomic.Pointer[snapshot.View] // view that slots and connections were last taken from
	handle           stage
	disownedInstance atomic.Pointer[string] // the last instance that the worker denied being, by 421 Misdirected Request
	leaveNotice      atomic.Pointer[leaveNotice]
	runs             *workerRuns
	nested           *nestedCalls
	charge           func(service string, arrivals float64) // deducts arrivals from the retry budget of the same node's outbound handler; nil: there is none
	retains          atomic.Bool                            // whether requests are still accepted for a worker whose catalog record was removed
}

// NewInbound returns the handler of the inbound listener. Zero fields of the configuration
// take their defaults; Holder is required.
func NewInbound(config Config) *Inbound {
	config = config.withDefaults()
	in := &Inbound{config: config, requests: newInFlightTracker(), responseMemory: newBodyMemory(maxUnframedMemory, maxUnframedMemory)}
	in.admitter = newAdmitter(config.Service, config.Limits)
	in.worker = newWorkerLink(config)
	in.runs = newWorkerRuns()
	in.nested = newNestedCalls()
	in.metrics = newMetrics(config, "inbound", gauges{inFlight: in.requests.count, queued: in.admitter.waiting, bodyBytes: in.responseMemory.bytes})
	in.registerLimit()
	in.handle = pipe(in.forward, in.classify, limitDepth(config.Limits.MaxDepth), applyDeadline, readBody(&in.config.Limits), in.admitter.admit, in.claim)
	if !config.Protocol.isNative() {
		in.handle = pipe(in.forward, in.classify, applyDeadline, readDirectBody(&in.config.Limits), in.checkColdCapacity, in.paceBody, in.admitter.admit, in.stillLocal, in.takeColdCapacity, readBody(&in.config.Limits), in.stillLocal, in.refuseQuarantined)
	}
	return in
}

// serveLocal runs a request that the outbound handler of the same node passes on directly.
func (in *Inbound) serveLocal(x *exchange) result {
	if !in.requests.begin() {
		return refuse(causeDraining, time.Second, "send it again, another worker will take it")
	}
	defer in.requests.end()
	x.load = func() balance.Load { return in.admitter.load(x) }
	x.wholeUnframed = true
	if refused := in.checkLocal(x); refused != nil {
		return *refused
	}
	ended := in.checkColdCapacity(in.admitter.admit(in.stillLocal(in.takeColdCapacity(in.refuseQuarantined(in.forward)))))(x)
	in.metrics.count(x, ended)
	return ended
}

// ServeHTTP implements http.Handler.
func (in *Inbound) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	x := &exchange{
		writer:         writer,
		request:        request,
		context:        request.Context(),
		started:        time.Now(),
		id:             get(request.Header, outcome.RequestID),
		attempt:        get(request.Header, attemptHeader),
		budget:         number(request.Header, outcome.RetryBudget, 0),
		depth:          number(request.Header, outcome.Depth, 0),
		smallResponse:  in.config.Limits.SmallResponse,
		hasAlternative: hasHeader(request.Header, alternativeHeader),
		bodyAwaited:    request.Header.Get("Expect") != "",

		concurrentBody: !in.config.Protocol.isNative(),
		wholeUnframed:  !in.config.Protocol.isNative(),
	}
	x.load = func() balance.Load { return in.admitter.load(x) }
	if !in.config.Protocol.isNative() {
		in.beginCatalog(x)
	}
	if in.config.ObservePeer != nil {
		in.config.ObservePeer(remoteHost(request))
	}
	if !in.requests.begin() {
		in.metrics.conclude(x, refuse(causeDraining, time.Second, "send it again, another worker will take it"))
		return
	}
	defer in.requests.end()
	x.responseBuffer = in.responseMemory.reservation("")
	defer x.responseBuffer.release()
	in.metrics.conclude(x, in.handle(x))
}

// Drain makes the handler refuse all new requests with outcome not-run. Requests in flight
// continue.
func (in *Inbound) Drain() { in.requests.drain() }

// Busy returns the number of requests that occupy a slot of the worker.
func (in *Inbound) Busy() int { return in.admitter.busy() }

// Queued returns the number of requests that are queued for a slot.
func (in *Inbound) Queued() int { return in.admitter.waiting() }

// InFlight returns the number of requests that have not completed.
func (in *Inbound) InFlight() int { return in.requests.count() }

// Wait blocks until the handler is draining and all requests have completed. It returns the
// error of ctx if that ends first.
func (in *Inbound) Wait(ctx context.Context) error { return in.requests.wait(ctx) }

// classify looks up the route that the caller's node selected and checks that the
// local worker serves it.
func (in *Inbound) classify(next stage) stage {
	return func(x *exchange) result {
		if fix := in.config.Protocol.malformed(x.request); fix != "" {
			return reject(http.StatusBadRequest, causeMalformed, fix)
		}
		if !in.config.Protocol.validRequestID(x.id) || !validID(x.attempt) {
			return reject(http.StatusBadRequest, causeMalformed, "send requests through a node's outbound listener")
		}
		view, current := in.config.Holder.Current(x.started)
		if !current {
			return refuse(causeLease, time.Second, "send it again, this node has no confirmed configuration")
		}
		if !in.config.Protocol.isNative() {
			return in.classifyCatalog(x, view, next)
		}
		route := view.Route(get(x.request.Header, outcome.Route))
		if route == nil || !route.LocalAllowed {
			return refuse(causeNotLocal, time.Second, "send it again, the worker of this node does not take this route now")
		}
		x.view = view
		x.route = route
		in.adoptCapacity(view)
		return next(x)
	}
}

// workerFields returns the header fields added to the request sent to the worker.
func (in *Inbound) workerFields(x *exchange) []field {
	if in.config.Protocol.isNative() {
		return append(x.contextFields(), field{attemptHeader, x.attempt})
	}
	return in.config.Protocol.workerFields(x)
}

// forward sends the request to the worker and records the result.
func (in *Inbound) forward(x *exchange) result {
	fields := in.workerFields(x)
	if x.route.Credential != "" {
		fields = append(fields, field{"Authorization", "Bearer " + x.route.Credential})
	}
	in.config.Calls.begin(x.id)
	in.countRun(x)
	began := time.Now()
	x.sent = began
	in.admitter.recordSent(began)
	direct, transport := in.worker.connections()
	to := hop{pool: direct, transport: transport, address: in.config.WorkerAddress, fields: fields, protocol: &in.config.Protocol}
	got, failure := send(x, &to, func(response *http.Response) *result { return in.checkWorker(x, response) })
	callFailed := in.config.Calls.end(x.id)
	in.recordColdness(failure)
	in.recordRejection(failure)
	if failure == nil {
		in.markNestedFailure(x, got, began)
	}
	ended := result{outcome: outcome.Answered, cause: causeNone, answer: got}
	switch {
	case failure != nil:
		ended = *failure
		ended.final = callFailed
	case got.isWhole:
		ended.status = got.response.StatusCode
	default:
		ended = got.pass(x)
	}
	in.recordRun(x, &ended)
	if !callFailed {
		in.observe(x, ended.cause)
	}
	return ended
}

// observe reports the success or failure of a request to the worker's health observer.
// Refusals, expired deadlines and disconnected callers are not reported, since they are no
// evidence about the worker.
func (in *Inbound) observe(x *exchange, ending cause) {
	if in.config.Observe == nil || x.request.Context().Err() != nil || x.context.Err() != nil {
		return
	}
	switch ending {
	case causeNone:
		in.config.Observe(true)
	case causeConnect, causeBroken, causeForeign, causeUnframed:
		in.config.Observe(false)
	}
}

// checkWorker rejects a worker's response that belongs to another request, and recognizes
// the worker's own refusal: status 503, outcome not-run and the attempt's id. Without the
// attempt's id the response may be one that the worker copied from another service.
func (in *Inbound) checkWorker(x *exchange, response *http.Response) *result {
	if !in.config.Protocol.isNative() {
		return in.checkCatalogWorker(x, response)
	}
	echoed := get(response.Header, attemptHeader)
	named := get(response.Header, outcome.RequestID)
	missing := in.config.WorkerEchoes && echoed == "" && named == ""
	other := echoed != "" && echoed != x.attempt || named != "" && named != x.id
	if missing || other || response.StatusCode == http.StatusSwitchingProtocols {
		return foreign()
	}
	reported := outcome.Outcome(get(response.Header, outcome.Header))
	if response.StatusCode == http.StatusServiceUnavailable && reported == outcome.NotRun && echoed != "" {
		shed := refuse(causeRefused, time.Duration(number(response.Header, "Retry-After", 1))*time.Second, "send it again later, the worker sheds load")
		return &shed
	}
	return nil
}

package traffic

import (
	"net/http"
	"strconv"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// offer sends the request to an endpoint's node, which may be this node.
func (out *Outbound) offer(x *exchange, endpoint snapshot.Endpoint) (*answer, balance.Observation, *result) {
	if endpoint.Local && out.local != nil {
		return out.offerLocal(x, endpoint)
	}
	request := hopRequest{attempt: out.newAttempt(), instance: endpoint.Worker, caller: x.caller, route: x.route.Name, class: x.remainingClass(), hasAlternative: x.hasAlternative, rerouteTime: x.rerouteTime, tenant: x.tenant, repeated: x.repeated}
	observed := balance.Observation{}
	began := time.Now()
	callFailed := false
	check := func(response *http.Response) *result {
		reply := decodeHopReply(get(response.Header, hopHeader))
		if reply.attempt != request.attempt {
			return foreign()
		}
		observed.Load, observed.HasLoad = reply.load, reply.hasLoad
		out.nested.recordInternal(x.route.Name, reply.internal, time.Now())
		callFailed = reply.callFailed
		return reply.refusal(response)
	}
	to := out.hopTo(x, endpoint, &request)
	to.onAck = observeRoundTrip(&observed, to.onAck)
	got, failure := send(x, to, check)
	if failure == nil {
		observed.Latency = time.Since(began)
		observed.Kilobytes = got.kilobytes()
		got.callFailed = callFailed
		out.recordReport(endpoint.Worker, got, began)
		return got, observed, nil
	}
	if failure.cause == causeLeaving {
		out.reports.recordLeaving(endpoint.Worker)
	}
	if failure.cause == causeUnresponsive {
		out.ackDelays.observe(endpoint.Address, 2*to.ackTimeout) // the real delay is longer but is not measured
	}
	observed.Failed = countsAgainstCatalogEndpoint(failure, observed)
	observed.Rejected = failure.outcome == outcome.NotRun && !failure.reachedWorker && observed.HasLoad && observed.Load.Busy >= observed.Load.Slots
	observed.Unreachable = failure.cause == causeConnect || failure.cause == causeUnresponsive
	return nil, observed, failure
}

// hopTo returns the hop to an endpoint's node, with the headers for that node.
func (out *Outbound) hopTo(x *exchange, endpoint snapshot.Endpoint, request *hopRequest) *hop {
	to := &hop{
		pool: out.pool, transport: out.transport, address: endpoint.Address,
		fields: []field{
			{hopHeader, request.encode()},
			{out.config.Protocol.Deadline, strconv.FormatInt(x.millisecondsLeft(), 10)},
		},
		expectStreamed: true,
		expectBuffered: x.bodyAwaitsContinue(),
		ackTimeout:     x.ackTimeout(out.ackDelays.typical(endpoint.Address)),
		onAck:          out.observeAck(endpoint.Address, x.onAck),
		onBytes:        out.hopBytes.recorder(out.distanceLabel(endpoint)),
	}
	if limit, known := out.reports.limitOf(endpoint.Worker, time.Now()); known {
		to.fields = append(to.fields, field{limitHeader, limit.String()})
	}
	if !to.expectBuffered {
		to.waitsForDeadline = out.stopping // a worker may be running it: abandoning the attempt would interrupt it
		to.onAckTimeout = x.onAckTimeout
	}
	return to
}

// observeAck returns a callback for the acknowledgements of a node from now on: it records the
// delay of the first one and calls passOn for each.
func (out *Outbound) observeAck(address string, passOn func(time.Duration)) func(time.Duration) {
	began := time.Now()
	acked := false
	return func(took time.Duration) {
		if !acked {
			out.ackDelays.observe(address, time.Since(began))
		}
		acked = true
		if passOn != nil {
			passOn(took)
		}
	}
}

// observeRoundTrip returns a callback for the acknowledgements of a node: it stores the delay
// of the first one as the round-trip time and calls passOn for each.
func observeRoundTrip(observed *balance.Observation, passOn func(time.Duration)) func(time.Duration) {
	return func(took time.Duration) {
		if observed.RoundTrip == 0 {
			observed.RoundTrip = took
		}
		passOn(took)
	}
}

// offerLocal runs the request at the local worker.
func (out *Outbound) offerLocal(x *exchange, endpoint snapshot.Endpoint) (*answer, balance.Observation, *result) {
	inner := *x
	inner.attempt = ""
	inner.instance = endpoint.Worker
	inner.class = x.remainingClass()
	inner.granted = nil
	ended := out.local.serveLocal(&inner)
	load := out.local.admitter.load(&inner)
	observed := balance.Observation{Load: load, HasLoad: true}
	switch {
	case ended.answer != nil:
		out.recordReport(endpoint.Worker, ended.answer, inner.sent)
		observed.Kilobytes = ended.answer.kilobytes()
		return ended.answer, observed, nil
	case ended.sent:
		return nil, observed, &ended
	}
	if ended.cause == causeLeaving {
		out.reports.recordLeaving(endpoint.Worker)
	}
	ended.retryAfter = load.Wait + load.PausedFor
	observed.Rejected = ended.cause == causeQueue || ended.cause == causeFull
	observed.Failed = countsAgainstCatalogEndpoint(&ended, observed)
	return nil, observed, &ended
}

// countsAgainstCatalogEndpoint is countsAgainstEndpoint for a catalog's mesh, whose nodes refuse
// requests for more causes.
func countsAgainstCatalogEndpoint(failure *result, observed balance.Observation) bool {
	if failure.rejected {
		return false // its node reports its rejections in the load
	}
	switch failure.cause {
	case causeCallerGone, causeFull, causeQueue, causeDeadline, causeNested, causeCold, causeLeaving, causeLimit, causeRegion, causeQuarantine, causeKey, causeStaleKeys:
		return false
	case causeRefused:
		return !observed.HasLoad || observed.Load.Busy < observed.Load.Slots && observed.Load.PausedFor == 0
	default:
		return true
	}
}

// remainingClass returns how the worker's node is to treat the request from now on: its class
// with the rest of the latency objective.
func (x *exchange) remainingClass() class {
	current := x.class
	if current.objective > 0 {
		current.objective = max(time.Millisecond, current.objective-time.Since(x.started))
	}
	return current
}

// bodyAwaitsContinue reports whether the body is sent only after the node has requested it with 100
// Continue. A missing acknowledgement then proves that the request has not run.
func (x *exchange) bodyAwaitsContinue() bool {
	return x.body.stream != nil || x.body.length > 0 && (!x.route.Repeatable || x.body.length > directBody)
}

// roundTrips returns the number of round trips to a node until the response arrives.
func (x *exchange) roundTrips() int {
	if x.bodyAwaitsContinue() {
		return 2
	}
	return 1
}

// ackTimeout returns the time within which a node must acknowledge the request before it is
// abandoned or another attempt is started: longer than the round trip and than the typical
// delay of the node, while time remains for another node.
func (x *exchange) ackTimeout(typical time.Duration) time.Duration {
	left := time.Until(x.deadline)
	limit := min(max(left/ackTimeoutDivisor, minAckTimeout), maxAckTimeout)
	remote := min(limit+x.roundTrip, left/remoteAckDivisor)
	if x.roundTrip > 0 && !x.roundTripMeasured {
		remote = min(maxAckTimeout, left/remoteAckDivisor) // a shorter timeout would prevent measuring a node at that distance
	}
	return max(limit, remote, min(typical, left/typicalAckDivisor))
}

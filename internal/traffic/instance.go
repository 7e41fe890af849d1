package traffic

import (
	"net"
	"net/http"
	"time"

	"sliphead/internal/clock"
	"sliphead/internal/declaration"
	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
)

// classifyCatalog checks a request for the local worker when views come from a catalog. The
// caller's node names the instance that is to run the request and how to treat it, because its
// view may be newer than this node's.
func (in *Inbound) classifyCatalog(x *exchange, view *snapshot.View, next stage) result {
	x.view = view
	if refused := in.checkLocal(x); refused != nil {
		return *refused
	}
	return next(x)
}

// beginCatalog reads the hop header of the caller's node. Without a valid one the exchange
// has no attempt and is refused.
func (in *Inbound) beginCatalog(x *exchange) {
	protocol := &in.config.Protocol
	x.id = get(x.request.Header, protocol.RequestID)
	x.fromNode = true
	x.expectsAck = true
	received, ok := decodeHopRequest(get(x.request.Header, hopHeader))
	if !ok {
		return
	}
	x.attempt = received.attempt
	x.instance = received.instance
	x.caller = received.caller
	x.tenant = received.tenant
	x.class = received.class
	x.hasAlternative = received.hasAlternative
	x.rerouteTime = received.rerouteTime
	x.repeated = received.repeated
	x.limitReported = parseReportedLimit(x.request.Header[limitHeader])
	x.route = routeOf(received.route, received.class)
	x.request.Header[outcome.Deadline] = x.request.Header[protocol.Deadline]
}

// routeOf returns the part of a route that a worker's node needs. The deadline is the one that
// the caller's node sends.
func routeOf(name string, received class) *snapshot.Route {
	return &snapshot.Route{
		Route: declaration.Route{Name: name, Repeatable: received.repeatable, DeadlineMS: maxDeadline.Milliseconds()},
		Rank:  received.rank,
	}
}

// maxDeadline bounds the deadline that a caller's node may send.
const maxDeadline = time.Hour

// checkLocal refuses a request for an instance that is not the local worker, that is draining,
// or whose zone is evacuated.
func (in *Inbound) checkLocal(x *exchange) *result {
	local := x.view.Local
	switch in.leaveStateOf(x.instance) {
	case certainlyLeaving:
		refused := refuse(causeLeaving, 0, "send it to another worker, this one leaves")
		return &refused
	case maybeLeaving:
		refused := refuse(causeNotLocal, time.Second, "send it again, the worker of this node may be leaving")
		return &refused
	}
	if local.Instance != x.instance || local.Draining || local.Evacuated || in.lapsed(local) || in.misdirected(x.instance) {
		refused := refuse(causeNotLocal, time.Second, "send it again, the worker of this node does not take it now")
		return &refused
	}
	x.tenant = x.tenant.asOf(x.view)
	route := x.view.Route(x.route.Name)
	if !allowedRegionsOf(x.view, route, x.tenant.name).includes(in.config.Region) {
		refused := refuse(causeRegion, time.Second, "send it again, its route or its tenant does not allow the region of this worker")
		return &refused
	}
	if x.tenant.withdrawnBy(x.view) {
		if refused := in.config.dropTenant(x, route); refused != nil {
			return refused
		}
	}
	in.adjustTo(local)
	return nil
}

// lapsed reports whether the worker's record was removed for good, as far as this node has
// observed. A worker without a record is sent requests for as long as a draining one, and
// beyond that while this node retains it.
func (in *Inbound) lapsed(local snapshot.Local) bool {
	return local.Lapsed && clock.Now().After(local.AcceptedUntil) && !in.retains.Load()
}

// Retain sets whether this node continues to serve a worker whose record was removed. It is
// safe for concurrent use.
func (in *Inbound) Retain(retains bool) {
	in.retains.Store(retains)
	if !retains {
		in.LocalChanged()
	}
}

// misdirected reports whether the worker has responded that it is another instance. Instance
// ids are never reused, so this stays true.
func (in *Inbound) misdirected(instance string) bool {
	disowned := in.disownedInstance.Load()
	return disowned != nil && *disowned == instance
}

// stillLocal refuses a request whose instance has been replaced or has begun to drain while
// the request waited.
func (in *Inbound) stillLocal(next stage) stage {
	return func(x *exchange) result {
		if view, _ := in.config.Holder.Current(time.Now()); view != nil {
			x.view = view
		}
		if refused := in.checkLocal(x); refused != nil {
			return *refused
		}
		return next(x)
	}
}

// LocalChanged must be called when the view of the local worker changes. Requests that wait
// for a worker that has left are refused immediately, so that another worker can run them in time.
// It is safe for concurrent use.
func (in *Inbound) LocalChanged() { in.admitter.clear() }

// adjustTo applies the worker's slots and connections from the catalog.
func (in *Inbound) adjustTo(local snapshot.Local) {
	if local.Slots > 0 {
		in.admitter.resize(local.Slots)
	}
	if local.Connections > 0 {
		in.worker.setMaxConnections(local.Connections)
	}
}

// checkCatalogWorker rejects a response that does not come from the worker or belongs to another
// request, when callers and workers use headers of their own.
func (in *Inbound) checkCatalogWorker(x *exchange, response *http.Response) *result {
	protocol := &in.config.Protocol
	if id := get(response.Header, protocol.RequestID); id != "" && id != x.id {
		return foreign()
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		in.disownedInstance.Store(&x.instance)
	}
	if protocol.workerRefused(response) {
		refused := refuse(causeShed, time.Second, "send it again later, the worker does not take it")
		refused.reachedWorker = true
		refused.rejected = response.StatusCode != http.StatusMisdirectedRequest
		if refused.rejected {
			in.recordReport(x, response)
		}
		return &refused
	}
	success := response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices
	unsigned := get(response.Header, protocol.Signature) == "" || get(response.Header, protocol.RequestID) == ""
	if response.StatusCode == http.StatusSwitchingProtocols || success && unsigned {
		return foreign()
	}
	if !unsigned {
		in.recordReport(x, response)
	}
	if impliesNotRun(response.StatusCode) {
		return ambiguous()
	}
	return nil
}

// ambiguous is the failure of an attempt whose response has a status that callers take as the
// promise that the request has not run, while the worker itself does not state that.
func ambiguous() *result {
	failure := unknown(http.StatusBadGateway, causeAmbiguous, "check whether it ran before sending it again, the worker's answer does not say")
	return &failure
}

// remoteHost returns the IP address that a request came from.
func remoteHost(request *http.Request) string {
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	return host
}

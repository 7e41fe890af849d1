package traffic

import (
	"context"
	"net/http"
	"strings"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/quarantine"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
	"sliphead/internal/traffic/workerlimit"
)

// exchange is one request on its way through the filters.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	context context.Context // ends when the caller disconnects and at the deadline
	started time.Time
	view    *snapshot.View
	route   *snapshot.Route

	id            string // request id, the same on all levels of the call tree
	attempt       string // id of this attempt of the caller's node; set by inbound
	deadline      time.Time
	callerTimeout time.Duration // time that the caller allows, regardless of the route; 0: none given
	budget        int           // retries left, in thousandths
	depth         int           // level in the call tree, from 0
	body          body

	// With a catalog.
	closeConnection   bool                     // whether the caller's connection is closed after the response
	offers            int                      // nodes to which it was offered
	attempts          int                      // workers to which it was sent
	onAck             func(took time.Duration) // called at each acknowledgement of the next hop, with the time since the request was sent; may be nil
	onAckTimeout      func()                   // called instead of abandoning an unresponsive node; nil: the node is abandoned
	instance          string                   // id of the instance that is to run the request
	tenant            credential
	configurationAge  time.Duration // age of this node's configuration, where it decided whether a caller is accepted; 0: it did not
	caller            string        // service of the node that received the request from its caller
	class             class
	internal          bool                   // whether its route is called only by runs of other services, as far as this node has observed
	sent              time.Time              // when it was sent to the local worker
	callFailed        bool                   // whether calls of the local worker failed while it ran the request
	repeated          bool                   // whether a worker has received it before
	limitReported     workerlimit.Advertised // limit of the worker, as the caller's node last received it
	madeByLocalRun    bool                   // whether a run of the local worker makes it, as far as this node has observed
	lastAttempt       bool                   // whether nobody sends it again if it is refused
	trialOwner        string                 // only instance that may run it while it is on trial in the quarantine; "": any
	protocol          *Protocol              // of the callers; nil: sliphead's own
	fromNode          bool                   // whether it came from another node of a catalog's mesh
	hasAlternative    bool                   // whether the caller's node has another endpoint that seems to be free
	roundTrip         time.Duration          // round-trip time to the node that it is offered to
	roundTripMeasured bool                   // whether roundTrip was measured rather than assumed
	rerouteTime       time.Duration          // with hasAlternative: time to reach that endpoint; a request that expects a shorter wait for a slot is queued
	bodyAwaited       bool                   // whether the body has not been requested from the sender yet
	expectsAck        bool                   // whether the caller's node waits for an acknowledgement that the request has arrived

	wholeUnframed  bool                // whether a response without a length is accepted if its connection was closed without an error
	responseBuffer *bodyReservation    // memory for such a response; nil: none may be buffered
	concurrentBody bool                // whether a long buffered body is written while the response is read
	smallResponse  int64               // responses up to this many bytes are buffered
	load           func() balance.Load // the local worker's load; nil at outbound
	granted        chan struct{}       // closed when the wait for a slot is decided
}

// result states how a request ended. A result that was not forwarded yet becomes the final
// response.
type result struct {
	outcome       outcome.Outcome
	status        int
	cause         cause
	remedy        string
	reason        error // why the connection broke or what arrived is no response, for the log; nil: neither
	retryAfter    time.Duration
	sent          bool    // whether the header of the response was forwarded
	cut           bool    // whether the connection has to be cut because the forwarded response is incomplete
	final         bool    // whether a lower level of the call tree has already spent its retries
	reachedWorker bool    // whether it reached a worker, which then refused it
	rejected      bool    // whether the worker that it was meant for refused it while accepting others
	crashedBefore bool    // whether an earlier worker also crashed while running the request
	answer        *answer // a complete response that is still to be forwarded
}

// quarantineRequest returns the content that identifies all copies of the request. A streamed
// body is left out; with a catalog, bodies are buffered.
func (x *exchange) quarantineRequest() *quarantine.Request {
	return &quarantine.Request{Method: x.request.Method, Host: strings.ToLower(hostOf(x.request)), Target: x.request.URL.RequestURI(), Body: x.body.whole}
}

// fingerprint returns the fingerprint that all copies of the request share.
func (x *exchange) fingerprint() quarantine.Fingerprint { return x.quarantineRequest().Fingerprint() }

// cause is the bounded metric label under which results are counted.
type cause string

// Causes of results other than a complete response.
const (
	causeNone         cause = "none"
	causeDraining     cause = "draining"
	causeLease        cause = "lease"
	causeRoute        cause = "route"
	causeMalformed    cause = "malformed"
	causeDepth        cause = "depth"
	causeDeadline     cause = "deadline"
	causeEndpoints    cause = "endpoints"
	causeNotLocal     cause = "not-local"
	causeQueue        cause = "queue"
	causeFull         cause = "full"
	causeNested       cause = "nested"
	causeClaim        cause = "claim"
	causeConnect      cause = "connect"
	causeRefused      cause = "refused"
	causeBroken       cause = "broken"
	causeForeign      cause = "foreign"
	causeUnframed     cause = "unframed"
	causeAmbiguous    cause = "ambiguous" // the worker's status implies that the request has not run, but the worker does not state it
	causeCallerGone   cause = "caller-gone"
	causeUnresponsive cause = "silent"
	causeLimits       cause = "limits"
	causeShed         cause = "shed"
	causeCold         cause = "cold"       // the worker is cold and already receives its maximum rate
	causeLeaving      cause = "leaving"    // the worker has announced that it drains
	causeLimit        cause = "limit"      // the worker has reported a limit and already receives that rate
	causeRegion       cause = "region"     // no worker in the regions that the route and the tenant allow
	causeKey          cause = "key"        // the caller gave no valid key of a tenant
	causeStaleKeys    cause = "stale-keys" // this node has no recent data on which keys are in force
	causeQuota        cause = "quota"      // the tenant has used up its quota
	causeQuarantine   cause = "quarantine" // workers crashed while running this request; it is sent to none
)

// stage handles an exchange; filter puts a step in front of a stage.
type (
	stage  func(*exchange) result
	filter func(next stage) stage
)

// pipe chains filters, first to last, in front of the final stage.
func pipe(last stage, filters ...filter) stage {
	joined := last
	for index := len(filters) - 1; index >= 0; index-- {
		joined = filters[index](joined)
	}
	return joined
}

// refuse returns the result of a request that did not run and may be sent again after
// retryAfter, which is at least one second.
func refuse(why cause, retryAfter time.Duration, remedy string) result {
	return result{
		outcome:    outcome.NotRun,
		status:     http.StatusServiceUnavailable,
		cause:      why,
		remedy:     remedy,
		retryAfter: max(retryAfter, time.Second),
	}
}

// reject returns the result of a request that did not run and would fail again if sent
// unchanged.
func reject(status int, why cause, remedy string) result {
	return result{outcome: outcome.NotRun, status: status, cause: why, remedy: remedy}
}

// unknown returns the result of a request that may have run.
func unknown(status int, why cause, remedy string) result {
	return result{outcome: outcome.Unknown, status: status, cause: why, remedy: remedy}
}

package traffic

import (
	"net/http"
	"time"

	"sliphead/internal/outcome"
	"sliphead/internal/snapshot"
	"sliphead/internal/traffic/balance"
)

// Bounds for dispatching one request in a catalog's mesh. The divisors apply to the time left
// until the deadline.
const (
	minRetryAfter     = 20 * time.Millisecond
	maxRetryAfter     = time.Second
	retryAfterDivisor = 3 // the maximum Retry-After, within the two bounds above
	minAckTimeout     = 80 * time.Millisecond
	maxAckTimeout     = 300 * time.Millisecond // of a near node
	ackTimeoutDivisor = 6                      // the acknowledgement timeout of a near node, within the two bounds above
	typicalAckDivisor = 3                      // the maximum for a node whose acknowledgements typically take long
	remoteAckDivisor  = 2                      // the maximum for a remote node: the other half remains for a near node
)

// dispatch sends a request to a worker when views come from a catalog: it offers the request
// to nodes until one accepts it. An offer that a node refuses costs nothing; a request that a
// worker has received is sent again only within the route's attempts and the retry budget.
func (out *Outbound) dispatch(x *exchange) result {
	x.lastAttempt = out.isLastAttempt(x)
	d := dispatch{out: out, x: x, finished: make(chan *pendingAttempt, maxOffers), last: refuse(causeEndpoints, 0, "send it again later, no worker takes this route now")}
	defer d.close()
	ended := d.offerToTarget()
	out.recordEnd(x, d.service, &ended)
	return ended
}

// offerToTarget offers the request to the endpoints of the route's next target, and ends it if
// none accepts it.
func (d *dispatch) offerToTarget() result {
	if target, found := d.target(); found {
		if ended, done := d.offerToEndpoints(target); done {
			return ended
		}
	}
	return d.finish()
}

// dispatch is the state of the offers of one request.
type dispatch struct {
	out             *Outbound
	x               *exchange
	last            result
	failedAnswer    *answer // error response of a worker, forwarded if no other worker does better
	mayHaveRun      bool
	service         string // to which it was last offered
	attempts        int    // workers that the request was sent to
	offers          int
	crossZoneOffers int                  // offers to other zones
	fullRefusals    int                  // offers that were refused because the worker was full
	rejected        bool                 // whether the latest attempt was rejected by a worker with free slots
	shortestWait    time.Duration        // shortest wait reported by a refusing node; 0: none
	pending         []*pendingAttempt    // attempts that have not ended
	finished        chan *pendingAttempt // attempts that have ended
}

// offerToEndpoints offers the request to the endpoints of one service. It reports whether the
// request has ended.
func (d *dispatch) offerToEndpoints(target snapshot.Target) (result, bool) {
	d.out.budget.deposit(target.Service, d.out.nodes(), time.Now())
	d.service = target.Service
	need := d.need()
	endpoints := d.out.reports.withoutLeaving(d.inAllowedRegions(d.trialEndpoints(d.x.view.EndpointsOf(target))))
	var excluded []int
	// An upload of which an earlier attempt has read a part is not offered again.
	for d.offers < d.out.offers.total && d.x.context.Err() == nil && d.x.body.reclaim() {
		need.Rejected, need.StayInZone = d.fullRefusals > 0, d.crossZoneOffers >= d.out.offers.crossZone
		choice := d.out.chooser.cheapest(need, endpoints, excluded)
		if choice.Index < 0 {
			d.recordWait(choice.ResumesAfter)
			return result{}, false
		}
		excluded = append(excluded, choice.Index)
		d.x.class.waitsForDeadline = choice.LateHere
		if ended, done := d.try(target, endpoints[choice.Index], choice.HasAlternative); done {
			return ended, true
		}
	}
	return result{}, false
}

// inAllowedRegions returns the endpoints in the regions that the route and the tenant allow.
func (d *dispatch) inAllowedRegions(endpoints []snapshot.Endpoint) []snapshot.Endpoint {
	regions := allowedRegionsOf(d.x.view, d.x.route, d.x.tenant.name)
	if regions.unrestricted() {
		return endpoints
	}
	var inside []snapshot.Endpoint
	for _, endpoint := range endpoints {
		if regions.includes(endpoint.Region) {
			inside = append(inside, endpoint)
		}
	}
	if len(inside) == 0 {
		d.last = refuse(causeRegion, 0, "send it again later, no worker in the regions that its route and its tenant allow takes it now")
	}
	return inside
}

// headerBytes is the approximate size of the headers of a request between nodes, and of those
// of a response.
const headerBytes = 400

// need returns what the request requires of an endpoint.
func (d *dispatch) need() balance.Need {
	const kilo = 1000
	return balance.Need{
		Route:        d.x.route.Name,
		Objective:    max(time.Millisecond, d.x.route.Objective-time.Since(d.x.started)),
		Deadline:     time.Until(d.x.deadline),
		Kilobytes:    float64(d.x.body.length+headerBytes) / kilo,
		RoundTrips:   d.x.roundTrips(),
		Urgency:      d.x.class.urgency(),
		FinalAttempt: d.x.class.callerRetried,
	}
}

// try makes one offer; hasAlternative states that another endpoint seems to be free. It reports
// whether the request has ended.
func (d *dispatch) try(target snapshot.Target, endpoint snapshot.Endpoint, hasAlternative bool) (result, bool) {
	if refused := d.out.recheckCaller(d.x); refused != nil {
		d.out.chooser.release(endpoint)
		d.last = *refused
		return d.finish(), true
	}
	if d.attempts > 0 && !d.out.budget.take(target.Service, d.out.nodes(), d.x.lastAttempt, time.Now()) {
		d.out.chooser.release(endpoint)
		return d.finish(), true
	}
	d.offers++
	d.x.repeated = d.attempts > 0
	if endpoint.Zone != d.out.config.Zone {
		d.crossZoneOffers++
	}
	d.x.offers, d.x.instance = d.offers, endpoint.Worker
	d.x.hasAlternative = hasAlternative && d.offers < d.out.offers.total
	d.x.roundTrip, d.x.roundTripMeasured = d.out.chooser.roundTrip(endpoint)
	d.x.rerouteTime = d.out.ackDelays.rerouteTime() + d.x.roundTrip
	if !endpoint.Local && !d.x.bodyAwaitsContinue() {
		return d.tryHedged(target, endpoint)
	}
	got, observed, failure := d.out.offer(d.x, endpoint)
	return d.conclude(target, endpoint, got, observed, failure)
}

// conclude decides what follows an attempt. It reports whether the request has ended.
func (d *dispatch) conclude(target snapshot.Target, endpoint snapshot.Endpoint, got *answer, observed balance.Observation, failure *result) (result, bool) {
	observed.Urgency = d.x.class.urgency()
	d.out.chooser.record(d.x, endpoint, observed)
	if observed.Rejected {
		d.fullRefusals++
	}
	d.rejected = isRejection(failure, observed.Load)
	if d.attempts > 0 && failure != nil && failure.outcome == outcome.NotRun && !failure.reachedWorker {
		d.out.budget.refund(target.Service, d.out.nodes(), time.Now())
	}
	if failure == nil {
		return d.accept(got)
	}
	if endpoint.Lapsed && failure.outcome == outcome.NotRun && !failure.reachedWorker && failure.cause != causeCallerGone {
		return result{}, false // its node reports that the worker was removed: the offer does not count
	}
	ended, done := d.handleFailure(failure)
	d.x.attempts = d.attempts
	if !done {
		d.logRetry(failure)
	}
	return ended, done
}

// accept forwards a response. An error response of a worker is retained while another worker
// may do better.
func (d *dispatch) accept(got *answer) (result, bool) {
	d.attempts++
	failed := got.isWhole && got.response.StatusCode >= http.StatusInternalServerError
	if failed && !got.callFailed && d.mayRepeat() {
		d.failedAnswer = got
		d.mayHaveRun = true
		return result{}, false
	}
	d.x.callFailed = got.callFailed
	d.out.retrySchedules.recordAnswered(d.service, time.Now())
	return got.pass(d.x), true
}

// handleFailure decides whether another offer may follow a failed one. It reports whether the
// request has ended.
func (d *dispatch) handleFailure(failure *result) (result, bool) {
	d.last = *failure
	if failure.sent {
		return *failure, true
	}
	if failure.outcome == outcome.NotRun {
		d.recordWait(failure.retryAfter)
		if failure.reachedWorker {
			d.attempts++
		}
		if failure.reachedWorker && d.attempts >= d.x.route.MaxAttempts || failure.cause == causeCallerGone || failure.cause == causeQuarantine || failure.cause == causeKey {
			return d.finish(), true
		}
		return result{}, false
	}
	d.attempts++
	d.mayHaveRun = true
	if d.mayRepeat() && !failure.crashedBefore {
		return result{}, false
	}
	return d.finish(), true
}

// mayRepeat reports whether a request that may have run may run again.
func (d *dispatch) mayRepeat() bool {
	return d.attempts < d.x.route.MaxAttempts && d.x.context.Err() == nil && d.x.request.Context().Err() == nil && d.out.isRepeatable(d.x)
}

func (d *dispatch) recordWait(wait time.Duration) {
	if wait > 0 && (d.shortestWait == 0 || wait < d.shortestWait) {
		d.shortestWait = wait
	}
}

// finish returns the final result of a request without a good response. It may write to the
// caller, so it is called once, at the end.
func (d *dispatch) finish() result {
	if late := d.awaitPending(); late != nil {
		return late.pass(d.x)
	}
	if d.failedAnswer != nil {
		return d.failedAnswer.pass(d.x)
	}
	ended := combinedResult(d.last, d.mayHaveRun)
	if ended.outcome != outcome.NotRun {
		return ended
	}
	switch ended.cause {
	case causeCallerGone:
	case causeLimits:
		return ended
	case causeKey:
		return rejectKey()
	case causeStaleKeys:
		return ended
	default:
		ended.status = http.StatusServiceUnavailable
	}
	ended.retryAfter = d.retryDelay(time.Now())
	if ended.cause == causeQuarantine {
		ended.retryAfter = max(ended.retryAfter, d.out.heldFor(d.x))
	}
	return ended
}

// retryDelay returns the delay after which the caller of the refused request is to retry:
// behind other refused requests, but while enough time is left to serve it. After a rejection
// by a worker with free slots it is the minimum, since there is no overload that a retry would
// increase.
func (d *dispatch) retryDelay(now time.Time) time.Duration {
	if d.rejected {
		return minRetryAfter
	}
	maxDelay := min(max(minRetryAfter, d.x.deadline.Sub(now)/retryAfterDivisor), maxRetryAfter)
	return d.out.retrySchedules.retryDelay(d.service, d.x.class.tenantPriority, min(max(d.shortestWait, minRetryAfter), maxDelay), maxDelay, now)
}

// release reverts a choice to which no request was sent.
func (c *chooser) release(endpoint snapshot.Endpoint) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.balancer.Release(time.Now(), endpoint)
}

// cheapest chooses an endpoint.
func (c *chooser) cheapest(need balance.Need, endpoints []snapshot.Endpoint, excluded []int) balance.Choice {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.balancer.Cheapest(time.Now(), need, endpoints, excluded)
}

// roundTrip returns the round-trip time to an endpoint, and whether it was measured.
func (c *chooser) roundTrip(endpoint snapshot.Endpoint) (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.balancer.RoundTrip(&endpoint)
}

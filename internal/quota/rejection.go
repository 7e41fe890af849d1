package quota

import (
	"slices"
	"time"
)

// How rejections are reported.
const (
	// defaultRetryAfter is the retry delay sent to callers while no stripe has reported when it
	// has a token.
	defaultRetryAfter = time.Second
	// retryJitterDivisor bounds the random time that is added to a retry delay: the delay
	// divided by this.
	retryJitterDivisor = 4
	// unreachableInterval is the minimum time between two Unreachable effects for a tenant.
	unreachableInterval = 10 * time.Second
)

// decideWithoutStripe decides on a request for which no stripe is left to query. The request is
// rejected if a stripe has reported that it has no token; otherwise it may use this node's
// fallback share.
func (m *Machine) decideWithoutStripe(request *waitingRequest, tenant *tenantState, now time.Time) {
	delete(m.waiting, request.id)
	wait := tenant.nextTokenWait(now)
	if tenant.isKnownEmpty(request, now) || tenant.ownsAllStripes() {
		m.reject(request, wait)
		return
	}
	if now.Sub(tenant.reportedUnreachable) > unreachableInterval {
		tenant.reportedUnreachable = now
		m.emit(Unreachable{Tenant: tenant.name})
	}
	if m.spendFallback(tenant, now) {
		m.recordSpent(tenant, tokenBatch{requestedAt: now, tokens: 1}, now)
		m.emit(Decided{ID: request.id, Result: Fallback})
		return
	}
	m.reject(request, wait)
}

// reject rejects a request, with a retry delay that ends when the first stripe has a token or a
// little later, since several requests are rejected by one report of a stripe. A caller that
// retries soon may still be served within its latency objective.
func (m *Machine) reject(request *waitingRequest, wait time.Duration) {
	jitter := time.Duration(m.random.Int64N(int64(wait)/retryJitterDivisor + 1))
	m.emit(Decided{ID: request.id, Result: Rejected, RetryAfter: wait + jitter})
}

// nextTokenWait returns the time until the first stripe has a token again, at most
// defaultRetryAfter.
func (t *tenantState) nextTokenWait(now time.Time) time.Duration {
	wait := defaultRetryAfter
	for index := range t.holders {
		if each := &t.holders[index]; each.isEmpty(now) {
			wait = min(wait, each.emptyUntil.Sub(now))
		}
	}
	return wait
}

// isKnownEmpty reports whether the stripe of another node has reported that it has no token
// now, or has replied to the waiting request. Unresponsive nodes are not queried then:
// otherwise each request waited for 80 ms in a flood while the node of a stripe was down.
func (t *tenantState) isKnownEmpty(request *waitingRequest, now time.Time) bool {
	return request.replied || slices.ContainsFunc(t.holders, func(each holder) bool {
		return each.distance != ownNode && each.isEmpty(now)
	})
}

// isEmpty reports whether the holder's stripe itself reported that it has no token now.
func (h *holder) isEmpty(now time.Time) bool { return h.reportedEmpty && now.Before(h.emptyUntil) }

// ownsAllStripes reports whether all of the tenant's stripes are on this node.
func (t *tenantState) ownsAllStripes() bool {
	return len(t.holders) == 1 && t.holders[0].distance == ownNode
}

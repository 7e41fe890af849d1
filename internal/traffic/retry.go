package traffic

import (
	"net/http"
	"sync"
	"time"

	"sliphead/internal/outcome"
)

// oneRetry is the cost of a retry, in thousandths.
const oneRetry = 1000

// retryBucket is a token bucket that bounds the retries of a node to a share of its requests.
type retryBucket struct {
	mutex  sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

func newRetryBucket(limits Limits) *retryBucket {
	return &retryBucket{tokens: limits.RetryBurst, ratio: limits.RetryRatio, burst: limits.RetryBurst}
}

// deposit counts a request.
func (b *retryBucket) deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// take reports whether a retry is allowed and counts it.
func (b *retryBucket) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// isRepeatable reports whether a request may run more than once. Its route must have allowed that
// when the request arrived, and the configuration in force now must not forbid it: the operator may
// have changed the route, or added one with a longer prefix, while an attempt ran.
func (out *Outbound) isRepeatable(x *exchange) bool {
	if !x.route.Repeatable {
		return false
	}
	view, _ := out.config.Holder.Current(time.Now())
	if view == nil || view == x.view {
		return true
	}
	current := view.Match(hostOf(x.request), x.request.URL, x.request.Method)
	return current == nil || current.Repeatable
}

// mayRetry reports whether another attempt may follow a failed one: the request did not run or
// may run twice, no lower level of the call tree has spent its retries on it, and its body can
// be sent again.
func (out *Outbound) mayRetry(x *exchange, failure *result) bool {
	mayRunAgain := failure.outcome == outcome.NotRun || out.isRepeatable(x)
	temporary := failure.status >= http.StatusInternalServerError && failure.status != http.StatusLoopDetected
	return mayRunAgain && temporary && !failure.final &&
		failure.cause != causeCallerGone && x.context.Err() == nil && x.body.reclaim()
}

// spendRetry takes a retry from the budgets of the call tree and of the node, and reports
// whether both allow it.
func (out *Outbound) spendRetry(x *exchange) bool {
	if x.budget < oneRetry || !out.retries.take() {
		return false
	}
	x.budget -= oneRetry
	out.metrics.retries.Inc()
	return true
}

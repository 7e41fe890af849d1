package traffic

import (
	"math"
	"sync"
	"time"
)

// serviceBudget bounds, for each service, the retries that reach workers (all arrivals beyond
// the first of each request) to a share of the requests plus a small allowance that the nodes
// of the mesh divide equally. Each request earns its node a fraction of a retry, and a node
// accumulates no more than its part of the allowance. The sum over all nodes therefore stays
// under the bound without coordination, even when many nodes start at once.
type serviceBudget struct {
	mutex           sync.Mutex
	ratio           float64 // retries earned per request
	allowance       float64 // retries of the whole mesh
	tokensByService map[string]*retryTokens
}

// retryTokens are the retries for one service that a node may still make.
type retryTokens struct {
	tokens        float64
	updated       time.Time // when tokens was last updated
	lastAttemptAt time.Time // time of the latest take with lastAttempt
}

// Shares of the bounds that are used. The unused part of the ratio covers what a node cannot
// count: hedged attempts at a second node, and calls of repeated runs beyond the average that
// is charged for them. With 0.9, a model of a service whose calling runs mostly fail exceeded
// the bound by 16 arrivals in a window; with 0.88 and 0.85 it stayed below.
const (
	usedRatio     = 0.88 // of the ratio
	capacityShare = 0.8  // of the allowance: what all nodes together may accumulate
	initialShare  = 0.2  // of the allowance: what all nodes together hold at their start
)

// excessDecay is the time in which tokens above a node's part of the allowance decay to 1/e
// (about a third). In a mesh of more nodes than the allowance has retries, each part is less
// than one, and a node must accumulate one to make any.
const excessDecay = 10 * time.Second

// minCapacity is the number of tokens that any node may accumulate: one retry, and what is
// earned before that one is used. With a capacity of one, 850 nodes made only 0.6 of the
// retries that 3,000 requests a second allow.
const minCapacity = 2

func newServiceBudget(limits Limits) *serviceBudget {
	return &serviceBudget{ratio: limits.RetryRatio * usedRatio, allowance: float64(limits.RetrySlack), tokensByService: map[string]*retryTokens{}}
}

// deposit counts a request for a service.
func (b *serviceBudget) deposit(service string, nodes int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	bucket := b.tokensOf(service, nodes, now)
	bucket.tokens = min(bucket.tokens+b.ratio, b.capacity(nodes))
}

// take reports whether one more arrival is allowed, and counts it. While tokens are scarce
// they are reserved for requests with lastAttempt, which nobody sends again if they are
// refused. Other callers retry by themselves, which costs no token.
func (b *serviceBudget) take(service string, nodes int, lastAttempt bool, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	bucket := b.tokensOf(service, nodes, now)
	if lastAttempt {
		bucket.lastAttemptAt = now
	}
	if bucket.tokens < 1 || !lastAttempt && now.Sub(bucket.lastAttemptAt) < scarcityPeriod && bucket.tokens < b.capacity(nodes)*ampleShare {
		return false
	}
	bucket.tokens--
	return true
}

// Tokens count as scarce for scarcityPeriod after a take with lastAttempt, unless the node
// holds at least ampleShare of its capacity.
const (
	scarcityPeriod = time.Second
	ampleShare     = 0.9
)

// charge subtracts arrivals that this node does not decide on. The balance may become
// negative; the node then makes no retries until it has earned them.
func (b *serviceBudget) charge(service string, nodes int, arrivals float64, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokensOf(service, nodes, now).tokens -= arrivals * (1 + b.ratio) // the arrivals are also counted as requests, which earn tokens
}

// refund reverts a take whose request reached no worker.
func (b *serviceBudget) refund(service string, nodes int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	bucket := b.tokensOf(service, nodes, now)
	bucket.tokens = min(bucket.tokens+1, b.capacity(nodes))
}

// capacity returns the maximum number of tokens of a node.
func (b *serviceBudget) capacity(nodes int) float64 { return max(minCapacity, b.nodeShare(nodes)) }

// nodeShare returns a node's part of the tokens that all nodes may accumulate.
func (b *serviceBudget) nodeShare(nodes int) float64 {
	return b.allowance * capacityShare / float64(max(1, nodes))
}

// tokensOf returns the tokens for a service, decayed to now. The mutex must be held.
func (b *serviceBudget) tokensOf(service string, nodes int, now time.Time) *retryTokens {
	bucket := b.tokensByService[service]
	if bucket == nil {
		bucket = &retryTokens{tokens: b.allowance * initialShare / float64(max(1, nodes)), updated: now}
		b.tokensByService[service] = bucket
	}
	beyond := max(0, bucket.tokens-b.nodeShare(nodes))
	bucket.tokens -= beyond * (1 - math.Exp(-float64(now.Sub(bucket.updated))/float64(excessDecay)))
	bucket.updated = now
	return bucket
}

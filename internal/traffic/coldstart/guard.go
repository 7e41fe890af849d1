// Package coldstart limits the rate of requests to a cold worker: for some seconds after its
// start a worker crashes under a higher load. The package is pure: the caller passes the time.
//
// Every request to a worker passes through the worker's node, so the rate is limited there and
// is not sent to other nodes. A node that has just started, or whose worker has not responded
// for a while, has no evidence whether the worker has restarted. It assumes a cold worker until
// the response to a health check shows otherwise.
//
// Alternatives considered: a token bucket with a burst of a whole second's requests (the burst
// is spent in the first milliseconds, when the worker is coldest); even spacing without a
// burst (rejects one of two concurrent requests); a rate that grows with the worker's uptime
// (the capacity of a cold worker is declared as one number for the whole cold start).
package coldstart

import (
	"time"

	"golang.org/x/time/rate"

	"sliphead/internal/traffic/closing"
)

const (
	// burstShare is the burst as a share of the requests per second, where no larger slack
	// is declared. In any second a cold worker thus gets at most 1.2 times its rate.
	burstShare = 0.2
	// slackAtOnce and slackEvenly divide the declared slack: the first part is added to the
	// burst, the second to the rate. The rest, 2 of 8 requests, covers requests that a node
	// sends up to 100 ms late when its CPU quota is used up. With the second part, 22.5
	// instead of 19.5 requests per second, 3.7 % instead of 3.9 % of a day's requests were
	// left unserved when all nodes lost power once that day.
	slackAtOnce = 0.375
	slackEvenly = 0.375
	// unresponsiveAfter is the time without a response after which a worker may have
	// restarted; a restart takes longer.
	unresponsiveAfter = time.Second
	// probeInterval is the minimum time between two health checks of a worker.
	probeInterval = 300 * time.Millisecond
)

// Bound declares the limits of a service's cold workers.
type Bound struct {
	PerSecond float64       // declared capacity in requests per second; 0: unlimited
	Overage   float64       // factor of the declared capacity that may be sent; below 1 counts as 1
	Slack     float64       // additional requests allowed in any second
	Duration  time.Duration // duration of a cold start
}

// rate is the rate of requests per second to a cold worker. It makes full use of the
// overage and slack that the operator allows: after a power loss of all nodes all workers
// are cold, and each additional request per second is one more that is served.
func (b Bound) rate() float64 { return b.PerSecond*max(1, b.Overage) + slackEvenly*b.Slack }

// burst is the number of requests that may be sent at once, at least 1.
func (b Bound) burst() int {
	return max(1, int(max(burstShare*b.PerSecond, slackAtOnce*b.Slack)))
}

// Guard limits the requests to a worker while it is cold. The zero Guard does not limit. It
// is not safe for concurrent use.
type Guard struct {
	bound        Bound
	limiter      *rate.Limiter
	coldUntil    time.Time
	probeNeeded  bool      // whether the worker may have restarted and has not reported its health since
	lastResponse time.Time // last response of the worker
	lastProbe    time.Time // last health check
	pauses       closing.Pauses
}

// reserveShare is the part of the burst that is reserved for urgent requests. Others get
// only what these leave over, and nothing while urgent requests alone exceed the rate. When
// all were served in order of arrival, after a power loss of all nodes, orders were
// rejected in favour of look-ups whose nested price checks were then rejected too. The rest
// of the burst is divided so that each lower urgency leaves a part to those above it.
const reserveShare = 0.5

// reserve is the part of the burst that requests of an urgency leave to more urgent ones.
func reserve(urgency closing.Urgency) float64 {
	if urgency == closing.Urgent {
		return 0
	}
	return reserveShare + (1-reserveShare)*float64(urgency-closing.NonUrgent)/float64(closing.Urgencies-1)
}

// Bind sets the limits of the worker. A change discards all state.
func (g *Guard) Bind(bound Bound) {
	if bound == g.bound {
		return
	}
	*g = Guard{bound: bound}
	if bound.PerSecond > 0 {
		g.limiter = rate.NewLimiter(rate.Limit(bound.rate()), bound.burst())
	}
}

// MarkStarted records that the worker may have just started: it counts as cold and a health
// check is due.
func (g *Guard) MarkStarted(now time.Time) {
	g.probeNeeded = true
	g.ExtendCold(g.bound.Duration, now)
}

// SuspectRestart records a weak indication that the worker may have restarted: a health check is
// due, but the worker is not limited until its result.
func (g *Guard) SuspectRestart() { g.probeNeeded = true }

// ExtendCold records that the worker may stay cold for the given time. It never shortens the cold
// start.
func (g *Guard) ExtendCold(remaining time.Duration, now time.Time) {
	if until := now.Add(remaining); until.After(g.coldUntil) {
		g.coldUntil = until
	}
}

// RecordResponse records that the worker has responded to a request.
func (g *Guard) RecordResponse(now time.Time) { g.lastResponse = now }

// RecordProbe records the result of a health check: the time for which the worker stays cold, 0
// if it is warm.
func (g *Guard) RecordProbe(remaining time.Duration, now time.Time) {
	g.probeNeeded = false
	g.lastResponse = now
	g.coldUntil = now.Add(remaining)
}

// ProbeDue reports whether a health check is due before a request that arrives now, and if
// so records it as started.
func (g *Guard) ProbeDue(now time.Time) bool {
	if g.bound.PerSecond <= 0 {
		return false
	}
	if now.Sub(g.lastResponse) > unresponsiveAfter {
		g.MarkStarted(now)
	}
	if !g.probeNeeded || now.Sub(g.lastProbe) < probeInterval {
		return false
	}
	g.lastProbe = now
	return true
}

// Limited reports whether the worker counts as cold and is limited.
func (g *Guard) Limited(now time.Time) bool {
	return g.bound.PerSecond > 0 && now.Before(g.coldUntil)
}

// ColdFor is the time for which the worker remains limited, 0 if it is not.
func (g *Guard) ColdFor(now time.Time) time.Duration {
	if !g.Limited(now) {
		return 0
	}
	return g.coldUntil.Sub(now)
}

// CanSend reports whether a request that arrives now may pass, without counting it. A rejected
// request extends the time that PausedFor returns.
func (g *Guard) CanSend(urgency closing.Urgency, now time.Time) bool {
	if g.allows(urgency, now) {
		return true
	}
	g.recordRejection(urgency, now)
	return false
}

// Acquire counts a request and reports whether it may pass. It must be called just before the
// request is sent. A rejected request extends the time that PausedFor returns.
func (g *Guard) Acquire(urgency closing.Urgency, now time.Time) bool {
	if !g.Limited(now) || g.allows(urgency, now) && g.limiter.AllowN(now, 1) {
		return true
	}
	g.recordRejection(urgency, now)
	return false
}

// allows reports whether a request would pass now.
func (g *Guard) allows(urgency closing.Urgency, now time.Time) bool {
	if !g.Limited(now) {
		return true
	}
	needed := 1 + reserve(urgency)*float64(g.limiter.Burst()-1)
	return g.limiter.TokensAt(now) >= needed
}

// recordRejection records a rejected request.
func (g *Guard) recordRejection(urgency closing.Urgency, now time.Time) {
	interval := time.Duration(float64(time.Second) / g.bound.rate())
	g.pauses.Extend(urgency, interval, now)
}

// PausedFor is the time for which a caller's node that gets a response now must send no more
// requests of an urgency. Each rejected request extends it by the time that the worker needs for
// one, so that callers retry one after the other and few of them are rejected again.
func (g *Guard) PausedFor(urgency closing.Urgency, now time.Time) time.Duration {
	if !g.Limited(now) {
		return 0
	}
	return g.pauses.Remaining(urgency, now)
}

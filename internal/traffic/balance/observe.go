package balance

import (
	"math"
	"time"

	"sliphead/internal/snapshot"
)

const (
	observationWeight = 8                // each observation has a weight of 1/observationWeight
	slownessDecay     = 10 * time.Second // time constant at which an old observation decays
	minSlowness       = 0.5
	maxSlowness       = 50
)

// Ended ends a request that Pick or Cheapest counted, and records its outcome.
func (b *Balancer) Ended(now time.Time, route string, endpoint snapshot.Endpoint, observed Observation) {
	state := b.stateOf(endpoint, now)
	state.inFlight = max(0, state.inFlight-1)
	if observed.HasLoad {
		state.load = observed.Load
		state.loadAt = now
		state.pausedUntil[observed.Urgency] = now.Add(observed.Load.PausedFor)
		state.setForecast(route, observed.Load, now)
	}
	if endpoint.Zone != b.settings.Zone && (observed.Rejected || !observed.Failed) {
		b.recordOffer(now, endpoint.Zone, route, !observed.Rejected)
	}
	b.recordRoundTrip(now, &endpoint, observed.RoundTrip)
	b.recordReachability(now, &endpoint, observed)
	state.unreachable = observed.Failed && observed.Unreachable
	if observed.Failed {
		b.recordFailure(state, now)
		return
	}
	state.failures = 0
	state.backoffUntil = time.Time{}
	if observed.Kilobytes > 0 {
		b.recordSize(route, observed.Kilobytes)
	}
	if observed.Latency > 0 {
		b.recordLatency(route, state, observed.Latency, now)
	}
}

// recordFailure backs the endpoint off exponentially, with jitter so that nodes do not all
// return to it at the same time.
func (b *Balancer) recordFailure(state *endpointState, now time.Time) {
	state.backoffUntil = now.Add(b.backoff(state.failures))
	state.failures++
}

// backoff is the time for which to avoid an endpoint or region, given the number of its
// previous failures.
func (b *Balancer) backoff(failures int) time.Duration {
	const maxDoublings = 16
	wait := b.settings.BackoffFirst << min(failures, maxDoublings)
	wait = min(wait, b.settings.BackoffMax)
	return wait/2 + time.Duration(b.random.Int64N(int64(wait/2)+1))
}

// recordLatency compares a response time with the route's typical one, so that an
// endpoint's slowness does not depend on the mix of short and long routes.
func (b *Balancer) recordLatency(route string, state *endpointState, latency time.Duration, now time.Time) {
	typical := b.typicalLatency[route]
	if typical == 0 {
		b.typicalLatency[route] = latency
		return
	}
	b.typicalLatency[route] = typical + (min(latency, typical*2)-typical)/observationWeight/2
	ratio := min(maxSlowness, max(minSlowness, float64(latency)/float64(typical)))
	current := state.slownessAt(now)
	state.slowness = current + (ratio-current)/observationWeight
	state.observed = now
}

// recordSize records the size of a response.
func (b *Balancer) recordSize(route string, kilobytes float64) {
	typical, found := b.typicalKilobytes[route]
	if !found {
		typical = kilobytes
	}
	b.typicalKilobytes[route] = typical + (kilobytes-typical)/observationWeight
}

// defaultKilobytes is the assumed size of a response on a route without observations.
const defaultKilobytes = 2

func (b *Balancer) responseKilobytes(route string) float64 {
	if typical, found := b.typicalKilobytes[route]; found {
		return typical
	}
	return defaultKilobytes
}

// slownessAt returns the slowness, which decays to 1 so that an endpoint that was slow is
// tried again.
func (s *endpointState) slownessAt(now time.Time) float64 {
	age := now.Sub(s.observed)
	if age <= 0 {
		return s.slowness
	}
	return 1 + (s.slowness-1)*math.Exp(-float64(age)/float64(slownessDecay))
}

// cost is the expected time at the endpoint in units of a typical run.
func (b *Balancer) cost(endpoint snapshot.Endpoint, state *endpointState, now time.Time) float64 {
	waiting := float64(state.inFlight + 1)
	waiting += b.reportedOthers(state, now)
	waiting /= float64(max(1, endpoint.Slots))
	return waiting * state.slownessAt(now) / b.warmth(endpoint, now)
}

// reportedOthers is the number of other nodes' requests at the endpoint by its last report.
// It decays to 0 within ReportExpiry.
func (b *Balancer) reportedOthers(state *endpointState, now time.Time) float64 {
	age := now.Sub(state.loadAt)
	if age >= b.settings.ReportExpiry {
		return 0
	}
	others := max(0, state.load.Busy+state.load.Queued-state.inFlight)
	return float64(others) * (1 - float64(age)/float64(b.settings.ReportExpiry))
}

// saturated reports whether the endpoint has no free slot. The decaying number of others'
// requests is rounded; otherwise a report of a full endpoint would have no effect.
func (b *Balancer) saturated(endpoint snapshot.Endpoint, state *endpointState, now time.Time) bool {
	return float64(state.inFlight)+math.Round(b.reportedOthers(state, now)) >= float64(max(1, endpoint.Slots))
}

// warmth is the share of its capacity that a cold endpoint gets: it rises from 0.1 to 1
// over the slow start.
func (b *Balancer) warmth(endpoint snapshot.Endpoint, now time.Time) float64 {
	const coldest = 0.1
	if endpoint.ReadySince.IsZero() || b.settings.SlowStart <= 0 {
		return 1
	}
	share := float64(now.Sub(endpoint.ReadySince)) / float64(b.settings.SlowStart)
	return min(1, max(coldest, share))
}
